"""End to end: plain and streamed completions over the prefill and decode pools, a read and an action."""
from support.site import APPLICATION_SERVICE, MODEL, small_site

PROMPT = "Write the reminder of the water cut in Nyarugenge. " * 20


def run(build):
    with small_site(build, prefills=2, decodes=2, applications=2, entries=2) as site:
        expected = site.expected_answer(PROMPT, 40)
        plain = site.caller("entry-1").complete(MODEL, PROMPT, 40)
        assert plain.status == 200 and plain.outcome == "answered", plain
        assert plain.json()["choices"][0]["text"] == expected, plain
        stream = site.caller("entry-2").stream(MODEL, PROMPT, 40)
        assert stream.status == 200, stream.status
        pieces = list(stream)
        assert "".join(pieces) == expected and len(pieces) > 1, pieces
        assert stream.is_done and stream.error is None
        prefills = [site.backends[name].counts()["prefills_done"] for name in ("prefill-1", "prefill-2")]
        decodes = [site.backends[name].counts()["prefills_done"] for name in ("decode-1", "decode-2")]
        assert sum(prefills) >= 2 and decodes == [0, 0], (prefills, decodes)
        read = site.caller().read(APPLICATION_SERVICE, "/balance?household=7")
        assert read.status == 200 and read.json()["path"] == "/balance?household=7", read
        action = site.caller().act(APPLICATION_SERVICE, "/enrol", "household 7")
        assert action.status == 201 and action.outcome == "answered", action
        assert action.json()["body"] == "household 7" and action.json()["run"] == 1, action
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
