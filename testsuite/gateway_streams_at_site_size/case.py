"""Streams have each event once, in order, of one software version and to the end, at an installation with tenants, quotas and slow
callers whose entries, engines and plain servers are a process each, while all kinds of processes end, freeze or reset, one after the
other and at once, and new versions are released."""
import argparse
import collections
import contextlib
import pathlib
import random
import sys
import tempfile
import threading
import time

if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from run import ROOT, load_case  # noqa: E402
from support.fake_platform import FakePlatform  # noqa: E402
from support.gateway import Caller, Gateway  # noqa: E402
from support.server_process import ServerProcess, event_of  # noqa: E402

resumed_streams = load_case(ROOT / "gateway_gaps_and_repeats_in_resumed_streams")

EVENTS, EVENT_S = 60, 0.03
MAX_RESUMPTIONS = 6
TENANTS = 16


class Size:
    """Numbers of processes and callers."""

    def __init__(self, gateways, large_gateways, engines, prefills, plain_servers, callers):
        self.gateways, self.large_gateways, self.engines = gateways, large_gateways, engines
        self.prefills, self.plain_servers, self.callers = prefills, plain_servers, callers


SMALL = Size(6, 1, 10, 3, 2, 24)
MTSVANE = Size(29, 6, 52, 18, 3, 107)
ZELENICA = Size(5, 5, 12, 6, 3, 40)
SIZES = {"small": SMALL, "mtsvane": MTSVANE, "zelenica": ZELENICA}


class Play(resumed_streams.Play):
    def __init__(self, build, folder, seed, framing, faults, size, has_versions=True):
        """Without `has_versions` releases replace servers by ones of the same version."""
        self.random, self.framing, self.faults, self.size = random.Random(seed), framing, faults, size
        self.has_versions, self.release = has_versions, 1
        self.platform = FakePlatform(seed=seed, prefills=size.prefills, decodes=0, plain_servers=0, events=EVENTS)
        self.platform.tenants = {f"Bearer key-{number}": f"tenant-{number}" for number in range(TENANTS)}
        self.version = 1
        self.configure()
        self.engines = [self.start_engine(f"i-{index:010x}") for index in range(size.engines)]
        self.plain_servers = [self.start_plain_server(f"i-{index:08x}ff") for index in range(size.plain_servers)]
        for server in self.engines + self.plain_servers:
            server.wait_listening()
        self.gateways = [Gateway(build, folder, f"gateway-{index}", self.platform.store.address,
                                 memory_mb=512 if index < size.large_gateways else 88, has_peers=True)
                         for index in range(size.gateways)]
        self.is_over = threading.Event()
        self.counts = {"streams": 0, "resumptions": 0, "whole": 0, "whole_after_resumption": 0, "broken_off": 0, "refused": 0,
                       "plain": 0, "faults": 0, "releases": 0, "resumed_answers": collections.Counter()}
        # Servers that have left the list and go on serving.
        self.leaving, self.answers = [], []
        self.problems = []
        # Processes that a fault has taken: the list and the index.
        self.lock, self.in_use = threading.Lock(), set()

    def configure(self):
        self.version += 1
        tenants = [{"name": f"tenant-{number}", "api_keys": [f"key-{number}"],
                    "priority": number % 3, "quota": {"rate_per_s": 200_000, "burst": 200_000, "unit": "token_stream"}}
                   for number in range(TENANTS)]
        self.platform.call(self.platform.configure(self.version, tenants=tenants,
                                                   extra_routes=[f"extra-{index}" for index in range(self.version % 7)]))

    @property
    def software(self):
        return f"v{self.release}"

    def start_engine(self, name, address=None, version=None, listed_after_s=0):
        framing = self.framing or self.random.choice(["connection", "connection", "chunked", "length"])
        return ServerProcess(self.platform, name, "decode", address=address, framing=framing, events=EVENTS, event_s=EVENT_S,
                             version=version or self.software, is_tagged=True, listed_after_s=listed_after_s)

    def start_plain_server(self, name, address=None):
        return ServerProcess(self.platform, name, None, address=address, event_s=0.003,
                             framing=self.framing or self.random.choice(["connection", "length"]))

    @contextlib.contextmanager
    def taken(self, processes, count=1):
        """Indices of processes that no other fault has taken."""
        with self.lock:
            free = [index for index in range(len(processes)) if (id(processes), index) not in self.in_use]
            chosen = self.random.sample(free, min(count, len(free)))
            self.in_use.update((id(processes), index) for index in chosen)
        try:
            yield chosen
        finally:
            with self.lock:
                self.in_use.difference_update((id(processes), index) for index in chosen)

    def gateways_killed(self, count=1):
        with self.taken(self.gateways, count) as chosen:
            for index in chosen:
                self.gateways[index].kill()
            time.sleep(self.random.uniform(0.1, 1))
            for index in chosen:
                self.gateways[index].start()

    def many_gateways_killed(self):
        self.gateways_killed(len(self.gateways) // 2)

    def gateway_terminated(self):
        with self.taken(self.gateways) as chosen:
            for index in chosen:
                self.gateways[index].terminate()
                self.gateways[index].wait_exit(10)
                self.gateways[index].start()

    def gateway_frozen(self):
        with self.taken(self.gateways) as chosen:
            self.freeze_briefly([self.gateways[index] for index in chosen], 2.5)

    def engine_frozen(self):
        with self.taken(self.engines) as chosen:
            self.freeze_briefly([self.engines[index] for index in chosen], 2)

    def freeze_briefly(self, processes, longest_s):
        for process in processes:
            process.freeze()
        time.sleep(self.random.uniform(0.2, longest_s))
        for process in processes:
            process.thaw()

    def restart_engine(self, index, end, pause_s, is_renamed):
        """It is back at its address."""
        engine = self.engines[index]
        end(engine)
        time.sleep(pause_s)
        name = f"i-{self.random.getrandbits(40):010x}" if is_renamed else engine.name
        self.engines[index] = self.start_engine(name, engine.address, engine.version).wait_listening()
        if is_renamed:
            self.platform.call(self.platform.store.put("keyed.servers", engine.name, None))

    def engine_killed(self):
        with self.taken(self.engines) as chosen:
            for index in chosen:
                self.restart_engine(index, ServerProcess.kill, self.random.choice([0, 0.3, 1]), self.random.random() < 0.5)

    def engine_flaps(self):
        with self.taken(self.engines) as chosen:
            for index in chosen * 3:
                self.restart_engine(index, ServerProcess.kill, 0.5, False)
                time.sleep(0.5)

    def engine_terminated(self):
        """It ends at once, by the default action of the signal."""
        with self.taken(self.engines) as chosen:
            for index in chosen:
                self.restart_engine(index, terminate_at_once, 0.1, True)

    def engine_leaves(self):
        with self.taken(self.engines) as chosen:
            for index in chosen:
                engine = self.engines[index]
                self.engines[index] = self.start_engine(f"i-{self.random.getrandbits(40):010x}").wait_listening()
                engine.order(leave=self.random.uniform(0.5, 2.5))
                engine.child.wait()
                self.platform.call(self.platform.store.put("keyed.servers", engine.name, None))

    def engine_resets_streams(self):
        with self.taken(self.engines) as chosen:
            for index in chosen:
                self.engines[index].order(resets_after=self.random.randrange(1, EVENTS))
                time.sleep(1)
                self.engines[index].order(resets_after=None)

    def plain_server_killed(self):
        with self.taken(self.plain_servers) as chosen:
            for index in chosen:
                server = self.plain_servers[index]
                server.kill()
                time.sleep(0.3)
                self.plain_servers[index] = self.start_plain_server(server.name, server.address).wait_listening()

    def configuration_changed(self):
        self.configure()

    def replace_engine(self, index):
        """By one of the newest version, in one of the ways in which servers go."""
        engine = self.engines[index]
        way = self.random.choice(["drains", "unlisted", "same_name", "same_name_listed_late"])
        if way.startswith("same_name"):
            engine.kill()
            time.sleep(self.random.choice([0, 0, 0.5]))
            late = self.random.uniform(0.5, 1.5) if way == "same_name_listed_late" else 0
            self.engines[index] = self.start_engine(engine.name, engine.address, listed_after_s=late).wait_listening()
            return
        self.engines[index] = self.start_engine(f"i-{self.random.getrandbits(40):010x}").wait_listening()
        if way == "unlisted":
            # It goes on serving for many seconds.
            engine.order(unlist=True)
            self.leaving.append(engine)
            return
        engine.order(leave=self.random.uniform(0.5, 2.5))
        engine.child.wait()
        self.platform.call(self.platform.store.put("keyed.servers", engine.name, None))

    def released(self):
        """All engines are replaced by a newer version, one after the other or many at once."""
        self.release += self.has_versions
        for prefill in self.platform.engines:
            self.platform.call(prefill.crash())
            time.sleep(0.1)
            prefill.version = self.software
            self.platform.call(prefill.start())
        at_once = self.random.choice([1, 1, len(self.engines) // 4, len(self.engines)])
        while behind := [index for index, each in enumerate(self.engines)
                         if each.version != self.software or not self.has_versions and self.random.random() < 0.2]:
            with self.taken(self.engines, at_once) as chosen:
                replaced = [threading.Thread(target=self.replace_engine, args=(index,)) for index in chosen if index in behind]
                for thread in replaced:
                    thread.start()
                for thread in replaced:
                    thread.join()
            if self.is_over.is_set():
                return
            time.sleep(0.05)
        self.counts["releases"] += 1
        time.sleep(self.random.uniform(0, 3))

    def store_away(self):
        self.platform.store.mode = self.random.choice(["silent", "refusing", "reset"])
        time.sleep(self.random.choice([0.5, 1, 4]))
        self.platform.store.mode = "serving"
        time.sleep(self.random.uniform(1, 4))

    def check(self, answer):
        if answer.status == 200 and not answer.is_whole:
            self.counts["broken_off"] += 1
        elif answer.status != 200:
            self.counts["refused"] += 1
        self.answers.append((answer.attempt, answer.versions))
        super().check(answer)

    def send_streams(self, number):
        choice = random.Random(number)
        fields = {"Authorization": f"Bearer key-{number % TENANTS}"}
        pause = choice.choice([None, None, 0.05])
        while not self.is_over.is_set():
            path = f"{choice.choice(['/text', '/resume', '/resume'])}/{number}"
            # Some requests are equal.
            parts = f"{number:x}:200,{choice.choice([7, choice.getrandbits(30)]) if number % 4 == 0 else choice.getrandbits(30):x}:2800"
            names_stream = number % 2 == 0
            self.counts["streams"] += 1
            last, is_resumed = None, False
            for _ in range(1 + MAX_RESUMPTIONS):
                caller = Caller(self.platform, choice.choice(self.gateways))
                answer = caller.send(path, parts=parts, resumed=last, fields=fields, pause_s=pause, deadline_s=14,
                                     names_stream=names_stream)
                caller.close()
                self.check(answer)
                if last is not None:
                    self.counts["resumed_answers"][answer.status] += 1
                if answer.status == 200:
                    is_resumed = is_resumed or last is not None
                    if answer.is_whole:
                        self.counts["whole"] += 1
                        self.counts["whole_after_resumption"] += is_resumed
                        break
                    if not path.startswith("/resume"):
                        break
                    if answer.events:
                        last = answer
                if last is not None:
                    self.counts["resumptions"] += 1
                # Some come back late.
                time.sleep(choice.uniform(2, 6) if choice.random() < 0.05 else choice.uniform(0, 0.2))
            for kind, method in (("/act", "POST"), ("/read", "GET")):
                caller = Caller(self.platform, choice.choice(self.gateways))
                caller.send(f"{kind}/{number}", method, b"{}" if method == "POST" else b"", deadline_s=2, fields=fields)
                caller.close()
                self.counts["plain"] += 1

    def _inject(self, fault, until):
        time.sleep(self.random.uniform(0.5, 1.5))
        while time.monotonic() < until:
            try:
                fault(self)
                self.counts["faults"] += 1
            except Exception as problem:
                self.problems.append(f"{fault.__name__}: {problem!r}")
                return
            time.sleep(self.random.uniform(0.2, 1))

    def run(self, seconds):
        resumed_streams.CALLERS = self.size.callers
        resumed_streams.ENGINES = self.size.engines
        super().run(seconds)
        self.counts["runs"] = sum(self.platform.runs.values())
        for attempt, versions in self.answers:
            if not versions <= self.platform.run_versions[attempt]:
                self.problems.append(f"{attempt} has events of {versions}, ran at {self.platform.run_versions[attempt]}")
        store = self.platform.store
        self.counts["joined"] = sum(len(versions) > 1 for versions in self.platform.caller_versions.values())
        self.counts["store_calls"] = sum(count for topic, count in store.calls.items() if topic != "heartbeats")
        self.counts["store_calls_of"] = {topic: store.calls[topic] for topic in ("peridotgrade.streams", "keyed.peridotgrade.versions")}
        self.counts["origin_bytes"] = store.sent_bytes["peridotgrade.streams"]

    def end(self):
        for server in self.plain_servers + self.leaving:
            server.end()
        super().end()


def terminate_at_once(server):
    server.child.terminate()
    server.child.wait()


FAULTS = [Play.gateways_killed, Play.many_gateways_killed, Play.gateway_terminated, Play.gateway_frozen, Play.engine_killed,
          Play.engine_frozen, Play.engine_leaves, Play.engine_flaps, Play.engine_resets_streams, Play.engine_terminated,
          Play.plain_server_killed, Play.configuration_changed]


RELEASES = [Play.released, Play.store_away]


def play(build, seed, framing, faults, seconds, size, has_versions=True):
    with tempfile.TemporaryDirectory() as folder:
        site = Play(build, folder, seed, framing, faults, size, has_versions)
        try:
            site.run(seconds)
        finally:
            site.end()
        return f"seed {seed}, {framing or 'any framing'}: {site.counts}", site.problems


def run(build):
    for seed, faults in ((1, FAULTS), (2, FAULTS + RELEASES)):
        text, problems = play(build, seed, None, faults, 8, SMALL)
        print(text, flush=True)
        assert not problems, problems[:10]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", default="1-3", help="first-last")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--size", choices=SIZES, default="mtsvane")
    parser.add_argument("--no-releases", action="store_true")
    parser.add_argument("--one-version", action="store_true", help="releases replace servers by ones of the same version")
    parser.add_argument("--framing", choices=["connection", "chunked", "length"])
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        faults = FAULTS if options.no_releases else FAULTS + RELEASES
        text, problems = play(pathlib.Path(options.build).resolve() / "src", seed, options.framing, faults, options.seconds,
                              SIZES[options.size], not options.one_version)
        failed += bool(problems)
        print(text, f"{len(problems)} problems", *problems[:10], sep="\n  ", flush=True)
    print(f"{int(last or first) - int(first) + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
