"""The store comes back from a copy some seconds old, twice in a row: the configuration never reverts, servers that
have left get nothing, one that drains is noticed in time, and role commands keep rising fencing tokens."""
import time

from support.gateway import Caller, platform_site


def wait_for(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"{what} is not so after {seconds} s")


def provoke_role_command(platform):
    """Decode engines come up in the other role, so that too few are left and the leader has to act."""
    before = len(platform.role_commands)
    for engine in platform.decodes()[1:]:
        engine.role = "prefill"
    wait_for(lambda: len(platform.role_commands) > before, 12, "a role command")


def run(build):
    with platform_site(build, gateways=2, events=10, prefills=4, decodes=3, plain_servers=5) as (platform, gateways):
        callers = [Caller(platform, gateway) for gateway in gateways]

        def serves(path):
            return all(caller.send(path, "GET", b"").status == 200 for caller in callers)

        # A generation that the restored store starts below.
        platform.store.generation = 50
        platform.store.assignment = {}
        provoke_role_command(platform)
        version = 1
        for drill in range(2):
            time.sleep(1)
            # After the copy: a new route, and a server that leaves the list.
            version += 1
            name = f"added{drill}"
            platform.call(platform.configure(version, [name]))
            wait_for(lambda name=name: serves(f"/{name}/x"), 2, f"the route {name}")
            gone = platform.plain_servers[drill]
            platform.call(gone.drain())
            gone.heartbeat.cancel()
            platform.call(platform.store.put("keyed.servers", gone.name, None))
            time.sleep(2.2)
            runs_before = sum(1 for history in platform.run_history.values() for _, name in history
                              if name == gone.name)
            platform.call(restore(platform.store, 3))
            # The copy has the older configuration and shows the server as ready. Another server begins to drain,
            # at an offset that was given out before.
            platform.call(platform.plain_servers[2 + drill].drain())
            until = time.monotonic() + 4
            while time.monotonic() < until:
                for caller in callers:
                    assert caller.send(f"/{name}/x", "GET", b"").status == 200, "the route has gone"
                    assert caller.send("/text/x").status == 200
                    assert caller.send("/act/x").status == 200
            runs_after = sum(1 for history in platform.run_history.values() for _, ran_at in history
                             if ran_at == gone.name)
            assert runs_after == runs_before, (runs_before, runs_after)
            provoke_role_command(platform)
            # The operator writes again, at offsets that were given out before.
            version += 1
            later = f"later{drill}"
            platform.call(platform.configure(version, [name, later]))
            wait_for(lambda later=later: serves(f"/{later}/x"), 2, f"the route {later}")
        assert all(len(gateway.log_lines("store_restored")) >= 2 for gateway in gateways)
        tokens = [token for _, _, token in platform.role_commands]
        assert len(tokens) >= 3 and tokens == sorted(tokens), tokens
        for gateway in gateways:
            assert not gateway.log_lines("invariant"), gateway.log_lines("invariant")


async def restore(store, age_s):
    store.restore(age_s)
