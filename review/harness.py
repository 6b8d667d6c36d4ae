"""Starts the gateway as the deploy file does, beside stand-ins of the users' platform, for the cases of this review.

The store and the backend servers are the project's own stand-ins (testsuite/support/fake_platform.py) or subclasses of
them. The gateway is the program of the deploy file's `run` line, with a settings file made from its template.
"""
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
sys.path.insert(0, os.path.join(ROOT, "testsuite"))

from support import fake_platform  # noqa: E402
from support.run_address import run_address  # noqa: E402

HOST = fake_platform.HOST

# Bounds of kwla-lent, as its sheet states them.
FIELDS = {
    "bounds": {"retry_budget_ratio": 0.2, "budget_extra": 52, "budget_window_s": 10, "grace_s": 8, "lease_ms": 3000},
    "limits": {"memory_mb": 110},
    "zone": "north",
}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# All processes of the case.
CHILDREN = []


def render(template, fields):
    """The placeholders that deploy/gateway.json.in uses: {{a.b}} and {{a.b|json}}."""
    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for name in path.split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found) if form == "json" else str(found)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


def hold_port(host):
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, 0))
    return holder


class Gateway:
    """One process of the role `entry`."""

    def __init__(self, folder, name, store):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        self.command = role["run"].split()
        self.host = run_address()
        self.holders = [hold_port(self.host) for _ in range(4)]
        self.port, self.ready_port, metrics, peer = [each.getsockname()[1] for each in self.holders]
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        # The template has the port of the metrics as a number; here each case needs a free one.
        template = template.replace("9464", str(metrics))
        settings = render(template, FIELDS | {
            "node_name": name, "ip": self.host, "port_range": [peer, peer],
            "listen": {"front": f"{self.host}:{self.port}", "ready": f"{self.host}:{self.ready_port}"},
            "platform": {"addr": store, "parts": 12, "ttl_min_ms": 1000}})
        self.settings = os.path.join(folder, f"{name}.json")
        with open(self.settings, "w") as file:
            file.write(settings)
        self.log_path = os.path.join(folder, f"{name}.log")
        self.child = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                          env=environment | {"PERIDOTGRADE_CONFIG": self.settings})
        CHILDREN.append(self.child)
        return self

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=1)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > until:
                raise RuntimeError(f"{self.settings}: the gateway is not ready")
            time.sleep(0.05)
        return self

    def kill(self):
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()

    def end(self):
        if self.child and self.child.poll() is None:
            self.kill()
        for holder in self.holders:
            holder.close()


class Answer:
    def __init__(self, attempt, path, sent_at):
        self.attempt, self.path, self.sent_at = attempt, path, sent_at
        self.status, self.headers, self.body, self.is_whole, self.ended_at = None, {}, b"", False, None

    def events(self):
        return self.body.count(b"\n\n")


class Requester:
    """A sound requester: one request at a time on a kept channel, as PROTOCOL.md says."""

    def __init__(self, platform, gateway):
        self.platform, self.gateway, self.connection = platform, gateway, None

    def send(self, path, method="POST", body=b"{}", deadline_s=14.0, tokens="3200,160", hint=67, parts="5c1e:200,91bd:3000"):
        attempt = uuid.uuid4().hex[:16]
        answer = Answer(attempt, path, time.monotonic())
        self.platform.note_sent(answer, method, body, deadline_s)
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(deadline_s * 1000))}
        if path.startswith(("/text/", "/resume/")):
            headers |= {"X-Model": "m", "X-Token-Counts": tokens, "X-Length-Hint": str(hint), "X-Prompt-Prefix": parts}
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(self.gateway.host, self.gateway.port, timeout=deadline_s + 2)
            self.connection.request(method, path, body, headers)
            reply = self.connection.getresponse()
            answer.status, answer.headers = reply.status, dict(reply.getheaders())
            answer.body = reply.read()
            answer.is_whole = True
            if reply.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as problem:
            if isinstance(problem, http.client.IncompleteRead):
                answer.body = problem.partial
            self.close()
        answer.ended_at = time.monotonic()
        return answer

    def close(self):
        if self.connection:
            self.connection.close()
            self.connection = None


class Arrivals:
    """Requests that arrive on their own, whatever became of those before: `rate()` a second, each on a new channel."""

    def __init__(self, send, rate, seed=3):
        self.send, self.rate, self.chance = send, rate, random.Random(seed)
        self.answers, self.stopping, self.threads = [], threading.Event(), []
        self.driver = threading.Thread(target=self._run, daemon=True)
        self.driver.start()

    def _run(self):
        due, number = time.monotonic(), 0
        while not self.stopping.is_set():
            due += self.chance.expovariate(self.rate())
            time.sleep(max(0, due - time.monotonic()))
            number += 1
            thread = threading.Thread(target=lambda each=number: self.answers.append(self.send(each)), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self):
        self.stopping.set()
        self.driver.join()
        for thread in self.threads:
            thread.join(20)


class Platform(fake_platform.FakePlatform):
    """The project's stand-in; what its own checks report is kept for the record only."""

    def note_sent(self, answer, method, body, deadline_s):
        sent = type("Sent", (), {})()
        sent.message, sent.deadline_s, sent.sent_at = (method, answer.path, body), deadline_s, answer.sent_at
        sent.is_repeatable = answer.path.startswith(("/read/", "/resume/"))
        sent.stream, sent.authorization = answer.attempt, None
        self.sent[answer.attempt] = sent


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text, at=None):
        with self.lock:
            self.file.write(f"{(at or time.monotonic()) - self.began:9.3f} {text}\n")
            self.file.flush()


def run_case(folder, body, limit_s=115):
    """Runs `body(folder of logs, record)`, which returns the breaches of the rule. Exits with 1 if there are any, 0 if
    there are none, and 2 if the case could not run."""
    record = Record(folder)

    def end(status):
        for child in CHILDREN:
            if child.poll() is None:
                child.kill()
        sys.stdout.flush()
        os._exit(status)

    def give_up():
        record.write("could not run: out of time")
        end(2)
    timer = threading.Timer(limit_s, give_up)
    timer.daemon = True
    timer.start()
    try:
        with tempfile.TemporaryDirectory() as logs:
            breaches = body(logs, record)
    except BaseException as problem:  # noqa: B902
        record.write(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        end(2)
    for breach in breaches:
        record.write("BREACH " + breach)
    print(f"{'trouble' if TROUBLE else 'no trouble'}: {len(breaches)} breaches" + "".join("\n  " + each for each in breaches[:5]))
    end(1 if breaches else 0)
