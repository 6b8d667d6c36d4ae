"""Fakes of the users' platform (store, engines and plain servers), which run in the event loop of one thread.

They implement the part of the published protocol that a gateway uses, and record broken invariants in
`FakePlatform.violations`.
"""
import asyncio
import base64
import bisect
import collections
import contextlib
import json
import random
import socket
import struct
import threading
import time
import weakref

from support.run_address import run_address

HOST = "site.example"
# Keys of a page of a listing.
PAGE_KEYS = 500
MODEL_SERVICE = "reminders"
PLAIN_SERVICE = "care"


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        # The sender's address, the server that got it, and when.
        self.sender, self.server, self.arrived_at = None, None, None
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)

    def json(self):
        return json.loads(self.body)


async def read_head(reader):
    """A request whose body has not been read yet."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            name, value = name.strip().lower(), value.strip()
            # A field that occurs several times has all its values, as receivers may read it.
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return Request(method, target, headers, b"")


async def read_body(reader, headers):
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return body


async def read_request(reader):
    request = await read_head(reader)
    request.body = await read_body(reader, request.headers)
    return request


def response(status, body=b"", headers=None, framing="length"):
    """`framing` is length, chunked, or connection for a body that ends with the connection."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
    elif framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_response(value, headers=None):
    return response(200, json.dumps(value).encode(), {"Content-Type": "application/json", **(headers or {})})


def reset(writer):
    """Ends a connection with a reset; `abort` alone sends an orderly end if everything was read."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class ConnectionEnds(Exception):
    """Raised by a handler to close its connection in an orderly way."""


class HttpServer:
    """A listener that serves each connection one request at a time with `serve(request, writer, reader)`."""

    def __init__(self):
        self.server = None
        self.holder = None
        self.host = run_address()
        self.port = 0
        self.tasks = set()
        # Writers of the open connections, oldest first.
        self.writers = {}
        self.is_ending = False

    async def listen(self):
        self.is_ending = False
        if self.holder is None:
            # Keeps the port for this server while it is away.
            self.holder = socket.socket()
            self.holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.holder.bind((self.host, 0))
            self.port = self.holder.getsockname()[1]
        self.server = await asyncio.start_server(self._connection, self.host, self.port)

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def stop(self):
        """Ends as a process that is killed: nothing is sent any more, and the connections and the listener are closed one
        after the other, the newest first."""
        self.is_ending = True
        for task in list(self.tasks):
            task.cancel()
        for writer in reversed(list(self.writers)):
            writer.transport.abort()
            await asyncio.sleep(0)
        if self.server:
            self.server.close()

    async def _connection(self, reader, writer):
        if self.is_ending:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers[writer] = None
        try:
            while True:
                request = await read_request(reader)
                request.sender = writer.get_extra_info("peername")
                await self.serve(request, writer, reader)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError, RuntimeError,
                ConnectionEnds):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.pop(writer, None)
            with contextlib.suppress(Exception):
                writer.close()


class Store(HttpServer):
    """Compacted topics and consumer groups. `mode` is serving, silent, refusing or reset.

    `restore` brings the store back from an older copy: what was written since is gone, and the era rises.
    """

    PARTITIONS = 12

    def __init__(self, platform):
        super().__init__()
        self.platform = platform
        self.mode = "serving"
        # Topics of which calls get no answer.
        self.silent_topics = set()
        self.topics = collections.defaultdict(list)
        # Of each topic: era, records that are in it, and what `listing` returns.
        self.listings = {}
        self.changed = asyncio.Condition()
        self.members = {}
        self.generation = 0
        self.assignment = {}
        self.era = 1
        # Times at which the records of each topic were written.
        self.written = collections.defaultdict(list)
        # Offset of the oldest record of each topic that is still retained.
        self.first = collections.Counter()
        self.reads_of_owners = 0
        # Fields of the answers to reads and listings.
        self.fields = {}
        # Calls of entries and bytes of their answers to these, by topic.
        self.calls, self.sent_bytes = collections.Counter(), collections.Counter()

    def restore(self, age_s):
        """Loses what was written in the last `age_s` seconds. Calls that wait get no answer."""
        since = time.monotonic() - age_s
        for topic, records in self.topics.items():
            kept = sum(1 for at in self.written[topic] if at < since)
            del records[kept:], self.written[topic][kept:]
        self.generation = 0
        self.assignment = {}
        self.era += 1
        for writer in list(self.writers):
            writer.transport.abort()

    def answer_json(self, value):
        return json_response(value, {"Store-Era": str(self.era), **self.fields})

    async def put(self, topic, key, value):
        """Appends a record of a keyed topic; without a value it deletes the key."""
        await self.append(topic, [bytes([len(key)]) + key.encode() + (value or "").encode()])

    async def append(self, topic, records):
        self.topics[topic] += records
        self.written[topic] += [time.monotonic()] * len(records)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, request, writer, reader):
        topic = request.query.get("topic", "")
        self.calls[topic if topic != "keyed.servers" or request.method == "GET" else "heartbeats"] += 1
        self.sent_bytes[topic] += len(request.body)
        if self.mode == "silent" or request.query.get("topic") in self.silent_topics:
            await asyncio.sleep(3600)
        if self.mode == "refusing":
            writer.write(response(503))
            return
        if self.mode == "reset":
            writer.transport.abort()
            return
        if request.path == "/api/log-newest":
            self._newest(request, writer)
        elif request.path == "/api/log-read":
            await self._read(request, writer)
        elif request.path == "/api/log-append":
            await self._append(request, writer)
        elif request.path == "/api/log-join":
            self._join(request, writer)
        elif request.path == "/api/log-leave":
            self._leave(request, writer)
        elif request.path == "/api/log-owners":
            self._owners(request, writer)
        else:
            writer.write(response(404))

    def _newest(self, request, writer):
        topic = request.query["topic"]
        newest, keys = self.listing(topic)
        first = bisect.bisect_right(keys, request.query["after"]) if "after" in request.query else 0
        items = [{"key": key, "value": base64.b64encode(newest[key][1]).decode(), "offset": newest[key][0]}
                 for key in keys[first:first + PAGE_KEYS]]
        writer.write(self.answer_json({"items": items, "truncated": first + PAGE_KEYS < len(keys), "end": len(self.topics[topic])}))

    def listing(self, topic):
        """The newest record of each key that has a value, and these keys in order."""
        records = self.topics[topic]
        era, read, newest, keys = self.listings.get(topic, (self.era, 0, {}, []))
        if era != self.era:
            read, newest = 0, {}
        for offset in range(read, len(records)):
            content = records[offset]
            key_size = content[0]
            key = content[1:1 + key_size].decode()
            newest.pop(key, None)
            if content[1 + key_size:]:
                newest[key] = (offset, content[1 + key_size:])
        if read != len(records) or era != self.era:
            keys = sorted(newest)
        self.listings[topic] = (self.era, len(records), newest, keys)
        return newest, keys

    async def _read(self, request, writer):
        records = self.topics[request.query["topic"]]
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        first = self.first[request.query["topic"]]
        if start > len(records) or start < first:
            writer.write(response(410, b'{"first": %d}' % first, {"Store-Era": str(self.era)}))
            return
        while len(records) <= start and time.monotonic() < until:
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
        if self.mode != "serving":
            await asyncio.sleep(3600)
        body = struct.pack(">QQ", len(records), first)
        for content in records[start:]:
            body += struct.pack(">I", len(content)) + content
        writer.write(response(200, body, {"Store-Era": str(self.era), **self.fields}))

    async def _append(self, request, writer):
        at, records = 0, []
        while at < len(request.body):
            size = struct.unpack_from(">I", request.body, at)[0]
            records.append(request.body[at + 4:at + 4 + size])
            at += 4 + size
        offset = len(self.topics[request.query["topic"]])
        if int(request.query.get("as_of", offset)) != offset:
            writer.write(response(412, b'{"end": %d}' % offset, {"Store-Era": str(self.era)}))
            return
        await self.append(request.query["topic"], records)
        writer.write(self.answer_json({"offset": offset, "end": offset + len(records)}))

    def _join(self, request, writer):
        fields = request.json()
        now = time.monotonic()
        self.members[fields["member"]] = now + fields["ttl_ms"] / 1000
        alive = tuple(sorted(name for name, until in self.members.items() if until > now))
        if alive != self.assignment.get("alive"):
            self.generation += 1
            self.assignment = {"alive": alive, "group": fields["group"], "topics": fields["topics"]}
        rows = [[topic, part, 0] for index, (topic, part) in enumerate(
            (topic, part) for topic in fields["topics"] for part in range(self.PARTITIONS))
            if alive[index % len(alive)] == fields["member"]]
        writer.write(self.answer_json({"generation": self.generation, "ttl_ms": fields["ttl_ms"], "parts": rows}))

    def _leave(self, request, writer):
        member = request.json()["member"]
        if self.members.pop(member, None) is not None:
            self.generation += 1
            self.assignment["alive"] = tuple(name for name in self.assignment.get("alive", ()) if name != member)
        writer.write(self.answer_json({"generation": self.generation}))

    def _owners(self, request, writer):
        self.reads_of_owners += 1
        alive = self.assignment.get("alive", ()) if request.query["group"] == self.assignment.get("group") else ()
        topics = self.assignment.get("topics", ()) if alive else ()
        rows = [[topic, part, alive[index % len(alive)], 0] for index, (topic, part) in enumerate(
            (topic, part) for topic in topics for part in range(self.PARTITIONS))]
        writer.write(self.answer_json({"generation": self.generation, "owners": rows}))


def causes_of(request):
    """What may crash a server: the path of a request, or a part of its prompt other than the last one."""
    parts = request.headers.get("x-prompt-prefix", "").split(",")
    return [request.path, *(part.split(":")[0] for part in parts[:-1])]


class Backend(HttpServer):
    """Common part of engines and plain servers: identity, heartbeats to the store and the record of runs."""

    def __init__(self, platform, service, zone, role=None):
        super().__init__()
        self.platform, self.service, self.zone, self.role = platform, service, zone, role
        self.name = ""
        self.version = "v1"
        self.sequence = 0
        self.state = "ready"
        self.started_ms = 0
        # Name and start time of its last record in the list.
        self.listed = None
        self.is_unresponsive = False
        # Says in its answers that it leaves, without a word in the list.
        self.is_leaving = False
        # Turns requests away for this long, and says so.
        self.backoff_s = 0
        self.backoff_until = 0
        self.requests_in_backoff = 0
        # Names this limit, in requests a second, in its answers. When it first did, and each request since then.
        self.limit = None
        self.limited_since = None
        self.limited_requests = []
        self.heartbeat = None
        # Ends inside its next answer as a process that exits.
        self.exits_inside_answer = False
        # Sends these fields in place of the seal of its answers.
        self.spoiled_seal = None
        self.is_crashing = False

    async def start(self, name=None):
        """With the `name` of its predecessor it is known by its start time only."""
        self.name = name or f"i-{self.platform.random.getrandbits(40):010x}"
        self.started_ms = max(int(time.time() * 1000), self.started_ms + 1)
        self.sequence = 0
        self.state = "ready"
        self.reset_state()
        await self.listen()
        self.heartbeat = asyncio.ensure_future(self._send_heartbeats())

    def reset_state(self):
        pass

    async def start_unlisted(self, seconds, name=None):
        """Restarts the server after a crash; its first heartbeat follows `seconds` later."""
        await self.start(name)
        self.heartbeat.cancel()
        asyncio.get_event_loop().call_later(
            seconds, lambda: setattr(self, "heartbeat", asyncio.ensure_future(self._send_heartbeats())))

    async def exit_inside_answer(self, writer):
        """The server is back a second later."""
        self.exits_inside_answer = False
        await writer.drain()
        asyncio.ensure_future(self.exit(1))
        await asyncio.sleep(3600)

    async def exit(self, back_after_s):
        await self.crash()
        await asyncio.sleep(back_after_s)
        await self.start()

    async def crash(self):
        self.heartbeat.cancel()
        await self.stop()
        # The platform removes a server from the list after three missed heartbeats.
        asyncio.get_event_loop().call_later(1.5, lambda name=self.name, started_ms=self.started_ms: asyncio.ensure_future(
            self._unlist(name, started_ms)))

    async def _unlist(self, name, started_ms):
        """Leaves the record of a successor of the same name alone."""
        if self.listed is None or self.listed[0] != name or self.listed[1] == started_ms:
            await self.platform.store.put("keyed.servers", name, None)

    def crashes_at(self, request, stage):
        """Ends this server if the request, or a part of its prompt, crashes servers that begin that stage of it. It is
        back a second later."""
        cause = next((each for each in causes_of(request) if self.platform.crashing.get(each) == stage), None)
        if cause is None:
            return False
        now = time.monotonic()
        self.platform.crash_runs[cause].append((now, self.name))
        if self.is_crashing:
            return True
        self.is_crashing = True
        asyncio.ensure_future(self._crash_and_return(1.0, cause, request.path in self.platform.crashing_silently))
        return True

    async def _crash_and_return(self, seconds, cause, is_silent):
        """With `is_silent`, connections stay open without an answer for two seconds before they are reset."""
        if is_silent:
            self.heartbeat.cancel()
            self.is_unresponsive = True
            await asyncio.sleep(2)
            self.is_unresponsive = False
        self.platform.crash_ends[cause].append(time.monotonic())
        await self.crash()
        await asyncio.sleep(seconds)
        self.is_crashing = False
        await self.start()

    async def drain(self):
        self.state = "draining"
        self.platform.draining_since[self.name] = time.monotonic()
        await self.publish()

    async def publish(self):
        self.sequence += 1
        record = {"service": self.service, "addr": self.address, "zone": self.zone, "version": self.version,
                  "slots": 64, "state": self.state, "cold_left_ms": 0, "seq": self.sequence, "born": self.started_ms}
        if self.role:
            record["stage"] = self.role
        if self.platform.store.mode == "serving":
            self.listed = self.name, self.started_ms
            await self.platform.store.put("keyed.servers", self.name, json.dumps(record))

    async def _send_heartbeats(self):
        while True:
            await self.publish()
            await asyncio.sleep(0.5)

    async def serve(self, request, writer, reader):
        request.server, request.arrived_at = f"{self.name} at {self.address}", time.monotonic()
        self.platform.received.append(request)
        if self.is_unresponsive:
            await asyncio.sleep(3600)
        for cause in causes_of(request) if "x-attempt-id" in request.headers else []:
            if cause in self.platform.crashing:
                self.platform.crashing_arrivals[cause].append((time.monotonic(), request.headers["x-attempt-id"]))
        expected = request.headers.get("x-expect-instance")
        identity = {"X-Instance-Id": self.name}
        if self.limit is not None:
            identity["Server-Limit"] = str(self.limit)
            self.limited_since = self.limited_since or time.monotonic()
            self.limited_requests.append(time.monotonic())
        # Reservation calls are not checked against the expected instance: whichever server has the address serves
        # them, and a grant does not name its server.
        is_reservation = request.path.startswith("/api/hold-")
        if expected and expected != self.name and not is_reservation:
            self.platform.superseded.append(self.name)
            writer.write(response(421, headers=identity))
            return
        if self.is_leaving:
            identity["Server-Leaving"] = "1"
            self.platform.leaving_since.setdefault(self.name, time.monotonic())
        if await self._turn_away(request, writer, identity):
            return
        if request.path == "/healthz":
            writer.write(response(200 if self.state == "ready" else 503, headers=identity))
            return
        await self.handle_request(request, writer, reader, identity)

    async def _turn_away(self, request, writer, identity):
        now = time.monotonic()
        if now < self.backoff_until:
            self.requests_in_backoff += 1 if now > self.backoff_until - self.backoff_s + 0.5 else 0
            if self.requests_in_backoff > 2:
                self.platform.report_violation(
                    f"{self.name} got {request.method} {request.path} {self.backoff_until - now:.1f} s before the end"
                    " of its backoff")
        elif self.backoff_s:
            self.backoff_until = now + self.backoff_s
            self.requests_in_backoff = 0
        else:
            return False
        attempt = request.headers.get("x-attempt-id")
        headers = {"X-Not-Executed": "1", "Retry-After": f"{self.backoff_until - now:.3f}", **identity}
        if attempt:
            headers["X-Attempt-Id"] = attempt
        writer.write(response(503, headers=headers))
        return True

    def seal(self, attempt):
        return {"X-Server-Seal": f"seal-{attempt}"} if self.spoiled_seal is None else self.spoiled_seal

    def record_run(self, request):
        """Records the run and checks it against the request that the caller sent."""
        attempt = request.headers.get("x-attempt-id")
        self.platform.record_run(attempt, self, request)
        self.platform.urgencies[attempt].add(request.headers.get("x-request-urgency"))
        return attempt


class PlainServer(Backend):
    def __init__(self, platform, zone, service_time_s=0.02):
        super().__init__(platform, PLAIN_SERVICE, zone)
        self.service_time_s = service_time_s
        self.lose_answers = False
        self.extra_answers = False
        self.framing = "length"
        self.reset_inside_answers = False
        # Sends one byte of an answer every 50 ms for ever.
        self.drips = False
        # Answers with an error of its own.
        self.fails = False
        # Reads a further request on a connection and closes it without an answer.
        self.ends_reused_connections = False
        self.used_connections = weakref.WeakSet()

    async def handle_request(self, request, writer, reader, identity):
        attempt = self.record_run(request)
        if self.crashes_at(request, "run"):
            await asyncio.sleep(3600)
        if self.ends_reused_connections and writer in self.used_connections:
            raise ConnectionEnds
        self.used_connections.add(writer)
        await asyncio.sleep(self.service_time_s)
        if self.fails:
            writer.write(response(500, headers={"X-Attempt-Id": attempt, **self.seal(attempt)}))
            return
        if self.lose_answers:
            writer.transport.abort()
            return
        body = json.dumps({"attempt": attempt, "by": self.name, "body": request.body.decode()}).encode()
        headers = {"X-Attempt-Id": attempt, **self.seal(attempt), "X-Server-Load": "1,0,6", **identity}
        if self.drips:
            writer.write(response(200, headers={**headers, "Content-Length": 100000}, framing="connection"))
            while not writer.transport.is_closing():
                writer.write(b" ")
                await asyncio.sleep(0.05)
            return
        if self.reset_inside_answers:
            writer.write(response(200, body[:20], headers, self.framing))
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)
            return
        if self.exits_inside_answer:
            writer.write(response(200, body[:20], headers, self.framing))
            await self.exit_inside_answer(writer)
        writer.write(response(200, body, headers, self.framing))
        if self.framing == "connection":
            raise ConnectionEnds
        if self.extra_answers:
            writer.write(response(200, b"not for you", headers))


class Engine(Backend):
    """A prefill or decode engine with KV memory, reservations and KV handles."""

    TOKENS = 33_279

    def __init__(self, platform, zone, role, event_s=0.01, prefill_s=0.03):
        super().__init__(platform, MODEL_SERVICE, zone, role)
        self.event_s, self.prefill_s = event_s, prefill_s
        self.reset_state()
        self.reject_runs = False
        self.framing = "chunked"
        # Its events name the version of the process that sends them.
        self.is_tagged = False
        # The next run breaks off after this many events: inside the next event, or after the last one. A chunked
        # answer ends as a complete one does, any other one with an orderly close.
        self.break_after = None
        self.break_inside_event = True
        # After this many events a run sends bytes every 50 ms for ever that complete no event with an id.
        self.drip_after = None
        self.drip = b": still here\n"
        # A command takes this long. Meanwhile the engine still grants reservations, and rejects prefills and runs.
        self.switch_s = 0
        self.switching_since = None
        # When it rejected each of them.
        self.rejected_in_switch = []

    def reset_state(self):
        self.used_tokens = 0
        self.reserved = {}
        self.handles = {}

    def free_tokens(self):
        now = time.monotonic()
        self.reserved = {key: value for key, value in self.reserved.items() if value[1] > now}
        self.handles = {key: until for key, until in self.handles.items() if until > now}
        return self.TOKENS - self.used_tokens - sum(tokens for tokens, _ in self.reserved.values())

    async def handle_request(self, request, writer, reader, identity):
        if request.path == "/api/hold-take":
            self._reserve(request, writer, identity)
        elif request.path.startswith("/api/hold-drop/"):
            self.reserved.pop(request.path.rsplit("/", 1)[1], None)
            writer.write(response(200, headers=identity))
        elif request.path.startswith("/api/kv-handle/"):
            self.handles.pop(request.path.rsplit("/", 1)[1], None)
            writer.write(response(200, headers=identity))
        elif request.path == "/api/report":
            writer.write(json_response({"stage": self.role, "models": [], "busy": self._is_switching(), "seq": 0,
                                        "queued": 0, "active": 0, "kv_used": self.used_tokens, "kv_total": self.TOKENS,
                                        "born": self.started_ms}, identity))
        elif request.path == "/api/order":
            self.platform.role_commands.append((time.monotonic(), request.json()["holder"], request.json()["fence"]))
            self._switch_to(request.json()["stage"])
            writer.write(response(202, headers=identity))
        elif self._is_switching():
            self.rejected_in_switch.append(time.monotonic())
            headers = {"X-Not-Executed": "1", "X-Attempt-Id": request.headers.get("x-attempt-id", ""), **identity}
            writer.write(response(503, headers=headers))
        elif request.headers.get("x-stage") == "prefill":
            await self._prefill(request, writer, identity)
        else:
            await self._run(request, writer, identity)

    def _switch_to(self, role):
        if self.switch_s == 0:
            self.role = role
        elif not self._is_switching():
            self.switching_since = time.monotonic()
            asyncio.get_event_loop().call_later(self.switch_s, setattr, self, "role", role)

    def _is_switching(self):
        return self.switching_since is not None and time.monotonic() < self.switching_since + self.switch_s

    def _reserve(self, request, writer, identity):
        if request.headers.get("x-attempt-id"):
            self.platform.report_violation("a reservation request carries the attempt id of a caller")
        fields = request.json()
        said = {name: value for name, value in identity.items() if name != "X-Instance-Id"}
        if self.free_tokens() < fields["tokens"]:
            writer.write(response(503, headers={"X-Not-Executed": "1", **said}))
            return
        name = f"{self.platform.random.getrandbits(48):012x}"
        self.reserved[name] = (fields["tokens"], time.monotonic() + fields["ttl_ms"] / 1000)
        writer.write(json_response({"hold": name}, said))

    async def _prefill(self, request, writer, identity):
        if self.role != "prefill":
            writer.write(response(421, headers=identity))
            return
        self.platform.prefills[request.headers["x-attempt-id"]] += 1
        self.platform.urgencies[request.headers["x-attempt-id"]].add(request.headers.get("x-request-urgency"))
        if self.crashes_at(request, "prefill"):
            await asyncio.sleep(3600)
        await asyncio.sleep(self.prefill_s)
        handle = f"{self.platform.random.getrandbits(48):012x}"
        self.handles[handle] = time.monotonic() + 0.5
        tokens = int(request.headers["x-token-counts"].split(",")[0])
        writer.write(json_response({"kv_handle": handle, "tokens": tokens, "version": 1},
                                   {"X-Attempt-Id": request.headers["x-attempt-id"], **identity}))

    async def _run(self, request, writer, identity):
        attempt = request.headers.get("x-attempt-id")
        if self.role != "decode":
            writer.write(response(421, headers=identity))
            return
        source, _, handle = request.headers.get("x-kv-source", "").rpartition("/")
        owner = self.platform.engine_at(source)
        if self.reject_runs or owner is None or owner.handles.pop(handle, None) is None:
            writer.write(response(503, headers={"X-Not-Executed": "1", "X-Attempt-Id": attempt, **identity}))
            return
        self.reserved.pop(request.headers.get("x-kv-hold", ""), None)
        self.record_run(request)
        if self.crashes_at(request, "run"):
            await asyncio.sleep(3600)
        # A run that outlasts its process ends with the version of that one.
        version = self.version
        tag = f" {version}" if self.is_tagged else ""
        prompt = int(request.headers["x-token-counts"].split(",")[0])
        first = int(request.headers.get("last-event-id", 0)) + 1
        self.used_tokens += prompt
        self.platform.running[attempt] += 1
        try:
            framing = self.framing
            writer.write(response(200, headers={"Content-Type": "text/event-stream", "X-Attempt-Id": attempt,
                                                **self.seal(attempt), **identity}, framing=framing))
            await writer.drain()
            if self.crashes_at(request, "answer"):
                await asyncio.sleep(3600)
            last = self.platform.events
            is_broken_off = self.break_after is not None
            if is_broken_off:
                last, self.break_after = min(last, first - 1 + self.break_after), None
            for index in range(first, last + 1):
                while self.drip_after is not None and index - first >= self.drip_after:
                    if writer.transport.is_closing():
                        return
                    self._write_part(writer, self.drip, framing)
                    await asyncio.sleep(0.05)
                await asyncio.sleep(self.event_s)
                if writer.transport.is_closing():
                    return
                event = f"id: {index}\ndata: {attempt} {index}{tag}\n\n".encode()
                # Callers check tagged events: those that an engine sends before a gateway rejects it are not of the stream.
                if not self.is_tagged:
                    self.platform.record_event(attempt, version)
                self._write_part(writer, event, framing)
                await writer.drain()
                if index - first + 1 == self.platform.events // 4 and self.crashes_at(request, "stream"):
                    await asyncio.sleep(3600)
            if is_broken_off and self.break_inside_event:
                self._write_part(writer, f"id: {last + 1}\ndata: ".encode(), framing)
            if is_broken_off and self.exits_inside_answer:
                await self.exit_inside_answer(writer)
            if framing == "connection":
                raise ConnectionEnds
            writer.write(b"0\r\n\r\n")
        finally:
            self.used_tokens -= prompt
            self.platform.running[attempt] -= 1

    @staticmethod
    def _write_part(writer, part, framing):
        if framing == "chunked":
            part = f"{len(part):x}\r\n".encode() + part + b"\r\n"
        writer.write(part)


class FakePlatform:
    """The platform of one case. Its event loop runs in a thread of its own; `call` runs a coroutine in it."""

    def __init__(self, seed=1, prefills=2, decodes=3, plain_servers=2, events=40, versions=("v1",)):
        self.random = random.Random(seed)
        self.events = events
        self.sent = {}
        self.runs = collections.Counter()
        self.run_history = collections.defaultdict(list)
        self.running = collections.Counter()
        # Urgencies that servers got with prefills and runs, by the attempt.
        self.urgencies = collections.defaultdict(set)
        # Software versions of the events of each stream, by the attempt that began it.
        self.stream_versions = collections.defaultdict(set)
        # Versions of the server processes that ran each attempt.
        self.run_versions = collections.defaultdict(set)
        # The same of the events that callers got, where these are tagged.
        self.caller_versions = collections.defaultdict(set)
        self.draining_since = {}
        # When each server first said in an answer that it leaves.
        self.leaving_since = {}
        self.prefills = collections.Counter()
        # Paths of requests, or parts of prompts, that crash their servers -> the stage at which they do. Of each, the
        # runs that crash a server (begin and server), the times at which these servers end, and all arrivals at servers
        # (time and attempt).
        self.crashing = {}
        self.crash_runs = collections.defaultdict(list)
        self.crash_ends = collections.defaultdict(list)
        self.crashing_arrivals = collections.defaultdict(list)
        self.crashing_silently = set()
        # The last calls that servers received, reservations and reports among them.
        self.received = collections.deque(maxlen=4096)
        # Tenants by the values of their callers' Authorization fields; empty where keys are not checked.
        self.tenants = {}
        # Names of servers that received a call for another instance at the same address.
        self.superseded = []
        self.role_commands = []
        self.violations = []
        self.timing_checks_off_until = 0
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.store = None
        self.call(self._start(prefills, decodes, plain_servers, versions))

    async def _start(self, prefills, decodes, plain_servers, versions):
        self.store = Store(self)
        await self.store.listen()
        zones = ["north", "south"]
        self.engines = [Engine(self, zones[i % 2], "prefill") for i in range(prefills)]
        self.engines += [Engine(self, zones[i % 2], "decode") for i in range(decodes)]
        for index, engine in enumerate(self.engines[prefills:]):
            # Each version has engines in both zones.
            engine.version = versions[index // len(zones) % len(versions)]
        self.plain_servers = [PlainServer(self, zones[i % 2]) for i in range(plain_servers)]
        for backend in self.engines + self.plain_servers:
            await backend.start()
        await self.configure(1)

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def decodes(self):
        return [engine for engine in self.engines if engine.role == "decode"]

    def engine_at(self, address):
        return next((engine for engine in self.engines if engine.address == address), None)

    async def configure(self, version, extra_routes=(), tenants=None, public=(), priorities=None, filling=0):
        """`public` are names of routes for which callers need no key. `filling` is a number of bytes that say nothing."""
        def route(name, prefix, kind, service, **more):
            return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 8000,
                    "target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": 2, **more}

        routes = [route("plain", "/text/", "streaming", MODEL_SERVICE, max_attempts=1, target_gap_ms=300),
                  route("resumable", "/resume/", "streaming", MODEL_SERVICE, resumable=True, target_gap_ms=300),
                  route("action", "/act/", "non_idempotent", PLAIN_SERVICE, max_attempts=1, timeout_ms=2000),
                  route("read", "/read/", "idempotent", PLAIN_SERVICE, timeout_ms=2000)]
        routes += [route(name, f"/{name}/", "idempotent", PLAIN_SERVICE) for name in extra_routes]
        for each in routes:
            if each["name"] in public:
                each["public"] = True
            each["priority"] = (priorities or {}).get(each["name"], each["priority"])
        engine = {"slots": 64, "kv_capacity": Engine.TOKENS, "kv_token_bytes": 18432, "stride": 11, "kv_hold_s": 0.5,
                  "stage_switch_s": 6.0, "hold_ms": 2000.0}
        services = [{"name": MODEL_SERVICE, "health_path": "/healthz", "max_conns": 360, "engine": engine},
                    {"name": PLAIN_SERVICE, "health_path": "/healthz", "max_conns": 96}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        value = {"version": version, "routes": routes, "services": services, "limits": limits}
        if tenants is not None:
            value["tenants"] = tenants
        if filling:
            value["comment"] = "x" * filling
        await self.store.put("keyed.op", "config", json.dumps(value))

    def report_violation(self, text):
        self.violations.append(text)

    def record_run(self, attempt, backend, request):
        sent = self.sent.get(attempt)
        now = time.monotonic()
        self.runs[attempt] += 1
        self.run_history[attempt].append((now, backend.name))
        if sent is None:
            self.report_violation(f"ran {attempt}, which no caller sent")
            return
        if (request.method, request.target, request.body) != sent.message:
            self.report_violation(f"ran {attempt} with changed request line or body: {request.method} {request.target}")
        if self.runs[attempt] > 1 and not sent.is_repeatable:
            self.report_violation(f"ran {attempt} more than once")
        self._check_tenant(attempt, sent, request)
        # Timing bounds are checked only if no fault has been injected recently.
        if now < self.timing_checks_off_until:
            return
        drained = self.draining_since.get(backend.name)
        if drained and now - drained > 2.0:
            self.report_violation(f"ran {attempt} at {backend.name} {now - drained:.1f} s after it began to drain")
        leaving = self.leaving_since.get(backend.name)
        if leaving and sent.sent_at - leaving > 2.0:
            self.report_violation(f"ran {attempt} at {backend.name}, sent {sent.sent_at - leaving:.1f} s after it said"
                                  " that it leaves")
        left = int(request.headers.get("x-deadline-ms", 10**9)) / 1000
        if now + left > sent.sent_at + sent.deadline_s + 0.5:
            self.report_violation(f"{attempt} was forwarded with more time than the caller has left")

    def _check_tenant(self, attempt, sent, request):
        if not self.tenants:
            return
        tenant = self.tenants.get(sent.authorization)
        if tenant is None:
            self.report_violation(f"ran {attempt}, whose key no tenant has")
        elif request.headers.get("x-tenant") != tenant or "authorization" in request.headers:
            self.report_violation(f"ran {attempt} of {tenant} with other fields of the tenant or with its key")

    def check_quota(self, tenant, allowed, window_s, tokens_of):
        """Checks that the tokens of a tenant's requests that begin to run within a window stay within `allowed`."""
        runs = sorted((history[0][0], tokens_of(self.sent[attempt])) for attempt, history in list(self.run_history.items())
                      if attempt in self.sent and self.tenants.get(self.sent[attempt].authorization) == tenant)
        worst = max((sum(tokens for at, tokens in runs if begin <= at < begin + window_s) for begin, _ in runs), default=0)
        if worst > allowed:
            self.report_violation(f"{worst} tokens of {tenant} ran within {window_s} s, {allowed:.0f} are allowed")

    def check_limit(self, backend, contact_s=3.0, window_s=4.0, restarts=()):
        """Checks that a server that names a limit gets no more than one and a half times what it allows, and 5 requests,
        in each window that begins `contact_s` after it first named it. Requests within `contact_s` after the restart of
        an entry, which knows no limit then, are left out."""
        if backend.limited_since is None:
            return 0
        since = backend.limited_since + contact_s
        times = [at for at in backend.limited_requests
                 if at >= since and not any(begin <= at <= begin + contact_s for begin in restarts)]
        allowed = 1.5 * backend.limit * window_s + 5
        worst = max((bisect.bisect_left(times, begin + window_s) - index for index, begin in enumerate(times)), default=0)
        assert worst <= allowed, (f"{backend.name}, which had named a limit of {backend.limit} a second, got {worst} requests"
                                  f" in {window_s} s; allowed {allowed}")
        return worst

    def check_retry_budget(self, ratio, extra, window_s):
        """Checks that in each window the runs beyond the first of each request stay within the budget of all entries:
        `ratio` of the requests of that window or the one before it, and `extra`."""
        retries = sorted(at for history in self.run_history.values() for at, _ in history[1:])
        requests = sorted(sent.sent_at for sent in self.sent.values())
        count = lambda times, begin, end: bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
        worst = max(((count(retries, begin, begin + window_s)
                      - ratio * max(count(requests, begin - age, begin - age + window_s) for age in (0, window_s)),
                      begin) for begin in retries), default=(0, 0))
        if worst[0] > extra:
            self.report_violation(f"{worst[0]:.1f} retries beyond the ratio within {window_s} s, {extra} are allowed")

    def record_event(self, attempt, version):
        """Checks that all events of a stream are of one software version, over all attempts of its caller."""
        versions = self.stream_versions[self.sent[attempt].stream if attempt in self.sent else attempt]
        if version not in versions:
            versions.add(version)
            if len(versions) > 1:
                self.report_violation(f"{attempt} goes on at version {version}, which did not begin its stream")

    def wait_until_idle(self, seconds=5):
        """Waits until no run, reservation or KV handle is left."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.call(asyncio.sleep(0.05))
            held = [e.name for e in self.engines if e.used_tokens or e.free_tokens() < Engine.TOKENS]
            if not held and not +self.running:
                return
        raise AssertionError(f"still held: {held}, running: {+self.running}")

    def end(self):
        async def stop_all():
            for peer in [self.store, *self.engines, *self.plain_servers]:
                if peer is not self.store and peer.heartbeat:
                    peer.heartbeat.cancel()
                await peer.stop()
        self.call(stop_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
