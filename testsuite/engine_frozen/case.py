"""An engine is suspended while it decodes: another one continues the answer, and after the
resumption no memory is held and no token is duplicated."""
import itertools

from support.site import MODEL, small_site

PROMPT = "Letter to the franchise in Celje !!length 600!!"
TOKENS = 400


def run(build):
    with small_site(build, prefills=1, decodes=2) as site:
        expected = site.expected_answer(PROMPT, TOKENS)
        stream = site.caller().stream(MODEL, PROMPT, TOKENS)
        text = "".join(itertools.islice(stream, 5))
        frozen = site.decoding_backend()
        frozen.server.freeze()
        try:
            text += stream.rest()
        finally:
            frozen.server.thaw()
        assert stream.error is None and stream.is_done, (stream.error, len(text))
        assert text == expected, (len(text), len(expected))
        site.wait_until_memory_free()
        site.wait_until_serving()
        assert not site.violations(), site.violations()
