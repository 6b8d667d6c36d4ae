"""A stream that its caller resumes at any entry has each event once and in order, while entries and servers end or freeze."""
import argparse
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
from support.server_process import ServerProcess, event_of, without_tags  # noqa: E402

EVENTS, EVENT_S = 60, 0.04
GATEWAYS, ENGINES, CALLERS = 4, 8, 20
MAX_RESUMPTIONS = 6


class Play:
    def __init__(self, build, folder, seed, framing, faults):
        self.random, self.framing, self.faults = random.Random(seed), framing, faults
        self.platform = FakePlatform(seed=seed, prefills=3, decodes=0, plain_servers=0, events=EVENTS)
        self.engines = [self.start_engine(f"i-{index:010x}") for index in range(ENGINES)]
        self.gateways = [Gateway(build, folder, f"gateway-{index}", self.platform.store.address, memory_mb=110,
                                 has_peers=True) for index in range(GATEWAYS)]
        self.is_over = threading.Event()
        self.counts = {"streams": 0, "resumptions": 0, "whole": 0, "whole_after_resumption": 0}
        self.problems = []

    def start_engine(self, name, address=None):
        framing = self.framing or self.random.choice(["connection", "chunked", "length"])
        return ServerProcess(self.platform, name, "decode", address=address, framing=framing, events=EVENTS, event_s=EVENT_S)

    def gateway_killed(self):
        gateway = self.random.choice(self.gateways)
        gateway.kill()
        time.sleep(self.random.uniform(0.1, 1))
        gateway.start()

    def gateway_terminated(self):
        gateway = self.random.choice(self.gateways)
        gateway.terminate()
        gateway.wait_exit(10)
        gateway.start()

    def gateway_frozen(self):
        gateway = self.random.choice(self.gateways)
        gateway.freeze()
        time.sleep(self.random.uniform(0.5, 2.5))
        gateway.thaw()

    def engine_killed(self):
        """It is back at its address, half of the times under its name."""
        index = self.random.randrange(ENGINES)
        engine = self.engines[index]
        engine.kill()
        time.sleep(self.random.choice([0, 0.3, 1]))
        name = engine.name if self.random.random() < 0.5 else f"i-{self.random.getrandbits(40):010x}"
        self.engines[index] = self.start_engine(name, engine.address)
        if name != engine.name:
            self.platform.call(self.platform.store.put("keyed.servers", engine.name, None))

    def engine_frozen(self):
        engine = self.random.choice(self.engines)
        engine.freeze()
        time.sleep(self.random.uniform(0.2, 2))
        engine.thaw()

    def engine_leaves(self):
        index = self.random.randrange(ENGINES)
        engine = self.engines[index]
        self.engines[index] = self.start_engine(f"i-{self.random.getrandbits(40):010x}").wait_listening()
        engine.order(leave=self.random.uniform(0.5, 2.5))
        engine.child.wait()
        self.platform.call(self.platform.store.put("keyed.servers", engine.name, None))

    def check(self, answer):
        """The events of an answer that ended early are the first ones that it owes, in order."""
        if answer.status != 200:
            return
        expected = b"".join(event_of(answer.attempt, index) for index in range(answer.first_event, EVENTS + 1))
        if not expected.startswith(without_tags(answer.body)):
            self.problems.append(f"{answer.attempt}: other events than {answer.first_event} and the next, in order")

    def send_streams(self, number):
        choice = random.Random(number)
        while not self.is_over.is_set():
            self.counts["streams"] += 1
            path, parts = f"/resume/{number}", f"{number:x}:200,{choice.getrandbits(30):x}:2800"
            last, is_resumed = None, False
            for _ in range(1 + MAX_RESUMPTIONS):
                caller = Caller(self.platform, choice.choice(self.gateways))
                answer = caller.send(path, parts=parts, resumed=last)
                caller.close()
                self.check(answer)
                if answer.status == 200:
                    is_resumed = is_resumed or last is not None
                    if answer.is_whole:
                        self.counts["whole"] += 1
                        self.counts["whole_after_resumption"] += is_resumed
                        break
                    if answer.events:
                        last = answer
                if last is not None:
                    self.counts["resumptions"] += 1
                time.sleep(choice.uniform(0, 0.2))

    def run(self, seconds):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()
        time.sleep(0.3)
        callers = [threading.Thread(target=self.send_streams, args=(number,)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        until = time.monotonic() + seconds
        faults = [threading.Thread(target=self._inject, args=(fault, until)) for fault in self.faults]
        for fault in faults:
            fault.start()
        for thread in faults:
            thread.join()
        self.is_over.set()
        for caller in callers:
            caller.join()
        self.problems += self.platform.violations

    def _inject(self, fault, until):
        time.sleep(self.random.uniform(0.5, 1.5))
        while time.monotonic() < until:
            fault(self)
            time.sleep(self.random.uniform(0.2, 1))

    def end(self):
        self.is_over.set()
        for process in self.gateways + self.engines:
            if process.child is not None and process.child.poll() is None:
                process.thaw()
            process.end()
        self.platform.end()


ENTRY_FAULTS = [Play.gateway_killed, Play.gateway_terminated, Play.gateway_frozen]
ENGINE_FAULTS = [Play.engine_killed, Play.engine_frozen, Play.engine_leaves]


def play(build, seed, framing, faults, seconds):
    with tempfile.TemporaryDirectory() as folder:
        site = Play(build, folder, seed, framing, faults)
        try:
            site.run(seconds)
        finally:
            site.end()
        text = f"seed {seed}, {framing or 'any framing'}, {', '.join(fault.__name__ for fault in faults)}: {site.counts}"
        return text, site.problems


def run(build):
    for seed, framing, faults in ((1, "connection", ENTRY_FAULTS), (2, "connection", ENGINE_FAULTS),
                                  (3, None, ENTRY_FAULTS + ENGINE_FAULTS)):
        text, problems = play(build, seed, framing, faults, 8)
        print(text, flush=True)
        assert not problems, problems[:10]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", default="1-10", help="first-last")
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    build = pathlib.Path(options.build).resolve() / "src"
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        choice = random.Random(seed)
        framing = choice.choice([None, "connection", "chunked"])
        faults = choice.choice([ENTRY_FAULTS, ENGINE_FAULTS, ENTRY_FAULTS + ENGINE_FAULTS])
        text, problems = play(build, seed, framing, faults, options.seconds)
        failed += bool(problems)
        print(text, *problems[:10], sep="\n  ", flush=True)
    print(f"{int(last or first) - int(first) + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
