"""Callers whose requests have nothing in common but parts of their prompts, and checks of what a part that crashes servers
costs."""
import threading
import time
import uuid

from support.crashing_requests import CONTACT_S
from support.gateway import Caller

MAX_LATE_REQUESTS = 3
CRASHES = 5


class PromptCallers:
    """Threads that send generations whose prompts begin with the same shared parts. Each request has a body and a last part
    of its own, and each next one goes to the next gateway. They send while they are entered."""

    def __init__(self, platform, gateways, route, parts, interval_s, callers=1, deadline_s=4.0):
        self.platform, self.gateways, self.route, self.parts = platform, gateways, route, parts
        self.interval_s, self.deadline_s = interval_s, deadline_s
        self.answers = []
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self._send, args=(number,)) for number in range(callers)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.is_over.set()
        for thread in self.threads:
            thread.join()

    def _send(self, number):
        while not self.is_over.is_set():
            number += 1
            caller = Caller(self.platform, self.gateways[number % len(self.gateways)])
            own = uuid.uuid4().hex[:8]
            listed = ",".join(f"{part}:200" for part in [*self.parts, own])
            sent_at = time.monotonic()
            answer = caller.send(f"/{self.route}/{own}", body=own.encode(), parts=listed, deadline_s=self.deadline_s)
            self.answers.append((sent_at, answer))
            caller.close()
            self.is_over.wait(self.interval_s)

    def served_since(self, begin):
        """Whether each request that was sent after `begin` was answered in full at its first attempt."""
        return [answer.status == 200 and answer.is_whole for sent_at, answer in self.answers if sent_at > begin]


def late_requests(platform, part, crashes=CRASHES):
    """Requests with the part that first reached a server later than two seconds after the fifth crash."""
    ends = platform.crash_runs[part]
    assert len(ends) >= 3, f"part {part} crashed {len(ends)} servers, so this run shows nothing"
    since = ends[min(crashes, len(ends)) - 1][0] + CONTACT_S
    first = {}
    for at, attempt in platform.crashing_arrivals[part]:
        first.setdefault(attempt, at)
    return [attempt for attempt, at in first.items() if at > since]


def check_late_requests(platform, part):
    late = late_requests(platform, part)
    assert len(late) <= MAX_LATE_REQUESTS, (
        f"{len(late)} requests with part {part}, which crashed {len(platform.crash_runs[part])} servers, reached servers later"
        f" than {CONTACT_S} s after the fifth crash")


def check_served_beside(platform, part, sound):
    """Sound requests that begin with the same parts are served at the first attempt, from twice the contact time after the
    last crash but for those that the late requests may break off."""
    since = platform.crash_runs[part][min(CRASHES, len(platform.crash_runs[part])) - 1][0] + 2 * CONTACT_S
    served = sound.served_since(since)
    assert len(served) >= 20, f"only {len(served)} sound requests, so this run shows nothing"
    lost = served.count(False)
    assert lost <= 2 * MAX_LATE_REQUESTS, f"{lost} of {len(served)} sound requests beside part {part} were not served"
