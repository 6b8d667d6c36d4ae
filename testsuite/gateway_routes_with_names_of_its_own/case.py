"""Routes of a configuration whose paths are those of the gateway's other ports are served by their servers, also while it stops."""
import socket
import time
import uuid

from support.fake_platform import HOST
from support.gateway import Caller, SentRequest, platform_site

PATHS = ("/api/ready", "/api/ready?of=7", "/api/ready/", "/api/report", "/metrics/", "/quarantine/a")


def assert_served(caller, path):
    answer = caller.send(path, "GET", b"")
    # The seal of its server on a success is checked by the caller.
    assert answer.status == 200 and answer.headers.get("X-Server-Seal"), (path, answer.__dict__)


def status_of_absolute_target(platform, gateway, path):
    attempt = uuid.uuid4().hex[:16]
    platform.sent[attempt] = SentRequest(("GET", path, b""), True, 2.0, attempt)
    with socket.create_connection((gateway.host, gateway.port), timeout=3) as connection:
        connection.sendall(f"GET http://{HOST}{path} HTTP/1.1\r\nHost: other\r\nX-Attempt-Id: {attempt}\r\n"
                           "X-Deadline-Ms: 2000\r\n\r\n".encode())
        return connection.recv(4096).split()[1]


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
        assert status_of_absolute_target(platform, gateway, "/api/ready") == b"200"
        assert gateway.is_ready()
        gateway.terminate()
        time.sleep(0.3)
        assert not gateway.is_ready()
        for path in PATHS:
            assert_served(caller, path)
