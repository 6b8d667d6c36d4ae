"""A stream without a length that its server resets before it has read the request does not look complete to its caller."""
import tempfile
import threading

from run import ROOT, load_case
from support.gateway import Caller

ended_servers = load_case(ROOT / "gateway_partial_answers_of_ended_servers")

# More than the buffers of a connection take.
BODY = b"x" * 2_000_000
STREAMS, EVENTS_BEFORE_RESET = 8, 20


def run(build):
    with tempfile.TemporaryDirectory() as folder:
        site = ended_servers.Site(build, folder, framing="connection", answers_unread=True, resets_after=EVENTS_BEFORE_RESET)
        answers = []
        try:
            def send(number):
                path = ("/text/a", "/resume/b")[number % 2]
                parts = f"{number:x}:200,{number:08x}:2800"
                answers.append((path, Caller(site.platform, site.gateway).send(f"{path}/{number}", body=BODY, parts=parts)))

            threads = [threading.Thread(target=send, args=(number,)) for number in range(STREAMS)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        finally:
            site.end()
        lines = [line for line in site.gateway.log_lines("request_ended") if "outcome=answered" in line]
        rows = [(path, answer.status, answer.events, answer.is_whole) for path, answer in answers]
        assert any(events for _, _, events, _ in rows), rows
        assert not site.platform.violations, (site.platform.violations, rows, lines)
