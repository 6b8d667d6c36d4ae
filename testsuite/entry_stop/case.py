"""A stopping entry is not ready at once, finishes open answers, refuses new requests as not run and exits with 0."""
from support.http_calls import call, wait_for
from support.site import MODEL, small_site

PROMPT = "!!length 300!! the answer that must not be cut off"


def run(build):
    with small_site(build, prefills=1, decodes=1, entries=1, flags=("--step-us", "10000")) as site:
        entry = site.entries["entry-1"]
        caller = site.caller()
        expected = site.expected_answer(PROMPT, 300)
        stream = caller.stream(MODEL, PROMPT, 300)
        pieces = iter(stream)
        text = next(pieces)
        entry.terminate()
        wait_for(lambda: call(entry.ports["admin"], "GET", "/health/ready").status == 503, "the entry is not ready")
        assert call(entry.ports["admin"], "GET", "/health/live").status == 200
        refused = caller.complete(MODEL, "one more", 4)
        assert refused.status == 503 and refused.outcome == "not-run" and "retry-after" in refused.headers, refused
        text += "".join(pieces)
        assert text == expected and stream.is_done and stream.error is None, (len(text), len(expected), stream.error)
        assert entry.wait_exit() == 0
        site.wait_until_memory_free()
