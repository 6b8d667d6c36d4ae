"""A new version of the configuration adds a route whose paths include the one that the gateway keeps for itself.

Two fronts. Version 2 adds the route `/api/` of the plain service (with TROUBLE=0: the route `/stock/`). From
`config_apply_ms` after its acknowledgement a caller sends reads below that route, to each front.

Rule MIXED: a caller gets a success (2xx) without the server's X-Server-Seal.
"""
import http.client
import json
import pathlib
import sys
import tempfile
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_2 as harness  # noqa: E402
from support.fake_platform import HOST, FakePlatform  # noqa: E402
from support.gateway import SentRequest  # noqa: E402

CONFIG_APPLY_S = 2.0
ROUTE = "api" if harness.TROUBLE else "stock"
LAST_PARTS = ["2f", "ready", "ready/", "report", "ready?of=7"]


def read(platform, front, path, record):
    """Sends one read. Returns true if the answer is no server's."""
    attempt = uuid.uuid4().hex[:16]
    platform.sent[attempt] = SentRequest(("GET", path, b""), True, 3.0, attempt)
    connection = http.client.HTTPConnection(front.host, front.port, timeout=5)
    connection.request("GET", path, headers={"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "3000"})
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    seal, runs = answer.getheader("X-Server-Seal"), platform.runs[attempt]
    is_broken = 200 <= answer.status <= 299 and seal != f"seal-{attempt}"
    record.write(f"{front.name}: GET {path} of {attempt} -> {answer.status}, X-Server-Seal {seal or 'none'}, body {body[:60]!r}, "
                 f"servers ran it {runs} times{' <- breaks MIXED' if is_broken else ''}")
    return is_broken, answer.status


def main():
    harness.check_built()
    record = harness.Record(FOLDER)
    broken = served = 0
    with tempfile.TemporaryDirectory() as folder:
        platform, fronts = None, []
        try:
            platform = FakePlatform(prefills=1, decodes=1, plain_servers=2)
            fronts = [harness.Gateway(folder, number, platform.store.address).start() for number in range(2)]
            for front in fronts:
                front.wait_ready()
            time.sleep(1.0)
            platform.call(platform.configure(2, extra_routes=(ROUTE,)))
            record.write(f"the store acknowledges version 2, which adds the route /{ROUTE}/")
            time.sleep(CONFIG_APPLY_S + 0.5)
            for front in fronts:
                for last in LAST_PARTS:
                    is_broken, status = read(platform, front, f"/{ROUTE}/{last}", record)
                    broken += is_broken
                    served += status == 200 and not is_broken
        finally:
            for front in fronts:
                front.end()
            if platform:
                platform.end()
    record.write(json.dumps({"answers of servers": served, "answers of no server": broken}))
    print("answers of servers:", served, "answers of no server:", broken)
    if served == 0:
        harness.could_not_run("the new route is not served at all")
    return 1 if broken else 0


if __name__ == "__main__":
    harness.run(main)
