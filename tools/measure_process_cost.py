#!/usr/bin/env python3
"""Measures resident memory and CPU time of the entries and agents of an idle site on loopback."""
import argparse
import os
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))

from support.site import small_site  # noqa: E402


def resident_kib(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise RuntimeError("no VmRSS line in /proc/<pid>/status")


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", help="build folder that contains the programs")
    parser.add_argument("--seconds", type=float, default=15)
    options = parser.parse_args()
    build = pathlib.Path(options.build).resolve() / "src"
    with small_site(build, prefills=2, decodes=2, applications=2, entries=2) as site:
        watched = [process for process in site.processes if not process.name.startswith(("engine", "app", "platform"))
                   or "agent" in process.name]
        before = {process.name: processor_seconds(process.child.pid) for process in watched}
        time.sleep(options.seconds)
        for process in watched:
            used = processor_seconds(process.child.pid) - before[process.name]
            print(f"{process.name}: resident {resident_kib(process.child.pid) / 1024:.1f} MB, "
                  f"idle {used / options.seconds * 100:.2f} % of a core")


if __name__ == "__main__":
    main()
