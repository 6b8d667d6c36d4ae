"""A prefill engine falls silent without closing its connections: callers are served by the other one in time, and the
memory that is reserved for them meanwhile is used, not lost."""
import threading
import time

from support.gateway import Caller, platform_site


def run(build):
    with platform_site(build, events=10, prefills=2, decodes=2) as (platform, (gateway,)):
        warm = Caller(platform, gateway)
        for _ in range(24):
            assert warm.send("/text/x").status == 200
        platform.engines[0].is_unresponsive = True
        answers = []

        def work():
            began = time.monotonic()
            answer = Caller(platform, gateway).send("/text/y")
            answers.append((answer, time.monotonic() - began))

        threads = []
        for _ in range(12):
            threads.append(threading.Thread(target=work))
            threads[-1].start()
            time.sleep(0.1)
        for thread in threads:
            thread.join()
        assert all(answer.status == 200 for answer, _ in answers), [a.status for a, _ in answers]
        # The first event is due within a second; prefill and stream take 0.15 s.
        assert max(took for _, took in answers) < 1.15, sorted(took for _, took in answers)
        assert gateway.log_lines("prefill_failed")
        platform.engines[0].is_unresponsive = False
        platform.wait_until_idle(4)
