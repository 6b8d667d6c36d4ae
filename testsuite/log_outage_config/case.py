"""During a log outage requests are served, a new entry gets the configuration from a peer, and none reverts."""
from support.http_calls import call, wait_for
from support.site import MODEL, small_site


def versions(site):
    found = {}
    for name, process in {**site.entries, **{b.name: b.agent for b in site.backends.values()}}.items():
        for line in call(process.ports["admin"], "GET", "/metrics").body.splitlines():
            if line.startswith("peridot_configuration_version "):
                found[name] = int(float(line.split()[1]))
    return found


def run(build):
    with small_site(build, prefills=1, decodes=1) as site:
        wait_for(lambda: set(versions(site).values()) == {1}, "version 1 is in force everywhere")
        site.control_platform(log_down=True)
        assert site.caller().complete(MODEL, "During the outage", 4).outcome == "answered"
        peers = [site.entries["entry-1"].ports["peers"]]
        site.add_entry("entry-2", peers=peers)
        wait_for(lambda: versions(site).get("entry-2") == 1, "the new entry has version 1 from a peer")
        wait_for(lambda: site.caller("entry-2").complete(MODEL, "Served by the new entry", 4).status == 200,
                 "the new entry serves")
        assert set(versions(site).values()) == {1}, versions(site)
        site.control_platform(log_down=False)
        second = site.configure(base=1)
        wait_for(lambda: set(versions(site).values()) == {second}, "the second version is in force everywhere")
        stale = site.configure(base=1)
        third = site.configure(base=second)
        wait_for(lambda: set(versions(site).values()) == {third}, "the third version is in force everywhere")
        assert stale not in versions(site).values()
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
