"""A success without the seal of its server never reaches its caller, and what may run once is not run again for it."""
import time

from support.gateway import Caller, platform_site

PLAIN, STREAMS = ("/act/", "/read/"), ("/text/", "/resume/")
# What a faulty server sends in place of the field.
SPOILED = ({}, {"X-Server-Seal": ""}, {"X-Serverxseal": "seal"})
SETTLE_S = 1.5


def send(caller, path):
    return caller.send(path, "GET", b"") if path.startswith("/read/") else caller.send(path)


def spoil(servers, fields):
    for server in servers:
        server.spoiled_seal = fields


def check_whole(platform, caller, path, runs=(1,)):
    """`FakePlatform.violations` has any success that is cut or has no seal, and any second run of what may run once."""
    answer = send(caller, path)
    assert answer.status == 200 and answer.is_whole, (path, answer.__dict__)
    assert platform.runs[answer.attempt] in runs, (path, platform.runs[answer.attempt])
    return answer


def servers_of(platform, path):
    return platform.decodes() if path in STREAMS else platform.plain_servers


def check_all_spoil(platform, gateway, caller, path, fields, runs):
    spoil(servers_of(platform, path), fields)
    answer = send(caller, f"{path}spoiled")
    spoil(servers_of(platform, path), None)
    assert answer.status == 502, (path, fields, answer.__dict__)
    assert "X-Server-Seal" not in answer.headers and not answer.events, answer.__dict__
    assert platform.runs[answer.attempt] == runs, (path, fields, platform.runs[answer.attempt])
    event = "stream_broken" if path in STREAMS else "answer_incomplete"
    lines = [line for line in gateway.log_lines(event) if answer.attempt in line and "signature" in line]
    assert len(lines) == runs, (path, lines)


def check_one_spoils(platform, caller, path):
    """A request that may run again is served by another server than the faulty one."""
    ran = []
    while 2 not in ran and len(ran) < 20:
        name = check_whole(platform, caller, f"{path}sound").headers["X-Instance-Id"]
        faulty = [server for server in servers_of(platform, path) if server.name == name]
        spoil(faulty, {})
        answer = check_whole(platform, caller, f"{path}elsewhere", (1, 2))
        spoil(faulty, None)
        ran.append(platform.runs[answer.attempt])
        assert ran[-1] == 1 or answer.headers["X-Instance-Id"] != name, answer.__dict__
    assert 2 in ran, path


def check_spoiled_resumption(platform, caller):
    """The answer that a stream goes on with needs a seal as well, though the caller has that of the first one."""
    first, *others = platform.decodes()
    spoil(others, {})
    met = False
    for _ in range(20):
        first.break_after = 12
        answer = caller.send("/resume/spoiled")
        assert not answer.is_whole or answer.status in (502, 503), answer.__dict__
        assert answer.events in (0, 12), answer.__dict__
        met = met or answer.events == 12 and platform.runs[answer.attempt] == 2
        if met:
            break
        time.sleep(SETTLE_S)
    spoil(others, None)
    first.break_after = None
    assert met


def run(build):
    with platform_site(build, events=30, decodes=3, plain_servers=3) as (platform, (gateway,)):
        caller = Caller(platform, gateway)
        for plain, streams in (("connection", "connection"), ("length", "chunked")):
            for server in platform.plain_servers:
                server.framing = plain
            for engine in platform.decodes():
                engine.framing = streams
            for path in PLAIN + STREAMS:
                check_whole(platform, caller, f"{path}sound")
        for fields in SPOILED:
            for path, runs in (("/act/", 1), ("/read/", 2), ("/text/", 1), ("/resume/", 2)):
                check_all_spoil(platform, gateway, caller, path, fields, runs)
                time.sleep(SETTLE_S)
        for path in ("/read/", "/resume/"):
            check_one_spoils(platform, caller, path)
            time.sleep(SETTLE_S)
        check_spoiled_resumption(platform, caller)
        time.sleep(SETTLE_S)

        # An error needs no seal.
        for server in platform.plain_servers:
            server.fails, server.spoiled_seal = True, {}
        assert caller.send("/act/fails").status == 500
        for server in platform.plain_servers:
            server.fails, server.spoiled_seal = False, None
        time.sleep(SETTLE_S)
        for path in PLAIN + STREAMS:
            check_whole(platform, caller, f"{path}sound")
        platform.wait_until_idle(3)
