"""Tenants below their limit are served again soon after entries have restarted, one of them or all at once: the partitions of
the ended processes do not stay with them until their memberships expire."""
import time

from support.gateway import platform_site
from support.tenant_callers import send_for, tenants

RATE = 20000
# Entries renew their memberships every 1.5 s, and learn of a change then.
MAX_REFUSED_S = 1.5


def check_after_restart(platform, gateways, restarted, what):
    for gateway in restarted:
        gateway.kill()
    for gateway in restarted:
        gateway.start()
    for gateway in restarted:
        gateway.wait_ready()
    ready = time.monotonic()
    answers = send_for(platform, restarted, 5, 0.2 * RATE / 100)
    late = [round(at - ready, 2) for at, answer, _ in answers if answer.status == 429 and at > ready + MAX_REFUSED_S]
    refused = sum(answer.status == 429 for _, answer, _ in answers)
    print(f"{what}: {refused} of {len(answers)} refused, {len(late)} of them late")
    assert not late, (what, late)
    assert {answer.status for _, answer, _ in answers} <= {200, 429}


def run(build):
    with platform_site(build, gateways=3, has_peers=True) as (platform, gateways):
        platform.call(platform.configure(2, tenants=tenants(RATE)))
        time.sleep(2.5)
        check_after_restart(platform, gateways, gateways[:1], "one entry")
        time.sleep(1)
        check_after_restart(platform, gateways, gateways, "all entries")
        assert all(gateway.log_lines("predecessor_removed") for gateway in gateways)
