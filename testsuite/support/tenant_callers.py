"""Callers of one tenant, whose plain calls count as `PLAIN_TOKENS`."""
import threading
import time

from support.gateway import Caller

KEY = {"Authorization": "Bearer key-mills"}
PLAIN_TOKENS = 100


def tenants(rate):
    return [{"name": "mills", "api_keys": ["key-mills"], "unit": "token_stream", "plain_tokens": PLAIN_TOKENS,
             "rate_per_s": rate, "burst": rate}]


def send_for(platform, gateways, seconds, per_second):
    """Returns (time, answer, how long it took) of plain calls at that rate, divided among the entries."""
    answers = []
    interval = 2 * len(gateways) / per_second

    def work(gateway):
        caller = Caller(platform, gateway)
        began = time.monotonic()
        count = 0
        while (now := time.monotonic()) < began + seconds:
            answer = caller.send("/read/x", "GET", b"", fields=KEY)
            answers.append((now, answer, time.monotonic() - now))
            count += 1
            time.sleep(max(0, began + count * interval - time.monotonic()))
        caller.close()

    threads = [threading.Thread(target=work, args=(gateway,)) for gateway in gateways for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers
