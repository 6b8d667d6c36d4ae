"""Servers of two software versions serve side by side: a stream goes on only at the version that began it, within one
answer and over the attempts of its caller, at whichever entry it arrives."""
import time

from support.gateway import Caller, platform_site
from support.http_calls import wait_for

BYTES_OF_SOME_EVENTS = 400
TOPIC = "peridotgrade.streams"


def begin_stream(caller):
    """Begins a stream whose caller disconnects in the middle."""
    answer = caller.send("/resume/begun", disconnect_after=BYTES_OF_SOME_EVENTS)
    assert answer.status == 200 and 0 < answer.events < 30, answer.__dict__
    return answer


def version_of(platform, answer):
    versions = platform.stream_versions[platform.sent[answer.attempt].stream]
    assert len(versions) == 1, versions
    return next(iter(versions))


def begin_at(platform, caller, version):
    return wait_for(lambda: next((a for a in [begin_stream(caller)] if version_of(platform, a) == version), None),
                    f"a stream at {version}")


def run(build):
    # The retry budget, which is small after a start, must not limit what is tested here.
    retries = {"ratio": 1, "extra": 1000}
    options = {"events": 40, "decodes": 4, "versions": ("v1", "v2"), "retries": retries}
    with platform_site(build, gateways=3, **options) as (platform, gateways):
        callers = [Caller(platform, gateway) for gateway in gateways]
        # An engine breaks a stream off: the other engine of its version goes on within the answer.
        for number in range(12):
            for engine in platform.decodes():
                engine.break_after = None
            platform.decodes()[number % 4].break_after = 10
            answer = callers[0].send("/resume/broken")
            assert answer.status == 200 and answer.is_whole, answer.__dict__
        for engine in platform.decodes():
            engine.break_after = None
        assert not platform.violations, platform.violations

        # Callers resume their streams at another entry, which has read nothing while old records were still retained.
        platform.store.first[TOPIC] = len(platform.store.topics[TOPIC])
        assert platform.store.first[TOPIC] > 0
        for number in range(12):
            begun = begin_stream(callers[0])
            answer = callers[1].send("/resume/begun", resumed=begun)
            assert answer.status == 200 and answer.is_whole, answer.__dict__

        assert not platform.violations, platform.violations

        # The entry of the streams is killed.
        begun = [begin_stream(callers[2]) for _ in range(8)]
        time.sleep(0.5)
        gateways[2].kill()
        for each in begun:
            answer = callers[1].send("/resume/begun", resumed=each)
            assert answer.status == 200 and answer.is_whole, answer.__dict__

        assert not platform.violations, platform.violations

        # The store is silent: an entry resumes the streams that it knows, and rejects the others at once.
        begun = begin_stream(callers[0])
        time.sleep(0.5)
        unknown = begin_stream(callers[0])
        platform.store.mode = "silent"
        known = callers[0].send("/resume/begun", resumed=begun)
        assert known.status == 200 and known.is_whole, known.__dict__
        began = time.monotonic()
        answer = callers[1].send("/resume/begun", resumed=unknown)
        took = time.monotonic() - began
        assert answer.status == 503 and took < 1 and "Retry-After" in answer.headers, (answer.__dict__, took)
        platform.store.mode = "serving"

        # No engine of the version is left: its streams are not served by another one.
        wait_for(lambda: gateways[1].is_ready(), "gateway-2 is ready")
        begun = begin_at(platform, callers[1], "v2")
        time.sleep(0.5)
        for engine in platform.decodes():
            if engine.version == "v2":
                platform.call(engine.crash())
        time.sleep(4)
        for caller in callers[:2]:
            began = time.monotonic()
            answer = caller.send("/resume/begun", resumed=begun)
            took = time.monotonic() - began
            assert answer.status == 503 and took < 0.5 and "Retry-After" in answer.headers, (answer.__dict__, took)
        assert callers[1].send("/resume/new").status == 200
        platform.wait_until_idle(3)
