"""Two routes of different priorities share a service that is short of memory: the urgent one is served at least as often
as the other, which is not starved, and servers get the urgency of each request. Without priorities they get none."""
import collections
import threading
import time

from support.gateway import Caller, platform_site

PRIORITIES = {"plain": 0, "resumable": 2}


def send_for(platform, gateways, seconds, interval):
    """Sends one request after each `interval`, each by a caller of its own that comes back once."""
    answers = {"/text/x": [], "/resume/x": []}

    def work(gateway, path):
        caller = Caller(platform, gateway)
        answer = caller.send(path)
        if answer.status == 503:
            time.sleep(float(answer.headers["Retry-After"]))
            answer = caller.send(path, deadline_s=4)
        caller.close()
        answers[path].append(answer)

    threads = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        number = len(threads)
        path = "/text/x" if number % 5 < 2 else "/resume/x"
        threads.append(threading.Thread(target=work, args=(gateways[number // 5 % len(gateways)], path)))
        threads[-1].start()
        time.sleep(interval)
    for thread in threads:
        thread.join()
    return answers


def served_share(answers):
    return sum(answer.status == 200 for answer in answers) / len(answers)


def reasons(gateways):
    """How the entries ended requests: counts by route, outcome and reason."""
    ends = collections.Counter()
    for gateway in gateways:
        for line in gateway.log_lines("request_ended"):
            fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
            ends[fields.get("route"), fields.get("outcome"), fields.get("reason")] += 1
    return dict(ends)


def run(build):
    with platform_site(build, gateways=2, prefills=1, decodes=1) as (platform, gateways):
        # Routes of one priority: nothing changes for servers.
        for path in ("/text/x", "/resume/x", "/read/x"):
            answer = Caller(platform, gateways[0]).send(path, "GET" if path == "/read/x" else "POST", b"")
            assert platform.urgencies[answer.attempt] == {None}, platform.urgencies[answer.attempt]

        platform.call(platform.configure(2, priorities=PRIORITIES))
        time.sleep(1)
        # Eleven streams of 2 s at a time, about five a second; twelve a second are sent.
        platform.decodes()[0].event_s = 0.05
        answers = send_for(platform, gateways, 8, 1 / 12)
        urgent, other = served_share(answers["/text/x"]), served_share(answers["/resume/x"])
        print(f"served: urgent {urgent:.2f}, other {other:.2f}")
        assert urgent >= other - 0.05, (urgent, other)
        assert urgent >= 0.8, (urgent, other, reasons(gateways))
        # No kind of request is served less than a quarter as often as all; as many of either are sent.
        assert other >= (urgent + other) / 2 / 4, (urgent, other)
        for path, urgency in (("/text/x", "0"), ("/resume/x", "2")):
            for answer in answers[path]:
                assert platform.urgencies[answer.attempt] <= {urgency}, (path, platform.urgencies[answer.attempt])
        # Plain routes have one priority.
        answer = Caller(platform, gateways[0]).send("/read/x", "GET", b"")
        assert platform.urgencies[answer.attempt] == {None}
        name = 'peridot_gateway_refusals_by_priority_total{priority="2"}'
        assert any(name in gateway.metrics() for gateway in gateways)
        rejected = [line for gateway in gateways for line in gateway.log_lines("rejected_early")]
        assert all("reason=" in line and "tokens_ahead=" in line for line in rejected), rejected[:1]
        platform.wait_until_idle(6)
