"""Entries are replaced one by one while the log is down; then a burst of changes reaches every process."""
import json

from support.http_calls import call, wait_for
from support.site import MODEL, Site, sha256

BURST = 40


def status(process):
    return call(process.ports["admin"], "GET", "/status").json()


def configuration_states(processes):
    return {(each["version"], each["digest"], each["isReady"]) for each in map(status, processes)}


def change(number, base):
    workspace = {"id": f"workspace-{number}", "keySha256": sha256(f"key {number}"), "priority": "normal"}
    return json.dumps({"kind": "confirmed", "plan": f"{number:032x}", "base": base, "operator": "desk-operator",
                       "summary": "one workspace more", "changes": [{"setWorkspace": workspace}]})


def is_ready(process):
    return call(process.ports["admin"], "GET", "/health/ready").status == 200


def entries_are_replaced_in_an_outage(site):
    expected = configuration_states(site.entries.values())
    assert len(expected) == 1, expected
    site.control_platform(log_down=True)
    for old, new in (("entry-1", "entry-3"), ("entry-2", "entry-4")):
        peers = [entry.ports["peers"] for entry in site.entries.values()]
        entry = site.add_entry(new, peers=peers)
        wait_for(lambda: is_ready(entry), f"{new} has the configuration from a peer")
        assert configuration_states([entry]) == expected, (configuration_states([entry]), expected)
        site.entries.pop(old).kill()
    wait_for(lambda: site.caller("entry-4").complete(MODEL, "still there?", 2).status == 200, "entry-4 serves")


def an_entry_without_peers_is_not_ready(site):
    isolated = site.add_entry("entry-5")
    assert not is_ready(isolated) and not status(isolated)["isReady"]


def a_burst_reaches_everybody(site, base):
    site.control_platform(log_down=False)
    version = base
    for number in range(BURST):
        version = site.append("configuration", change(number, version)) + 1
        # A competing change with the same base comes later in the log and is void.
        site.append("configuration", change(BURST + number, version - 1 if number == 0 else base))
    processes = list(site.entries.values()) + [backend.agent for backend in site.backends.values()]
    wait_for(lambda: {each[0] for each in configuration_states(processes)} == {version},
             "the burst is in force everywhere")
    assert len(configuration_states(processes)) == 1, configuration_states(processes)


def run(build):
    with Site(build) as site:
        site.add_engine("prefill-1", "prefill")
        site.add_engine("decode-1", "decode")
        for name in ("entry-1", "entry-2"):
            site.add_entry(name)
        base = site.configure()
        site.wait_until_serving()
        entries_are_replaced_in_an_outage(site)
        an_entry_without_peers_is_not_ready(site)
        a_burst_reaches_everybody(site, base)
        assert not site.violations(), site.violations()
