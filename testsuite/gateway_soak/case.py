"""Short runs of the soak with fixed seeds, and with every seed that has failed before."""
import importlib.util
import pathlib

SHORT_SEEDS = (1, 2)
# Seed -> cause of its former failure.
FAILED_BEFORE = {
    15: "SIGHUP before its handler was installed ended the process: it is now ignored from the first statement of main on",
    510: "a new account of a quota started full, and it moved twice within a few seconds: it now starts half full",
    31: "SIGTERM before main ended the process: the soak now waits for the event `started` before the next signal",
}
SECONDS = 8


def run(build):
    spec = importlib.util.spec_from_file_location("soak", pathlib.Path(__file__).parent / "soak.py")
    soak = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(soak)
    for seed in [*SHORT_SEEDS, *FAILED_BEFORE]:
        report = soak.run_seed(build, seed, SECONDS)
        assert not report, report
