"""Servers that name a limit in their answers get no more requests from all entries together, of whatever kind; the others
serve the rest, and what none can serve is rejected at once."""
import threading
import time

from support.gateway import Caller, platform_site


def send_for(platform, gateways, seconds, paths, interval=0.1):
    """Two callers at each entry; returns the answers with the time that each took."""
    answers = []

    def work(gateway, number):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            path = paths[number % len(paths)]
            number += 1
            caller = Caller(platform, gateway)
            began = time.monotonic()
            answer = caller.send(path, "GET" if path.startswith("/read/") else "POST", b"")
            answers.append((answer, time.monotonic() - began))
            caller.close()
            time.sleep(interval)

    threads = [threading.Thread(target=work, args=(gateway, number)) for gateway in gateways for number in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def statuses(answers):
    return sorted({answer.status for answer, _ in answers}, key=str)


def set_limit(servers, limit):
    for server in servers:
        server.limit, server.limited_since, server.limited_requests = limit, None, []


def check_rejections(answers):
    """Whoever is rejected is so at once, and is told when to come back."""
    for answer, took in answers:
        assert answer.status in (200, 503), answer.__dict__
        if answer.status == 503:
            assert took < 0.4 and float(answer.headers["Retry-After"]) > 0, (took, answer.__dict__)


def served_share(answers):
    return sum(answer.status == 200 for answer, _ in answers) / len(answers)


def run(build):
    plain = ["/read/x", "/act/x"]
    text = ["/text/x", "/resume/x"]
    options = {"gateways": 4, "prefills": 3, "decodes": 3, "plain_servers": 4, "events": 10}
    with platform_site(build, **options) as (platform, gateways):
        # The servers of the entries' own data centre: the others serve everything.
        limited = platform.plain_servers[::2]
        set_limit(limited[:1], 2.7)
        set_limit(limited[1:], 0)
        answers = send_for(platform, gateways, 11, plain)
        assert statuses(answers) == [200], statuses(answers)
        for server in limited:
            platform.check_limit(server)
            assert server.limited_requests, server.name
        assert all(gateway.log_lines("server_limit") for gateway in gateways)

        # All of them: they serve what they allow.
        set_limit(platform.plain_servers, 3)
        answers = send_for(platform, gateways, 11, plain)
        check_rejections(answers)
        for server in platform.plain_servers:
            platform.check_limit(server)
        used = sum(at > time.monotonic() - 6 for server in platform.plain_servers for at in server.limited_requests)
        assert used >= 0.5 * 3 * 4 * 6, f"four servers allow 72 requests in 6 s and got {used}"

        # Their need is over.
        set_limit(platform.plain_servers, None)
        send_for(platform, gateways, 4, plain)
        answers = send_for(platform, gateways, 2, plain)
        assert statuses(answers) == [200], statuses(answers)

        # Engines, whose reservations, prefills and clean-up count as well. One names a limit, then all do.
        set_limit([platform.engines[0], platform.decodes()[0]], 2)
        answers = send_for(platform, gateways, 9, text, 0.3)
        assert served_share(answers) > 0.95, served_share(answers)
        for engine in (platform.engines[0], platform.decodes()[0]):
            platform.check_limit(engine)
        set_limit(platform.engines, 4)
        answers = send_for(platform, gateways, 9, text, 0.3)
        assert served_share(answers) > 0.1, served_share(answers)
        for engine in platform.engines:
            platform.check_limit(engine)
        set_limit(platform.engines, None)

        # Entries restart and lose the store while the limits last.
        set_limit(platform.plain_servers, 3)
        restarts = []
        sending = threading.Thread(target=send_for, args=(platform, gateways, 16, plain))
        sending.start()
        time.sleep(4)
        for gateway in gateways[:2]:
            gateway.kill()
            gateway.start()
            restarts.append(time.monotonic())
            gateway.wait_ready()
        time.sleep(1)
        platform.store.mode = "silent"
        time.sleep(6)
        platform.store.mode = "serving"
        sending.join()
        for server in platform.plain_servers:
            platform.check_limit(server, restarts=restarts)
