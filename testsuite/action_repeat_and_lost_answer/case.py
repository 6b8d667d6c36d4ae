"""Actions run at most once: a repeat gets the first answer, and a lost answer is reported as unknown."""
from support.caller import time_ordered_key
from support.site import APPLICATION_SERVICE, small_site


def repeats(site):
    key = time_ordered_key()
    first = site.caller("entry-1").act(APPLICATION_SERVICE, "/enrol", "household 1", key)
    assert first.status == 201 and first.outcome == "answered", first
    for entry in ("entry-1", "entry-2"):
        again = site.caller(entry).act(APPLICATION_SERVICE, "/enrol", "household 1", key)
        assert again.outcome == "answered" and again.body == first.body, again
    other = site.caller("entry-2").act(APPLICATION_SERVICE, "/enrol", "household 2", key)
    assert other.outcome == "not-run" and other.status >= 400, other
    assert site.run_count(key) == 1


def lost_answer(site):
    key = time_ordered_key()
    for backend in site.backends.values():
        backend.control(lose_answers=1)
    first = site.caller("entry-1").act(APPLICATION_SERVICE, "/bill", "household 3", key)
    assert first.outcome == "unknown", first
    again = site.caller("entry-2").act(APPLICATION_SERVICE, "/bill", "household 3", key)
    assert again.outcome == "unknown", again
    assert site.run_count(key) == 1
    for backend in site.backends.values():
        backend.control(lose_answers=0)


def lost_append_answer(site):
    key = time_ordered_key()
    site.control_platform(lose_answers=1)
    answer = site.caller("entry-1").act(APPLICATION_SERVICE, "/ship", "pallet 4", key)
    assert answer.outcome == "answered", answer
    assert site.run_count(key) == 1


def agent_lost(site):
    key = time_ordered_key()
    first = site.caller("entry-1").act(APPLICATION_SERVICE, "/ship", "pallet 5", key)
    assert first.outcome == "answered", first
    for backend in site.backends.values():
        backend.agent.kill()
        site.restart_agent(backend)
    site.wait_until_serving()
    again = site.caller("entry-1").act(APPLICATION_SERVICE, "/ship", "pallet 5", key)
    assert again.outcome in ("unknown", "answered"), again
    assert site.run_count(key) == 1


def run(build):
    with small_site(build, prefills=0, decodes=0, applications=2, entries=2) as site:
        repeats(site)
        lost_answer(site)
        lost_append_answer(site)
        agent_lost(site)
        assert not site.violations(), site.violations()
