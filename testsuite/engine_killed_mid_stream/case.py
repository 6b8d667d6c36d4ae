"""An engine is killed while it decodes: the caller receives one complete answer without a gap."""
import itertools

from support.site import MODEL, small_site

STOPPING_PROMPT = "Feeding plan for the lawn of house 12 !!length 200!!"
LONG_PROMPT = "Feeding plan for the lawn of house 13 !!length 900!!"


def killed_while_it_decodes(site, prompt, finish_reason):
    expected = site.expected_answer(prompt, 400)
    stream = site.caller().stream(MODEL, prompt, 400)
    text = "".join(itertools.islice(stream, 5))
    lost = site.decoding_backend()
    lost.server.kill()
    text += stream.rest()
    assert stream.error is None and stream.is_done, (stream.error, len(text))
    assert text == expected, (len(text), len(expected))
    assert stream.finish_reason == finish_reason, stream.finish_reason
    site.restart_server(lost)
    site.wait_until_serving()
    site.wait_until_memory_free()


def run(build):
    with small_site(build, prefills=1, decodes=2) as site:
        killed_while_it_decodes(site, STOPPING_PROMPT, "stop")
        killed_while_it_decodes(site, LONG_PROMPT, "length")
        assert not site.violations(), site.violations()
