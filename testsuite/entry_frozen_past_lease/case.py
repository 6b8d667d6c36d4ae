"""An entry is suspended beyond its lease: its reservations are freed, and once resumed it sends no wrong token."""
import itertools

from support.http_calls import wait_for
from support.site import MODEL, small_site

PROMPT = "Reading of the day !!length 2000!!"


def run(build):
    with small_site(build, prefills=1, decodes=2, entries=2, leaseDurationMs=1000) as site:
        expected = site.expected_answer(PROMPT, 1000)
        stream = site.caller("entry-1").stream(MODEL, PROMPT, 1000)
        text = "".join(itertools.islice(stream, 3))
        frozen = site.entries["entry-1"]
        frozen.freeze()
        try:
            site.wait_until_memory_free()
            assert site.caller("entry-2").complete(MODEL, "Is it free?", 4).outcome == "answered"
        finally:
            frozen.thaw()
        text += stream.rest()
        assert expected.startswith(text), "a token was duplicated, lost or out of order"
        is_whole = text == expected and stream.is_done
        assert is_whole or stream.error is not None, (len(text), len(expected))
        wait_for(lambda: site.caller("entry-1").complete(MODEL, "Awake?", 4).status == 200, "the entry serves again")
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
