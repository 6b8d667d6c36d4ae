#!/usr/bin/env python3
"""Overhead of an entry: time to first token compared with direct calls to the engine, CPU cost at ten times a node's
share of the load, and cost per token with few and with many open streams. Prints figures and asserts only that all
answers are correct."""
import argparse
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from support.site import MODEL, WORKSPACE_KEY, Site  # noqa: E402

LARGE_ENGINE_FLAGS = ["--places", "4000", "--kv-tokens", "40000000", "--prefill-base-us", "0",
               "--prefill-tokens-per-second", "100000000", "--step-per-stream-us", "0"]


def mixed_site(build, engines, step_us):
    site = Site(build)
    for number in range(engines):
        site.add_engine(f"mixed-{number + 1}", "mixed", *LARGE_ENGINE_FLAGS, "--step-us", str(step_us))
    site.configure()
    site.add_entry("entry-1")
    site.wait_until_serving()
    return site


def load(site, *arguments):
    entry = site.entries["entry-1"]
    command = [site.build / "peridot-load", "--entry", entry.ports["listen"], "--admin", entry.ports["admin"],
               "--key", WORKSPACE_KEY, "--model", MODEL, *map(str, arguments)]
    print("$", " ".join(["peridot-load", *map(str, arguments)]), flush=True)
    result = subprocess.run(command, capture_output=True, text=True, timeout=300)
    print(result.stdout + result.stderr, flush=True)
    return result.returncode


def overhead(build, seed):
    with mixed_site(build, 1, 2000) as site:
        # This engine has no agent, since an agent cancels the streams that no entry has requested.
        engine = site.start("standin-engine", "direct", "--role", "mixed", "--model", MODEL, *LARGE_ENGINE_FLAGS,
                            "--step-us", "2000")
        return load(site, "--seed", seed, "--size-spread", 0, "--output-tokens", 2, "compare", "--engine",
                    engine.ports["listen"], "--pairs", 500)


def sustained(build, seed):
    with mixed_site(build, 4, 10_000) as site:
        return load(site, "--seed", seed, "--output-tokens", 365, "--size-spread", 0, "open", "--rate", 126,
                    "--warm-up", 6, "--seconds", 20)


def slope(build, seed):
    status = 0
    # Both settings produce the same number of tokens per second, with few fast or many slow streams.
    for streams, step_us in ((50, 10_000), (1000, 200_000)):
        with mixed_site(build, 2, step_us) as site:
            status |= load(site, "--seed", seed, "--output-tokens", 100, "--size-spread", 0, "closed", "--streams",
                           streams, "--seconds", 15)
    return status


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("parts", nargs="*", default=["overhead", "sustained", "slope"])
    options = parser.parse_args()
    build = pathlib.Path(options.build).resolve() / "src"
    parts = {"overhead": overhead, "sustained": sustained, "slope": slope}
    return max(parts[name](build, options.seed) for name in options.parts)


if __name__ == "__main__":
    sys.exit(main())
