"""Requests that crash their servers while the store is away, or away for one entry: each entry stops on what it has seen
itself, and all do once the store is back."""
import time

from support.crashing_requests import CONTACT_S, check_late_runs, crash_all, quarantined_at, runs_after
from support.gateway import Caller, Gateway, platform_site
from support.relay import Relay

CRASHES = 3


def run(build):
    options = {"gateways": 2, "prefills": 4, "decodes": 10, "plain_servers": 10, "events": 20}
    with platform_site(build, **options) as (platform, gateways):
        folder = gateways[0].settings_path.rsplit("/", 1)[0]
        link = Relay(platform.store.address)
        gateways.append(Gateway(build, folder, "gateway-3", link.address).start().wait_ready())
        try:
            # Away for one entry, which is sent the request as well.
            platform.crashing["/read/cut-off"] = "run"
            link.cut()
            crash_all(platform, gateways, ["/read/cut-off"], 8)
            check_late_runs(platform, "/read/cut-off")
            link.restore()

            # Away for all: no entry crashes more servers than quarantine a request, and none does so later.
            time.sleep(3)
            for mode in ("silent", "refusing"):
                paths = [f"/read/{mode}", f"/resume/{mode}"]
                platform.store.mode = mode
                platform.crashing.update(dict.fromkeys(paths, "run"))
                crash_all(platform, gateways, paths, 8)
                for path in paths:
                    sends = len(platform.crash_runs[path])
                    assert CRASHES <= sends <= CRASHES * len(gateways), f"{path} reached {sends} servers"
                    late = runs_after(platform, path, time.monotonic() - 2)
                    assert not late, f"{path} still reaches servers: {late}"
                platform.store.mode = "serving"
                time.sleep(CONTACT_S + 1)
                for gateway in gateways:
                    gateway.wait_ready()
                # What one entry has seen of a request is known to an entry that starts.
                begin = time.monotonic()
                late = Gateway(build, folder, f"late-{mode}", platform.store.address).start().wait_ready()
                try:
                    crash_all(platform, [late], paths, 1)
                    assert not any(runs_after(platform, path, begin) for path in paths), platform.crash_runs
                    assert len(quarantined_at(late)) == len(platform.crashing), quarantined_at(late)
                finally:
                    late.end()
            for gateway in gateways:
                for path, method in (("/read/good", "GET"), ("/resume/good", "POST")):
                    answer = Caller(platform, gateway).send(path, method, b"")
                    assert answer.status == 200, (path, answer.__dict__)
        finally:
            gateways[2].end()
            link.end()
