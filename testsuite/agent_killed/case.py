"""The agent of a decoding engine is killed: another engine continues, and the restarted agent frees the memory."""
import itertools

from support.site import MODEL, small_site

PROMPT = "Season plan for the franchise in Celje !!length 300!!"


def run(build):
    with small_site(build, prefills=1, decodes=2) as site:
        expected = site.expected_answer(PROMPT, 400)
        stream = site.caller().stream(MODEL, PROMPT, 400)
        text = "".join(itertools.islice(stream, 5))
        lost = site.decoding_backend()
        lost.agent.kill()
        text += stream.rest()
        assert stream.error is None and text == expected, (stream.error, len(text), len(expected))
        site.restart_agent(lost)
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
