"""Slow but healthy streams are not cut. Stalled ones that send a byte now and then go on at another engine if they may be
resumed, and end by the deadline of their call if not; so do plain answers."""
import time

from support.gateway import Caller, platform_site

EVENTS = 20
# Just below the longest pause that a healthy engine makes here, 5 times the route's limit of 300 ms.
SLOW_EVENT_S = 0.35
MARGIN_S = 0.7


def timed(caller, path, deadline_s=8.0, method="POST", body=b"{}"):
    began = time.monotonic()
    answer = caller.send(path, method, body, deadline_s=deadline_s)
    return answer, time.monotonic() - began


def check_slow(platform, caller):
    for engine in platform.decodes():
        engine.event_s = SLOW_EVENT_S
    for path in ("/text/slow", "/resume/slow"):
        answer, took = timed(caller, path)
        print(f"{path}: {answer.events} events in {took:.1f} s")
        assert answer.status == 200 and answer.is_whole and answer.events == EVENTS, (path, answer.__dict__)
        assert platform.runs[answer.attempt] == 1, "a healthy stream was sent to another engine"
    for engine in platform.decodes():
        engine.event_s = 0.01


def check_resumable(platform, caller, drip):
    """Comment lines, comments of their own and parts of an event are no events."""
    stalled = platform.decodes()[0]
    stalled.drip_after, stalled.drip = 5, drip
    for _ in range(20):
        answer, took = timed(caller, "/resume/stalled")
        assert answer.status == 200 and answer.is_whole, (drip, took, answer.__dict__)
        if platform.runs[answer.attempt] == 2:
            break
    else:
        raise AssertionError("no stream reached the engine that stalls")
    print(f"{drip}: resumed, {took:.1f} s in all")
    assert took < 5 * 0.3 + 0.5 + MARGIN_S, took
    stalled.drip_after = None


def check_deadline(platform, caller):
    for engine in platform.decodes():
        engine.drip_after, engine.drip = 5, b": still here\n\n"
    answer, took = timed(caller, "/text/stalled", 3.0)
    assert not answer.is_whole and took < 3 + MARGIN_S, (took, answer.__dict__)
    for engine in platform.decodes():
        engine.drip_after = None
    for server in platform.plain_servers:
        server.drips = True
    for path, method in (("/act/stalled", "POST"), ("/read/stalled", "GET")):
        answer, took = timed(caller, path, 1.5, method, b"{}" if method == "POST" else b"")
        print(f"{path}: status {answer.status} after {took:.1f} s")
        assert answer.status in (502, 504) and took < 1.5 + MARGIN_S, (path, took, answer.__dict__)


def run(build):
    with platform_site(build, events=EVENTS, decodes=2) as (platform, (gateway,)):
        caller = Caller(platform, gateway)
        check_slow(platform, caller)
        for drip in (b": still here\n", b": still here\n\n", b"id: 6"):
            check_resumable(platform, caller, drip)
        check_deadline(platform, caller)
