"""Common parts of the scripts of the third review.

The stand-ins are the project's own fakes of the platform (testsuite/support), with listings of the store in pages as
PROTOCOL.md has them. Gateways are started as deploy/system.toml says: `target/peridot-gateway`, with the settings file in
PERIDOTGRADE_CONFIG.
"""
import asyncio
import base64
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "testsuite"))

from support import fake_platform  # noqa: E402

PROGRAM = ROOT / "target" / "peridot-gateway"
HOST, MODEL, PLAIN = fake_platform.HOST, fake_platform.MODEL_SERVICE, fake_platform.PLAIN_SERVICE
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class PagedStore(fake_platform.Store):
    """The store, with at most 500 records or 1 MB in a page of a listing."""

    def _newest(self, request, writer):
        records = self.topics[request.query["topic"]]
        newest = {}
        for offset, content in enumerate(records):
            size = content[0]
            newest[content[1:1 + size]] = (offset, content[1 + size:])
        after = request.query.get("after", "").encode()
        items, bytes_taken, is_truncated = [], 0, False
        for key in sorted(key for key, (_, value) in newest.items() if value and key > after):
            if len(items) == 500 or bytes_taken > 1_000_000:
                is_truncated = True
                break
            offset, value = newest[key]
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
            bytes_taken += len(key) + len(value)
        writer.write(self.answer_json({"items": items, "truncated": is_truncated, "end": len(records)}))

    def keys_of(self, topic):
        """Keys of a keyed topic that have a value."""
        newest = {}
        for content in list(self.topics[topic]):
            newest[content[1:1 + content[0]]] = content[1 + content[0]:]
        return sum(1 for value in newest.values() if value)


fake_platform.Store = PagedStore


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def held_port():
    """A free port that nobody else gets while the socket is open."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((fake_platform.run_address(), 0))
    return holder


class Gateway:
    """One process of the deploy file."""

    def __init__(self, folder, name, store, memory_mb=260, grace_s=8, lease_ms=3000, zone="north"):
        self.host, self.name, self.folder, self.child = fake_platform.run_address(), name, folder, None
        self.holders = [held_port() for _ in range(4)]
        self.port, self.ready_port, metrics, peer = [each.getsockname()[1] for each in self.holders]
        self.holders.pop().close()
        # The fields of deploy/gateway.json.in.
        settings = {"nodeName": name, "dataCentre": zone, "callersListen": f"{self.host}:{self.port}",
                    "readinessListen": f"{self.host}:{self.ready_port}", "metricsListen": f"{self.host}:{metrics}",
                    "peerListen": f"{self.host}:{peer}", "store": store, "storePartitions": 12,
                    "retries": {"ratio": 0.2, "extra": 56, "windowSeconds": 10}, "stopWithinSeconds": grace_s,
                    "dutyLeaseMs": lease_ms, "shortestMembershipMs": 1000, "memoryMb": memory_mb,
                    "expectedDemand": {"prefillMs": 100, "decodeMs": 450}}
        self.path = os.path.join(folder, f"{name}.json")
        with open(self.path, "w") as file:
            json.dump(settings, file)

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.child = subprocess.Popen([str(PROGRAM)], cwd=ROOT, stdout=log, stderr=log,
                                          env={**environment, "PERIDOTGRADE_CONFIG": self.path})
        return self

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def is_ready(self, timeout=1):
        try:
            connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=timeout)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def send_signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def end(self):
        if self.is_running():
            self.child.send_signal(signal.SIGKILL)
        if self.child:
            self.child.wait()
        for holder in self.holders:
            holder.close()


def route(name, prefix, kind, service, timeout_ms, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeout_ms,
            "target_latency_ms": 1000, "priority": 1, "max_attempts": 1, **more}


def configuration(version, routes, kv_capacity=34035):
    engine = {"slots": 64, "kv_capacity": kv_capacity, "kv_token_bytes": 18432, "stride": 13, "kv_hold_s": 0.5,
              "stage_switch_s": 6.0, "hold_ms": 2000.0}
    return {"version": version, "routes": routes,
            "services": [{"name": MODEL, "health_path": "/healthz", "max_conns": 370, "engine": engine},
                         {"name": PLAIN, "health_path": "/healthz", "max_conns": 110}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def put_configuration(platform, value):
    platform.call(platform.store.put("keyed.op", "config", json.dumps(value)))


async def exchange(host, port, head, body=b""):
    """Sends a request on a new connection. Returns the status, the fields, the body and whether it is complete."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1)
    answer, status, fields = b"", None, {}
    try:
        writer.write(head + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:] if ":" in line}
        if "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                answer += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return status, fields, answer, True
        answer = await reader.readexactly(int(fields.get("content-length", 0)))
        return status, fields, answer, True
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return status, fields, answer, False
    finally:
        writer.close()
