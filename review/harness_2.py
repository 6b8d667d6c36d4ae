"""What the scripts of the second review share: gateways that are started as the deploy file says, and a record.

A gateway runs `target/peridot-gateway` with the settings file that `deploy/gateway.json.in` gives for a small installation.
The platform is the project's own stand-in, `testsuite/support/fake_platform.py`.
"""
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "peridot-gateway"
TEMPLATE = ROOT / "deploy" / "gateway.json.in"
sys.path.insert(0, str(ROOT / "testsuite"))

# Bounds of the small installation zelenica-hq.
BOUNDS = {"retry_budget_ratio": 0.2, "budget_extra": 56, "budget_window_s": 10, "grace_s": 8, "lease_ms": 3000,
          "loss_slack_ms": 200}
MEMORY_MB = 260

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COULD_NOT_RUN = 2


def free_port(host, kind=socket.SOCK_STREAM):
    """A bound socket, kept open without listening, so that nobody else gets its port."""
    holder = socket.socket(socket.AF_INET, kind)
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, 0))
    return holder


def rendered(fields):
    """The template with the placeholders of DEPLOY.md that it uses: `{{a.b}}` and `{{a.b|json}}`."""
    def value(match):
        name, _, kind = match.group(1).partition("|")
        at = fields
        for key in name.split("."):
            at = at[int(key)] if isinstance(at, list) else at[key]
        return json.dumps(at) if kind == "json" else str(at)
    return re.sub(r"\{\{([^}]+)\}\}", value, TEMPLATE.read_text())


class Gateway:
    """A front machine: an address of its own, and a process that is signalled by its id only."""

    def __init__(self, folder, number, store_address, zone="north"):
        self.name = f"front-{number}"
        self.host = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.{number + 1}"
        self.holders = [free_port(self.host), free_port(self.host), free_port(self.host, socket.SOCK_DGRAM)]
        self.port, self.ready_port, peer_port = [each.getsockname()[1] for each in self.holders]
        self.holders.pop().close()
        self.settings = os.path.join(folder, f"{self.name}.json")
        self.log_path = os.path.join(folder, f"{self.name}.log")
        fields = {"node_name": self.name, "zone": zone, "ip": self.host,
                  "listen": {"front": f"{self.host}:{self.port}", "ready": f"{self.host}:{self.ready_port}"},
                  "port_range": [peer_port, peer_port], "platform": {"addr": store_address, "parts": 12, "ttl_min_ms": 1000},
                  "bounds": BOUNDS, "limits": {"memory_mb": MEMORY_MB}}
        pathlib.Path(self.settings).write_text(rendered(fields))
        self.child = None
        self.stopped_at = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen([str(PROGRAM)], cwd=ROOT, stdout=log, stderr=log,
                                          env={**environment, "PERIDOTGRADE_CONFIG": self.settings})
        return self

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def is_ready(self, timeout=0.5):
        try:
            connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=timeout)
            connection.request("GET", "/api/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return self
            time.sleep(0.05)
        could_not_run(f"{self.name} is not ready: {pathlib.Path(self.log_path).read_text()[-800:]}")

    def terminate(self):
        self.stopped_at = time.monotonic()
        self.child.send_signal(signal.SIGTERM)

    def end(self):
        if self.is_running():
            self.child.kill()
        if self.child:
            self.child.wait()
        for holder in self.holders:
            holder.close()


class Record:
    """`record.txt` of a case, with times since its start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def write(self, text, at=None):
        self.file.write(f"{(at or time.monotonic()) - self.began:8.3f} s  {text}\n")


def could_not_run(why):
    print(f"could not run: {why}", file=sys.stderr)
    sys.exit(COULD_NOT_RUN)


def run(main):
    """Ends the program with the result of `main`, or as one that could not run."""
    signal.signal(signal.SIGTERM, lambda *_: could_not_run("it took too long"))
    try:
        sys.exit(main())
    except Exception:
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)


def check_built():
    if not PROGRAM.exists():
        could_not_run(f"{PROGRAM.name} is not built")
