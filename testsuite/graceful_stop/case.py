"""After SIGTERM open streams finish, no new work is accepted, and the exit status is 0."""
import itertools

from support.http_calls import call, wait_for
from support.site import MODEL, small_site

PROMPT = "Plan for the spring !!length 150!!"


def stopping_agent(site):
    stream = site.caller().stream(MODEL, PROMPT, 400)
    text = "".join(itertools.islice(stream, 3))
    leaving = site.decoding_backend()
    leaving.agent.terminate()
    done = leaving.counts()["decodes_done"]
    for number in range(3):
        assert site.caller().complete(MODEL, f"Elsewhere {number}", 4).outcome == "answered"
    text += stream.rest()
    assert stream.error is None and text == site.expected_answer(PROMPT, 400), (stream.error, len(text))
    assert leaving.agent.wait_exit() == 0
    assert leaving.counts()["decodes_done"] <= done + 1, "the leaving engine got new work"
    leaving.agent.start()


def stopping_entry(site):
    stream = site.caller("entry-1").stream(MODEL, PROMPT, 400)
    text = "".join(itertools.islice(stream, 3))
    entry = site.entries["entry-1"]
    admin = entry.ports["admin"]
    entry.terminate()
    wait_for(lambda: call(admin, "GET", "/health/ready").status == 503, "the entry is not ready")
    text += stream.rest()
    assert stream.error is None and text == site.expected_answer(PROMPT, 400), (stream.error, len(text))
    assert entry.wait_exit() == 0
    del site.entries["entry-1"]


def run(build):
    with small_site(build, prefills=1, decodes=2, entries=2) as site:
        stopping_agent(site)
        site.wait_until_serving()
        stopping_entry(site)
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
