"""Answers of servers that never end: their callers get an answer within their time limit, the entry's memory stays
bounded, and its other requests are served meanwhile."""
import contextlib
import functools
import json
import pathlib
import sys
import tempfile
import threading
import time

from support.fake_platform import MODEL_SERVICE, PLAIN_SERVICE
from support.gateway import Caller, platform_site
from support.process import Process

TIME_LIMIT_S = 2.0
MAX_GROWTH_MB = 40
MAX_OTHER_S = 0.6
PLAIN_KINDS = ("chunked_body", "body_to_the_end", "long_body", "error_body", "chunk_extension", "trailer", "header",
               "interim", "after_the_end")
# By default the kernel keeps megabytes that the caller reads after the entry has ended the answer: beside load the entry
# had ended it after 2.04 s, and the caller had read it after 2.40 s.
RECEIVE_BUFFER = 64 * 1024
# The event that the server of the kind `events` repeats.
REPEATED_EVENT = b"id: 1\ndata: x\n\n"
PROGRAM = pathlib.Path(__file__).parents[1] / "support" / "endless_server.py"


def memory_mb(gateway):
    status = pathlib.Path(f"/proc/{gateway.child.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


@contextlib.contextmanager
def endless_server(platform, kind, service, role=None, stage="run"):
    """A server in the platform's list whose answers to one kind of call never end."""
    with tempfile.TemporaryDirectory() as folder:
        server = Process(sys.executable, [PROGRAM, kind, stage], folder, f"endless-{kind}").start()
        name = f"i-{kind}"
        record = {"service": service, "addr": f"127.0.0.1:{server.ports['port']}", "zone": "north", "version": "v1",
                  "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000}
        if role:
            record["stage"] = role
        try:
            platform.call(platform.store.put("keyed.servers", name, json.dumps(record)))
            time.sleep(1.6)
            yield server
        finally:
            platform.call(platform.store.put("keyed.servers", name, None))
            server.end()
            time.sleep(1.6)


def send_others(platform, gateway, path, is_over, times):
    caller = Caller(platform, gateway)
    while not is_over.is_set():
        began = time.monotonic()
        answer = caller.send(path, "POST", b"{}")
        times.append((time.monotonic() - began, answer.status))
        time.sleep(0.05)


def check(platform, gateways, paths, other_path, what, expect):
    """Sends `paths` at once through every entry until each has met the endless server; `expect` checks an answer."""
    before = [memory_mb(gateway) for gateway in gateways]
    is_over, times, failures, most = threading.Event(), [], [], [0] * len(gateways)

    def send(gateway, path):
        caller = Caller(platform, gateway, receive_buffer=RECEIVE_BUFFER)
        for _ in range(4):
            began = time.monotonic()
            answer = caller.send(path, "GET" if path.startswith("/read/") else "POST", b"", deadline_s=TIME_LIMIT_S)
            took = time.monotonic() - began
            if took > TIME_LIMIT_S + 0.5 or not expect(answer):
                failures.append((path, round(took, 2), answer.status, answer.is_whole, len(answer.body)))

    def watch():
        while not is_over.is_set():
            for index, gateway in enumerate(gateways):
                most[index] = max(most[index], memory_mb(gateway) - before[index])
            time.sleep(0.02)

    background = [threading.Thread(target=watch)]
    background += [threading.Thread(target=send_others, args=(platform, gateway, other_path, is_over, times))
                   for gateway in gateways]
    senders = [threading.Thread(target=send, args=(gateway, path)) for gateway in gateways for path in paths * 2]
    for thread in background + senders:
        thread.start()
    for thread in senders:
        thread.join()
    is_over.set()
    for thread in background:
        thread.join()
    slowest = max(took for took, _ in times)
    print(f"{what}: an entry grew by {max(most):.0f} MB, other requests took {slowest:.2f} s at most")
    assert not failures, (what, failures)
    assert max(most) < MAX_GROWTH_MB, f"{what}: an entry grew by {max(most):.0f} MB"
    assert slowest < MAX_OTHER_S, f"{what}: another request took {slowest:.2f} s"
    assert all(status == 200 for _, status in times), (what, times)


def is_answered_plain(answer):
    """With success by another server, or with a failure; a server's own error is passed on."""
    return answer.is_whole and answer.status in (200, 500, 502, 503, 504)


def is_answered_stream(answer):
    """As above, or broken off."""
    return answer.status is None or answer.status in (502, 503, 504) or (answer.status == 200)


def is_repeating_stream_broken_off(platform, answer):
    """A resumable stream whose ids do not grow ends after its first event, and no other engine goes on with it."""
    is_resumable = platform.sent[answer.attempt].message[1].startswith("/resume/")
    if is_resumable and answer.body.startswith(REPEATED_EVENT):
        return not answer.is_whole and answer.body == REPEATED_EVENT and not platform.runs[answer.attempt]
    return is_answered_stream(answer)


def run(build):
    options = {"gateways": 2, "prefills": 2, "decodes": 2, "plain_servers": 2, "events": 10}
    with platform_site(build, **options) as (platform, gateways):
        for kind in PLAIN_KINDS:
            with endless_server(platform, kind, PLAIN_SERVICE):
                check(platform, gateways, ["/act/x", "/read/x"], "/text/other", kind, is_answered_plain)
        for role, stage, kind in (("prefill", "prefill", "chunked_body"), ("decode", "reserve", "chunked_body"),
                                  ("decode", "run", "event"), ("decode", "run", "events"),
                                  ("decode", "run", "error_body"), ("decode", "run", "interim")):
            with endless_server(platform, kind, MODEL_SERVICE, role, stage):
                expect = is_answered_stream
                if (stage, kind) == ("run", "events"):
                    expect = functools.partial(is_repeating_stream_broken_off, platform)
                check(platform, gateways, ["/text/x", "/resume/x"], "/act/other", f"{stage}: {kind}", expect)
