"""Fronts are stopped and started in turn beside callers that keep their connections.

Three fronts, 360 callers. Each caller keeps one connection and sends an action (not idempotent), waits 0.45 s and sends the
next one. Eight more callers read streams of some five seconds, as the traffic of that site has them. It opens a new connection, to a front that is ready, when its own has been closed. Each of a caller's
requests, and the end of each of its connections, loses its packet with the share that the site file of zelenica-hq
states (0.0015); the packet comes again 0.21 s later.

Rule LOST, around a SIGTERM: a process has read a whole request, and the channel ends without an answer later than
200 ms after the request's last byte was sent. A process that has not read all bytes of a channel resets it when it
closes; an orderly end with no byte of an answer shows that the request was read.
"""
import asyncio
import json
import pathlib
import random
import sys
import tempfile
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_2 as harness  # noqa: E402
from support.fake_platform import HOST, FakePlatform  # noqa: E402
from support.gateway import SentRequest  # noqa: E402

FRONTS, CALLERS, STREAM_CALLERS = 3, 360, 8
THINK_S = 0.45
LOSS, RETRANSMISSION_S = 0.0015, 0.21
SLACK_S = harness.BOUNDS["loss_slack_ms"] / 1000
GRACE_S = harness.BOUNDS["grace_s"]
RUN_S = 95
GAP_S = 1.0
SEED = 54


class Site:
    def __init__(self, platform, fronts, record):
        self.platform, self.fronts, self.record = platform, fronts, record
        self.rotation = {front: 0 for front in fronts}
        self.random = random.Random(SEED)
        self.until = time.monotonic() + RUN_S
        self.counts = {"sent": 0, "answered": 0, "refused": 0, "crossed": 0, "read_and_dropped": 0, "failed": 0}
        self.violations = []

    def delay(self):
        return RETRANSMISSION_S if self.random.random() < LOSS else 0

    def choose(self):
        """As the platform does: fronts without two misses in a row, all of them if these are fewer than half."""
        ready = [front for front, misses in self.rotation.items() if misses < 2]
        return self.random.choice(ready if len(ready) * 2 >= len(self.fronts) else self.fronts)

    async def watch(self, front):
        while time.monotonic() < self.until:
            is_ready = await asyncio.to_thread(front.is_ready, 1.0)
            self.rotation[front] = 0 if is_ready else self.rotation[front] + 1
            await asyncio.sleep(1.0)

    async def stop_in_turn(self):
        """roll_term: one front each second, each starts again once it has ended."""
        async def cycle(front):
            front.terminate()
            self.record.write(f"{front.name} gets SIGTERM")
            while front.is_running() and time.monotonic() < front.stopped_at + GRACE_S:
                await asyncio.sleep(0.05)
            ended = "ended by itself" if not front.is_running() else "is killed"
            if front.is_running():
                front.child.kill()
            await asyncio.to_thread(front.child.wait)
            self.record.write(f"{front.name} {ended}")
            await asyncio.sleep(0.3)
            front.start()
        await asyncio.sleep(3)
        while time.monotonic() < self.until - 12:
            cycles = []
            for front in self.fronts:
                cycles.append(asyncio.ensure_future(cycle(front)))
                await asyncio.sleep(GAP_S)
            await asyncio.gather(*cycles)
            await asyncio.sleep(3)

    async def caller(self):
        reader = writer = front = None
        await asyncio.sleep(self.random.random() * THINK_S)
        while time.monotonic() < self.until - 3:
            if writer is None or reader.at_eof():
                if writer:
                    writer.close()
                front = self.choose()
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(front.host, front.port), 1)
                except (OSError, asyncio.TimeoutError):
                    writer = None
                    await asyncio.sleep(0.1)
                    continue
            if not await self.act(front, reader, writer):
                writer.close()
                writer = None
            await asyncio.sleep(THINK_S)
        if writer:
            writer.close()

    async def stream_caller(self):
        """Each stream has a connection of its own."""
        while time.monotonic() < self.until - 8:
            front, attempt, sent_at = self.choose(), uuid.uuid4().hex[:16], time.monotonic()
            self.platform.sent[attempt] = SentRequest(("POST", "/text/a", b"{}"), False, 8.0, attempt)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(front.host, front.port), 1)
                writer.write((f"POST /text/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 8000\r\n"
                              "X-Model: m\r\nX-Token-Counts: 1000,500\r\nX-Length-Hint: 450\r\nX-Prompt-Prefix: 5c1e:200,91bd:800\r\n"
                              "Connection: close\r\nContent-Length: 2\r\n\r\n{}").encode())
                answer = await asyncio.wait_for(reader.read(), 10)
                self.record.write(f"{front.name}: stream {attempt} -> {answer[9:12].decode()}, {answer.count(b'data: ')} events, runs: "
                                  f"{self.platform.runs[attempt]}", sent_at)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.5)

    async def act(self, front, reader, writer):
        """Sends one action. Returns whether the connection can carry another one."""
        attempt, body = uuid.uuid4().hex[:16], b"{}"
        self.platform.sent[attempt] = SentRequest(("POST", "/act/a", body), False, 2.0, attempt)
        self.counts["sent"] += 1
        sent_at = time.monotonic()
        lost = self.delay()
        if lost:
            await asyncio.sleep(lost)
            if reader.at_eof():
                self.counts["crossed"] += 1
                self.record.write(f"{front.name}: {attempt} -> the channel had ended before it arrived", sent_at)
                return False
        try:
            writer.write((f"POST /act/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 2000\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
        except asyncio.IncompleteReadError as end:
            self.note_end(front, attempt, sent_at, lost, end.partial)
            return False
        except (OSError, asyncio.TimeoutError) as end:
            self.counts["crossed"] += 1
            self.record.write(f"{front.name}: {attempt} -> {type(end).__name__}, runs: {self.platform.runs[attempt]}", sent_at)
            return False
        lines = head.decode("latin-1").lower()
        size = int(lines.split("content-length:")[1].split("\r\n")[0])
        status = int(head.split()[1])
        await reader.readexactly(size)
        self.counts["answered" if status == 200 else "refused" if status in (429, 503) else "failed"] += 1
        self.record.write(f"{front.name}: {attempt} -> {status}, runs: {self.platform.runs[attempt]}", sent_at)
        return "connection: close" not in lines

    def note_end(self, front, attempt, sent_at, lost, partial):
        delay = self.delay()
        took = time.monotonic() + delay - sent_at
        self.counts["read_and_dropped"] += 1
        after = f"{sent_at - front.stopped_at:.3f} s after SIGTERM" if front.stopped_at else "without any SIGTERM"
        is_counted = took > SLACK_S and not partial
        packet = "request" if lost else "end" if delay else "none"
        self.record.write(f"{front.name}: {attempt} sent {after}, channel closed with no answer {took * 1000:.0f} ms"
                          f" after it was sent, packet lost: {packet}, runs: {self.platform.runs[attempt]}"
                          f"{' <- breaks LOST' if is_counted else ''}", sent_at)
        if is_counted:
            self.violations.append(attempt)

    async def play(self):
        tasks = [self.watch(front) for front in self.fronts] + [self.caller() for _ in range(CALLERS)]
        tasks += [self.stream_caller() for _ in range(STREAM_CALLERS)]
        if harness.TROUBLE:
            tasks.append(self.stop_in_turn())
        await asyncio.gather(*tasks)


def main():
    harness.check_built()
    record = harness.Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        platform, fronts = None, []
        try:
            platform = FakePlatform(prefills=2, decodes=3, plain_servers=3, events=450)
            fronts = [harness.Gateway(folder, number, platform.store.address) for number in range(FRONTS)]
            for front in fronts:
                front.start()
            for front in fronts:
                front.wait_ready()
            time.sleep(1.5)
            site = Site(platform, fronts, record)
            asyncio.run(site.play())
        finally:
            for front in fronts:
                front.end()
            if platform:
                platform.end()
    record.write("callers saw: " + json.dumps(site.counts))
    record.write(f"requests that a process read and left without an answer for more than 200 ms: {len(site.violations)}")
    if site.counts["answered"] < 1000:
        harness.could_not_run("hardly any request was answered")
    print(site.counts, "violations:", len(site.violations))
    return 1 if site.violations else 0


if __name__ == "__main__":
    harness.run(main)
