"""What servers say of themselves in their answers is heeded: one that leaves gets no later request, and one that
turns a request away for some seconds gets none until they are over."""
import threading
import time

from support.gateway import Caller, platform_site


def send_for(platform, gateway, seconds, paths, callers=4):
    """Sends requests from several callers at once; returns the answers with the time that each took."""
    answers = []

    def work(number):
        caller = Caller(platform, gateway)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            path = paths[number % len(paths)]
            began = time.monotonic()
            answer = caller.send(path, "GET" if path.startswith("/read/") else "POST", b"")
            answers.append((answer, time.monotonic() - began))
            time.sleep(0.05)

    threads = [threading.Thread(target=work, args=(number,)) for number in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def run(build):
    paths = ["/text/x", "/act/x", "/read/x", "/resume/x"]
    with platform_site(build, events=20, prefills=3, decodes=3, plain_servers=3) as (platform, (gateway,)):
        # One server of each kind leaves and says so in its answers only; the list goes on showing it as ready.
        for server in (platform.plain_servers[0], platform.engines[0], platform.decodes()[0]):
            server.is_leaving = True
        answers = send_for(platform, gateway, 5, paths)
        assert all(answer.status == 200 for answer, _ in answers), [a.status for a, _ in answers]
        left = {server.name for server in platform.plain_servers + platform.engines if server.is_leaving}
        said = {name for name in left if name in platform.leaving_since}
        assert len(said) == 3, said
        late = [name for history in platform.run_history.values() for at, name in history
                if name in said and at - platform.leaving_since[name] > 2.0]
        assert not late, late

    with platform_site(build, events=20, prefills=2, decodes=3, plain_servers=2) as (platform, (gateway,)):
        # One server of each kind turns requests away for some seconds: the others serve everything.
        busy = [platform.plain_servers[0], platform.engines[0], platform.decodes()[0]]
        for server in busy:
            server.backoff_s = 3
        answers = send_for(platform, gateway, 2.5, paths)
        assert all(answer.status == 200 for answer, _ in answers), [a.status for a, _ in answers]
        assert gateway.log_lines("server_backoff")
        for server in busy:
            server.backoff_s = 0
        # All servers of a role are busy: callers are told so at once, and when to come back.
        for servers, path in ((platform.plain_servers, "/act/y"), (platform.decodes(), "/text/y"),
                              (platform.engines[:2], "/text/y")):
            time.sleep(3.2)
            for server in servers:
                server.backoff_s = 3
            caller = Caller(platform, gateway)
            deadline = time.monotonic() + 2
            rejected = None
            while time.monotonic() < deadline and rejected is None:
                began = time.monotonic()
                answer = caller.send(path)
                if answer.status == 503 and any(s.backoff_until > began for s in servers):
                    rejected = answer
            assert rejected is not None, path
            began = time.monotonic()
            answer = caller.send(path)
            took = time.monotonic() - began
            first_end = min(server.backoff_until for server in servers) - began
            assert answer.status == 503 and took < 0.25, (path, answer.status, took)
            assert float(answer.headers["Retry-After"]) >= first_end - 0.1, (answer.headers, first_end)
            for server in servers:
                server.backoff_s = 0
        time.sleep(3.2)
        assert Caller(platform, gateway).send("/text/z").status == 200
        assert Caller(platform, gateway).send("/act/z").status == 200
