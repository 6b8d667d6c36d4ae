"""Backend servers that are a process each, so that the kernel ends their connections and not the code of the stand-in.

Run as a program it is one decode engine or plain server, which registers itself in the store and obeys lines of JSON on
standard input. Imported it has `ServerProcess`, the handle of such a program.

A line of input sets what it names: `framing` (length, chunked or connection), `events` and `event_s` of a stream,
`status_delay_s` before any answer other than a run's, `fails` (its runs are answered 500). `leave`: it reports that it
drains, serves for that many seconds and exits. `end_connections`: it closes all its connections at once, and exits that
many seconds later. `leave_after_answers`: it reports that it drains, serves for 1.5 s and until its last answer has ended, and exits
that many seconds later. `end_idle_first`: it closes its idle connections, those with a running answer 0.12 s later, and exits that
many seconds later. `end_one_by_one`: it closes its connections so many seconds apart, the idle ones last, and exits 0.3 s
later. `reset_idle`: it resets its idle connections, closes the others, and exits that many seconds later. `stop_listening`: it closes its listener, its running
answers 0.8 s later, and exits that many seconds after that; idle connections go on. `end_after_head`: with its next answer it
sends the first part, is busy for so long, closes all connections and exits 1.5 s later. `drain_and_end`: it reports that it drains, closes its connections so many seconds later, and exits 1.5 s after that.
`idle_s`: it closes connections that were idle for so long. `closes_status`: it closes the connection after each status
answer, and says so; with "draining" only while it drains. `ends_before_limit_s`: it ends an answer so long before the time
limit of its request. `answers_unread`: it answers a request before it reads the body. `status`: the status of its answers to runs, as text. `ends_after`: it closes the connection of an answer after so many parts, in an orderly way.
`reads_before_reset`: before it resets a connection it reads the rest of the request. `resets_after`: it resets the connection of an
answer after so many parts, and goes on serving. `unlist`: its record is deleted from the store, and it writes no other one.
Lines of output: `address`, `run`, `end`, `status`.

Its software has a `version`. With `is_tagged` each event ends with that version. Its first record follows `listed_after_s` after it
began to serve. With `is_born_stated` its reports state its start.
"""
import asyncio
import json
import os
import pathlib
import re
import signal
import struct
import subprocess
import sys
import threading
import time

if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from support import fake_platform  # noqa: E402
from support.run_address import run_address  # noqa: E402

# Parts in which a plain server writes its answer.
PLAIN_PARTS = 10


def event_of(attempt, index, tag=""):
    return b"id: %d\ndata: %s %d%s\n\n" % (index, attempt.encode(), index, f" {tag}".encode() if tag else b"")


def without_tags(events):
    return re.sub(rb"(?m)^(data: \S+ \d+) \S*$", rb"\1", events)


def plain_body(attempt):
    return json.dumps({"attempt": attempt, "text": "x" * 600}).encode()


class Server:
    def __init__(self, options):
        self.store, self.name, self.zone = options["store"], options["name"], options["zone"]
        self.service, self.stage = options["service"], options["stage"]
        self.version, self.tag = options["version"], options["version"] if options["is_tagged"] else ""
        self.listed_after_s, self.is_born_stated = options["listed_after_s"], options["is_born_stated"]
        self.wanted_address = options.get("address")
        self.born, self.sequence, self.state, self.is_listed = int(time.time() * 1000), 0, "ready", True
        self.framing, self.events, self.event_s = "chunked", 60, 0.05
        self.status_delay_s, self.fails = 0, False
        self.idle_s, self.closes_status, self.ends_before_limit_s, self.end_after_head = 60, None, None, None
        self.answers_unread, self.resets_after, self.ends_after, self.reads_before_reset = False, None, None, False
        self.status = None
        self.writers, self.busy = set(), set()

    def say(self, *words):
        print(*words, flush=True)

    async def write_record(self, value):
        """Returns whether the store has taken it; it may be away."""
        try:
            return b" 200 " in await asyncio.wait_for(self.append_record(value), 1)
        except (OSError, asyncio.TimeoutError):
            return False

    async def append_record(self, value):
        content = bytes([len(self.name)]) + self.name.encode() + value
        body = struct.pack(">I", len(content)) + content
        host, _, port = self.store.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /api/log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n\r\n"
                     % len(body) + body)
        status = await reader.readline()
        writer.close()
        return status

    async def report(self):
        self.sequence += 1
        record = {"service": self.service, "addr": self.address, "zone": self.zone, "version": self.version, "slots": 64,
                  "state": self.state, "cold_left_ms": 0, "seq": self.sequence, "born": self.born}
        if self.stage:
            record["stage"] = self.stage
        await self.write_record(json.dumps(record).encode())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await asyncio.wait_for(fake_platform.read_head(reader), self.idle_s)
                if not self.answers_unread:
                    request.body = await fake_platform.read_body(reader, request.headers)
                if not await self.answer(request, writer, reader):
                    return
                if self.answers_unread:
                    await fake_platform.read_body(reader, request.headers)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.busy.discard(writer)
            writer.close()

    async def answer(self, request, writer, reader):
        """Returns whether the connection goes on."""
        expected, attempt = request.headers.get("x-expect-instance"), request.headers.get("x-attempt-id")
        identity = {"X-Instance-Id": self.name}
        if request.path.startswith("/api/hold-take"):
            writer.write(fake_platform.json_response({"hold": os.urandom(6).hex()}))
        elif expected and expected != self.name:
            writer.write(fake_platform.response(421, headers=identity))
        elif attempt is None:
            self.say("status", request.path)
            await asyncio.sleep(self.status_delay_s)
            status = 503 if request.path == "/healthz" and self.state != "ready" else 200
            report = {"stage": self.stage, "models": [], "busy": False, "seq": 0, "queued": 0, "active": 0, "kv_used": 0,
                      "kv_total": 33279, "kv_handles": 0}
            if self.is_born_stated:
                report["born"] = self.born
            body = b"" if request.path == "/healthz" else json.dumps(report).encode()
            is_last = self.closes_status in ("always", self.state)
            closing = {"Connection": "close"} if is_last else {}
            writer.write(fake_platform.response(status, body, {"Content-Type": "application/json", **closing, **identity}))
            return not is_last
        else:
            return await self.run(request, attempt, writer, identity, reader)
        return True

    async def run(self, request, attempt, writer, identity, reader):
        if self.stage:
            first = int(request.headers.get("last-event-id", 0)) + 1
            parts = [event_of(attempt, index, self.tag) for index in range(first, self.events + 1)]
            kind, gap = "text/event-stream", self.event_s
        else:
            body = plain_body(attempt)
            size = -(-len(body) // PLAIN_PARTS)
            parts = [body[at:at + size] for at in range(0, len(body), size)]
            kind, gap = "application/json", self.event_s
        framing = self.framing
        self.busy.add(writer)
        self.say("run", attempt, framing, request.headers.get("last-event-id", "-"))
        headers = {"Content-Type": kind, "X-Attempt-Id": attempt, "X-Server-Seal": f"seal-{attempt}", **identity}
        if framing == "length":
            headers["Content-Length"] = sum(map(len, parts))
        writer.write(fake_platform.response(self.status or (500 if self.fails else 200), headers=headers,
                                            framing="connection" if framing == "length" else framing))
        await writer.drain()
        ends_at = None
        if self.ends_before_limit_s is not None:
            ends_at = time.monotonic() + int(request.headers["x-deadline-ms"]) / 1000 - self.ends_before_limit_s
        if self.end_after_head is not None:
            await self.write_part_and_end(parts[0], writer)
        for number, part in enumerate(parts):
            if number == self.resets_after:
                if self.reads_before_reset:
                    await fake_platform.read_body(reader, request.headers)
                fake_platform.reset(writer)
                return False
            if number == self.ends_after:
                return False
            if ends_at and time.monotonic() + gap >= ends_at:
                await asyncio.sleep(ends_at - time.monotonic())
                return False
            await asyncio.sleep(gap)
            writer.write(b"%x\r\n%s\r\n" % (len(part), part) if framing == "chunked" else part)
            await writer.drain()
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
        self.say("end", attempt)
        self.busy.discard(writer)
        return framing != "connection"

    async def leave_after_answers(self, exit_after_s):
        self.state = "draining"
        await self.report()
        await asyncio.sleep(1.5)
        while self.busy:
            await asyncio.sleep(0.002)
        await asyncio.sleep(exit_after_s)
        os._exit(0)

    async def end_idle_first(self, exit_after_s):
        for writer in self.writers - self.busy:
            writer.close()
        await asyncio.sleep(0.12)
        for writer in list(self.busy):
            writer.close()
        await asyncio.sleep(exit_after_s)
        os._exit(0)

    async def end_one_by_one(self, gap_s):
        for writer in [*self.busy, *(self.writers - self.busy)]:
            writer.close()
            await asyncio.sleep(gap_s)
        await asyncio.sleep(0.3)
        os._exit(0)

    async def reset_idle(self, exit_after_s):
        for writer in self.writers - self.busy:
            fake_platform.reset(writer)
        for writer in list(self.busy):
            writer.close()
        await asyncio.sleep(exit_after_s)
        os._exit(0)

    async def stop_listening(self, exit_after_s):
        self.listener.close()
        await asyncio.sleep(0.8)
        for writer in list(self.busy):
            writer.close()
        await asyncio.sleep(exit_after_s)
        os._exit(0)

    async def write_part_and_end(self, part, writer):
        writer.write(part)
        await writer.drain()
        # Meanwhile only the system accepts connections.
        time.sleep(self.end_after_head)
        for each in list(self.writers):
            each.close()
        await asyncio.sleep(1.5)
        os._exit(0)

    async def drain_and_end(self, seconds):
        self.state = "draining"
        await self.report()
        await asyncio.sleep(seconds)
        for writer in list(self.writers):
            writer.close()
        await asyncio.sleep(1.5)
        os._exit(0)

    async def obey(self, lines):
        while line := await lines.readline():
            for name, value in json.loads(line).items():
                if name == "leave":
                    self.state = "draining"
                    await self.report()
                    asyncio.get_event_loop().call_later(value, os._exit, 0)
                elif name == "end_connections":
                    for writer in list(self.writers):
                        writer.close()
                    asyncio.get_event_loop().call_later(value, os._exit, 0)
                elif name in ("leave_after_answers", "end_idle_first", "end_one_by_one", "reset_idle", "stop_listening", "drain_and_end"):
                    asyncio.ensure_future(getattr(self, name)(value))
                elif name == "unlist":
                    self.is_listed = False
                    while not await self.write_record(b""):
                        await asyncio.sleep(0.1)
                    self.say("unlisted")
                else:
                    setattr(self, name, value)
        os._exit(0)

    async def main(self):
        host, _, port = (self.wanted_address or f"{run_address()}:0").rpartition(":")
        self.listener = await asyncio.start_server(self.serve, host, int(port), backlog=512)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()
        lines = asyncio.StreamReader()
        await asyncio.get_event_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
        asyncio.ensure_future(self.obey(lines))
        if self.listed_after_s == 0:
            await self.report()
        self.say("address", self.address)
        await asyncio.sleep(self.listed_after_s)
        while True:
            await asyncio.sleep(0.5)
            if self.is_listed:
                await self.report()


class ServerProcess:
    """Handle of one server process. Runs are recorded in `platform` as those of its own servers are."""

    def __init__(self, platform, name, stage="decode", zone="north", address=None, version="v1", is_tagged=False,
                 listed_after_s=0, is_born_stated=True, **settings):
        self.platform, self.name, self.stage, self.version = platform, name, stage, version
        service = fake_platform.MODEL_SERVICE if stage else fake_platform.PLAIN_SERVICE
        options = {"store": platform.store.address, "name": name, "zone": zone, "service": service, "stage": stage,
                   "version": version, "is_tagged": is_tagged, "listed_after_s": listed_after_s, "is_born_stated": is_born_stated}
        if address:
            options["address"] = address
        self.child = subprocess.Popen([sys.executable, __file__, json.dumps(options)], stdin=subprocess.PIPE,
                                      stdout=subprocess.PIPE, text=True)
        # Attempts whose answer has begun and has not ended, and all lines with their times.
        self.running, self.lines = {}, []
        self.is_listening = threading.Event()
        self.is_unlisted = threading.Event()
        self.order(**settings)
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.child.stdout:
            self.lines.append((time.monotonic(), line.strip()))
            word, *rest = line.split()
            if word == "address":
                self.address = rest[0]
                self.is_listening.set()
            elif word == "unlisted":
                self.is_unlisted.set()
            elif word == "run":
                self.running[rest[0]] = rest[1]
                self._note_run(rest[0])
            elif word == "end":
                self.running.pop(rest[0], None)

    def _note_run(self, attempt):
        sent = self.platform.sent.get(attempt)
        self.platform.runs[attempt] += 1
        self.platform.run_versions[attempt].add(self.version)
        self.platform.run_history[attempt].append((time.monotonic(), self.name))
        if sent is None or (self.platform.runs[attempt] > 1 and not sent.is_repeatable):
            self.platform.report_violation(f"{self.name} ran {attempt} for the {self.platform.runs[attempt]}. time")

    def wait_listening(self):
        assert self.is_listening.wait(20), f"{self.name} does not listen"
        return self

    def order(self, **values):
        if values:
            self.child.stdin.write(json.dumps(values) + "\n")
            self.child.stdin.flush()

    def send_signal(self, number):
        self.child.send_signal(number)

    def freeze(self):
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.send_signal(signal.SIGCONT)

    def kill(self):
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()

    def end(self):
        if self.child.poll() is None:
            self.thaw()
            self.kill()
        self.child.stdin.close()


if __name__ == "__main__":
    asyncio.run(Server(json.loads(sys.argv[1])).main())
