"""Entries tell each other that an engine changes its role and that a server has ended: an entry that did not send the
role command gives the engine nothing more of the old role. Malformed datagrams are dropped. Entries that have no reason to
share read no owners and send nothing."""
import socket
import threading
import time

from support.gateway import Caller, platform_site

KEY = {"Authorization": "Bearer key-mills"}
# A datagram that was sent before a role command has arrived after this time.
DELIVERY_S = 0.25


def wait_for(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"{what} is not so after {seconds} s")


def is_leader(gateway):
    return "holds_duty=true" in gateway.log_lines("membership_changed")[-1]


def notices(gateway, kind, direction):
    return [line for line in gateway.log_lines("peer_notice")
            if f"type={kind}" in line and f" {direction}=" in line]


def check_role_change(platform, gateways):
    """Decode engines come up in the other role, and the leader changes some of them back."""
    others = [gateway for gateway in gateways if not is_leader(gateway)]
    assert len(others) == len(gateways) - 1, "one entry leads"
    is_done = threading.Event()

    def work(gateway):
        caller = Caller(platform, gateway)
        while not is_done.is_set():
            caller.send("/text/x", fields=KEY, deadline_s=2)
            time.sleep(0.02)
        caller.close()

    for engine in platform.engines:
        engine.switch_s = 3
    for engine in platform.decodes()[1:]:
        engine.role = "prefill"
    threads = [threading.Thread(target=work, args=(gateway,)) for gateway in others for _ in range(4)]
    for thread in threads:
        thread.start()
    try:
        wait_for(lambda: any(engine.switching_since for engine in platform.engines), 15, "a role command")
        time.sleep(4)
    finally:
        is_done.set()
        for thread in threads:
            thread.join()
    for engine in platform.engines:
        late = [at for at in engine.rejected_in_switch if at > engine.switching_since + DELIVERY_S]
        assert not late, f"{engine.name} got {len(late)} prefills or runs while it changed its role"
        engine.switch_s = 0
    for gateway in others:
        assert notices(gateway, "role", "from"), f"{gateway.name} got no notice"


def check_ended_server(platform, gateways):
    """The entry without requests learns from another one that a server has ended."""
    caller = Caller(platform, gateways[0])
    server = platform.plain_servers[0]
    platform.call(server.crash())
    until = time.monotonic() + 1
    while not notices(gateways[0], "end", "to") and time.monotonic() < until:
        caller.send("/read/x", "GET", b"", fields=KEY)
    caller.close()
    wait_for(lambda: any(server.name in line for line in notices(gateways[1], "end", "from")), 1,
             "that the second entry knows of the ended server")


def check_malformed(platform, gateways):
    """A datagram from the address of a member is dropped if it is malformed; the entry goes on."""
    gone, target = gateways[2], gateways[0]
    gone.kill()
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind((gone.host, gone.port))
    for datagram in (b"\x1f", b"\x1f\x01", b"\x1f\x03" + b"\xff" * 1100, b"\x1f\x09\x00", b"\x1f\x03\x79\xfc\xff\xff"):
        sender.sendto(datagram, (target.host, target.port))
    wait_for(lambda: 'peer_notices_total{result="any_malformed"} 5' in target.metrics(), 2, "that five were dropped")
    sender.close()
    caller = Caller(platform, target)
    assert caller.send("/text/x", fields=KEY).status == 200
    caller.close()


def run(build):
    with platform_site(build, gateways=3, has_peers=True, events=10, prefills=4, decodes=4, plain_servers=3) as (
            platform, gateways):
        caller = Caller(platform, gateways[0])
        until = time.monotonic() + 4
        while time.monotonic() < until:
            assert caller.send("/text/x").status == 200
        assert platform.store.reads_of_owners == 0, "owners are read without need"
        assert not any("peer_notices_total" in gateway.metrics() for gateway in gateways), "sent without need"

        platform.call(platform.configure(2, tenants=[{"name": "mills", "api_keys": ["key-mills"]}]))
        wait_for(lambda: all(gateway.log_lines("peer_sharing") for gateway in gateways), 5, "sharing")
        wait_for(lambda: platform.store.reads_of_owners >= 3, 5, "that owners are read")
        until = time.monotonic() + 3
        while time.monotonic() < until:
            assert caller.send("/text/x", fields=KEY).status == 200
        assert all('result="pace_effective"' in gateway.metrics() for gateway in gateways[1:]), "no digest has arrived"
        caller.close()

        check_role_change(platform, gateways)
        check_ended_server(platform, gateways)
        check_malformed(platform, gateways)
