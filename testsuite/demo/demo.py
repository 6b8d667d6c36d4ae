#!/usr/bin/env python3
"""Demo on a small loopback site: requests, an engine failure, their answers and the timeline of events."""
import argparse
import itertools
import os
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from support.caller import time_ordered_key
from support.site import APPLICATION_SERVICE, MODEL, OPERATOR_KEY, WORKSPACE_KEY, small_site

PROMPT = "Write the notice of Monday's water cut for the households of Nyarugenge."


def show(title, text):
    print(f"\n== {title}\n{text}", flush=True)


def plain_completion(site):
    answer = site.caller("entry-1").complete(MODEL, PROMPT, 24)
    show("a completion", f"{answer.status} outcome={answer.outcome}\n{answer.body}")


def streamed_completion_with_failure(site):
    """Kills the decoding engine during a stream; returns the request id."""
    prompt = PROMPT + " !!length 120!!"
    stream = site.caller("entry-2").stream(MODEL, prompt, 200)
    pieces = list(itertools.islice(stream, 10))
    lost = site.decoding_backend()
    lost.server.kill()
    text = "".join(pieces) + stream.rest()
    verdict = "complete" if text == site.expected_answer(prompt, 200) else f"NOT complete: {stream.error}"
    show(f"a streamed completion; the engine of {lost.name} was killed after {len(pieces)} tokens",
         f"{len(text) // 4} tokens, {verdict}\n{text}")
    site.restart_server(lost)
    return stream.headers.get("x-request-id")


def action_sent_twice(site):
    key = time_ordered_key()
    answers = [site.caller(entry).act(APPLICATION_SERVICE, "/enrol", "household 7", key)
               for entry in ("entry-1", "entry-2")]
    show("an action, sent twice with one Idempotency-Key through two entries",
         "\n".join(f"{answer.status} outcome={answer.outcome} {answer.body}" for answer in answers)
         + f"\nit ran {site.run_count(key)} time(s)")
    read = site.caller().read(APPLICATION_SERVICE, "/balance?household=7")
    show("a read", f"{read.status} {read.body}")


def site_file(site):
    """Writes the site file of peridotctl, which lists the admin addresses of all processes."""
    admins = {"entries": [entry.ports["admin"] for entry in site.entries.values()],
              "agents": [backend.agent.ports["admin"] for backend in site.backends.values()]}
    return site.settings_file("site", admins)


def time_line(site, build, request):
    arguments = ["--site", site_file(site), "timeline", "--request", request]
    show("the timeline of the streamed request: events of all processes in order of time",
         "$ peridotctl " + " ".join(arguments))
    environment = {**os.environ, "PERIDOT_OPERATOR_KEY": OPERATOR_KEY}
    result = subprocess.run([build / "peridotctl", *arguments], capture_output=True, text=True, check=False,
                            env=environment)
    print(result.stdout + result.stderr, flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="build folder that contains the programs")
    parser.add_argument("--stay", action="store_true", help="keep the site running until Enter is pressed")
    options = parser.parse_args()
    build = pathlib.Path(options.build).resolve() / "src"
    with small_site(build, prefills=2, decodes=2, applications=2, entries=2) as site:
        addresses = "\n".join(f"{name}: callers http://{entry.ports['listen']} operators http://{entry.ports['admin']}"
                              for name, entry in site.entries.items())
        show("the site is up", f"{addresses}\ncallers' key: {WORKSPACE_KEY}")
        plain_completion(site)
        request = streamed_completion_with_failure(site)
        action_sent_twice(site)
        time_line(site, build, request)
        if options.stay:
            input("\nPress Enter to stop the site. ")
    print("\nstopped", flush=True)


if __name__ == "__main__":
    main()
