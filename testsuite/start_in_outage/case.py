"""An entry that starts in a log outage becomes ready with a peer's configuration, or else only after the outage."""
from support.http_calls import call, wait_for
from support.site import APPLICATION_SERVICE, MODEL, small_site


def is_ready(entry):
    return call(entry.ports["admin"], "GET", "/health/ready").status == 200


def run(build):
    with small_site(build, prefills=1, decodes=1, applications=1, entries=1) as site:
        first = site.entries["entry-1"]
        site.control_platform(log_down=True)
        alone = site.add_entry("entry-alone")
        refused = site.caller("entry-alone").complete(MODEL, "hello", 4)
        assert refused.status == 503 and refused.outcome == "not-run", refused
        helped = site.add_entry("entry-helped", peers=[first.ports["peers"]])
        wait_for(lambda: is_ready(helped), "a peer's configuration makes the entry ready")
        status = lambda entry: call(entry.ports["admin"], "GET", "/status").json()
        assert status(helped)["version"] == status(first)["version"] > 0, status(helped)
        assert status(helped)["digest"] == status(first)["digest"], status(helped)
        caller = site.caller("entry-helped")
        wait_for(lambda: caller.complete(MODEL, "hello", 4).status == 200, "models are served in the outage")
        assert caller.read(APPLICATION_SERVICE, "/balance").status == 200
        action = caller.act(APPLICATION_SERVICE, "/enrol", "x")
        assert action.status == 503 and action.outcome == "not-run", action
        assert not is_ready(alone)
        site.control_platform(log_down=False)
        wait_for(lambda: is_ready(alone), "the entry without peers is ready after the outage")
        wait_for(lambda: caller.act(APPLICATION_SERVICE, "/enrol", "y").status == 201, "actions are served")
        assert not site.violations(), site.violations()
