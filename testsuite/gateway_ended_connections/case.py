"""Servers end a kept connection after they have read a further request on it: that request has arrived, so sending it
again takes from the retry budget."""
from support.gateway import Caller, platform_site

EXTRA = 4


def run(build):
    with platform_site(build, retries={"ratio": 0, "extra": EXTRA}) as (platform, (gateway,)):
        for server in platform.plain_servers:
            server.ends_reused_connections = True
        caller = Caller(platform, gateway)
        for number in range(40):
            caller.send("/read/x", "GET", b"", deadline_s=1.5)
        platform.check_retry_budget(0, EXTRA, 10)
