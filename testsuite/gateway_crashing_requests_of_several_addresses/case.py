"""A request that crashes servers is stopped though each of its attempts comes from another address and at another entry: a
read, an action with and without a body, and generations. Others are served, also those that send one popular read."""
import time

from support.crashing_requests import CONTACT_S, PopularRead, check_late_runs, crash_all, quarantined_at
from support.gateway import Caller, platform_site

# Stage at which the servers crash, by path, for requests with a body and without one.
CRASHING = {b"": {"/read/crash": "run", "/act/empty": "run", "/text/empty": "run"},
            b'{"n":1}': {"/act/crash": "run", "/resume/crash": "stream", "/text/crash": "prefill"}}
POPULAR = "/read/popular"


def run(build):
    options = {"gateways": 3, "prefills": 6, "decodes": 8, "plain_servers": 8, "events": 20}
    with platform_site(build, **options) as (platform, gateways):
        for server in platform.plain_servers:
            server.service_time_s = 0.1
        popular = PopularRead(platform, gateways, POPULAR)
        for body, paths in CRASHING.items():
            platform.crashing.update(paths)
            # No part of a prompt is shared, since parts are held too.
            crash_all(platform, gateways, paths, 8, body=body, parts="91bd:3000")
        time.sleep(CONTACT_S)
        popular.stop()
        failures = []
        for path in platform.crashing:
            try:
                check_late_runs(platform, path)
            except AssertionError as problem:
                failures.append(str(problem))
        assert not failures, "\n".join(failures)
        assert not [answer for answer in popular.since(0) if b"quarantined" in answer.body]
        for gateway in gateways:
            held = quarantined_at(gateway)
            assert len(held) == len(platform.crashing), held
            for path, method in ((POPULAR, "GET"), ("/act/good", "POST"), ("/resume/good", "POST"), ("/text/good", "POST")):
                answer = Caller(platform, gateway).send(path, method, b"")
                assert answer.status == 200, (path, answer.__dict__)
