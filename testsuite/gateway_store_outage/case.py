"""The store is silent, refuses or resets connections: requests are served, the configuration never reverts,
and changes are in force in time after the outage."""
import time

from support.gateway import Caller, Gateway, platform_site


def wait_for_route(caller, path, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if caller.send(path, "GET", b"").status == 200:
            return
        time.sleep(0.05)
    raise AssertionError(f"{path} is not served after {seconds} s")


def run(build):
    with platform_site(build) as (platform, (gateway,)):
        caller = Caller(platform, gateway)
        platform.call(platform.configure(3, ["new"]))
        wait_for_route(caller, "/new/x", 2.0)
        for number, mode in enumerate(("silent", "refusing", "reset")):
            platform.store.mode = mode
            until = time.monotonic() + 5
            while time.monotonic() < until:
                assert caller.send("/text/x").status == 200, mode
                assert caller.send("/act/x").status == 200, mode
                assert caller.send("/new/x", "GET", b"").status == 200, mode
            platform.store.mode = "serving"
            name = f"after{number}"
            platform.call(platform.configure(4 + number, ["new", name]))
            wait_for_route(caller, f"/{name}/x", 3.0)
            # A late record with an older configuration is ignored.
            platform.call(platform.configure(2))
            time.sleep(0.3)
            assert caller.send("/new/x", "GET", b"").status == 200
        assert gateway.log_lines("store_lost") and gateway.log_lines("store_back")
        # A gateway that starts without the store is not ready and refuses requests as not run.
        platform.store.mode = "silent"
        late = Gateway(build, gateway.settings_path.rsplit("/", 1)[0], "late", platform.store.address)
        late.start()
        try:
            late.wait_started()
            time.sleep(0.5)
            assert not late.is_ready()
            answer = Caller(platform, late).send("/act/x")
            assert answer.status == 503 and "Retry-After" in answer.headers, answer.__dict__
            platform.store.mode = "serving"
            late.wait_ready(5)
        finally:
            late.end()
