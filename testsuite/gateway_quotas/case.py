"""Quotas of tenants over all entries: the sum holds while an entry is killed and the store is away, and a tenant whose
requests all come to one entry gets its whole limit."""
import time

from support.gateway import platform_site
from support.tenant_callers import PLAIN_TOKENS, send_for, tenants

# Tokens a second, and the burst: 20 plain calls.
RATE = 2000


def served_tokens(answers):
    return PLAIN_TOKENS * sum(answer.status == 200 for _, answer, _ in answers)


def check_answers(answers):
    for _, answer, took in answers:
        assert answer.status in (200, 429), answer.__dict__
        if answer.status == 429:
            assert took < 0.5 and float(answer.headers["Retry-After"]) > 0, (took, answer.__dict__)


def check_limit(answers, seconds, least, what, rate=RATE):
    """`least` is the part of the limit that has to be usable. A twentieth of the burst may be overdrawn."""
    limit = rate * seconds + rate
    served = served_tokens(answers)
    print(f"  {what}: {served} tokens of {limit} offered {PLAIN_TOKENS * len(answers)}", flush=True)
    assert least * limit <= served <= 1.1 * limit, f"{what}: {served} tokens served, the limit is {limit}"


def run(build):
    with platform_site(build, gateways=3, has_peers=True) as (platform, gateways):
        platform.call(platform.configure(2, tenants=tenants(RATE)))
        time.sleep(2.5)

        answers = send_for(platform, gateways[:1], 6, 3 * RATE / PLAIN_TOKENS)
        check_answers(answers)
        check_limit(answers, 6, 0.9, "all requests at one entry")
        assert gateways[0].log_lines("quota_refused")
        assert any(f"@{gateways[0].host}:" in line for line in gateways[0].log_lines("quota_holder_changed"))

        # Below the limit nobody is refused, wherever the requests come to.
        time.sleep(1.5)
        for some in (gateways[1:2], gateways):
            answers = send_for(platform, some, 4, 0.8 * RATE / PLAIN_TOKENS)
            assert {answer.status for _, answer, _ in answers} == {200}, "refused below the limit"

        time.sleep(1.5)
        answers = send_for(platform, gateways, 6, 4 * RATE / PLAIN_TOKENS)
        check_answers(answers)
        check_limit(answers, 6, 0.9, "three entries")

        # One entry is killed, whichever accounts it holds. Its memory of the burst is lost with it.
        gateways[2].kill()
        time.sleep(1.0)
        answers = send_for(platform, gateways[:2], 8, 4 * RATE / PLAIN_TOKENS)
        check_answers(answers)
        check_limit(answers, 8, 0.35, "one entry killed")
        gateways[2].start()
        gateways[2].wait_ready()
        time.sleep(2)
        answers = send_for(platform, gateways, 6, 4 * RATE / PLAIN_TOKENS)
        check_limit(answers, 6, 0.85, "it is back")

        # Without the store every entry uses its own share in the end: together half of the limit.
        platform.store.mode = "silent"
        answers = send_for(platform, gateways, 6, 4 * RATE / PLAIN_TOKENS)
        check_answers(answers)
        check_limit(answers, 6, 0.5, "store away")
        answers = send_for(platform, gateways, 6, 4 * RATE / PLAIN_TOKENS)
        check_answers(answers)
        check_limit(answers, 6, 0.3, "store away for longer than memberships last")
        assert all(gateway.log_lines("quota_own_share") for gateway in gateways)
        platform.store.mode = "serving"
        time.sleep(4)

        # A lower limit is in force within 3 s.
        platform.call(platform.configure(3, tenants=tenants(RATE / 4)))
        time.sleep(3)
        answers = send_for(platform, gateways, 6, 2 * RATE / PLAIN_TOKENS)
        check_limit(answers, 6, 0.7, "a lower limit", RATE / 4)
        assert 'peridot_gateway_quota_decisions_total{result="granted_balance"}' in gateways[0].metrics()
        assert 'peridot_gateway_quota_decisions_total{result="refused_balance"}' in gateways[0].metrics()
        assert any("result=\"whole\"" in gateway.metrics() for gateway in gateways)
