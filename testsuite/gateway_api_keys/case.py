"""API keys of tenants: who may call, what servers learn of the caller, and that no server and no log gets a key."""
import socket
import threading
import time
import uuid

from support.fake_platform import HOST
from support.gateway import Caller, Gateway, SentRequest, platform_site

OLD, SECOND, NEW, UNKNOWN = "key-old-4f1c", "key-second-77aa", "key-new-90be", "key-unknown-1d2e"
# A version is in force within this time of its acknowledgement.
APPLY_S = 3.0


def tenants(keys):
    return [{"name": "mills", "api_keys": keys, "priority": 0},
            {"name": "orchard", "api_keys": [SECOND], "unit": "token_stream", "rate_per_s": 1e6, "burst": 1e6},
            {"name": "mills", "api_keys": ["key-of-a-double"]}, 7, {"api_keys": ["key-of-nobody"]}]


def bearer(key, scheme="Bearer", **more):
    return {"Authorization": f"{scheme} {key}", **more}


def wait_status(caller, fields, status):
    until = time.monotonic() + APPLY_S
    while (got := caller.send("/read/x", "GET", b"", fields=fields).status) != status:
        assert time.monotonic() < until, f"{got} instead of {status} after {APPLY_S} s"
        time.sleep(0.05)


def calls_of(platform, attempt):
    calls = [each for each in list(platform.received) if each.headers.get("x-attempt-id") == attempt]
    assert all("authorization" not in each.headers for each in calls), "a server got a caller's key"
    return calls


def check_tenant(platform, answer, tenant, calls=1):
    assert answer.status == 200, answer.__dict__
    seen = [each.headers.get("x-tenant") for each in calls_of(platform, answer.attempt)]
    assert seen == [tenant] * len(seen) and len(seen) >= calls, (seen, tenant)


def check_rejected(platform, answer):
    assert answer.status == 401 and "Retry-After" not in answer.headers, answer.__dict__
    assert not calls_of(platform, answer.attempt), "a request without a valid key reached a server"


def check_callers(platform, caller):
    """Known and unknown keys on each kind of route, with forged fields."""
    for path in ("/text/a", "/resume/b"):
        # A prefill and a run.
        check_tenant(platform, caller.send(path, fields=bearer(OLD)), "mills", calls=2)
    forged = {"X-Tenant": "orchard", "Connection": "keep-alive, X-Tenant, Authorization"}
    check_tenant(platform, caller.send("/act/x", fields=bearer(OLD, "bEARER", **forged)), "mills")
    check_tenant(platform, caller.send("/act/x", fields=bearer(SECOND)), "orchard")
    for fields in ({}, bearer(UNKNOWN), bearer(OLD, "Basic"), bearer(OLD + " " + SECOND), {"X-Tenant": "mills"},
                   {"Authorization": OLD}, bearer("key-of-a-double"), bearer("key-of-nobody"), bearer("")):
        for path in ("/act/x", "/text/x"):
            check_rejected(platform, caller.send(path, fields=fields))
    # Without a route nothing is asked of the caller.
    assert caller.send("/nowhere/x", fields={}).status == 404
    # A public route: the tenant of a known key, else none, whatever the caller says.
    check_tenant(platform, caller.send("/open/x", "GET", b"", fields=bearer(OLD)), "mills")
    for fields in ({}, {"X-Tenant": "mills"}, bearer(UNKNOWN, **forged)):
        check_tenant(platform, caller.send("/open/x", "GET", b"", fields=fields), None)


def send_raw(platform, gateway, fields, trailers=()):
    """Sends an action with these fields, of which a name may occur twice, and trailers behind its chunked body."""
    attempt = uuid.uuid4().hex[:16]
    platform.sent[attempt] = SentRequest(("POST", "/act/raw", b"{}"), False, 8.0, attempt)
    lines = ["POST /act/raw HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}", "Transfer-Encoding: chunked", *fields,
             "", "2", "{}", "0", *trailers, "", ""]
    with socket.create_connection((gateway.host, gateway.port), timeout=5) as connection:
        connection.sendall("\r\n".join(lines).encode())
        return attempt, int(connection.recv(4096).split()[1])


def check_unusual_fields(platform, gateway):
    """Fields that occur twice, and fields behind the body."""
    good = f"Authorization: Bearer {OLD}"
    for fields in ([good, good], [good, "authorization: Basic x"], ["Authorization: Bearer", good]):
        attempt, status = send_raw(platform, gateway, fields)
        assert status == 401 and not calls_of(platform, attempt), (fields, status)
    attempt, status = send_raw(platform, gateway, [good, "x-tenant: orchard", "X-TENANT: orchard"], ["X-Tenant: orchard"])
    assert status == 200 and [each.headers["x-tenant"] for each in calls_of(platform, attempt)] == ["mills"], status
    attempt, status = send_raw(platform, gateway, [good, "X-Other: 1"], ["Authorization: Bearer " + SECOND])
    assert all(each.headers["x-tenant"] == "mills" for each in calls_of(platform, attempt)), status


def check_resumption(platform, caller):
    """A stream that breaks off is continued at another engine for the same tenant."""
    calls = 0
    for engine in platform.decodes() * 4:
        engine.break_after = 10
        answer = caller.send("/resume/again", fields=bearer(OLD, **{"X-Tenant": "orchard"}))
        engine.break_after = None
        check_tenant(platform, answer, "mills")
        assert answer.is_whole and answer.events == platform.events, answer.__dict__
        calls = max(calls, len(calls_of(platform, answer.attempt)))
    # A prefill, a run and another run.
    assert calls >= 3, "no stream was resumed"


def check_revocation(platform, caller):
    """A key is revoked on a kept connection and while a stream of it is under way, which runs to its end."""
    streams = []
    for engine in platform.decodes():
        engine.event_s = 0.08
    stream = threading.Thread(target=lambda: streams.append(
        Caller(platform, caller.gateway).send("/text/long", fields=bearer(OLD))))
    stream.start()
    time.sleep(0.5)
    platform.call(platform.configure(11, ["open"], tenants([NEW]), ["open"]))
    wait_status(caller, bearer(NEW), 200)
    connection = caller.connection
    for path in ("/read/x", "/text/x"):
        check_rejected(platform, caller.send(path, fields=bearer(OLD)))
    check_tenant(platform, caller.send("/act/x", fields=bearer(NEW)), "mills")
    assert caller.connection is connection, "a rejection closed the connection"
    stream.join()
    assert streams[0].status == 200 and streams[0].is_whole and streams[0].events == platform.events, streams[0].__dict__
    for engine in platform.decodes():
        engine.event_s = 0.01


def check_start(platform, build, folder):
    """An entry that has a configuration and does not know the servers yet."""
    platform.store.silent_topics.add("keyed.servers")
    late = Gateway(build, folder, "late", platform.store.address).start()
    try:
        late.wait_started()
        caller = Caller(platform, late)
        wait_status(caller, bearer(OLD), 401)
        check_rejected(platform, caller.send("/text/x"))
        assert not late.is_ready() and caller.send("/act/x", fields=bearer(NEW)).status == 503
        assert caller.send("/open/x", "GET", b"").status == 503
    finally:
        late.end()
        platform.store.silent_topics.clear()


def begin_upload(gateway, key):
    """Sends the head and a part of a large action; returns the connection and the status that came back, if any."""
    head = (f"POST /act/large HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {uuid.uuid4().hex[:16]}\r\n"
            f"Authorization: Bearer {key}\r\nContent-Length: 4000000\r\n\r\n")
    connection = socket.create_connection((gateway.host, gateway.port), timeout=0.3)
    connection.sendall(head.encode() + b"x" * 100_000)
    try:
        return connection, int(connection.recv(4096).split()[1])
    except socket.timeout:
        return connection, None


def check_full_memory(build, platform, folder):
    """An entry without memory for another body: a caller without a valid key gets 401, which is final, not a 503."""
    small = Gateway(build, folder, "small", platform.store.address, memory_mb=88).start()
    uploads = []
    try:
        small.wait_ready()
        while not uploads or uploads[-1][1] is None:
            assert len(uploads) < 40, "the memory was never taken"
            uploads.append(begin_upload(small, NEW))
        assert uploads[-1][1] == 503, uploads[-1]
        uploads.append(begin_upload(small, OLD))
        assert uploads[-1][1] == 401, uploads[-1]
    finally:
        for connection, _ in uploads:
            connection.close()
        small.end()


def check_log(gateway):
    with open(gateway.log_path, errors="replace") as log:
        text = log.read()
    assert not any(each in text + gateway.metrics() for each in (
        OLD, SECOND, NEW, UNKNOWN, "key-of-a-double", "key-of-nobody")), "a key is in the log or in the metrics"
    assert any("outcome=unauthorized" in line and "route=action" in line for line in gateway.log_lines("request_ended"))
    lines = gateway.log_lines("tenant_configured")
    assert any("tenant=mills priority=0 unit=none per_second=none burst=none keys=1" in line for line in lines), lines
    # Once in each of the two processes: the second tenant never changes.
    assert len([line for line in lines if "tenant=orchard" in line]) == 2, "an unchanged tenant was logged again"
    assert any("tenants=2" in line for line in gateway.log_lines("configuration_applied"))
    assert len(gateway.log_lines("configuration_finding")) >= 3
    assert 'peridot_gateway_authentications_total{result="unknown_key"}' in gateway.metrics()


def run(build):
    with platform_site(build) as (platform, (gateway,)):
        caller = Caller(platform, gateway)
        # Without tenants in the configuration both fields are the caller's own.
        answer = caller.send("/act/x", fields=bearer(OLD, **{"X-Tenant": "anything"}))
        seen = platform.received[-1].headers
        assert answer.status == 200 and seen["x-tenant"] == "anything" and seen["authorization"] == f"Bearer {OLD}"
        platform.call(platform.configure(10, ["open"], tenants([OLD]), ["open"]))
        wait_status(caller, {}, 401)
        check_callers(platform, caller)
        check_unusual_fields(platform, gateway)
        check_resumption(platform, caller)
        check_revocation(platform, caller)
        # While the store is away the last configuration holds.
        platform.store.mode = "silent"
        until = time.monotonic() + 3
        while time.monotonic() < until:
            check_tenant(platform, caller.send("/act/x", fields=bearer(NEW)), "mills")
            check_rejected(platform, caller.send("/act/x", fields=bearer(OLD)))
        platform.store.mode = "serving"
        gateway.kill()
        caller.close()
        gateway.start()
        gateway.wait_ready()
        check_rejected(platform, caller.send("/act/x", fields=bearer(OLD)))
        check_tenant(platform, caller.send("/act/x", fields=bearer(NEW)), "mills")
        check_start(platform, build, gateway.settings_path.rsplit("/", 1)[0])
        check_full_memory(build, platform, gateway.settings_path.rsplit("/", 1)[0])
        # A list of which no tenant is valid opens nothing.
        platform.call(platform.configure(12, ["open"], [{"name": ""}], ["open"]))
        wait_status(caller, bearer(NEW), 401)
        check_rejected(platform, caller.send("/act/x", fields=bearer(NEW)))
        check_tenant(platform, caller.send("/open/x", "GET", b"", fields=bearer(NEW)), None)
        # The end of tenants lets the fields pass again.
        platform.call(platform.configure(13, ["open"]))
        wait_status(caller, {}, 200)
        check_log(gateway)
