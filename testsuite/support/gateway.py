"""Gateway processes of a case, and clients that check the invariants of each answer."""
import contextlib
import http.client
import itertools
import json
import os
import re
import socket
import tempfile
import time
import uuid

from support.fake_platform import HOST, FakePlatform
from support.process import Process
from support.run_address import run_address
from support.server_process import without_tags


CALLER_ADDRESSES = (f"127.1.{number // 250 % 250}.{number % 250 + 1}" for number in itertools.count())


def hold_port():
    """A socket that is bound to a free port and does not listen: a program that reuses addresses can listen there, and
    nobody else gets the port before or while that program restarts."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((run_address(), 0))
    return holder


class Gateway(Process):
    def __init__(self, build, folder, name, store_address, stop_within=6, retries=None, memory_mb=None,
                 has_peers=False):
        self.host = run_address()
        self.held_ports = [hold_port() for _ in range(3)]
        self.port, self.ready_port, self.metrics_port = [holder.getsockname()[1] for holder in self.held_ports]
        settings = {"nodeName": name, "dataCentre": "north", "callersListen": f"{self.host}:{self.port}",
                    "readinessListen": f"{self.host}:{self.ready_port}",
                    "metricsListen": f"{self.host}:{self.metrics_port}", "store": store_address, "storePartitions": 12,
                    "retries": {"windowSeconds": 10, **(retries or {"ratio": 0.2, "extra": 52})},
                    "stopWithinSeconds": stop_within,
                    "dutyLeaseMs": 1000}
        if memory_mb:
            settings["memoryMb"] = memory_mb
        if has_peers:
            # Datagrams have ports of their own, so the number of the callers' port is free.
            settings["peerListen"] = f"{self.host}:{self.port}"
        self.settings_path = os.path.join(folder, f"{name}.json")
        with open(self.settings_path, "w") as file:
            json.dump(settings, file)
        super().__init__(build / "peridot-gateway", ["--settings", self.settings_path], folder, name)

    def start(self, seconds=20):
        import subprocess
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(self.command, stdout=log, stderr=log)
        return self

    def end(self):
        super().end()
        for holder in self.held_ports:
            holder.close()

    def wait_started(self, seconds=10):
        """Waits for the event `started`: from then on it listens."""
        until = time.monotonic() + seconds
        while not self.log_lines("started"):
            assert time.monotonic() < until, f"{self.name} has not started: {self.log_tail()}"
            time.sleep(0.02)
        return self

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=1)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return self
            time.sleep(0.05)
        raise AssertionError(f"{self.name} is not ready: {self.log_tail()}")

    def metrics(self):
        connection = http.client.HTTPConnection(self.host, self.metrics_port, timeout=2)
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()

    def memory_mb(self):
        """Resident memory."""
        with open(f"/proc/{self.child.pid}/status") as status:
            return int(status.read().split("VmRSS:")[1].split()[0]) / 1024

    def log_lines(self, event):
        with open(self.log_path, errors="replace") as log:
            return [line for line in log if f"event={event}" in line]


class SentRequest:
    def __init__(self, message, is_repeatable, deadline_s, stream, authorization=None):
        self.message, self.is_repeatable, self.deadline_s = message, is_repeatable, deadline_s
        self.authorization = authorization
        # The attempt that began the stream to which this one belongs.
        self.stream = stream
        self.sent_at = time.monotonic()


class Answer:
    def __init__(self, attempt, status=None, body=b"", is_whole=False, headers=None, first_event=1):
        self.attempt, self.status, self.body, self.is_whole = attempt, status, body, is_whole
        self.headers = headers or {}
        self.first_event = first_event

    @property
    def last_event(self):
        return self.first_event - 1 + self.events

    @property
    def events(self):
        return self.body.count(b"\n\n")

    @property
    def versions(self):
        """Software versions of the servers that sent its events, where these are tagged with them."""
        complete = self.body[:self.body.rfind(b"\n\n") + 2]
        return {version.decode() for version in re.findall(rb"(?m)^data: \S+ \d+ (\S+)$", complete)}


class Caller:
    """Sends requests to one gateway and checks the invariants of each answer."""

    def __init__(self, platform, gateway, address=None, receive_buffer=None):
        """Without an `address` it has one that no other caller of this process has. With `receive_buffer` the kernel keeps
        at most about that many bytes that were not read yet."""
        self.platform, self.gateway, self.address = platform, gateway, address or next(CALLER_ADDRESSES)
        self.receive_buffer = receive_buffer
        self.connection = None

    def close(self):
        if self.connection:
            self.connection.close()
            self.connection = None

    def send(self, path, method="POST", body=b"{}", deadline_s=8.0, tokens="3000,1760", hint=440,
             disconnect_after=None, resumed=None, parts="5c1e:200,91bd:2800", fields=None, pause_s=None, names_stream=True):
        """With `disconnect_after` it reads that many bytes only, with `pause_s` some at a time, that far apart. `resumed` is the incomplete answer of a stream that
        this request resumes, by its first attempt with `names_stream`. `parts` are those of the prompt. `fields` are further header fields."""
        attempt = uuid.uuid4().hex[:16]
        is_repeatable = path.startswith(("/read/", "/resume/"))
        stream = self.platform.sent[resumed.attempt].stream if resumed else attempt
        self.platform.sent[attempt] = SentRequest((method, path, body), is_repeatable, deadline_s, stream,
                                                   (fields or {}).get("Authorization"))
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(deadline_s * 1000))}
        if path.startswith(("/text/", "/resume/")):
            headers |= {"X-Model": "m", "X-Token-Counts": tokens, "X-Length-Hint": str(hint),
                        "X-Prompt-Prefix": parts}
        headers |= fields or {}
        answer = Answer(attempt, first_event=resumed.last_event + 1 if resumed else 1)
        if resumed:
            headers |= {"Last-Event-Id": str(resumed.last_event)} | ({"Resumes": stream} if names_stream else {})
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(self.gateway.host, self.gateway.port, timeout=deadline_s + 2,
                                                             source_address=(self.address, 0))
                if self.receive_buffer:
                    self.connection.connect()
                    self.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
            self.connection.request(method, path, body, headers)
            reply = self.connection.getresponse()
            answer.status, answer.headers = reply.status, dict(reply.getheaders())
            if disconnect_after is not None:
                answer.body = reply.read(disconnect_after)
                self.close()
                self._check_versions(answer)
                return answer
            while pause_s and (piece := reply.read1(256)):
                answer.body += piece
                time.sleep(pause_s)
            answer.body += reply.read()
            answer.is_whole = True
            if reply.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as problem:
            if isinstance(problem, http.client.IncompleteRead):
                answer.body += problem.partial
            self.close()
        self._check(answer, path)
        return answer

    def _check_versions(self, answer):
        """The events that a caller has of a stream, over all its attempts, are of one version."""
        versions = self.platform.caller_versions[self.platform.sent[answer.attempt].stream]
        before = set(versions)
        versions |= answer.versions
        if len(versions) > max(1, len(before)):
            self.platform.report_violation(f"{answer.attempt} got events of {sorted(answer.versions)}, after {answer.first_event - 1}"
                                           f" of {sorted(before) or 'none'}")

    def _check(self, answer, path):
        report = self.platform.report_violation
        self._check_versions(answer)
        attempt, ran = answer.attempt, self.platform.runs[answer.attempt]
        if answer.status == 200 and answer.headers.get("X-Server-Seal") != f"seal-{attempt}":
            report(f"{attempt} got a success without the X-Server-Seal of its server")
        if answer.status in (429, 503) and ran and not self.platform.sent[attempt].is_repeatable:
            report(f"{attempt} was told that it had not run, and ran")
        if answer.status == 200 and answer.is_whole and path.startswith(("/text/", "/resume/")):
            expected = b"".join(b"id: %d\ndata: %s %d\n\n" % (i, attempt.encode(), i)
                                for i in range(answer.first_event, self.platform.events + 1))
            # Comments between events are not part of them.
            if without_tags(re.sub(rb"(?m)^:[^\n]*\n\n", b"", answer.body)) != expected:
                report(f"{attempt} got a stream that is incomplete or of another request: {answer.events} events")
        if answer.status == 200 and answer.is_whole and path.startswith(("/act/", "/read/")):
            try:
                answered = json.loads(answer.body).get("attempt")
            except ValueError:
                report(f"{attempt} got a plain answer that is incomplete: {len(answer.body)} bytes")
                return
            if answered != attempt:
                report(f"{attempt} got the answer to another request")


@contextlib.contextmanager
def platform_site(build, gateways=1, stop_within=6, retries=None, memory_mb=None, has_peers=False, **options):
    """A fake platform with gateways that are ready. Stops everything at the end and fails on any violation."""
    with tempfile.TemporaryDirectory() as folder:
        platform = FakePlatform(**options)
        nodes = [Gateway(build, folder, f"gateway-{i + 1}", platform.store.address, stop_within, retries,
                         memory_mb, has_peers)
                 for i in range(gateways)]
        try:
            for node in nodes:
                node.start()
            for node in nodes:
                node.wait_ready()
            # Gateways poll the list of servers; after two intervals they know all of them.
            time.sleep(0.2)
            yield platform, nodes
        finally:
            for node in nodes:
                node.end()
            platform.end()
    assert not platform.violations, platform.violations
