"""Callers of requests that crash their servers, and checks of how often these reach one."""
import json
import threading
import time

from support.gateway import Caller
from support.http_calls import call

MAX_LATE_RUNS = 3
CONTACT_S = 2.0


def send_again_and_again(platform, gateways, path, seconds, deadline_s=3.0, body=b"", **options):
    """A caller that comes back every 0.3 s, each time from another address and at another entry. It resumes a stream that
    broke off. `options` are those of `Caller.send`."""
    until = time.monotonic() + seconds
    number, begun = 0, None
    while time.monotonic() < until:
        caller = Caller(platform, gateways[number % len(gateways)])
        answer = caller.send(path, "GET" if path.startswith("/read/") else "POST", body, deadline_s=deadline_s, resumed=begun,
                             **options)
        if path.startswith("/resume/"):
            begun = answer if answer.status == 200 and not answer.is_whole and answer.events else begun
        caller.close()
        time.sleep(0.3)
        number += 1


def crash_all(platform, gateways, paths, seconds, deadline_s=3.0, **options):
    threads = [threading.Thread(target=send_again_and_again, args=(platform, gateways, path, seconds, deadline_s),
                                kwargs=options) for path in paths]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class PopularRead:
    """Callers at all entries that send one read, each time from another address."""

    def __init__(self, platform, gateways, path):
        self.answers = []
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self._send, args=(platform, gateway, path), daemon=True)
                        for gateway in gateways for _ in range(2)]
        for thread in self.threads:
            thread.start()

    def _send(self, platform, gateway, path):
        while not self.is_over.is_set():
            caller = Caller(platform, gateway)
            sent_at = time.monotonic()
            self.answers.append((sent_at, caller.send(path, "GET", b"", deadline_s=2.0)))
            caller.close()
            time.sleep(0.05)

    def since(self, begin):
        return [answer for sent_at, answer in self.answers if sent_at >= begin]

    def stop(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join()


def runs_after(platform, path, begin):
    return [run for run in platform.crash_runs[path] if run[0] > begin]


def check_late_runs(platform, path):
    """At most three sends reach servers later than two seconds after the third crash, which is the end of the third server:
    one that falls silent first ends two seconds after the run began."""
    runs, ends = platform.crash_runs[path], sorted(platform.crash_ends[path])
    assert len(ends) >= 3, f"{path} crashed {len(ends)} servers, so this run shows nothing"
    late = runs_after(platform, path, ends[2] + CONTACT_S)
    print(f"{path} reached servers {len(runs)} times, {len(late)} of them late")
    assert len(late) <= MAX_LATE_RUNS, (f"{path} reached servers {len(runs)} times, {len(late)} of them later than"
                                        f" {CONTACT_S} s after it had crashed the third:"
                                        f" {[round(at - ends[2], 3) for at, _ in late]} s after its end")


def quarantined_at(gateway):
    return json.loads(call(f"{gateway.host}:{gateway.metrics_port}", "GET", "/quarantine").body)["quarantined"]
