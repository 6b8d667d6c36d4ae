"""The retries of all entries together stay within their budget while entries are killed and started again one after the
other, and servers fail every request."""
import threading
import time

from support.gateway import Caller, platform_site

WINDOW_S = 10


def send_reads(platform, gateway, is_over):
    while not is_over.is_set():
        caller = Caller(platform, gateway)
        for _ in range(20):
            if is_over.is_set():
                break
            caller.send("/read/x", "GET", b"", deadline_s=1.5)
            time.sleep(0.02)
        caller.close()


def run(build):
    extra = 200
    with platform_site(build, gateways=3, retries={"ratio": 0, "extra": extra}) as (platform, gateways):
        for server in platform.plain_servers:
            server.fails = True
        is_over = threading.Event()
        callers = [threading.Thread(target=send_reads, args=(platform, gateway, is_over)) for gateway in gateways * 2]
        for thread in callers:
            thread.start()
        until = time.monotonic() + 14
        number = 0
        while time.monotonic() < until:
            gateway = gateways[number % 3]
            gateway.kill()
            gateway.start()
            gateway.wait_ready()
            time.sleep(0.3)
            number += 1
        is_over.set()
        for thread in callers:
            thread.join()
        platform.check_retry_budget(0, extra, WINDOW_S)
