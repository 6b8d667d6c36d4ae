"""Case 13: model servers that leave by plan end right after their last answers, which have no length; see claim.txt."""
import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness_3 import BROKEN, CANNOT_RUN, HELD, HOST, MODEL, Gateway, Record, configuration, exchange, fake_platform, \
    put_configuration, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_APPLY_S, TIME_LIMIT_S = 2.0, 14.0
# `hup`: a share of 0.3 of the machines (`kinds`); here the first of four gateways, which gets the requests.
GATEWAYS = 4
EVENTS, EVENT_S = 60, 0.05
STREAMS, STREAM_DISTANCE_S = 4, 0.1
# `scale_in`: a share of 0.25 of the service's servers reports that it drains, serves on and exits.
PREFILLS, DECODES, LEAVING = 2, 6, 2
DRAIN_AFTER_S, EXIT_AFTER_ANSWER_S, DRAIN_S = 0.5, 0.3, 2.0


async def send(gateway, record, answers):
    attempt, body = uuid.uuid4().hex[:16], b'{"text":"%s"}' % uuid.uuid4().hex.encode()
    head = (f"POST /letter/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {int(TIME_LIMIT_S * 1000)}\r\nX-Model: m\r\nX-Token-Counts: 3200,160\r\nX-Length-Hint: 60\r\n"
            f"X-Prompt-Prefix: 5c1e:200,{attempt}:3000\r\nContent-Length: {len(body)}\r\n\r\n").encode()
    at = time.monotonic()
    record.write(f"{attempt} is sent to {gateway.name}")
    try:
        status, _, answer, is_whole = await asyncio.wait_for(exchange(gateway.host, gateway.port, head, body), TIME_LIMIT_S)
    except (OSError, asyncio.TimeoutError):
        status, answer, is_whole = None, b"", False
    ended = time.monotonic()
    record.write(f"{attempt} has ended: status {status}, {answer.count(b'id: ')} of {EVENTS} events,"
                 f" {'complete' if is_whole else 'cut off'}, after {ended - at:.2f} s")
    answers.append({"attempt": attempt, "at": at, "ended": ended, "status": status, "whole": is_whole})


async def leave(platform, engine, record):
    """Reports that the engine drains, and ends it once its answers have ended and `drain_ms` has passed."""
    record.write(f"{engine.name} reports that it drains")
    platform.call(engine.drain())
    reported = time.monotonic()
    while platform.running_at(engine) or time.monotonic() < reported + DRAIN_S:
        await asyncio.sleep(0.01)
    record.write(f"{engine.name} has ended its answers, {time.monotonic() - reported:.2f} s after its report")
    await asyncio.sleep(EXIT_AFTER_ANSWER_S)
    platform.call(engine.crash())
    record.write(f"{engine.name} has exited")


async def play(platform, gateway, record):
    answers = []
    gateway.send_signal(signal.SIGHUP)
    record.write(f"{gateway.name} gets SIGHUP")
    await asyncio.sleep(0.3)
    tasks = []
    for _ in range(STREAMS):
        tasks.append(asyncio.ensure_future(send(gateway, record, answers)))
        await asyncio.sleep(STREAM_DISTANCE_S)
    await asyncio.sleep(DRAIN_AFTER_S)
    busy = [engine for engine in platform.decodes() if platform.running_at(engine)]
    if TROUBLE:
        tasks += [asyncio.ensure_future(leave(platform, engine, record)) for engine in busy[:LEAVING]]
    await asyncio.wait(tasks, timeout=TIME_LIMIT_S + 2)
    return answers


def run(folder, record):
    platform = fake_platform.FakePlatform(seed=1, prefills=PREFILLS, decodes=DECODES, plain_servers=1, events=EVENTS)
    platform.running_at = lambda engine: engine.used_tokens > 0
    for engine in platform.engines:
        engine.event_s, engine.framing = EVENT_S, "connection"
    put_configuration(platform, configuration(2, [
        route("letter", "/letter/", "streaming", MODEL, 14000, target_gap_ms=300)]))
    gateways = [Gateway(folder, f"front-{number + 1}", platform.store.address).start() for number in range(GATEWAYS)]
    try:
        if not all(gateway.wait_ready() for gateway in gateways):
            record.write("a gateway is not ready")
            return CANNOT_RUN
        time.sleep(6)
        answers = asyncio.run(play(platform, gateways[0], record))
        return judge(platform, answers, record)
    finally:
        for gateway in gateways:
            gateway.end()
        platform.end()


def judge(platform, answers, record):
    """LOST: beside planned work, a request that was passed on to a server ends without a complete answer."""
    lost = 0
    for each in answers:
        runs = platform.run_history.get(each["attempt"], [])
        record.write(f"{each['attempt']} ran {len(runs)} times" + "".join(
            f", at {server} from {at - record.began:.3f}" for at, server in runs))
        is_late = each["ended"] - each["at"] >= TIME_LIMIT_S
        if runs and not each["whole"] and not is_late:
            lost += 1
    ran = sum(bool(platform.run_history.get(each["attempt"])) for each in answers)
    if len(answers) < STREAMS or ran < STREAMS:
        record.write(f"only {ran} streams have run")
        return CANNOT_RUN
    record.write(f"LOST is broken: {lost} of {len(answers)} streams were cut off" if lost else "LOST held")
    return BROKEN if lost else HELD


def main():
    record = Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = run(folder, record)
        except Exception as problem:  # pylint: disable=broad-except
            record.write(f"could not run: {problem!r}")
            status = CANNOT_RUN
    print((FOLDER / "record.txt").read_text().splitlines()[-1])
    os._exit(status)


main()
