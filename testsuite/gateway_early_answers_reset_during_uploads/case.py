"""A part of an answer without a length does not look whole when its server answers before it has read the upload and then ends the
connection."""
import itertools
import tempfile
import time

from concurrent.futures import ThreadPoolExecutor

from run import ROOT, load_case
from support.gateway import Caller

ended_servers = load_case(ROOT / "gateway_partial_answers_of_ended_servers")

# More than the buffers of a connection take.
PIECES = [b"x" * 250_000] * 12
ENDS = {"reset": {"resets_after": 4}, "orderly": {"ends_after": 4}, "reset after the upload": {"resets_after": 4, "reads_before_reset": True}}
EJECTED_S = 2
PATHS = ("/act/a", "/read/b", "/text/c", "/resume/d")


def run(build):
    with tempfile.TemporaryDirectory() as folder:
        site = ended_servers.Site(build, folder, framing="connection", answers_unread=True)
        rows = []
        try:
            def send(path, is_chunked, number):
                body = iter(PIECES) if is_chunked else b"".join(PIECES)
                answer = Caller(site.platform, site.gateway).send(f"{path}/{number}", "POST", body, parts=f"{number:x}:200,{number:08x}:2800")
                return path, is_chunked, answer.status, answer.events, answer.is_whole

            for name, end in ENDS.items():
                for server in site.servers:
                    server.order(**{"resets_after": None, "ends_after": None, "reads_before_reset": False, **end})
                for path in PATHS:
                    with ThreadPoolExecutor(4) as pool:
                        calls = [pool.submit(send, path, is_chunked, number)
                                 for number, (is_chunked, _) in enumerate(itertools.product((False, True), range(2)))]
                        rows += [(name, *call.result()) for call in calls]
                    time.sleep(EJECTED_S)
        finally:
            site.end()
        counts = {}
        for row in rows:
            counts[row] = counts.get(row, 0) + 1
        for row, count in counts.items():
            print(count, *row, flush=True)
        # No answer of these is whole, so none ends as one.
        looked_whole = [row for row in rows if row[3] == 200 and row[5]]
        assert not looked_whole, looked_whole
        assert all(row[3] is not None for row in rows), rows
