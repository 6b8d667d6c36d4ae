"""Requests with a part that crashes servers, which are being prefilled when the part is quarantined, are not run; answers that
end with their connection clear the parts of sound requests."""
import time

from support.crashing_parts import PromptCallers, check_late_requests, check_served_beside
from support.crashing_requests import quarantined_at
from support.gateway import platform_site

SHARED = "5c1e"


def wait_for_quarantine(gateways, seconds):
    until = time.monotonic() + seconds
    while not all(quarantined_at(gateway) for gateway in gateways):
        assert time.monotonic() < until, "the part is not quarantined everywhere"
        time.sleep(0.02)
    return time.monotonic()


def run(build):
    with platform_site(build, gateways=3, prefills=4, decodes=10, events=20) as (platform, gateways):
        for engine in platform.engines:
            engine.framing, engine.prefill_s = "connection", 0.4
        with PromptCallers(platform, gateways, "text", [SHARED], 0.1, callers=16) as sound:
            time.sleep(2)
            platform.crashing["bad1"] = "answer"
            with PromptCallers(platform, gateways, "text", [SHARED, "bad1"], 0, callers=12):
                known_at = wait_for_quarantine(gateways, 10)
                under_way = [at for at, _ in platform.crashing_arrivals["bad1"] if known_at - 0.4 < at < known_at]
                time.sleep(9)
        assert under_way, "no request was being prefilled, so this run shows nothing"
        late = [at - known_at for at, _ in platform.crash_runs["bad1"] if at > known_at + 0.1]
        assert not late, f"servers crash after the part was quarantined: {late}"
        check_late_requests(platform, "bad1")
        check_served_beside(platform, "bad1", sound)
        for gateway in gateways:
            assert [each["content"].split("-")[0] for each in quarantined_at(gateway)] == ["part"], quarantined_at(gateway)
