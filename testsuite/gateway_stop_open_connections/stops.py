"""Gateways that are stopped in turn beside callers that use their open connections until the process is gone.

A caller's request is `dropped` if its connection is ended in an orderly way after the gateway has read all of it, without an
answer. The kernel tells that from a request that was not read: closing a connection with unread bytes resets it.

    stops.py --build BUILD --seeds FIRST-LAST [--seconds S] [--gateways N] [--callers N] [--jobs N]
"""
import argparse
import concurrent.futures
import itertools
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import threading
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from support.fake_platform import HOST, FakePlatform  # noqa: E402
from support.gateway import Caller, Gateway, SentRequest  # noqa: E402

STOP_WITHIN_S = 8
SERVED_AFTER_SIGNAL_S = 3
# loss_slack_ms of the installations: an end within that time of the last byte may cross the request.
LOSS_SLACK_S = 0.2
READ_TIMEOUT_S = 12
TCP_CLOSE = 7


class Dropped(Exception):
    """The connection ended without an answer, and the request had been read."""


class Connection:
    """One TCP connection of a caller, with blocking calls in the caller's thread."""

    def __init__(self, gateway):
        self.socket = socket.create_connection((gateway.host, gateway.port), timeout=1)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def has_ended(self):
        self.socket.setblocking(False)
        try:
            return self.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.socket.settimeout(READ_TIMEOUT_S)

    def was_reset(self):
        """True if the peer has reset the connection, so it had not read all of its bytes."""
        time.sleep(0.02)
        return struct.unpack("B", self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1))[0] == TCP_CLOSE

    def exchange(self, pieces):
        """Sends the pieces, with pauses between them. Returns status, header fields and body; None if the request was not
        read, or was not sent to its end."""
        for index, (pause_s, piece) in enumerate(pieces):
            time.sleep(pause_s)
            if index and self.has_ended():
                return None
            try:
                self.socket.sendall(piece)
            except OSError:
                return None
        sent_at = time.monotonic()
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                if not (more := self.socket.recv(65536)):
                    return self._ended(sent_at, data)
                data += more
            head, _, body = data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            fields = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
            while len(body) < int(fields["content-length"]):
                if not (more := self.socket.recv(65536)):
                    raise Dropped("within its answer")
                body += more
            return int(lines[0].split()[1]), fields, body
        except ConnectionResetError:
            return None

    def _ended(self, sent_at, data):
        took_s = time.monotonic() - sent_at
        if data or took_s > LOSS_SLACK_S or not self.was_reset():
            raise Dropped(f"{took_s * 1000:.0f} ms after it was sent")
        return None

    def close(self):
        self.socket.close()


class Run:
    """One seed. `violations` are those of the platform."""

    def __init__(self, build, folder, seed, seconds, gateways, callers):
        self.random, self.seconds, self.callers = random.Random(seed), seconds, callers
        self.platform = FakePlatform(prefills=2, decodes=3, plain_servers=3, events=self.random.choice([450, 700]))
        self.gateways = [Gateway(build, folder, f"gateway-{number}", self.platform.store.address, STOP_WITHIN_S)
                         for number in range(gateways)]
        self.stopped_at = {}
        self.counts = dict.fromkeys(("answered", "not_run", "unread", "refused", "dropped", "closing"), 0)
        self.is_over = threading.Event()
        self.version = itertools.count(2)

    def act(self, connection, gateway, choice):
        """Sends one action, whole or in two pieces. Returns whether the connection can carry another one."""
        self.counts["closing"] += time.monotonic() - self.stopped_at.get(gateway.name, time.monotonic()) > SERVED_AFTER_SIGNAL_S
        attempt, body = uuid.uuid4().hex[:16], b"{}"
        self.platform.sent[attempt] = SentRequest(("POST", "/act/a", body), False, 2.0, attempt)
        request = (f"POST /act/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 2000\r\n"
                   f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        pieces = [(0, request)]
        if choice.random() < 0.3:
            cut = choice.randrange(1, len(request))
            pieces = [(0, request[:cut]), (choice.uniform(0.02, 0.3), request[cut:])]
        try:
            answer = connection.exchange(pieces)
        except Dropped as end:
            self.counts["dropped"] += 1
            self.platform.report_violation(f"{attempt} was read, and its connection ended without an answer {end}")
            return False
        if answer is None:
            self.counts["unread"] += 1
            if self.platform.runs[attempt]:
                self.platform.report_violation(f"{attempt} ran, and its connection was reset")
            return False
        status, fields, _ = answer
        self.counts["answered" if status == 200 else "not_run"] += 1
        if status == 200 and fields.get("x-server-seal") != f"seal-{attempt}":
            self.platform.report_violation(f"{attempt} got a success that no server signed")
        if status != 200 and (status != 503 or self.platform.runs[attempt]):
            self.platform.report_violation(f"{attempt} got {status} and ran {self.platform.runs[attempt]} times")
        return fields.get("connection") != "close"

    def call_actions(self, number, seed):
        """Keeps a connection, opens one for each request, or sends long after it has connected."""
        choice, style = random.Random(seed), ("kept", "new", "late")[number % 3]
        gateway = self.gateways[number % len(self.gateways)]
        connection = None
        while not self.is_over.is_set():
            try:
                if connection is None:
                    connection = Connection(gateway)
                    time.sleep(choice.uniform(0, 1.5) if style == "late" else 0)
            except OSError:
                self.counts["refused"] += 1
                time.sleep(0.05)
                continue
            is_kept = not connection.has_ended() and self.act(connection, gateway, choice)
            if not is_kept or style == "new":
                connection.close()
                connection = None
            time.sleep(choice.uniform(0.02, 0.45))
        if connection:
            connection.close()

    def call_streams(self, number, seed):
        choice = random.Random(seed)
        while not self.is_over.is_set():
            Caller(self.platform, self.gateways[number % len(self.gateways)]).send("/text/a", hint=440)
            time.sleep(choice.uniform(0, 0.5))

    def stop(self, gateway, seed):
        """SIGHUP and a second SIGTERM fall into the stop; the gateway starts again when it is gone."""
        choice = random.Random(seed)
        self.stopped_at[gateway.name] = stopped_at = time.monotonic()
        gateway.terminate()
        for _ in range(choice.randrange(3)):
            time.sleep(choice.uniform(0, 1.5))
            if gateway.is_running():
                gateway.send_signal(choice.choice([signal.SIGHUP, signal.SIGTERM]))
        status = gateway.wait_exit(STOP_WITHIN_S + 2)
        took_s = time.monotonic() - stopped_at
        if status not in (0, 1) or took_s > STOP_WITHIN_S:
            self.platform.report_violation(f"{gateway.name} ended with {status} after {took_s:.2f} s")
        del self.stopped_at[gateway.name]
        time.sleep(choice.uniform(0, 0.5))
        gateway.start()
        gateway.wait_ready()

    def stop_in_turn(self):
        until = time.monotonic() + self.seconds - STOP_WITHIN_S
        stops = []
        while time.monotonic() < until:
            gateway = self.random.choice(self.gateways)
            if not any(name == gateway.name and thread.is_alive() for name, thread in stops):
                thread = threading.Thread(target=self.stop, args=(gateway, self.random.random()))
                stops.append((gateway.name, thread))
                thread.start()
            if self.random.random() < 0.3:
                self.platform.call(self.platform.configure(next(self.version)))
            time.sleep(self.random.uniform(0.3, 2.0))
        for _, thread in stops:
            thread.join()

    def play(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready(20)
        streams = 2 * len(self.gateways)
        threads = [threading.Thread(target=self.call_actions, args=(number, self.random.random())) for number in range(self.callers)]
        threads += [threading.Thread(target=self.call_streams, args=(number, self.random.random())) for number in range(streams)]
        for thread in threads:
            thread.start()
        try:
            self.stop_in_turn()
        finally:
            self.is_over.set()
            for thread in threads:
                thread.join()
        for gateway in self.gateways:
            dropped = gateway.log_lines("request_dropped")
            if dropped:
                self.platform.report_violation(f"{gateway.name} has dropped {len(dropped)} requests")
        if self.counts["closing"] == 0:
            self.platform.report_violation(f"no request was sent to a gateway that closes its connections: {self.counts}")

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        self.platform.end()


def run_seed(build, seed, seconds=22, gateways=2, callers=36):
    """Returns the violations of one seed and the counts of its requests."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(build, folder, seed, seconds, gateways, callers)
        try:
            run.play()
        finally:
            run.end()
        return run.platform.violations, run.counts


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", default="1-4")
    parser.add_argument("--seconds", type=float, default=22)
    parser.add_argument("--gateways", type=int, default=2)
    parser.add_argument("--callers", type=int, default=36)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    build = pathlib.Path(options.build).resolve() / "src"
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(run_seed, build, seed, options.seconds, options.gateways, options.callers) for seed in seeds]
        for seed, each in zip(seeds, runs):
            violations, counts = each.result()
            failed += bool(violations)
            print(f"seed {seed}: {counts} {violations[:5] if violations else ''}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
