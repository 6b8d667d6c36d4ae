"""Server failures of each kind: callers notice them only where the request cannot be repeated."""
import threading
import time

from support.gateway import Caller, platform_site


def in_thread(action):
    result = []
    thread = threading.Thread(target=lambda: result.append(action()))
    thread.start()
    return thread, result


def run(build):
    with platform_site(build, events=120, decodes=3) as (platform, (gateway,)):
        caller = Caller(platform, gateway)
        # The engine of a resumable stream crashes: another one continues it, and the caller gets it complete.
        thread, result = in_thread(lambda: caller.send("/resume/story"))
        time.sleep(0.5)
        attempt = next(iter(platform.running))
        name = platform.run_history[attempt][0][1]
        victim = next(engine for engine in platform.engines if engine.name == name)
        platform.call(victim.crash())
        thread.join(10)
        assert result and result[0].status == 200 and result[0].is_whole, result and result[0].__dict__
        assert platform.runs[attempt] == 2, platform.runs[attempt]
        platform.call(victim.start())
        # Engines that grant a reservation and then reject the run are avoided.
        rejecting = platform.decodes()[0]
        rejecting.reject_runs = True
        answers = [caller.send("/text/x").status for _ in range(6)]
        rejecting.reject_runs = False
        assert answers.count(200) >= 5, answers
        # An engine restarts under another name before the list shows it: no prompt is prefilled twice for it, and
        # it gets no more calls than there were requests in flight when it first rejected one.
        restarted = platform.decodes()[1]
        platform.call(restarted.crash())
        platform.call(restarted.start_unlisted(1.2))
        platform.superseded.clear()
        senders = []
        for _ in range(12):
            own = Caller(platform, gateway)
            senders.append(in_thread(lambda own=own: own.send("/text/y")))
            time.sleep(0.08)
        for thread, result in senders:
            thread.join(10)
        answers = [result[0] for thread, result in senders]
        assert [answer.status for answer in answers] == [200] * len(answers), [a.status for a in answers]
        read_again = [answer.attempt for answer in answers if platform.prefills[answer.attempt] != 1]
        assert not read_again, read_again
        assert len(platform.superseded) <= 4, platform.superseded
        # An action whose answer is lost is not repeated, and is not reported as not run.
        for server in platform.plain_servers:
            server.lose_answers = True
        answer = caller.send("/act/pay")
        assert answer.status == 502 and platform.runs[answer.attempt] == 1, answer.__dict__
        assert caller.send("/read/x", "GET", b"").status in (502, 503)
        for server in platform.plain_servers:
            server.lose_answers = False
            server.extra_answers = True
        time.sleep(1)
        # A surplus response on a connection is not taken for the answer to a later request.
        for number in range(10):
            assert caller.send("/read/%d" % number, "GET", b"").status == 200
            assert caller.send("/act/%d" % number).status == 200
        for server in platform.plain_servers:
            server.extra_answers = False
        # A draining server gets no new requests once the list shows it.
        leaving = platform.plain_servers[0]
        platform.call(leaving.drain())
        time.sleep(2.1)
        for number in range(8):
            assert caller.send("/act/%d" % number).status == 200
        platform.wait_until_idle(3)
