"""A stream that its caller resumes has events of one software version, whichever entries and servers were replaced meanwhile."""
import concurrent.futures
import contextlib
import functools
import pathlib
import sys
import tempfile
import time

if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from support.fake_platform import FakePlatform  # noqa: E402
from support.gateway import Caller, Gateway  # noqa: E402
from support.http_calls import wait_for  # noqa: E402
from support.relay import Relay  # noqa: E402
from support.server_process import ServerProcess  # noqa: E402

EVENTS, EVENT_S = 60, 0.03
BYTES_OF_SOME_EVENTS = 500
# The list of servers is read every 1.4 s.
LIST_S = 2
# Streams begin at a version this long after it was listed.
SETTLE_S = 3.5


def at_once(call, values):
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        return list(pool.map(call, values))


class Site:
    """Gateways with a link to the store each, and engines that are a process each."""

    def __init__(self, build, folder, gateways=3, engines=4):
        self.platform = FakePlatform(prefills=2, decodes=0, plain_servers=0, events=EVENTS)
        self.engines = [self.start_engine(f"i-{index:010x}", "v1") for index in range(engines)]
        for engine in self.engines:
            engine.wait_listening()
        self.links = [Relay(self.platform.store.address) for _ in range(gateways)]
        retries = {"ratio": 1, "extra": 1000}
        self.gateways = [Gateway(build, folder, f"gateway-{index}", link.address, retries=retries, has_peers=True)
                         for index, link in enumerate(self.links)]
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()
        time.sleep(0.3)

    def start_engine(self, name, version, address=None, **options):
        return ServerProcess(self.platform, name, "decode", address=address, version=version, is_tagged=True, framing="chunked",
                             events=EVENTS, event_s=EVENT_S, **options)

    def begin(self, gateway, number, path="/resume/begun", parts=None):
        """A stream whose caller disconnects in the middle."""
        answer = Caller(self.platform, self.gateways[gateway]).send(
            path, parts=parts or f"5c1e:200,{number:x}:2800", disconnect_after=BYTES_OF_SOME_EVENTS)
        answer.parts = parts or f"5c1e:200,{number:x}:2800"
        return answer

    def begin_some(self, gateway, count, first=1):
        """Streams that began, of at most `count`."""
        answers = at_once(lambda number: self.begin(gateway, number), range(first, first + count))
        begun = [answer for answer in answers if answer.status == 200 and answer.events]
        assert begun, [(answer.status, answer.body[:80]) for answer in answers]
        return begun

    def resume(self, gateway, begun, names_stream=True, path="/resume/begun"):
        return Caller(self.platform, self.gateways[gateway]).send(path, parts=begun.parts, resumed=begun, names_stream=names_stream)

    def resume_all(self, gateway, streams, names_stream=True):
        return at_once(lambda each: self.resume(gateway, each, names_stream), streams)

    def restart_gateway(self, gateway):
        self.gateways[gateway].kill()
        self.gateways[gateway].start()
        wait_for(self.gateways[gateway].is_ready, f"gateway-{gateway} is ready")

    def remove(self, engine):
        engine.kill()
        self.platform.call(self.platform.store.put("keyed.servers", engine.name, None))

    def release(self, version, keeps_names=False):
        """Replaces all engines at once, under new names or the same."""
        old, self.engines = self.engines, []
        for index, engine in enumerate(old):
            name = engine.name if keeps_names else f"i-{version.encode().hex()}{index:08x}"
            if keeps_names:
                engine.kill()
            self.engines.append(self.start_engine(name, version, engine.address if keeps_names else None).wait_listening())
        for engine in [] if keeps_names else old:
            self.remove(engine)
        for engine in self.platform.engines:
            self.platform.call(engine.crash())
            engine.version = version
            self.platform.call(engine.start())
        time.sleep(LIST_S)

    def check(self, what):
        assert not self.platform.violations, (what, self.platform.violations[:10], len(self.platform.violations))

    def end(self):
        for process in self.gateways + self.engines:
            process.end()
        for link in self.links:
            link.end()
        self.platform.end()


@contextlib.contextmanager
def site(build, **options):
    with tempfile.TemporaryDirectory() as folder:
        place = Site(build, folder, **options)
        try:
            yield place
        finally:
            place.end()


def answered(answers):
    return sum(answer.status == 200 for answer in answers)


def check_entry_started_after_the_release(build, names_stream):
    with site(build) as place:
        begun = place.begin_some(0, 8)
        place.gateways[0].kill()
        place.release("v2")
        place.restart_gateway(1)
        answers = place.resume_all(1, begun, names_stream)
        place.check(f"resumed at an entry that started after v1 had gone, {names_stream=}")
        assert all(answer.status == 503 and "Retry-After" in answer.headers for answer in answers), answers[0].__dict__


def check_servers_started_again_under_their_names(build, report_s=0):
    """Streams begin there before the list shows the new version. Reports take `report_s`."""
    with site(build) as place:
        for engine in place.engines:
            engine.order(status_delay_s=report_s)
        for index in range(2):
            engine = place.engines[index]
            engine.kill()
            place.engines[index] = place.start_engine(engine.name, "v2", engine.address, listed_after_s=LIST_S,
                                                      status_delay_s=report_s).wait_listening()
        begun = place.begin_some(0, 12)
        place.resume_all(1, begun, names_stream=False)
        time.sleep(LIST_S + 1)
        place.resume_all(1, begun)
        place.check("begun at servers that had started again under their names")


def check_server_started_again_within_one_answer(build):
    """The entry resumes at a server whose record is that of its predecessor."""
    with site(build, engines=2) as place:
        first, second = place.engines
        second.kill()
        place.engines[1] = place.start_engine(second.name, "v2", second.address, listed_after_s=4).wait_listening()
        first.order(resets_after=20)
        at_once(lambda number: Caller(place.platform, place.gateways[0]).send("/resume/broken", parts=f"5c1e:200,{number:x}:2800"),
                range(6))
        place.check("resumed within the answer at a server that had started again under its name")


def check_entry_without_the_store(build, names_stream):
    """Its list has only servers of the version that has left the list and goes on serving."""
    with site(build) as place:
        place.links[1].is_stalled = True
        old = list(place.engines)
        place.engines = [place.start_engine(f"i-v2{index:08x}", "v2").wait_listening() for index in range(4)]
        for engine in old:
            engine.order(unlist=True)
            assert engine.is_unlisted.wait(5)
        time.sleep(LIST_S + SETTLE_S)
        begun = place.begin_some(0, 8)
        place.resume_all(1, begun, names_stream)
        place.engines += old
        place.check(f"resumed at an entry that cannot read the store, {names_stream=}")


def check_equal_requests_of_one_caller(build):
    """Beside two versions streams go on by the attempt's id only: an equal request may have begun another one elsewhere."""
    with site(build) as place:
        place.engines += [place.start_engine(f"i-v2{index:08x}", "v2").wait_listening() for index in range(4)]
        time.sleep(LIST_S + SETTLE_S)
        streams = at_once(lambda number: place.begin(0, number, parts="5c1e:200,7:2800"), range(10))
        versions = {version for each in streams for version in each.versions}
        assert versions == {"v1", "v2"}, versions
        time.sleep(0.5)
        for entry in (0, 1):
            answers = place.resume_all(entry, streams, names_stream=False)
            place.check(f"equal requests resumed without an id at entry {entry}")
            assert answered(answers) == 0, [answer.status for answer in answers]
            assert answered(place.resume_all(entry, streams)) == len(streams)
        place.check("equal requests resumed by id")
        # One entry cannot put its origins on record.
        place.links[2].is_stalled = True
        place.resume_all(0, at_once(lambda number: place.begin(2, number, parts="5c1e:200,7:2800"), range(10)), names_stream=False)
        place.check("equal requests resumed whose origins are not on record")


def check_frozen_entry(build):
    """While it is frozen, a version comes and leaves the list, and its servers go on serving."""
    with site(build) as place:
        place.gateways[1].freeze()
        newer = [place.start_engine(f"i-v2{index:08x}", "v2").wait_listening() for index in range(4)]
        time.sleep(LIST_S + SETTLE_S)
        begun = [each for each in place.begin_some(0, 12) if each.versions == {"v2"}]
        assert begun
        for engine in newer:
            engine.order(unlist=True)
            assert engine.is_unlisted.wait(5)
        place.engines += newer
        place.gateways[1].thaw()
        # Before and after it has read the list.
        place.resume_all(1, begun, names_stream=False)
        time.sleep(LIST_S)
        place.resume_all(1, begun, names_stream=False)
        place.check("resumed at an entry that was frozen")


def check_one_version(build, names_stream):
    """None of its streams is refused: the entries that began them were killed, and others have just started."""
    with site(build) as place:
        for round_ in range(2):
            begun = place.begin_some(0, 6, first=10 * round_ + 1)
            place.gateways[0].kill()
            place.restart_gateway(1)
            answers = place.resume_all(1, begun, names_stream)
            assert answered(answers) == len(begun), [(answer.status, answer.body) for answer in answers]
            engine = place.engines[round_]
            engine.kill()
            place.engines[round_] = place.start_engine(engine.name, "v1", engine.address).wait_listening()
            place.restart_gateway(0)
        place.check(f"one version, {names_stream=}")


CHECKS = [functools.partial(check_entry_started_after_the_release, names_stream=True),
          functools.partial(check_entry_started_after_the_release, names_stream=False),
          check_servers_started_again_under_their_names,
          functools.partial(check_servers_started_again_under_their_names, report_s=0.4), check_frozen_entry,
          check_server_started_again_within_one_answer,
          functools.partial(check_entry_without_the_store, names_stream=True),
          functools.partial(check_entry_without_the_store, names_stream=False), check_equal_requests_of_one_caller,
          functools.partial(check_one_version, names_stream=True), functools.partial(check_one_version, names_stream=False)]


def run(build):
    problems = []
    for check in CHECKS:
        try:
            check(build)
        except AssertionError as problem:
            problems.append(f"{check}: {problem}")
            print(f"  {problems[-1][:400]}", flush=True)
    assert not problems, f"{len(problems)} of {len(CHECKS)} checks failed"
