"""No gateway handles a request by an older configuration: late, once more after a newer one, or by an invalid one, while the store,
links and gateways fail."""
import argparse
import json
import pathlib
import random
import sys
import tempfile
import threading
import time

if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from support.fake_platform import FakePlatform  # noqa: E402
from support.gateway import Caller, Gateway  # noqa: E402
from support.relay import Relay  # noqa: E402

# Smallest bounds of an installation.
APPLY_S, CONTACT_S, ROLLBACK_S = 2.0, 3.0, 0.25
# A version adds a route and drops the one that was added so many versions before.
KEPT = 6
CHANGE_S = (0.3, 1.2)


class Fault:
    """Something that takes a gateway, or with `gateway` None all of them, out of touch."""

    def __init__(self, gateway):
        self.gateway, self.began, self.ended = gateway, time.monotonic(), None


class Play:
    def __init__(self, build, folder, seed, gateways, filling):
        self.random, self.filling = random.Random(seed), filling
        self.platform = FakePlatform(seed=seed, prefills=1, decodes=1, plain_servers=4)
        self.relays = [Relay(self.platform.store.address) for _ in range(gateways)]
        self.gateways = [Gateway(build, folder, f"gateway-{index}", relay.address, memory_mb=88)
                         for index, relay in enumerate(self.relays)]
        # When each version was acknowledged, and the lifetime of each gateway's process.
        self.version, self.acknowledged, self.lifetimes = 1, {}, [0] * gateways
        self.faults, self.lock = [], threading.Lock()
        # When a gateway first showed a version, by its lifetime.
        self.shown = {}
        self.is_over = threading.Event()
        self.counts = {"requests": 0, "checked": 0, "changes": 0, "faults": 0}
        self.problems = []

    def routes(self):
        return [f"v{number}" for number in range(max(2, self.version - KEPT + 1), self.version + 1)]

    def change(self):
        self.version += 1
        self.platform.call(self.platform.configure(self.version, self.routes(), filling=self.filling))
        self.acknowledged[self.version] = time.monotonic()
        self.counts["changes"] += 1
        other = self.random.random()
        if other < 0.2:
            # Records that hold no configuration, and an older one.
            for value in ('{"version": %d, "routes": [' % (self.version + 5), "[]", json.dumps({"routes": []})):
                self.platform.call(self.platform.store.put("keyed.op", "config", value))
            self.platform.call(self.platform.configure(self.version, self.routes(), filling=self.filling))
        elif other < 0.3:
            self.platform.call(self.platform.configure(max(1, self.version - 3), [], filling=self.filling))
            self.platform.call(self.platform.configure(self.version, self.routes(), filling=self.filling))

    def change_often(self):
        while not self.is_over.is_set():
            self.change()
            time.sleep(self.random.uniform(*CHANGE_S))

    def is_in_touch(self, index, sent_at):
        with self.lock:
            return not any(fault.gateway in (None, index) and fault.began <= time.monotonic()
                           and (fault.ended is None or fault.ended > sent_at - CONTACT_S) for fault in self.faults)

    def send(self, index):
        choice = random.Random(index)
        caller = Caller(self.platform, self.gateways[index])
        while not self.is_over.is_set():
            number = choice.randint(max(2, self.version - KEPT - 2), max(2, self.version))
            lifetime, sent_at, version = self.lifetimes[index], time.monotonic(), self.version
            answer = caller.send(f"/v{number}/x", "GET", b"", deadline_s=2)
            self.counts["requests"] += 1
            if answer.status in (200, 404) and lifetime == self.lifetimes[index]:
                self.check(index, lifetime, number, answer.status, sent_at, version)
            time.sleep(0.02)

    def check(self, index, lifetime, number, status, sent_at, version):
        dropped = number + KEPT
        added_at, dropped_at = self.acknowledged.get(number), self.acknowledged.get(dropped)
        # The newest version that the answer shows to be in force, or the one that it shows not to be.
        if status == 200 and dropped_at and self.is_late(index, dropped_at, sent_at):
            self.problems.append(f"gateway {index} served v{number}, {sent_at - dropped_at:.2f} s after it was dropped")
        if status == 404 and added_at and version < dropped and self.is_late(index, added_at, sent_at):
            self.problems.append(f"gateway {index} knew no v{number}, {sent_at - added_at:.2f} s after it was added")
        shown = self.shown.setdefault((index, lifetime), {})
        if status == 200:
            shown.setdefault(number, time.monotonic())
            newer = [at for each, at in shown.items() if each >= dropped]
            if newer and sent_at > min(newer) + ROLLBACK_S:
                self.problems.append(f"gateway {index} served the dropped v{number} after a newer version")
        elif version < dropped and any(each >= number and sent_at > at + ROLLBACK_S for each, at in shown.items()):
            self.problems.append(f"gateway {index} knew no v{number} after it had served it or a newer one")
        self.counts["checked"] += 1

    def is_late(self, index, since, sent_at):
        return sent_at > since + APPLY_S and self.is_in_touch(index, sent_at)

    def fault(self, index, begin, end, seconds):
        """`index` None stands for all gateways."""
        with self.lock:
            fault = Fault(index)
            self.faults.append(fault)
        begin()
        time.sleep(seconds)
        end()
        fault.ended = time.monotonic()
        self.counts["faults"] += 1

    def store_fails(self):
        mode = self.random.choice(["silent", "refusing", "reset"])

        def set_mode(value):
            self.platform.store.mode = value
        self.fault(None, lambda: set_mode(mode), lambda: set_mode("serving"), self.random.uniform(0.5, 4))

    def link_is_cut(self):
        index = self.random.randrange(len(self.relays))
        relay = self.relays[index]
        self.fault(index, relay.cut, relay.restore, self.random.uniform(0.5, 4))

    def link_is_silent(self):
        index = self.random.randrange(len(self.relays))
        self.fault(index, self.relays[index].silence_open, lambda: None, 0)

    def links_are_silent(self):
        def silence():
            for relay in self.relays:
                relay.silence_open()
        self.fault(None, silence, lambda: None, 0)

    def gateway_ends(self):
        index = self.random.randrange(len(self.gateways))
        gateway = self.gateways[index]

        def restart():
            self.lifetimes[index] += 1
            gateway.kill()
            gateway.start()
        self.fault(index, restart, lambda: None, 0)

    def gateway_freezes(self):
        index = self.random.randrange(len(self.gateways))
        gateway, seconds = self.gateways[index], self.random.uniform(0.5, 3)
        # A request that arrives meanwhile is as old as the freeze when the gateway reads it.
        self.platform.timing_checks_off_until = time.monotonic() + seconds + CONTACT_S
        self.fault(index, gateway.freeze, gateway.thaw, seconds)

    def inject(self, until):
        while time.monotonic() < until:
            self.random.choice([self.store_fails, self.link_is_cut, self.link_is_silent, self.links_are_silent,
                                self.gateway_ends, self.gateway_freezes])()
            # Long enough for gateways to be in touch again at times.
            time.sleep(self.random.choice([0.2, 1, CONTACT_S + 3]))

    def run(self, seconds):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()
        threads = [threading.Thread(target=self.send, args=(index,)) for index in range(len(self.gateways))]
        threads.append(threading.Thread(target=self.change_often))
        for thread in threads:
            thread.start()
        try:
            self.inject(time.monotonic() + seconds)
            time.sleep(CONTACT_S + 1)
        finally:
            self.is_over.set()
            for thread in threads:
                thread.join()
        self.problems += self.platform.violations

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        for relay in self.relays:
            relay.end()
        self.platform.end()


def play(build, seed, gateways, seconds, filling=0):
    with tempfile.TemporaryDirectory() as folder:
        site = Play(build, folder, seed, gateways, filling)
        try:
            site.run(seconds)
        finally:
            site.end()
        return f"seed {seed}: {site.counts}", site.problems


def run(build):
    text, problems = play(build, 1, 6, 20)
    print(text, flush=True)
    assert not problems, problems[:10]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", default="1-3", help="first-last")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--gateways", type=int, default=29)
    parser.add_argument("--filling", type=int, default=0, help="bytes that are added to each configuration")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        text, problems = play(pathlib.Path(options.build).resolve() / "src", seed, options.gateways, options.seconds,
                              options.filling)
        failed += bool(problems)
        print(text, f"{len(problems)} problems", *problems[:10], sep="\n  ", flush=True)
    print(f"{int(last or first) - int(first) + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
