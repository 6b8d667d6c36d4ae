"""Routes of a configuration whose paths are those of the gateway's other ports are served by their servers, also while it stops."""
import time

from support.gateway import Caller, platform_site

PATHS = ("/api/ready", "/api/ready?of=7", "/api/ready/", "/api/report", "/metrics/", "/quarantine/a")


def assert_served(caller, path):
    answer = caller.send(path, "GET", b"")
    # The seal of its server on a success is checked by the caller.
    assert answer.status == 200 and answer.headers.get("X-Server-Seal"), (path, answer.__dict__)


def run(build):
    with platform_site(build, stop_within=6) as (platform, (gateway,)):
        caller = Caller(platform, gateway)
        # Before the routes exist nobody else answers for them.
        for path in PATHS:
            assert caller.send(path, "GET", b"").status == 404, path
        platform.call(platform.configure(2, extra_routes=("api", "metrics", "quarantine")))
        time.sleep(2.5)
        for path in PATHS:
            assert_served(caller, path)
        assert 'own_answers_total{status="404"}' in gateway.metrics()
        assert 'own_answers_total{status="200"}' not in gateway.metrics()
        assert gateway.is_ready()
        gateway.terminate()
        time.sleep(0.3)
        assert not gateway.is_ready()
        for path in PATHS:
            assert_served(caller, path)
