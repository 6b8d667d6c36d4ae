"""A VM that the VM list shows as leaving gets no new work, and its open streams finish."""
import itertools

from support.http_calls import wait_for
from support.site import MODEL, small_site

PROMPT = "Notice for the parish !!length 400!!"


def run(build):
    with small_site(build, prefills=1, decodes=2) as site:
        stream = site.caller().stream(MODEL, PROMPT, 600)
        text = "".join(itertools.islice(stream, 3))
        leaving = site.decoding_backend()
        site.control_platform(leave_vm=leaving.name)
        wait_for(lambda: "drain_started" in leaving.agent.log_tail(), "the agent has seen that it is leaving")
        before = leaving.counts()
        for number in range(8):
            assert site.caller().complete(MODEL, f"Elsewhere {number}", 4).outcome == "answered"
        after = leaving.counts()
        assert after["decodes_done"] - before["decodes_done"] <= 1, (before, after)
        text += stream.rest()
        assert stream.error is None and text == site.expected_answer(PROMPT, 600), (stream.error, len(text))
        assert leaving.counts()["decodes_done"] <= before["decodes_done"] + 1
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
