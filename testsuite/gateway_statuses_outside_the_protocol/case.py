"""An answer whose status is none of the protocol is a failed run: its caller gets an answer of the gateway, never that one."""
import tempfile
import time

from run import ROOT, load_case
from support.gateway import Caller

ended_servers = load_case(ROOT / "gateway_partial_answers_of_ended_servers")

STATUSES = ("000", "099", "101", "600", "700", "999")
# Runs of a request of each kind, all of which fail.
RUNS = {"/act/a": 1, "/read/b": 2, "/text/c": 1, "/resume/d": 2}
EJECTED_S = 1.5


def run(build):
    with tempfile.TemporaryDirectory() as folder:
        site = ended_servers.Site(build, folder, framing="length")
        problems = []
        try:
            for status in STATUSES:
                for server in site.servers:
                    server.order(status=status)
                time.sleep(0.2)
                for number, (path, runs) in enumerate(RUNS.items()):
                    method = "GET" if path.startswith("/read/") else "POST"
                    answer = Caller(site.platform, site.gateway).send(path, method, b"" if method == "GET" else b"{}",
                                                                      parts=f"{status}{number}:200,{number}:2800")
                    # The handle of the server process reads of a run a moment later.
                    time.sleep(0.05)
                    ran = site.platform.runs[answer.attempt]
                    lines = [line for line in site.gateway.log_lines("attempt_failed") if answer.attempt in line]
                    if answer.status != 502 or ran != runs or len(lines) != runs or "X-Server-Seal" in answer.headers:
                        problems.append((status, path, answer.status, answer.is_whole, f"{ran} runs", f"{len(lines)} logged"))
                time.sleep(EJECTED_S)
        finally:
            site.end()
        assert not problems, (len(problems), problems)
        assert not site.platform.violations, site.platform.violations
