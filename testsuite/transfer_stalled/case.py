"""A KV transfer stalls: the caller gets a complete answer or a refusal in time, and memory is freed."""
import time

from support.site import MODEL, small_site

PROMPT = "Reading for the {}th day of Lent !!length 40!!"
TOKENS = 60
# The first-token target is 820 ms; a refusal that takes several seconds was delayed without need.
LONGEST_SILENCE_S = 10


def run(build):
    with small_site(build, prefills=2, decodes=2) as site:
        stalled = site.backends["prefill-1"]
        stalled.control(stall_transfers=True)
        outcomes = []
        for number in range(12):
            prompt = PROMPT.format(number)
            began = time.monotonic()
            answer = site.caller().complete(MODEL, prompt, TOKENS)
            assert time.monotonic() - began < LONGEST_SILENCE_S, "the final answer was held back"
            outcomes.append(answer.outcome)
            if answer.status == 200:
                assert answer.json()["choices"][0]["text"] == site.expected_answer(prompt, TOKENS)
            else:
                assert answer.outcome in ("not-run", "unknown"), answer
        assert "answered" in outcomes, outcomes
        stalled.control(stall_transfers=False)
        site.wait_until_serving()
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
