"""A popular read that was running on several servers when they crashed goes on being served, whether they crash for causes of
their own or of another request, also by entries that never answered it. If it begins to crash servers itself, it is stopped."""
import time

from support.crashing_requests import CONTACT_S, PopularRead, check_late_runs, crash_all, quarantined_at
from support.gateway import Gateway, platform_site

POPULAR = "/read/popular"
# After the last crash, until the read is served by all entries.
SERVED_WITHIN_S = 5.0


def check_served(popular, gateways, begin):
    answers = popular.since(begin)
    served = sum(answer.status == 200 for answer in answers)
    print(f"{POPULAR}: {served} of {len(answers)} served")
    bodies = {answer.body for answer in answers if answer.status != 200}
    assert len(answers) >= 20 and served == len(answers), (served, len(answers), bodies)
    assert not any(quarantined_at(gateway) for gateway in gateways), "the read is held"


def crash_at_once(platform, servers):
    for server in servers:
        platform.call(server.crash())
    time.sleep(1)
    for server in servers:
        platform.call(server.start())


def run(build):
    options = {"gateways": 3, "prefills": 1, "decodes": 1, "plain_servers": 4}
    with platform_site(build, **options) as (platform, gateways):
        for server in platform.plain_servers:
            server.service_time_s = 0.3
        popular = PopularRead(platform, gateways, POPULAR)
        time.sleep(2)
        for count in (3, 4):
            crash_at_once(platform, platform.plain_servers[:count])
            crashed_at = time.monotonic()
            time.sleep(SERVED_WITHIN_S + 2)
            check_served(popular, gateways, crashed_at + SERVED_WITHIN_S)

        # An entry that starts has answered nothing yet, and takes part in the next crashes.
        folder = gateways[0].settings_path.rsplit("/", 1)[0]
        gateways.append(Gateway(build, folder, "gateway-4", platform.store.address).start().wait_ready())
        late = PopularRead(platform, gateways[-1:], POPULAR)
        crash_at_once(platform, platform.plain_servers)
        crashed_at = time.monotonic()
        time.sleep(SERVED_WITHIN_S + 2)
        late.stop()
        check_served(popular, gateways, crashed_at + SERVED_WITHIN_S)
        assert all(answer.status == 200 for answer in late.since(crashed_at + SERVED_WITHIN_S))

        # Beside a request that crashes servers.
        platform.crashing["/read/crash"] = "run"
        crash_all(platform, gateways, ["/read/crash"], 4)
        check_late_runs(platform, "/read/crash")
        time.sleep(SERVED_WITHIN_S)
        begin = time.monotonic()
        time.sleep(2)
        answers = popular.since(begin)
        assert len(answers) >= 20 and all(answer.status == 200 for answer in answers), {a.body for a in answers}
        for gateway in gateways:
            assert len(quarantined_at(gateway)) == 1, quarantined_at(gateway)

        # From now on it crashes servers, though all entries have just answered it.
        platform.crashing[POPULAR] = "run"
        time.sleep(12)
        popular.stop()
        check_late_runs(platform, POPULAR)
        before = len(platform.crash_ends[POPULAR])
        crash_all(platform, gateways, [POPULAR], CONTACT_S)
        assert len(platform.crash_ends[POPULAR]) == before, platform.crash_ends[POPULAR]
        assert all(len(quarantined_at(gateway)) == 2 for gateway in gateways)
