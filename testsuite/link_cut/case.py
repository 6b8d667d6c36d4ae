"""The link between an entry and an agent is cut or stalls during a stream: the answer is complete, memory is freed."""
import itertools

from support.site import MODEL, small_site

PROMPT = "Soil test of plot {} !!length 600!!"
TOKENS = 400


def lose_link(site, number, lose, restore):
    prompt = PROMPT.format(number)
    expected = site.expected_answer(prompt, TOKENS)
    stream = site.caller().stream(MODEL, prompt, TOKENS)
    text = "".join(itertools.islice(stream, 5))
    lost = site.decoding_backend()
    lose(lost.relay)
    text += stream.rest()
    assert stream.error is None and stream.is_done, (stream.error, len(text))
    assert text == expected, (len(text), len(expected))
    site.wait_until_memory_free()
    restore(lost.relay)
    site.wait_until_serving()
    site.wait_until_memory_free()


def cut(relay):
    relay.cut()


def stall(relay):
    relay.is_stalled = True


def restore(relay):
    relay.is_stalled = False
    relay.restore()


def run(build):
    with small_site(build, prefills=1, decodes=2, has_relays=True, leaseDurationMs=1000) as site:
        lose_link(site, 1, cut, restore)
        lose_link(site, 2, stall, restore)
        assert not site.violations(), site.violations()
