#!/usr/bin/env python3
"""Takes one guard at a time out of a copy of the gateway's sources and tells which seed of the soak notices, or whether the
case does that is named for the guard.

    removed_guards.py --seeds 1-8 --jobs 4 [--only NAME]

The sources here are never touched. Ends with 1 if a guard is missed by all seeds, or by its case.
"""
import argparse
import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = "src/libperidotgrade/gateway/"

# Name of the guard, file, and the text that stands for it with and without the guard.
GUARDS = [
    ("what may run once is not sent again", GATEWAY + "plain_call.cpp",
     "this->context.route.kind == CallKind::Idempotent && this->runs < this->context.route.maxAttempts;\n}",
     "this->runs < 3;\n}"),
    ("not run is said only of what has not run", GATEWAY + "plain_call.cpp",
     "if (this->runs == 0) {\n        auto until", "if (true) {\n        auto until"),
    ("the id on an answer is compared", "platform/server_client.cpp",
     "echoed.empty() || echoed == attempt", "echoed.empty() || !echoed.empty()"),
    ("a stream that may not be resumed ends with its engine", GATEWAY + "generation_call.cpp",
     "if (!this->context.route.isResumable || this->runs >= this->context.route.maxAttempts)\n        return false;\n"
     "    return !this->hasBegun || (this->framer.lastId() && this->isOriginShown);",
     "return this->runs < 3 && (!this->hasBegun || this->framer.lastId());"),
    ("a resumed stream goes on after its last event", GATEWAY + "generation_call.cpp",
     "options.lastEvent = this->framer.lastId();",
     # Without an id the engine would repeat events, and the check of ids would end the stream.
     "options.lastEvent = this->framer.lastId().value_or(0) + 1;"),
    ("an answer that was cut does not look whole", GATEWAY + "generation_call.cpp",
     "abortStream(this->state, this->context, this->failure, this->lastServer, this->lastDetail);\n",
     "co_await this->context.exchange.endStream();\n"),
    ("a stream that ends inside an event is incomplete", GATEWAY + "generation_stream.cpp",
     "else if (this->framer.hasPartialEvent())\n        broken", "else if (false)\n        broken"),
    ("a broken stream goes on at its version", GATEWAY + "generation_stream.cpp",
     "this->version = this->runVersion;", ""),
    ("a stream that its caller resumes goes on at its version", GATEWAY + "gateway_node.cpp",
     "context.version = origin->version;", ""),
    ("a resumable stream begins at a version on record", GATEWAY + "generation_call.cpp",
     "return !this->context.route.isResumable\n"
     "        || this->state.versions[this->context.service].isRecorded(candidate);", "return true;"),
    ("a stopping entry finishes what runs", GATEWAY + "gateway_stop.cpp",
     "if (isAwaited && now < this->endsAt) {", "if (isAwaited && false) {"),
    ("a caller that leaves ends its request", GATEWAY + "gateway_node.cpp",
     "exchange.onClientDisconnect([&cancellation] { cancellation.cancel(); });", ""),
]

JOINED = "gateway_streams_joined_over_releases"
ENDED_SERVERS = "gateway_partial_answers_of_ended_servers"

# The same, with the case that has to notice.
CASE_GUARDS = [
    ("an idle connection is not read again as it is closed", "src/libperidotgrade/net/http_session.cpp",
     "if (!hasArrived)\n                co_return false;", "if (!hasArrived && error)\n                co_return false;",
     "gateway_stop_open_connections"),
    ("the compiler decides whether an idle connection is read again", "src/libperidotgrade/net/http_session.cpp",
     "if (!hasArrived)\n                co_return false;\n"
     "            error = co_await this->readFirstBytes(LastRequestTime, this->shared->arriving);\n            co_return !error;",
     "co_return hasArrived && !co_await this->readFirstBytes(LastRequestTime, this->shared->arriving);",
     "gateway_stop_open_connections"),
    ("no path of the callers' port comes before the routes", GATEWAY + "gateway_node.cpp",
     "        KeyCheck checked = checkKey(this->state, exchange.request());\n",
     "        if (exchange.request().path() == \"/api/ready\") {\n            co_await this->answerReadiness(exchange);\n"
     "            co_return;\n        }\n        KeyCheck checked = checkKey(this->state, exchange.request());\n",
     "gateway_routes_with_names_of_its_own"),
    ("an accepted connection does not complete an answer", GATEWAY + "gateway_state_losses.cpp",
     "check = co_await watch->check(times.settleTime, times.timeout, times.newConnectionAllowance);",
     "{}\n    auto probe = co_await this->endProbe.run(this->clients.clientFor(watch->record()));\n"
     "    check.liveness = probe.isRefused || times.timeout <= times.timeout.zero() ? Liveness::Ended : Liveness::Alive;",
     ENDED_SERVERS),
    ("an answer of a server that has shown nothing is incomplete", GATEWAY + "gateway_state_losses.cpp",
     "co_return !hasGoneOn && !hasEndedLater;", "co_return !hasGoneOn && check.liveness == Liveness::Ended;",
     ENDED_SERVERS),
    ("servers that leave or are not listed are asked", GATEWAY + "gateway_state_losses.cpp",
     "    if (!watch)\n        co_return false;",
     "    const ServerRecord* listed = watch ? this->directory.find(watch->record().id) : nullptr;\n"
     "    if (listed == nullptr || listed->isDraining)\n        co_return false;", ENDED_SERVERS),
    ("a server that closes its connections has not completed its answers", GATEWAY + "server_liveness.cpp",
     "if (closed && *closed >= endedAt - ClosingTime)", "if (closed && endedAt > due)", ENDED_SERVERS),
    ("an answer on a new connection does not complete an earlier one", GATEWAY + "server_liveness.cpp",
     "(isKept ? due : endedAt + UnkeptSettleTime)", "(isKept || due <= endedAt + UnkeptSettleTime ? due : endedAt)",
     ENDED_SERVERS),
    ("a connection that is closed as announced is followed by the next", GATEWAY + "server_liveness.cpp",
     "co_await this->continueOnNextConnection();", "co_await this->openConnection(false);", ENDED_SERVERS),
    ("a reset of the kept connection is a sign of the end", GATEWAY + "server_liveness.cpp",
     "bool wasKept = this->hasConnectionAnswered || (this->isContinued && wasTaken);",
     "bool wasKept = isPeerClosed && wasTaken;", ENDED_SERVERS),
    ("the end of a server does not break off answers that ended before it", GATEWAY + "server_liveness.cpp",
     "return this->hasEndedLater(endedAt) ? Liveness::EndedLater : Liveness::Ended;", "return Liveness::Ended;",
     "gateway_whole_answers_of_leaving_servers"),
    ("what is dropped for room is withdrawn", GATEWAY + "crash_log.cpp",
     "this->surplus.emplace(keyOf(record), record.suspect);",
     "if (record.wasTrial)\n        this->surplus.emplace(keyOf(record), record.suspect);", "gateway_many_crash_records"),
    ("a server that falls silent does not break off answers that it has outlived", GATEWAY + "server_liveness.cpp",
     "found = Liveness::Silent;", "found = Liveness::Unknown;", "gateway_whole_answers_of_leaving_servers"),
    ("an answer that ends at its limit is incomplete", GATEWAY + "gateway_state_losses.cpp",
     "if (times.timeout >= MinEndCheckTime)", "if (times.timeout >= Duration::zero())", ENDED_SERVERS),
    ("a server that has stopped listening has not completed its answers", GATEWAY + "server_liveness.cpp",
     "if (isRefusing)", "if (isRefusing && endedAt > due)",
     "gateway_partial_answers_of_stopping_servers"),
    ("a new connection does not confirm a short stream at once", GATEWAY + "generation_stream.cpp",
     "bool hasTime = this->hasBegun && !this->isStallWatched();", "bool hasTime = false;",
     "gateway_partial_answers_of_stopping_servers"),
    ("a reset that the write of a request has met is no end of the answer", "src/libperidotgrade/net/http_channel.cpp",
     "if (this->wasReset && this->parser->need_eof())", "if (this->wasReset && this->isHead)",
     "gateway_streams_reset_before_their_request_is_read"),
    ("an answer of the store is read while it arrives", "platform/store_client.cpp",
     "if (bodyTime == StoreClient::BodyTime::WhileItArrives)",
     "if (bodyTime == StoreClient::BodyTime::WhileItArrives && isAbandonable)",
     "gateway_configuration_in_time"),
    ("an engine that leaves gets no run", GATEWAY + "generation_call.cpp",
     'return "the engine leaves";', "return {};", "gateway_engines_leaving_during_prefill"),
    ("a request is the same from wherever it comes", GATEWAY + "gateway_node.cpp",
     "request.clientAddress = exchange.clientAddress();",
     "request.clientAddress = exchange.clientAddress();\n        request.fingerprint = Fingerprint {"
     " request.fingerprint.raw() ^ std::hash<std::string> {}(request.clientAddress) };",
     "gateway_crashing_requests_of_several_addresses"),
    ("a popular request is tried before it is held", "src/libperidotgrade/core/quarantine/quarantine.cpp",
     "&& this->countFailedTrials(record) < this->limits.failedTrials;", "&& false;",
     "gateway_popular_read_beside_crashes"),
    ("trials that are lost in crashes end the probation", "src/libperidotgrade/core/quarantine/quarantine.cpp",
     "&& this->countFailedTrials(record) < this->limits.failedTrials;", "&& true;",
     "gateway_popular_read_beside_crashes"),
    ("a plain success without a signature is incomplete", GATEWAY + "plain_call.cpp",
     "if (answer.head().isUnsigned && !answer.head().isNotRun) {", "if (false) {", "gateway_successes_without_seal"),
    ("a stream without a signature is broken", GATEWAY + "generation_stream.cpp",
     "if (answer.head().isUnsigned) {", "if (false) {", "gateway_successes_without_seal"),
    ("the only version is that of a current list", GATEWAY + "gateway_state.cpp",
     "if (!this->areVersionsKnown || !this->isListCurrent())", "if (!this->areVersionsKnown)", JOINED),
    ("the only version is known with those on record", GATEWAY + "gateway_state.cpp",
     "if (!this->areVersionsKnown || !this->isListCurrent())", "if (!this->isListCurrent())", JOINED),
    ("a gap in the list is noticed", GATEWAY + "gateway_state.cpp", "if (isGap && this->onServersListed)", "if (false)", JOINED),
    ("versions on record are read", GATEWAY + "version_log.cpp",
     "record.value ? keyFrom(record.key)", "record.value && record.key.empty() ? keyFrom(record.key)", JOINED),
    ("a server that has started again has the events of no stream", GATEWAY + "generation_stream.cpp",
     "Incarnation incarnation = co_await this->incarnationOf(answer, client);",
     "Incarnation incarnation = Incarnation::Listed;", JOINED),
]


def copied_sources(folder):
    files = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"], cwd=ROOT, check=True,
                           capture_output=True, text=True).stdout.split()
    for name in files:
        if name.startswith("journal/") or not (ROOT / name).is_file():
            continue
        target = folder / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / name, target)
    return folder


def build(copy, jobs):
    environment = {**os.environ, "CCACHE_BASEDIR": str(copy), "CCACHE_NOHASHDIR": "1"}
    if not (copy / "build" / "build.ninja").exists():
        subprocess.run(["cmake", "--preset", "release"], cwd=copy, check=True, stdout=subprocess.DEVNULL)
    subprocess.run(["ninja", "-j", str(jobs), "-C", "build", "peridot-gateway"], cwd=copy, env=environment, check=True,
                   stdout=subprocess.DEVNULL)


def first_finding(copy, seeds, jobs):
    """Seed and first line of what the soak says; nothing if no seed notices."""
    soak = copy / "testsuite" / "gateway_soak" / "soak.py"

    def play(seed):
        return seed, subprocess.run([sys.executable, soak, "--build", copy / "build", "--seeds", str(seed),
                                     "--seconds", "10", "--jobs", "1"], capture_output=True, text=True)

    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for seed, result in pool.map(play, seeds):
            if result.returncode != 0:
                lines = (result.stdout + result.stderr).splitlines()
                return f"seed {seed}", next((line for line in lines if line.startswith("seed ")), lines[-1] if lines else "")
    return None


def case_finding(copy, case):
    """The case and the first line of what it says; nothing if it passes."""
    result = subprocess.run([sys.executable, copy / "testsuite" / "run.py", "--build", copy / "build", case],
                            capture_output=True, text=True, timeout=300)
    if result.returncode == 0:
        return None
    lines = (result.stdout + result.stderr).splitlines()
    return case, next((line for line in lines if line.startswith("AssertionError")), lines[-1])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-8", help="first-last")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="", help="part of a guard's name")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    missed = 0
    with tempfile.TemporaryDirectory() as folder:
        copy = copied_sources(pathlib.Path(folder))
        for name, file, guarded, bare, *case in [*GUARDS, *CASE_GUARDS]:
            if arguments.only not in name:
                continue
            path = copy / file
            text = path.read_text()
            assert text.count(guarded) == 1, f"{name}: the guard stands {text.count(guarded)} times in {file}"
            path.write_text(text.replace(guarded, bare))
            try:
                build(copy, arguments.jobs)
                found = case_finding(copy, *case) if case else first_finding(copy, seeds, arguments.jobs)
            finally:
                path.write_text(text)
            missed += found is None
            print(f"| {name} | " + (f"{found[0]} | {found[1][:160]} |" if found else "missed | |"), flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
