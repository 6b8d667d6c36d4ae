"""Requests whose prompts are read while the engine that holds their reservations begins to leave run at other engines."""
import threading

from support.gateway import Caller, platform_site
from support.http_calls import wait_for

PREFILL_S = 0.8
REQUESTS = 8


def run(build):
    with platform_site(build, events=20, prefills=3, decodes=3) as (platform, (gateway,)):
        for engine in platform.engines:
            engine.prefill_s = PREFILL_S
        answers = []
        senders = [threading.Thread(target=lambda path=path: answers.append(Caller(platform, gateway).send(path)))
                   for path in ["/text/a", "/resume/b"] * (REQUESTS // 2)]
        senders[0].start()
        holder = wait_for(lambda: next((engine for engine in platform.decodes() if engine.reserved), None), "a reservation", 5)
        # It says so in its answers to the reservations of the other requests.
        holder.is_leaving = True
        for sender in senders[1:]:
            sender.start()
        for sender in senders:
            sender.join()
        assert holder.name in platform.leaving_since, "the engine was not asked again, so this run shows nothing"
        assert all(answer.status == 200 and answer.is_whole for answer in answers), [each.__dict__ for each in answers]
        ran_at = [name for answer in answers for _, name in platform.run_history[answer.attempt]]
        assert len(ran_at) == REQUESTS and holder.name not in ran_at, (holder.name, ran_at)
