"""Requests that run on the servers that others crash: they are neither quarantined nor held back, whether they are sent once
or again and again, and a stream that crashes each engine on which it goes on is stopped."""
import threading
import time

from support.crashing_requests import check_late_runs, crash_all, quarantined_at
from support.gateway import Caller, platform_site

CRASHING = {"/read/crash": "run", "/resume/crash": "stream"}
GOOD = [f"/{kind}/good-{number}" for kind in ("read", "act", "resume", "text") for number in range(4)]


def send_good(platform, gateway, path, is_over, answers):
    caller = Caller(platform, gateway)
    while not is_over.is_set():
        answers.append((path, caller.send(path, "GET" if path.startswith("/read/") else "POST", b"", deadline_s=4.0)))


def check(build, plain_servers, service_time_s, seconds):
    options = {"gateways": 3, "prefills": 4, "decodes": 6, "plain_servers": plain_servers, "events": 40}
    with platform_site(build, **options) as (platform, gateways):
        for server in platform.plain_servers:
            server.service_time_s = service_time_s
        platform.crashing.update(CRASHING)
        is_over, answers = threading.Event(), []
        good = [threading.Thread(target=send_good, args=(platform, gateways[number % 3], path, is_over, answers))
                for number, path in enumerate(GOOD)]
        for thread in good:
            thread.start()
        time.sleep(1)
        crash_all(platform, gateways, CRASHING, seconds)
        is_over.set()
        for thread in good:
            thread.join()
        for path in CRASHING:
            check_late_runs(platform, path)
        lost = {line.split("request=")[1].split()[0] for gateway in gateways
                for line in gateway.log_lines("attempt_failed") + gateway.log_lines("stream_broken")}
        beside = {platform.sent[attempt].message[1] for attempt in lost} - set(CRASHING)
        assert beside, "no other request lost its server, so this run shows nothing"
        held_back = [(path, answer.body) for path, answer in answers if b"quarantined" in answer.body]
        assert not held_back, held_back
        held = quarantined_at(gateways[0])
        assert len(held) == len(CRASHING), held
        for number, path in enumerate(GOOD):
            answer = Caller(platform, gateways[number % 3]).send(path, "GET" if path.startswith("/read/") else "POST", b"")
            assert answer.status == 200, (path, answer.__dict__)


def run(build):
    check(build, plain_servers=6, service_time_s=0.3, seconds=12)
    # Few servers and long runs: most sound requests are lost in each crash, some in all three.
    check(build, plain_servers=3, service_time_s=0.5, seconds=6)
