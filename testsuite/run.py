#!/usr/bin/env python3
"""Runs the test suite: each folder with a case.py is a case, whose `run(build_folder)` raises on failure."""
import argparse
import importlib.util
import os
import pathlib
import sys
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT))


def load_case(folder):
    spec = importlib.util.spec_from_file_location(f"case_{folder.name}", folder / "case.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def known_red():
    """Names of the cases in KNOWN-RED.txt, which has one entry per line: `testsuite/<case> ...`."""
    path = ROOT.parent / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split()[0].removeprefix("testsuite/") for line in lines if line.startswith("testsuite/")}


def left_threads():
    """Names of the threads that would keep this process alive."""
    return [thread.name for thread in threading.enumerate()
            if not thread.daemon and thread is not threading.main_thread()]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="build folder that contains the programs")
    parser.add_argument("cases", nargs="*", help="names of cases; default: all")
    options = parser.parse_args()
    build = pathlib.Path(options.build).resolve() / "src"
    names = options.cases or sorted(path.parent.name for path in ROOT.glob("*/case.py"))
    red = known_red()
    passed, failed = 0, 0
    for name in names:
        started = time.monotonic()
        try:
            load_case(ROOT / name).run(build)
            verdict = "passed"
        except Exception:
            traceback.print_exc()
            verdict = "known red" if name in red else "FAILED"
        print(f"{name}: {verdict} ({time.monotonic() - started:.1f} s)", flush=True)
        if verdict != "passed" and (left := left_threads()):
            print(f"{name} left threads running: {', '.join(left)}", flush=True)
        passed += verdict == "passed"
        failed += verdict == "FAILED"
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # A thread that a failed case has left does not keep the process alive.
    os._exit(status)
