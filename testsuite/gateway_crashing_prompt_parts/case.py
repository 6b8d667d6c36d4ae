"""Requests that share a part of their prompts, and nothing else, with which each server crashes that begins to answer: few
reach servers once five have crashed, over all entries, and sound requests with the same first part are served."""
import time

from support.crashing_parts import PromptCallers, check_late_requests, check_served_beside
from support.crashing_requests import CONTACT_S, quarantined_at
from support.gateway import Caller, Gateway, platform_site
from support.http_calls import call

SHARED, SECOND = "5c1e", "77aa"
OPTIONS = {"gateways": 3, "prefills": 4, "decodes": 10, "events": 40}


def quarantined_parts(gateway):
    return [each["content"] for each in quarantined_at(gateway) if each["content"].startswith("part-")]


def check_part(build, platform, gateways, part, parts, route, seconds, frozen=None):
    """Sends requests with the part for some seconds; one entry may be suspended while servers crash."""
    running = gateways if frozen is None else gateways[:-1]
    with PromptCallers(platform, running, route, [SHARED, SECOND], 0.1, callers=3) as sound:
        time.sleep(1.5)
        platform.crashing[part] = "answer"
        if frozen:
            frozen.freeze()
        with PromptCallers(platform, running, route, parts, 0.25, callers=2):
            time.sleep(seconds)
            if frozen:
                frozen.thaw()
                time.sleep(CONTACT_S)
                with PromptCallers(platform, [frozen], route, parts, 0.25):
                    time.sleep(2)
    check_late_requests(platform, part)
    check_served_beside(platform, part, sound)


def run(build):
    with platform_site(build, **OPTIONS) as (platform, gateways):
        # A part in the middle, on a route that may be resumed and on one that may not.
        check_part(build, platform, gateways, "bad1", [SHARED, "bad1", SECOND], "resume", 11)
        check_part(build, platform, gateways, "bad2", [SHARED, "bad2", SECOND], "text", 11)
        # The first part, and one entry sees none of its crashes.
        check_part(build, platform, gateways, "bad3", ["bad3", SECOND], "text", 9, gateways[-1])

        for gateway in gateways:
            assert len(quarantined_parts(gateway)) == 3, quarantined_at(gateway)
        # An entry that starts knows them before it is ready.
        folder = gateways[0].settings_path.rsplit("/", 1)[0]
        begin = time.monotonic()
        new = Gateway(build, folder, "gateway-new", platform.store.address).start().wait_ready()
        try:
            for part in ("bad1", "bad2", "bad3"):
                answer = Caller(platform, new).send("/text/new", parts=f"{SHARED}:200,{part}:200,1:1")
                assert answer.status == 503 and b"quarantined" in answer.body, answer.__dict__
                assert not [at for at, _ in platform.crashing_arrivals[part] if at > begin]
        finally:
            new.end()

        # An operator releases the part at one entry, and every entry serves it.
        platform.crashing.clear()
        for content in quarantined_parts(gateways[0]):
            released = call(f"{gateways[1].host}:{gateways[1].metrics_port}", "DELETE", f"/quarantine/{content}")
            assert released.status == 200, released
        time.sleep(0.5)
        for gateway in gateways:
            answer = Caller(platform, gateway).send("/text/released", parts=f"{SHARED}:200,bad1:200,1:1")
            assert answer.status == 200 and answer.is_whole, answer.__dict__
