"""An answer that its server broke off never reaches its caller as a complete one, however its end is marked."""
import time

from support.gateway import Caller, platform_site


def check_stream(caller, path, engines, events, break_inside_event):
    """Breaks the next stream off after `events` events; returns its answer."""
    for engine in engines:
        engine.break_after, engine.break_inside_event = events, break_inside_event
    answer = caller.send(path)
    for engine in engines:
        engine.break_after = None
    return answer


def run(build):
    with platform_site(build, events=30, decodes=3) as (platform, (gateway,)):
        caller = Caller(platform, gateway)
        decodes = platform.decodes()
        for framing in ("chunked", "connection"):
            for engine in decodes:
                engine.framing = framing
            for path in ("/text/whole", "/resume/whole"):
                answer = caller.send(path)
                assert answer.status == 200 and answer.is_whole and answer.events == 30, (framing, answer.__dict__)
            # `FakePlatform.violations` has any answer that looks complete and is not.
            for events in (1, 12, 29):
                answer = check_stream(caller, "/text/torn", decodes, events, True)
                assert not answer.is_whole, (framing, events, answer.__dict__)
        # A stream without events is no complete one, however its end is marked.
        for framing in ("connection", "chunked"):
            for engine in decodes:
                engine.framing = framing
            answer = check_stream(caller, "/text/empty", decodes, 0, False)
            assert answer.status == 502, (framing, answer.__dict__)

        # One engine breaks off: another one goes on where the last complete event ended.
        for framing, events, inside in (("chunked", 12, True), ("connection", 12, True), ("connection", 0, False)):
            for engine in decodes:
                engine.framing = framing
                engine.break_after, engine.break_inside_event = None, inside
            breaking = decodes[0]
            breaking.break_after = events
            attempts = 0
            while breaking.break_after is not None and attempts < 20:
                answer = caller.send("/resume/torn")
                attempts += 1
                assert answer.status == 200 and answer.is_whole, (framing, events, answer.__dict__)
            assert breaking.break_after is None and platform.runs[answer.attempt] == 2, answer.__dict__

        # A server that exits between two events ends its connections in an orderly way, so the end of the connection
        # alone looks like the end of the stream.
        for path, runs in (("/text/exit", 1), ("/resume/exit", 2)):
            for engine in decodes:
                engine.framing, engine.break_inside_event = "connection", False
                engine.break_after, engine.exits_inside_answer = None, False
            exiting = decodes[0]
            exiting.break_after, exiting.exits_inside_answer = 12, True
            attempts = 0
            while exiting.exits_inside_answer and attempts < 20:
                answer = caller.send(path)
                attempts += 1
            assert not exiting.exits_inside_answer, path
            assert answer.is_whole == (runs == 2), (path, answer.__dict__)
            assert platform.runs[answer.attempt] == runs, (path, answer.__dict__)
            time.sleep(2)

        # A plain answer without a length ends with its connection; one that is reset is incomplete.
        for server in platform.plain_servers:
            server.framing = "connection"
        for path, method in (("/act/whole", "POST"), ("/read/whole", "GET")):
            assert caller.send(path, method, b"{}" if method == "POST" else b"").status == 200
        for server in platform.plain_servers:
            server.reset_inside_answers = True
        assert caller.send("/act/reset").status == 502
        assert caller.send("/read/reset", "GET", b"").status == 502
        time.sleep(1)
        for server in platform.plain_servers:
            server.reset_inside_answers, server.exits_inside_answer = False, True
        answer = caller.send("/act/exit")
        assert answer.status == 502, answer.__dict__
        platform.wait_until_idle(3)
