#!/usr/bin/env python3
"""Measures the time from the log's acknowledgement of a change until every process of a small site applies it.

Usage: tools/measure_config_spread.py [BUILD_FOLDER]. Prints the median and maximum for single changes and
the delay of the last change of a burst.
"""
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))

from config_outage.case import change, status  # noqa: E402
from support.site import Site  # noqa: E402

ENTRIES = 4
ENGINES = 6
SINGLE_CHANGES = 60
BURST = 300


def wait_in_force(processes, version):
    while any(status(process)["version"] < version for process in processes):
        pass
    return time.monotonic()


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve() / "src"
    with Site(build) as site:
        for number in range(ENGINES):
            site.add_engine(f"engine-{number}", "prefill" if number % 2 else "decode")
        for number in range(ENTRIES):
            site.add_entry(f"entry-{number}")
        version = site.configure()
        processes = list(site.entries.values()) + [backend.agent for backend in site.backends.values()]
        wait_in_force(processes, version)
        times = []
        for number in range(SINGLE_CHANGES):
            version = site.append("configuration", change(number, version)) + 1
            acknowledged = time.monotonic()
            times.append((wait_in_force(processes, version) - acknowledged) * 1000)
        times.sort()
        print(f"one by one: {SINGLE_CHANGES} changes, {len(processes)} processes: median {times[len(times) // 2]:.0f} ms, "
              f"largest {times[-1]:.0f} ms")
        began = time.monotonic()
        for number in range(BURST):
            version = site.append("configuration", change(SINGLE_CHANGES + number, version)) + 1
        acknowledged = time.monotonic()
        in_force = wait_in_force(processes, version)
        print(f"burst: {BURST} changes in {acknowledged - began:.1f} s, last one in force everywhere "
              f"{(in_force - acknowledged) * 1000:.0f} ms after its acknowledgement")


if __name__ == "__main__":
    main()
