"""Callers disconnect before and during their answers: all engine memory is freed."""
import itertools

from support.http_calls import wait_for
from support.site import MODEL, small_site

LONG_PROMPT = "Tell all fast days of the year. " * 400


def run(build):
    flags = ("--prefill-tokens-per-second", "4000")
    with small_site(build, prefills=1, decodes=1, flags=flags) as site:
        caller = site.caller()
        for number in range(4):
            stream = caller.stream(MODEL, f"Fast days !!length 2000!! {number}", 1500)
            assert len(list(itertools.islice(stream, 1 + number))) == 1 + number
            stream.close()
        site.wait_until_memory_free()
        # The caller disconnects during the prefill, before any answer.
        try:
            caller.complete(MODEL, LONG_PROMPT, 500, timeout=0.3)
            raise AssertionError("the caller failed to time out")
        except TimeoutError:
            pass
        site.wait_until_memory_free()
        prefill = site.backends["prefill-1"]
        wait_for(lambda: not prefill.counts()["streams"], "no prefill stream is kept")
        # Cancellations that fail or whose answer is lost are repeated until the engine confirms them.
        site.backends["decode-1"].control(fail_cancels=2, lose_cancel_answers=1)
        stream = caller.stream(MODEL, "Fast days !!length 2000!!", 1500)
        assert len(list(itertools.islice(stream, 1))) == 1
        stream.close()
        site.wait_until_memory_free()
        decode = site.backends["decode-1"]
        wait_for(lambda: site.agent_metric(decode, "peridot_places_held") == 0, "no reservation is held")
        assert not site.violations(), site.violations()
