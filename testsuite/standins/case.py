"""The emulators without the router: prefill, KV transfer, decode, resumption, cancellation, log, actions and faults."""
import json
import subprocess

from support.http_calls import EventStream, call, wait_for
from support.process import Process, new_folder

MODEL = "reminder-llm"


def tokens_of(stream):
    events = [json.loads(event) for event in stream]
    return [event for event in events if "index" in event], events[-1]


def decode_body(stream, prompt, first, count, **more):
    return {"stream": stream, "model": MODEL, "prompt": prompt, "first_index": first, "max_tokens": count, **more}


def engine_checks(build, prefill, decode):
    prompt = "When is the water cut? " * 40
    body = {"stream": "p1", "model": MODEL, "prompt": prompt}
    first = call(prefill.ports["listen"], "POST", "/v1/prefill", body).json()
    assert first["cached_tokens"] == 0 and first["kv_bytes"] > 0, first
    kv = {"exporter": prefill.ports["listen"], "handle": first["kv_handle"]}
    stream = EventStream(decode.ports["listen"], "/v1/decode", decode_body("d1", prompt, 0, 40, kv=kv))
    assert stream.status == 200, stream.status
    tokens, last = tokens_of(stream)
    assert [token["index"] for token in tokens] == list(range(40)), tokens
    assert last == {"finish_reason": "length"}, last
    text = "".join(token["text"] for token in tokens)
    expected = subprocess.run([build / "standin-engine", "answer", prompt, "--max-tokens", "40"],
                           capture_output=True, text=True, check=True).stdout
    assert text == expected, (text, expected)
    resumed = prompt + "".join(token["text"] for token in tokens[:15])
    rest, _ = tokens_of(EventStream(decode.ports["listen"], "/v1/decode", decode_body("d2", resumed, 15, 25)))
    assert [token["index"] for token in rest] == list(range(15, 40)), rest
    assert "".join(token["text"] for token in rest) == text[15 * 4:], "a resumed answer differs"
    gone = call(decode.ports["listen"], "POST", "/v1/decode", decode_body("d3", prompt, 0, 5, kv=kv))
    assert gone.status == 424 and gone.json()["error"]["type"] == "kv_gone", gone
    again = call(prefill.ports["listen"], "POST", "/v1/prefill", {**body, "stream": "p2"}).json()
    assert again["cached_tokens"] > 0, again


def held(engine):
    return call(engine.ports["control"], "GET", "/control").json()["pieces_held"]


def memory_checks(prefill, decode):
    wait_for(lambda: held(prefill) == 0, "the kept result is evicted by expiry")
    stream = EventStream(decode.ports["listen"], "/v1/decode", decode_body("d4", "!!length 900!!", 0, 900))
    next(iter(stream))
    stream.close()
    assert held(decode) > 0, "a stream whose client has disconnected must keep its memory"
    listed = call(decode.ports["listen"], "GET", "/v1/streams").json()["streams"]
    assert [item["stream"] for item in listed] == ["d4"], listed
    call(decode.ports["control"], "POST", "/control", {"fail_cancels": 1})
    assert call(decode.ports["listen"], "DELETE", "/v1/streams/d4").status == 503
    assert held(decode) > 0
    assert call(decode.ports["listen"], "DELETE", "/v1/streams/d4").status == 200
    assert held(decode) == 0


def restart_checks(decode):
    before = call(decode.ports["listen"], "GET", "/v1/state").json()["incarnation"]
    stream = EventStream(decode.ports["listen"], "/v1/decode", decode_body("d5", "!!length 900!!", 0, 900))
    next(iter(stream))
    call(decode.ports["control"], "POST", "/control", {"restart": True})
    assert call(decode.ports["listen"], "GET", "/v1/state").json()["incarnation"] != before
    assert held(decode) == 0


def command_checks(decode, platform):
    command = {"fence": 5, "kind": "load", "model": "other", "version": "2", "weights": platform.ports["listen"]}
    assert call(decode.ports["listen"], "POST", "/v1/orders", command).status == 202

    def is_loaded():
        models = call(decode.ports["listen"], "GET", "/v1/state").json()["models"]
        return any(item["model"] == "other" and item["version"] == "2" for item in models)
    wait_for(is_loaded, "the model is loaded")
    stale = call(decode.ports["listen"], "POST", "/v1/orders", {"fence": 4, "kind": "unload", "model": "other"})
    assert stale.status == 409 and is_loaded(), stale


def platform_checks(platform):
    address, control = platform.ports["listen"], platform.ports["control"]
    append = lambda *records: call(address, "POST", "/log/claims/records", {"records": list(records)})
    assert append("a", "b").json() == {"first_offset": 0}
    call(control, "POST", "/control", {"lose_answers": 1})
    try:
        append("c")
        raise AssertionError("the answer was to be lost")
    except (ConnectionError, OSError):
        pass
    page = call(address, "GET", "/log/claims/records?from=1&limit=10").json()
    assert [record["data"] for record in page["records"]] == ["b", "c"], page
    call(control, "POST", "/control", {"log_down": True})
    assert append("d").status == 503
    call(control, "POST", "/control", {"log_down": False, "retention_ms": 0})
    wait_for(lambda: call(address, "GET", "/log/claims/records?from=0").status == 410, "old records are dropped")
    call(control, "POST", "/control", {"appends_per_second": 1})
    statuses = [append("e").status for _ in range(5)]
    assert 429 in statuses, statuses
    assert call(control, "POST", "/control", {"no_such_switch": 1}).status == 400


def application_checks(application):
    address, control = application.ports["listen"], application.ports["control"]
    assert call(address, "GET", "/balance").status == 200
    call(control, "POST", "/control", {"lose_answers": 1})
    try:
        call(address, "POST", "/enrol", "x", {"Idempotency-Key": "k1"})
        raise AssertionError("the answer was to be lost")
    except (ConnectionError, OSError):
        pass
    call(address, "POST", "/enrol", "x", {"Idempotency-Key": "k1"})
    assert call(control, "GET", "/control").json()["runs"] == {"k1": 2}


def crash_checks(prefill):
    try:
        call(prefill.ports["listen"], "POST", "/v1/prefill", {"stream": "x", "model": MODEL, "prompt": "!!crash!!"})
        raise AssertionError("the engine failed to crash")
    except (ConnectionError, OSError):
        pass
    assert prefill.wait_exit() == 134


def run(build):
    logs = new_folder()
    engine_flags = ["--model", MODEL, "--kept-for-ms", "300", "--step-us", "2000", "--seed", "7"]
    processes = [
        Process(build / "standin-platform", [], logs, "platform"),
        Process(build / "standin-appserver", [], logs, "application"),
        Process(build / "standin-engine", ["--role", "prefill", *engine_flags], logs, "prefill"),
        Process(build / "standin-engine", ["--role", "decode", "--checks-fence", *engine_flags], logs, "decode"),
    ]
    try:
        for process in processes:
            process.start()
        platform, application, prefill, decode = processes
        engine_checks(build, prefill, decode)
        memory_checks(prefill, decode)
        restart_checks(decode)
        command_checks(decode, platform)
        platform_checks(platform)
        application_checks(application)
        crash_checks(prefill)
        decode.terminate()
        assert decode.wait_exit() == 0
    finally:
        for process in processes:
            process.end()
