"""Whole answers without a length are not broken off because their server ends soon after them, and parts are no whole ones."""
import concurrent.futures
import itertools
import signal
import tempfile
import threading
import time

from run import ROOT, load_case
from support.gateway import Caller

ended_servers = load_case(ROOT / "gateway_partial_answers_of_ended_servers")

LOAD_S, PERIOD_S = 3.0, 0.04
PATHS = ("/text/a", "/resume/b", "/act/c", "/read/d", "/act/e", "/read/f")
ENGINES, PLAIN_SERVERS = ended_servers.ENGINES, ended_servers.PLAIN_SERVERS


def leave_after_answers(server, exit_after_s):
    server.order(leave_after_answers=exit_after_s)


def wait_unlisted(server):
    """It never reports that it drains: its record is removed, and it serves on until its last answer has ended."""
    server.order(unlist=True)
    server.is_unlisted.wait(5)
    time.sleep(1.5)
    while server.running:
        time.sleep(0.002)


def leave_unlisted(server, exit_after_s):
    wait_unlisted(server)
    time.sleep(exit_after_s)
    server.kill()


def freeze_unlisted(server, freeze_after_s):
    """It runs no longer, with all its connections open, and is killed 2 s later."""
    wait_unlisted(server)
    time.sleep(freeze_after_s)
    server.send_signal(signal.SIGSTOP)
    time.sleep(2)
    server.kill()


def leave_inside_answers(server, exit_after_s):
    server.order(leave=exit_after_s)


def leave_one_by_one(server, seconds):
    """Ends its answers 30 ms apart in an orderly way, then its idle connections, and exits 0.3 s later."""
    time.sleep(seconds)
    server.order(end_one_by_one=0.03)


def kill(server, seconds):
    time.sleep(seconds)
    server.kill()


# How servers end, its time in seconds, and settings of all servers.
WAYS = [(leave_after_answers, 0.02, {}), (leave_after_answers, 0.1, {}), (leave_after_answers, 0.3, {}),
        (leave_after_answers, 0.8, {}), (leave_after_answers, 0.1, {"closes_status": "draining"}),
        (leave_after_answers, 0.1, {"fails": True}), (leave_unlisted, 0.1, {}), (freeze_unlisted, 0.1, {}),
        (leave_inside_answers, 1.0, {}),
        (kill, 0.8, {}), (leave_one_by_one, 1.0, {})]
# What ends so soon before its server, or so soon after another answer and as one of the last, may have been ended by a stop.
MARGIN_S, SUCCESSION_S = 0.1, 0.06


class Scenario:
    """Three engines and two plain servers of a site end one after the other, under load."""

    def __init__(self, build, way, seconds, settings):
        self.build, self.way, self.seconds, self.settings = build, way, seconds, settings
        self.name = f"{way.__name__} {seconds} {settings}"
        self.answers, self.lock = [], threading.Lock()
        # When each server ended.
        self.ended = {}
        # Of the servers that end: whole answers that were broken off, number of whole ones and of parts; problems; and how the
        # ends of the former were checked.
        self.lost, self.whole, self.parts, self.problems, self.checks = [], 0, 0, [], []

    def play(self):
        with tempfile.TemporaryDirectory() as folder:
            site = ended_servers.Site(self.build, folder, framing="connection", **self.settings)
            try:
                self._play(site)
            finally:
                site.end()
                with open(site.gateway.log_path, errors="replace") as log:
                    lines = [line.strip() for line in log if "purpose=end_of_answer" in line]
                self.checks = [line for line in lines if any(text.split()[0] in line for text in self.lost)]
        return self

    def _play(self, site):
        def send(number, path):
            method, body = ("GET", b"") if path.startswith("/read/") else ("POST", b"{}")
            caller = Caller(site.platform, site.gateway)
            answer = caller.send(f"{path}/{number}", method, body, parts=f"{number:x}:200,{number:08x}:2800")
            caller.close()
            with self.lock:
                self.answers.append(answer)
                answer.path = path

        def leave(server):
            self.way(server, self.seconds)
            server.child.wait()
            self.ended[server] = time.monotonic()

        threads = []
        leaving = [each for pair in itertools.zip_longest(site.servers[:3], site.servers[ENGINES:ENGINES + 2]) for each in pair
                   if each]
        began = time.monotonic()
        for number in itertools.count():
            if time.monotonic() > began + LOAD_S:
                break
            threads.append(threading.Thread(target=send, args=(number, PATHS[number % len(PATHS)])))
            threads[-1].start()
            if leaving and time.monotonic() > began + 1 + 0.3 * (5 - len(leaving)):
                threads.append(threading.Thread(target=leave, args=(leaving.pop(0),)))
                threads[-1].start()
            time.sleep(PERIOD_S)
        for thread in threads:
            thread.join()
        time.sleep(0.1)
        self._check(site)

    def _check(self, site):
        self.problems += site.platform.violations
        whole = {attempt: (server, at) for server in self.ended for at, attempt in self._whole_answers(server)}
        self.parts = sum(len(server.running) for server in self.ended)
        is_failing = "fails" in self.settings
        for answer in self.answers:
            # What is answered with an error and may be repeated runs elsewhere.
            if answer.attempt not in whole or is_failing and answer.path.startswith(("/read/", "/resume/")):
                continue
            self.whole += 1
            server, ended_at = whole[answer.attempt]
            is_repeated = any(at > ended_at for at, _ in site.platform.run_history[answer.attempt])
            if answer.status != (500 if is_failing else 200) or not answer.is_whole or is_repeated:
                self.lost.append(f"{answer.attempt} {answer.path}: status {answer.status}, complete: {answer.is_whole},"
                                 f" {answer.events} events, repeated: {is_repeated}, at {server.name}")

    def _whole_answers(self, server):
        ends = [(at, line.split()[1]) for at, line in server.lines if line.startswith("end ")]

        def is_judged(at):
            near = [other for other, _ in ends if abs(other - at) < SUCCESSION_S]
            is_last = ends[-1][0] - max(near) < 2 * SUCCESSION_S
            is_late = self.way in (leave_inside_answers, kill) and at > self.ended[server] - MARGIN_S
            return not is_late and not (len(near) > 1 and is_last)

        return [each for each in ends if is_judged(each[0])]

    def summary(self):
        return (f"{self.name}: {len(self.lost)} of {self.whole} whole answers of ended servers broken off or repeated,"
                f" {self.parts} parts, {len(self.problems)} problems")


def run(build):
    scenarios = [Scenario(build, *way) for way in WAYS]
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        list(pool.map(lambda each: each.play(), scenarios))
    failed = []
    for scenario in scenarios:
        print(scenario.summary(), *scenario.problems[:5], sep="\n  ", flush=True)
        # A server that stops answers and connections one by one does not show which of the answers before were whole.
        is_lost = scenario.lost and scenario.way is not leave_one_by_one
        if is_lost or scenario.problems:
            print(*scenario.lost, *scenario.checks, sep="\n  ", flush=True)
            failed.append(scenario.name)
    assert not failed, failed
