"""A part of prompts that crashes servers while the store is away: each entry stops on what it has seen itself, and all
entries, one that starts included, do once the store is back."""
import time

from support.crashing_parts import CRASHES, PromptCallers
from support.crashing_requests import CONTACT_S, quarantined_at
from support.gateway import Caller, Gateway, platform_site

SHARED = "5c1e"
# Names of servers that the outage kept, and entries without a share of the retries, are gone by then.
SETTLED_S = 3.0


def run(build):
    with platform_site(build, gateways=2, prefills=4, decodes=10, events=20) as (platform, gateways):
        with PromptCallers(platform, gateways, "text", [SHARED], 0.1, callers=4) as sound:
            time.sleep(1)
            platform.store.mode = "silent"
            time.sleep(1)
            platform.crashing["bad1"] = "answer"
            with PromptCallers(platform, gateways, "resume", [SHARED, "bad1"], 0.2, callers=2):
                time.sleep(12)
                crashes = len(platform.crash_runs["bad1"])
                assert crashes <= CRASHES * len(gateways), f"{crashes} servers crashed while each entry counted alone"
                late = [at for at, _ in platform.crash_runs["bad1"] if at > time.monotonic() - 3]
                assert not late, f"servers still crash: {late}"
                platform.store.mode = "serving"
                back_at = time.monotonic()
                time.sleep(CONTACT_S + 1)
            time.sleep(SETTLED_S)
        served = sound.served_since(back_at + SETTLED_S)
        assert len(served) >= 20 and all(served), f"{served.count(False)} of {len(served)} sound requests were not served"
        folder = gateways[0].settings_path.rsplit("/", 1)[0]
        new = Gateway(build, folder, "gateway-new", platform.store.address).start().wait_ready()
        try:
            answer = Caller(platform, new).send("/text/new", parts=f"{SHARED}:200,bad1:200,1:1")
            assert answer.status == 503 and b"quarantined" in answer.body, answer.__dict__
            assert len(quarantined_at(new)) == 1, quarantined_at(new)
        finally:
            new.end()
        assert not [at for at, _ in platform.crashing_arrivals["bad1"] if at > back_at + CONTACT_S]
