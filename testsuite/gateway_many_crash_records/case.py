"""A topic with more records of crashes than a gateway keeps is read without standing still, and shrinks."""
import re
import tempfile
import time

from support.fake_platform import FakePlatform
from support.gateway import Caller, Gateway

TOPIC = "keyed.peridotgrade.crashes"
# Listings of more than 20,000 records were an error, and what was dropped for room came back with each listing.
RECORDS, MAX_KEPT = 50_000, 8192
# A gateway is to be ready within 0.5 s; here it shares its processors with the store.
READY_S, TURN_S, STARTS = 2.0, 0.02, 3


def fill(platform):
    """Records as gateways write them: parts of prompts, each in one crash, with the request that had it."""
    records = []
    for number in range(RECORDS):
        crash = number // 500
        key = f"part-{number * 0x9E3779B97F4A7C15 % 2**64:016x}/{1_700_000_000_000 + crash}/i-{crash:010x}".encode()
        records.append(bytes([len(key)]) + key + f"{number // 31:016x}".encode())
    platform.call(platform.store.append(TOPIC, records))


def longest_turn_s(gateway):
    found = re.search(r'loop_activity_seconds\{activity="' + re.escape(TOPIC) + r'",quantile="1"\} (\S+)', gateway.metrics())
    assert found, "no record has been read"
    return float(found.group(1))


def start(gateway):
    began = time.monotonic()
    gateway.start()
    while not gateway.is_ready():
        assert time.monotonic() < began + 20, gateway.log_tail()
        time.sleep(0.01)
    took, turn = time.monotonic() - began, longest_turn_s(gateway)
    print(f"ready after {took:.2f} s, longest turn {turn * 1000:.1f} ms", flush=True)
    return took, turn


def keys(platform):
    async def count():
        return len(platform.store.listing(TOPIC)[1])

    return platform.call(count())


def wait_for_room(platform, seconds):
    until = time.monotonic() + seconds
    while keys(platform) > MAX_KEPT:
        assert time.monotonic() < until, f"{keys(platform)} records are left"
        time.sleep(0.2)


def run(build):
    with tempfile.TemporaryDirectory() as folder:
        platform = FakePlatform(prefills=1, decodes=1, plain_servers=1)
        gateway = Gateway(build, folder, "gateway", platform.store.address)
        try:
            fill(platform)
            starts = []
            for _ in range(STARTS):
                gateway.end()
                starts.append(start(gateway))
            assert min(took for took, _ in starts) < READY_S and min(turn for _, turn in starts) < TURN_S, starts
            assert gateway.log_lines("store_listing_long")
            caller = Caller(platform, gateway)
            began = time.monotonic()
            assert caller.send("/act/x", "POST", b"{}").status == 200
            print(f"an action took {time.monotonic() - began:.2f} s", flush=True)
            caller.close()
            wait_for_room(platform, 60)
            print(f"{keys(platform)} records are left", flush=True)
            # Another one reads what is left.
            gateway.end()
            start(gateway)
            time.sleep(2)
            assert keys(platform) <= MAX_KEPT
        finally:
            gateway.end()
            platform.end()
