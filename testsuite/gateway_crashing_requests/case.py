"""A request that crashes each server that begins to run it reaches at most three servers later than two seconds after it
has crashed the third, over all entries; other requests are served."""
import os
import time

from support.crashing_requests import CONTACT_S, check_late_runs, crash_all, quarantined_at, runs_after
from support.gateway import Caller, Gateway, platform_site
from support.http_calls import call

# Stage at which the servers crash, by path.
CRASHING = {"/read/crash": "run", "/act/crash": "run", "/resume/crash": "run", "/text/crash": "prefill"}
# Its servers fall silent first, so that its callers give up before the connection is lost.
SILENT = "/read/silent"


def check_others_are_served(platform, gateways):
    """Of the same paths' routes and services, with other contents and other callers."""
    time.sleep(2.5)
    for gateway in gateways:
        caller = Caller(platform, gateway)
        for path, method in (("/read/good", "GET"), ("/act/good", "POST"), ("/resume/good", "POST"),
                             ("/text/good", "POST")):
            answer = caller.send(path, method, b"")
            assert answer.status == 200, (path, answer.__dict__)
        caller.close()


def run(build):
    options = {"gateways": 3, "prefills": 6, "decodes": 6, "plain_servers": 6, "events": 20}
    with platform_site(build, **options) as (platform, gateways):
        platform.crashing.update(CRASHING)
        # This entry sees none of the crashes.
        gateways[2].freeze()
        crash_all(platform, gateways[:2], ["/read/crash", "/resume/crash"], 8)
        crash_all(platform, gateways[:2], ["/act/crash", "/text/crash"], 8)
        platform.crashing[SILENT] = "run"
        platform.crashing_silently.add(SILENT)
        crash_all(platform, gateways[:2], [SILENT], 12, deadline_s=1.0)
        gateways[2].thaw()
        time.sleep(CONTACT_S + 1)
        crash_all(platform, gateways[2:], platform.crashing, 4)
        for path in platform.crashing:
            check_late_runs(platform, path)
        check_others_are_served(platform, gateways)

        # An operator releases one at one entry, and every entry serves it.
        held = quarantined_at(gateways[0])
        assert len(held) == len(platform.crashing), held
        del platform.crashing["/read/crash"]
        content = next(line.split("content=")[1].split()[0] for line in gateways[2].log_lines("request_ended")
                       if "reason=quarantined" in line and "route=read " in line)
        released = call(f"{gateways[1].host}:{gateways[1].metrics_port}", "DELETE", f"/quarantine/{content}")
        assert released.status == 200, released
        time.sleep(0.5)
        for gateway in gateways:
            answer = Caller(platform, gateway).send("/read/crash", "GET", b"")
            assert answer.status == 200, answer.__dict__

        # An entry that starts knows them before it is ready, while the others run or after they have ended.
        begin = time.monotonic()
        folder = os.path.dirname(gateways[0].settings_path)
        for number in (4, 5):
            gateways.append(Gateway(build, folder, f"gateway-{number}", platform.store.address).start().wait_ready())
            crash_all(platform, gateways[-1:], CRASHING, 1.5)
            for gateway in gateways[:-1]:
                gateway.kill()
        assert not any(runs_after(platform, path, begin) for path in CRASHING), platform.crash_runs
        answer = Caller(platform, gateways[-1], "127.0.0.2").send("/read/good", "GET", b"")
        assert answer.status == 200, answer.__dict__
