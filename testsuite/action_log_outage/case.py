"""During a log outage actions are refused as not run and reads are served; afterwards the same key runs once."""
from support.caller import time_ordered_key
from support.http_calls import wait_for
from support.site import APPLICATION_SERVICE, small_site


def outage(site, **switch):
    key = time_ordered_key()
    site.control_platform(**switch)

    def is_refused():
        # An action whose claim was in flight when the log failed is answered as unknown at its deadline.
        probe = site.caller().act(APPLICATION_SERVICE, "/probe", "x", deadline_ms=2000)
        return probe.outcome == "not-run"
    wait_for(is_refused, "actions are refused")
    refused = site.caller().act(APPLICATION_SERVICE, "/enrol", "household 1", key)
    assert refused.status == 503 and refused.outcome == "not-run", refused
    assert int(refused.headers["retry-after"]) >= 1, refused
    assert site.run_count(key) == 0
    assert site.caller().read(APPLICATION_SERVICE, "/balance").status == 200
    site.control_platform(**{name: False for name in switch})
    answers = []

    def is_answered():
        answers.append(site.caller().act(APPLICATION_SERVICE, "/enrol", "household 1", key))
        return answers[-1].outcome == "answered"
    wait_for(is_answered, "the action is run after the outage")
    assert site.run_count(key) == 1, answers


def run(build):
    with small_site(build, prefills=0, decodes=0, applications=2) as site:
        outage(site, log_down=True)
        outage(site, log_unreachable=True)
        assert not site.violations(), site.violations()
