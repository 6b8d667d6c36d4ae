"""Callers that send large bodies slowly and read answers and streams slowly: the memory of an entry stays below its
limit, small requests beside are served in time, what finds no memory gets 503 with Retry-After before its body is read,
and slow but steady readers get whole answers. A caller that reads nothing is ended."""
import contextlib
import json
import pathlib
import select
import socket
import sys
import tempfile
import threading
import time
import uuid

from support.fake_platform import HOST, MODEL_SERVICE, PLAIN_SERVICE
from support.gateway import Caller, platform_site
from support.process import Process

SUPPORT = pathlib.Path(__file__).parents[1] / "support"
MEMORY_MB = 88
CALLERS = 60
BODY_BYTES = 4_000_000
SEND_S = 5.0
LARGE_BYTES = 3_500_000
LARGE_READERS = 40
STREAM_READERS = 60
READ_S = 4.0
MAX_SMALL_S = 0.6
# The time limit of the streams' route and the entry's time without progress, and some for the machine.
MAX_UNREAD_S = 20


def register(platform, name, port, service, role=None):
    record = {"service": service, "addr": f"127.0.0.1:{port}", "zone": "north", "version": "v1", "slots": 64,
              "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000}
    platform.call(platform.store.put("keyed.servers", name, json.dumps(record | ({"stage": role} if role else {}))))


@contextlib.contextmanager
def own_servers(platform):
    """A plain server with large answers, and a decode engine whose streams never end."""
    with tempfile.TemporaryDirectory() as folder:
        large = Process(sys.executable, [SUPPORT / "large_answer_server.py"], folder, "large").start()
        endless = Process(sys.executable, [SUPPORT / "endless_server.py", "events", "run"], folder, "endless").start()
        try:
            register(platform, "i-large", large.ports["port"], PLAIN_SERVICE)
            register(platform, "i-endless", endless.ports["port"], MODEL_SERVICE, "decode")
            platform.call(platform.configure(2, ["large"]))
            time.sleep(2)
            yield
        finally:
            for server in (large, endless):
                server.end()


class Beside:
    """Sends small requests and watches the memory of the entry while it is entered."""

    def __init__(self, platform, gateway, what):
        self.platform, self.gateway, self.what = platform, gateway, what
        self.is_over, self.small, self.most = threading.Event(), [], 0

    def __enter__(self):
        self.threads = [threading.Thread(target=self._send), threading.Thread(target=self._watch)]
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, failure, *_):
        self.is_over.set()
        for thread in self.threads:
            thread.join()
        slowest = max(took for took, _ in self.small)
        print(f"{self.what}: {self.most:.0f} MB at most, {len(self.small)} small requests took {slowest:.2f} s at most")
        if not failure:
            assert self.most < MEMORY_MB, f"{self.what}: the entry took {self.most:.0f} MB"
            assert slowest < MAX_SMALL_S, f"{self.what}: a small request took {slowest:.2f} s"
            assert all(status == 200 for _, status in self.small), [s for _, s in self.small if s != 200]

    def _send(self):
        caller = Caller(self.platform, self.gateway)
        while not self.is_over.is_set():
            began = time.monotonic()
            answer = caller.send("/act/small")
            self.small.append((time.monotonic() - began, answer.status))
            time.sleep(0.05)

    def _watch(self):
        while not self.is_over.is_set():
            self.most = max(self.most, self.gateway.memory_mb())
            time.sleep(0.01)


def connect(gateway, receive_buffer=None):
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(30)
    connection.connect((gateway.host, gateway.port))
    return connection


def head_of(method, path, *fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {uuid.uuid4().hex[:16]}",
             "X-Deadline-Ms: 8000", *fields]
    return "".join(line + "\r\n" for line in lines).encode() + b"\r\n"


def read_to_end(connection):
    received = b""
    with contextlib.suppress(OSError):
        while part := connection.recv(65536):
            received += part
    return received


def send_slowly(gateway, index, answers):
    """Every second caller sends all of its body whatever is answered meanwhile, every fifth one in chunks."""
    connection, part = connect(gateway), b"x" * (BODY_BYTES // 100)
    is_chunked = index % 5 == 0
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {BODY_BYTES}"
    sent = 0
    try:
        connection.sendall(head_of("POST", "/act/x", framing, "Connection: close"))
        for _ in range(100):
            if index % 2 and select.select([connection], [], [], 0)[0]:
                break
            connection.sendall(b"%x\r\n%s\r\n" % (len(part), part) if is_chunked else part)
            sent += len(part)
            time.sleep(SEND_S / 100)
        if is_chunked and sent == BODY_BYTES:
            connection.sendall(b"0\r\n\r\n")
    except OSError:
        pass
    answers.append((index, sent, read_to_end(connection)))
    connection.close()


def check_bodies(platform, gateway):
    answers = []
    with Beside(platform, gateway, "bodies"):
        threads = [threading.Thread(target=send_slowly, args=(gateway, i, answers)) for i in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    served = [a for a in answers if a[2].startswith(b"HTTP/1.1 200")]
    refused = [a for a in answers if a[2].startswith(b"HTTP/1.1 503") and b"\r\nRetry-After: " in a[2]]
    print(f"bodies: {len(served)} served, {len(refused)} refused")
    assert len(served) + len(refused) == CALLERS, [(i, sent, text[:60]) for i, sent, text in answers
                                                   if (i, sent, text) not in served + refused]
    assert served and refused
    early = [sent for index, sent, _ in refused if index % 2 and index % 5]
    assert max(early) < BODY_BYTES / 4, f"{max(early)} bytes were sent before the refusal"


def read_slowly(gateway, answers):
    connection = connect(gateway, 16384)
    connection.sendall(head_of("GET", "/large/x", "Connection: close"))
    received, until = bytearray(), time.monotonic() + 15
    with contextlib.suppress(OSError):
        while time.monotonic() < until and (part := connection.recv(16384)):
            received += part
            time.sleep(READ_S * len(part) / LARGE_BYTES)
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    if b"chunked" in head:
        is_whole = body.endswith(b"\r\n0\r\n\r\n") and len(body) > LARGE_BYTES
    else:
        is_whole = len(body) == LARGE_BYTES
    answers.append((head[:12], is_whole, b"chunked" in head))
    connection.close()


def check_answers(platform, gateway):
    answers = []
    with Beside(platform, gateway, "answers"):
        threads = [threading.Thread(target=read_slowly, args=(gateway, answers)) for _ in range(LARGE_READERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    print(f"answers: {sum(c for _, _, c in answers)} of {len(answers)} were passed on as they arrived")
    bad = [answer for answer in answers if answer[0] != b"HTTP/1.1 200" or not answer[1]]
    assert not bad, (len(bad), bad[:3], trace_of_failures(gateway))


def trace_of_failures(gateway):
    """The log lines of requests that were not answered."""
    ended = [line for line in gateway.log_lines("request_ended") if "outcome=answered" not in line]
    requests = [part for line in ended[-3:] for part in line.split() if part.startswith("request=")]
    with open(gateway.log_path, errors="replace") as log:
        return [line.strip() for line in log if any(request in line for request in requests)]


def open_stream(gateway):
    connection = connect(gateway, 16384)
    connection.sendall(head_of("POST", "/text/x", "X-Model: m", "X-Token-Counts: 30,100", "X-Prompt-Prefix: 5c1e:30",
                               "Content-Length: 0"))
    return connection


def check_streams(platform, gateway):
    """Every second reader reads a little now and then, the others nothing. All begin, and all end."""
    with Beside(platform, gateway, "streams"):
        connections = [open_stream(gateway) for _ in range(STREAM_READERS)]
        until, received = time.monotonic() + READ_S, [b""] * STREAM_READERS
        while time.monotonic() < until:
            for index in range(0, STREAM_READERS, 2):
                if select.select([connections[index]], [], [], 0)[0]:
                    received[index] += connections[index].recv(512)
            time.sleep(0.05)
    begun = [text for text in received[::2] if text.startswith(b"HTTP/1.1 200")]
    assert len(begun) > STREAM_READERS / 4, [text[:60] for text in received[::2]]
    until = time.monotonic() + MAX_UNREAD_S
    while time.monotonic() < until and metric(gateway, 'outcomes_total{outcome="answered"}') is not None:
        if ended_streams(gateway) >= len(begun):
            break
        time.sleep(0.2)
    assert ended_streams(gateway) >= len(begun), "streams whose callers read nothing were not ended"
    for connection in connections:
        connection.close()


def ended_streams(gateway):
    return (metric(gateway, 'outcomes_total{outcome="broken_off"}') or 0) + \
        (metric(gateway, 'outcomes_total{outcome="caller_gone"}') or 0)


def metric(gateway, name):
    for line in gateway.metrics().splitlines():
        if line.startswith(f"peridot_gateway_{name} "):
            return float(line.split()[-1])
    return None


def run(build):
    options = {"prefills": 2, "decodes": 0, "plain_servers": 0, "memory_mb": MEMORY_MB}
    with platform_site(build, **options) as (platform, (gateway,)):
        with own_servers(platform):
            print(f"at rest: {gateway.memory_mb():.0f} MB")
            for check in (check_bodies, check_answers, check_streams):
                check(platform, gateway)
            for kind in ("request", "answer"):
                held = metric(gateway, 'body_bytes{kind="%s"}' % kind)
                assert held == 0, f"{held} bytes of {kind} bodies are still held"
