"""No partial answer reaches its caller as a complete one when its process stops listening before it ends its answers, or accepts
the connection that checks it only after it has ended them."""
import tempfile

from run import ROOT, load_case
from support.gateway import Caller

ended_servers = load_case(ROOT / "gateway_partial_answers_of_ended_servers")


def stop_listening(site, server):
    server.order(stop_listening=3)
    server.child.wait()


def check_answer_that_ends_after_its_head(build):
    with tempfile.TemporaryDirectory() as folder:
        site = ended_servers.Site(build, folder, framing="connection")
        try:
            for server in site.servers:
                server.order(end_after_head=0.03)
            answer = Caller(site.platform, site.gateway).send("/text/a")
            assert not site.platform.violations, (site.platform.violations, answer.__dict__)
        finally:
            site.end()


def run(build):
    ended_servers.ENDS.append(stop_listening)
    scenario = ended_servers.Scenario(build, stop_listening, "connection").play()
    print(scenario.summary(), *scenario.problems[:3], sep="\n  ", flush=True)
    check_answer_that_ends_after_its_head(build)
    assert not scenario.problems
