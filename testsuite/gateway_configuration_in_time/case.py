"""A configuration that the store has acknowledged is in force at every gateway in time, also if connections to the store go silent
or a link is slow."""
import calendar
import re
import tempfile
import time

from support.fake_platform import FakePlatform
from support.gateway import Gateway
from support.relay import Relay

GATEWAYS = 8
# Smallest bounds of an installation: for a change, and from a fault on a connection until rules hold again.
APPLY_S, CONTACT_S = 2.0, 3.0
# A record has at most 256 KiB.
LARGEST = 250_000


class Site:
    def __init__(self, build, folder):
        self.platform = FakePlatform(prefills=2, decodes=2, plain_servers=1)
        # Longer than gateways keep a connection that names no time.
        self.platform.store.fields = {"Keep-Alive": "timeout=15"}
        self.relays = [Relay(self.platform.store.address) for _ in range(GATEWAYS)]
        self.gateways = [Gateway(build, folder, f"gateway-{index}", relay.address, memory_mb=88)
                         for index, relay in enumerate(self.relays)]
        self.version = 1

    def start(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()

    def change(self, **options):
        self.version += 1
        self.platform.call(self.platform.configure(self.version, **options))
        return time.time()

    def applied_at(self, gateway, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for line in gateway.log_lines("configuration_applied"):
                if f" version={self.version} " in line:
                    text = re.search(r"time=(\S+)\.(\d+)Z", line)
                    return calendar.timegm(time.strptime(text[1], "%Y-%m-%dT%H:%M:%S")) + int(text[2]) / 1000
            time.sleep(0.05)
        return float("inf")

    def delays(self, since):
        return [self.applied_at(gateway) - since for gateway in self.gateways]

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        for relay in self.relays:
            relay.end()
        self.platform.end()


def check_changes_in_a_row(site):
    for _ in range(5):
        delays = site.delays(site.change())
        assert max(delays) <= APPLY_S, delays
        time.sleep(0.3)


def check_silent_connections(site):
    late = []
    for number in range(6):
        time.sleep(1.2 + 0.37 * number)
        silent_at = time.time()
        for relay in site.relays:
            relay.silence_open()
        changed_at = site.change()
        allowed = max(changed_at + APPLY_S, silent_at + CONTACT_S) - changed_at
        late += [round(delay, 2) for delay in site.delays(changed_at) if delay > allowed]
    assert not late, late


def check_slow_links(site):
    # A link of 10 Mbit/s, of which streams take the most.
    for relay in site.relays:
        relay.bytes_per_s = 400_000
    late = []
    for number in range(3):
        time.sleep(1.7 + 0.3 * number)
        late += [round(delay, 2) for delay in site.delays(site.change(filling=LARGEST)) if delay > APPLY_S]
    # A process that starts lists the topic.
    for gateway in site.gateways[:2]:
        gateway.kill()
        gateway.start().wait_ready()
    assert not late, late


def run(build):
    failed = []
    for check in (check_changes_in_a_row, check_silent_connections, check_slow_links):
        with tempfile.TemporaryDirectory() as folder:
            site = Site(build, folder)
            try:
                site.start()
                check(site)
            except AssertionError as problem:
                failed.append(f"{check.__name__}: {problem}")
            finally:
                site.end()
    assert not failed, failed
