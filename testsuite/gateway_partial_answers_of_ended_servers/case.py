"""No partial answer reaches its caller as a complete one when the process that serves it ends."""
import concurrent.futures
import itertools
import signal
import tempfile
import threading
import time

from support.fake_platform import FakePlatform
from support.gateway import Caller, Gateway
from support.server_process import ServerProcess

EVENTS, EVENT_S = 60, 0.04
PLAIN_PART_S = 0.11
ENGINES, PLAIN_SERVERS = 6, 4
CALLS_PER_SERVER = 4
# Servers that end in each scenario, and the time between their ends.
ENDING, GAP_S = 3, 0.35
# Of requests that reach it inside their answers.
LIMIT_S = 1.0


class Site:
    """A platform whose engines and plain servers are processes, and a gateway."""

    def __init__(self, build, folder, **settings):
        self.settings = settings
        self.platform = FakePlatform(prefills=2, decodes=0, plain_servers=0, events=EVENTS)
        self.gateway = Gateway(build, folder, "gateway", self.platform.store.address, memory_mb=110)
        self.names = itertools.count(1)
        self.servers = [self.start_server("decode") for _ in range(ENGINES)]
        self.servers += [self.start_server(None) for _ in range(PLAIN_SERVERS)]
        for server in self.servers:
            server.wait_listening()
        self.gateway.start().wait_ready()
        time.sleep(0.3)

    def start_server(self, stage, name=None, address=None):
        number = next(self.names)
        return ServerProcess(self.platform, name or f"i-{number:010x}", stage, ("north", "south")[number % 2], address,
                             events=EVENTS, event_s=EVENT_S if stage else PLAIN_PART_S, **self.settings)

    def forget(self, server):
        """As the store does after three missed reports."""
        self.platform.call(self.platform.store.put("keyed.servers", server.name, None))

    def end(self):
        self.gateway.end()
        for server in self.servers:
            server.end()
        self.platform.end()


def kill(site, server):
    server.kill()


def terminate(site, server):
    """The default action of the signal: the process ends and its system closes what it had open."""
    server.send_signal(signal.SIGTERM)
    server.child.wait()


def leave(site, server):
    server.order(leave=0.5)
    server.child.wait()


def end_connections_first(site, server):
    server.order(end_connections=1.5)
    server.child.wait()


def end_idle_connections_first(site, server):
    server.order(end_idle_first=0.4)
    server.child.wait()


def end_connections_one_by_one(site, server):
    server.order(end_one_by_one=0.03)
    server.child.wait()


def reset_idle_connections(site, server):
    server.order(reset_idle=3.5)
    server.child.wait()


def unlist(site, server):
    server.order(unlist=True)
    server.is_unlisted.wait(5)
    time.sleep(0.15)
    server.kill()


def replace(site, server):
    """Another server has the address at once."""
    server.kill()
    site.servers.append(site.start_server(server.stage, address=server.address))


def restart(site, server):
    """The server starts again under its name and address at once."""
    server.kill()
    site.servers.append(site.start_server(server.stage, server.name, server.address))


def end_connections_of_closing_server(site, server):
    end_connections_first(site, server)


def end_connections_of_slow_server(site, server):
    """It has not answered a status call before it ends its answers."""
    server.order(end_connections=1.9)
    server.child.wait()


def drain_and_end_connections(site, server):
    server.order(drain_and_end=0.5)
    server.child.wait()


def restart_closing_server(site, server):
    restart(site, server)


def reach_time_limit(site, server):
    time.sleep(LIMIT_S)


ENDS = [kill, terminate, leave, end_connections_first, end_idle_connections_first, end_connections_one_by_one,
        reset_idle_connections, unlist, replace, restart, end_connections_of_closing_server,
        end_connections_of_slow_server, drain_and_end_connections, restart_closing_server, reach_time_limit]


def leave_late(site, server):
    server.order(leave=6)


def unlist_only(site, server):
    server.order(unlist=True)


def freeze_briefly(site, server):
    server.send_signal(signal.SIGSTOP)
    threading.Timer(0.3, server.send_signal, [signal.SIGCONT]).start()


def answer_slowly(site, server):
    server.order(status_delay_s=0.8)


def close_idle_connections(site, server):
    server.order(idle_s=1)


def close_idle_connections_early(site, server):
    pass


def close_status_connections(site, server):
    pass


def leave_late_and_close_status_connections(site, server):
    leave_late(site, server)


SOUND = [leave_late, unlist_only, freeze_briefly, answer_slowly, close_idle_connections, close_idle_connections_early,
         close_status_connections, leave_late_and_close_status_connections]

# Settings of all servers of a scenario.
SETTINGS = {
    end_connections_of_closing_server: {"closes_status": "always"},
    end_connections_of_slow_server: {"status_delay_s": 0.6},
    drain_and_end_connections: {"closes_status": "draining"},
    restart_closing_server: {"closes_status": "always"},
    reach_time_limit: {"ends_before_limit_s": 0.02},
    close_idle_connections_early: {"idle_s": 0.4},
    close_status_connections: {"closes_status": "always"},
    leave_late_and_close_status_connections: {"closes_status": "draining"},
}


class Scenario:
    """Many answers of a framing are under way when servers end one after the other."""

    def __init__(self, build, ending, framing):
        self.build, self.ending, self.framing = build, ending, framing
        self.name = f"{ending.__name__} {framing}"
        self.cut, self.answers = {}, {}
        self.problems, self.log = [], ""

    def play(self):
        with tempfile.TemporaryDirectory() as folder:
            site = Site(self.build, folder, framing=self.framing, **SETTINGS.get(self.ending, {}))
            try:
                self._play(site)
            finally:
                site.end()
                with open(site.gateway.log_path, errors="replace") as log:
                    self.log = log.read()
        return self

    def _play(self, site):
        paths = ["/text/a", "/resume/b"] * (ENGINES * CALLS_PER_SERVER // 2)
        paths += ["/act/c", "/read/d"] * (PLAIN_SERVERS * CALLS_PER_SERVER // 2)

        def send(number, path):
            method, body = ("GET", b"") if path.startswith("/read/") else ("POST", b"{}")
            caller = Caller(site.platform, site.gateway)
            limit = {"deadline_s": LIMIT_S} if self.ending is reach_time_limit else {}
            answer = caller.send(f"{path}/{number}", method, body, parts=f"{number:x}:200,{number:08x}:2800", **limit)
            caller.close()
            self.answers[answer.attempt] = answer
            answer.path = path

        threads = [threading.Thread(target=send, args=each) for each in enumerate(paths)]
        for thread in threads:
            thread.start()
            time.sleep(0.004)
        time.sleep(0.4)
        ends = []
        for engine, plain in zip(site.servers[:ENDING], site.servers[ENGINES:ENGINES + ENDING]):
            for server in (plain, engine):
                ends.append(threading.Thread(target=self._end_server, args=(site, server)))
                ends[-1].start()
            time.sleep(GAP_S)
        for thread in threads + ends:
            thread.join()
        if self.ending is reach_time_limit:
            self.cut = {server.name: dict(server.running) for server in site.servers}
        self._check(site)

    def _end_server(self, site, server):
        self.ending(site, server)
        if self.ending in ENDS:
            time.sleep(0.1)
            # What still ran there has not reached its end.
            self.cut[server.name] = dict(server.running)

    def _check(self, site):
        self.problems += site.platform.violations
        cut = {attempt for attempts in self.cut.values() for attempt in attempts}
        for attempt, answer in self.answers.items():
            # A request that was turned away or failed before an answer began does not bear on this.
            is_cut = attempt in cut
            if answer.status == 200 and not answer.is_whole and not is_cut:
                self.problems.append(f"{attempt} {answer.path}: broken off at a server that did not end, {answer.events} events")
        if self.ending in ENDS and not cut:
            self.problems.append("no answer was under way when its server ended")
        if self.ending in SOUND:
            self.problems += [f"{attempt} {answer.path}: status {answer.status}, complete: {answer.is_whole}"
                              for attempt, answer in self.answers.items() if answer.status != 200 or not answer.is_whole]

    def summary(self):
        cut = {attempt: self.answers.get(attempt) for attempts in self.cut.values() for attempt in attempts}
        rows = []
        for path in ("/text/a", "/resume/b", "/act/c", "/read/d"):
            found = [answer for answer in cut.values() if answer is not None and answer.path == path]
            false = [answer for answer in found if any(answer.attempt in each for each in self.problems)]
            rows.append(f"{path}: {len(false)} of {len(found)}")
        return f"{self.name}: partial answers that look complete, of those cut: {', '.join(rows)}; answers {len(self.answers)}"


def play_all(build, scenarios, jobs):
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(lambda each: Scenario(build, *each).play(), scenarios))


def run(build):
    scenarios = list(itertools.product(ENDS + SOUND, ("connection", "chunked", "length")))
    failed = []
    for scenario in play_all(build, scenarios, jobs=3):
        if scenario.problems:
            failed.append(scenario)
            print(scenario.summary(), *scenario.problems[:5], sep="\n  ", flush=True)
    assert not failed, [each.name for each in failed]
