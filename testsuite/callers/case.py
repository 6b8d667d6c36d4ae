"""Faulty callers: bad requests, disconnects, slow readers and exceeded limits affect no other caller."""
import json
import socket

from support.caller import Caller, time_ordered_key
from support.http_calls import call, wait_for
from support.site import APPLICATION_SERVICE, MODEL, OPERATOR_KEY, sha256, small_site

LONG_PROMPT = "!!length 3000!! a plan that takes long"
LIMITED_KEY = "limited-workspace-key"


def metric(entry, name):
    lines = call(entry.ports["admin"], "GET", "/metrics").body.splitlines()
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith(name))


def raw(address, data, seconds=20):
    """Sends bytes and returns all that is received until the server closes."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=seconds) as connection:
        connection.sendall(data)
        received = b""
        while True:
            part = connection.recv(4096)
            if not part:
                return received.decode(errors="replace")
            received += part


def refusal_checks(site):
    caller = site.caller()
    unknown_caller = Caller(caller.address, "no such key")
    answer = unknown_caller.complete(MODEL, "hello")
    assert answer.status == 401 and answer.outcome == "not-run", answer
    assert answer.json()["error"]["code"] == "invalid_api_key", answer
    assert call(caller.address, "POST", "/v1/completions", {"model": MODEL}).status == 401
    answer = caller.complete("no-such-model", "hello")
    assert answer.status == 404 and answer.json()["error"]["param"] == "model", answer
    answer = call(caller.address, "POST", "/v1/completions", "not json", caller.headers)
    assert answer.status == 400 and answer.outcome == "not-run", answer
    assert call(caller.address, "GET", "/v1/completions", None, caller.headers).status == 405
    assert call(caller.address, "GET", "/v2/other", None, caller.headers).status == 404
    answer = caller.complete(MODEL, "hello", **{"X-Request-Timeout-Ms": "soon"})
    assert answer.status == 400, answer
    answer = caller.complete(MODEL, "hello", **{"X-Request-Id": "my-own-id"})
    assert answer.headers["x-request-id"] == "my-own-id", answer
    models = call(caller.address, "GET", "/v1/models", None, caller.headers).json()
    assert [entry["id"] for entry in models["data"]] == [MODEL], models


def chat_checks(site):
    caller = site.caller()
    body = {"model": MODEL, "messages": [{"role": "user", "content": "When is the water cut?"}], "max_tokens": 8}
    answer = call(caller.address, "POST", "/v1/chat/completions", body, caller.headers)
    expected = site.expected_answer("user: When is the water cut?\n", 8)
    assert answer.status == 200 and answer.json()["choices"][0]["message"]["content"] == expected, answer


def malformed_checks(site):
    address = site.caller().address
    assert " 400 " in raw(address, b"\x16\x03\x01 this is not HTTP\r\n\r\n").splitlines()[0]
    assert " 431 " in raw(address, b"GET / HTTP/1.1\r\nA: " + b"x" * 40_000 + b"\r\n\r\n").splitlines()[0]
    head = b"POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 99999999\r\n\r\n"
    too_large = raw(address, head)
    assert " 413 " in too_large.splitlines()[0] and "X-Peridot-Outcome: not-run" in too_large, too_large
    # An incomplete request is answered by the read time-out; others are served meanwhile.
    assert " 408 " in raw(address, b"POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Le").splitlines()[0]
    assert site.caller().complete(MODEL, "still there?", 2).status == 200


def action_checks(site):
    caller = site.caller()
    answer = call(caller.address, "POST", f"/apps/{APPLICATION_SERVICE}/enrol", "x", caller.headers)
    assert answer.status == 400 and answer.outcome == "not-run", answer
    key = time_ordered_key()
    first = caller.act(APPLICATION_SERVICE, "/enrol", "household 8", key)
    again = caller.act(APPLICATION_SERVICE, "/enrol", "household 8", key)
    assert first.status == 201 and again.status == 201 and again.json() == first.json(), (first, again)
    runs = [backend.counts()["runs"].get(key, 0) for backend in site.backends.values() if backend.kind == "application"]
    assert sum(runs) == 1, runs
    site.control_platform(log_down=True)
    wait_for(lambda: caller.act(APPLICATION_SERVICE, "/enrol", "y").status == 503, "actions are refused")
    refused = caller.act(APPLICATION_SERVICE, "/enrol", "z")
    assert refused.outcome == "not-run" and "retry-after" in refused.headers, refused
    assert caller.read(APPLICATION_SERVICE, "/balance").status == 200
    assert caller.complete(MODEL, "in the outage", 4).status == 200
    site.control_platform(log_down=False)
    wait_for(lambda: caller.act(APPLICATION_SERVICE, "/enrol", "w").status == 201, "actions are served again")


def disconnect_checks(site):
    entry = next(iter(site.entries.values()))
    stream = site.caller().stream(MODEL, LONG_PROMPT, 3000)
    next(iter(stream))
    stream.close()
    wait_for(lambda: metric(entry, "peridot_requests_cancelled_total") == 1, "the entry sees the disconnect")
    site.wait_until_memory_free()
    assert metric(entry, "peridot_leases_held") == 0


def slow_reader_checks(site):
    """A caller that does not read is disconnected: others are served, and the engine's memory is freed."""
    entry = next(iter(site.entries.values()))
    caller = site.caller()
    body = json.dumps({"model": MODEL, "prompt": "!!length 4000!! slow", "max_tokens": 4000, "stream": True}).encode()
    host, port = caller.address.rsplit(":", 1)
    before = metric(entry, "peridot_requests_cancelled_total")
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        connection.connect((host, int(port)))
        head = (f"POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: {caller.headers['Authorization']}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        connection.sendall(head + body)
        wait_for(lambda: metric(entry, "peridot_open_requests") == 1, "the answer has begun")
        assert caller.complete(MODEL, "quick", 4).status == 200
        wait_for(lambda: metric(entry, "peridot_requests_cancelled_total") == before + 1,
                 "the slow reader is disconnected", 60)
    site.wait_until_memory_free()


def limit_checks(site):
    change = {"setWorkspace": {"id": "limited", "keySha256": sha256(LIMITED_KEY), "priority": "normal",
                               "requestsPerSecond": 1}}
    version = call(next(iter(site.entries.values())).ports["admin"], "GET", "/status").json()["version"]
    site.append("configuration", json.dumps({"kind": "confirmed", "plan": "fedcba9876543210", "base": version,
                                             "operator": "desk-operator", "summary": "limits", "changes": [change]}))
    limited = Caller(site.caller().address, LIMITED_KEY)
    wait_for(lambda: limited.complete(MODEL, "hello", 1).status != 401, "the workspace is known")
    answers = [limited.complete(MODEL, "hello", 1) for _ in range(8)]
    refused = [answer for answer in answers if answer.status == 429]
    assert refused and all(answer.outcome == "not-run" and int(answer.headers["retry-after"]) >= 1
                           and answer.json()["error"]["retry_after_ms"] > 0 for answer in refused), answers
    assert site.caller().complete(MODEL, "others are served", 1).status == 200


def no_engine_checks(site):
    """A configured model without any reachable engine is answered with no_capacity, not as an unknown model."""
    for backend in site.backends.values():
        if backend.kind == "engine":
            backend.agent.kill()
    caller = site.caller()
    wait_for(lambda: caller.complete(MODEL, "hello", 1).status != 200, "the entry sees that the agents are unreachable")
    answer = caller.complete(MODEL, "hello", 1)
    assert answer.status == 503 and answer.json()["error"]["code"] == "no_capacity", answer
    assert answer.outcome == "not-run" and "retry-after" in answer.headers, answer


def admin_checks(site):
    admin = next(iter(site.entries.values())).ports["admin"]
    assert call(admin, "GET", "/health/live").status == 200 and call(admin, "GET", "/health/ready").status == 200
    assert call(admin, "PUT", "/loglevel", "debug").status == 401
    operator = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    assert call(admin, "PUT", "/loglevel", "loud", operator).status == 400
    assert call(admin, "PUT", "/loglevel", "debug", operator).status == 200
    assert call(admin, "GET", "/loglevel").body.strip() == "debug"
    assert call(admin, "GET", "/operator/status").status == 401
    events = call(admin, "GET", "/timeline?request=my-own-id").json()["events"]
    kinds = [event["kind"] for event in events]
    assert kinds[0] == "request_arrived" and "first_token" in kinds, kinds


def run(build):
    limits = {"readTimeoutMs": 700, "writeTimeoutMs": 700, "maxOutputTokens": 4096}
    with small_site(build, prefills=1, decodes=2, applications=2, entries=0) as site:
        site.add_entry("entry-1", limits=limits)
        site.wait_until_serving()
        refusal_checks(site)
        chat_checks(site)
        malformed_checks(site)
        action_checks(site)
        disconnect_checks(site)
        slow_reader_checks(site)
        limit_checks(site)
        admin_checks(site)
        no_engine_checks(site)
        assert not site.violations(), site.violations()
