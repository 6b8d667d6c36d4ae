"""Child processes of a case."""
import os
import select
import signal
import subprocess
import tempfile
import time


class Process:
    """A program that a case has started. It is signalled only by its process id."""

    def __init__(self, program, arguments, log_folder, name):
        self.command = [str(program), *map(str, arguments)]
        # Added on a restart, so that the program listens at the same addresses again.
        self.address_flags = []
        self.name = name
        self.log_path = os.path.join(log_folder, f"{name}.log")
        self.ports = {}
        self.child = None

    def start(self, seconds=20):
        """Starts the program and waits for its ready line, which contains the ports."""
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(self.command + self.address_flags, stdout=subprocess.PIPE, stderr=log)
        line = self._ready_line(seconds)
        self.ports = dict(word.split("=", 1) for word in line.split()[1:])
        return self

    def _ready_line(self, seconds):
        until = time.monotonic() + seconds
        buffer = b""
        while time.monotonic() < until:
            readable, _, _ = select.select([self.child.stdout], [], [], 0.1)
            if readable:
                part = os.read(self.child.stdout.fileno(), 4096)
                buffer += part
                for line in buffer.split(b"\n")[:-1]:
                    if line.startswith(b"ready "):
                        return line.decode()
                if not part:
                    break
        raise AssertionError(f"{self.name} printed no ready line; see {self.log_path}: {self.log_tail()}")

    def log_tail(self):
        with open(self.log_path, "rb") as log:
            return log.read()[-3000:].decode(errors="replace")

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def status(self):
        return self.child.returncode if self.child else "not started"

    def send_signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.is_running():
            self.child.kill()
        self.child.wait()

    def freeze(self):
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.send_signal(signal.SIGCONT)

    def terminate(self):
        self.send_signal(signal.SIGTERM)

    def wait_exit(self, seconds=20):
        return self.child.wait(timeout=seconds)

    def end(self):
        """Kills the program if it still runs; for the end of a case."""
        if self.is_running():
            self.child.kill()
            self.child.wait()


def new_folder():
    return tempfile.mkdtemp(prefix="peridot-")
