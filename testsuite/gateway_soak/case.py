"""A short seeded run of the soak, and every seed that ever failed (with its cause)."""
import importlib.util
import pathlib

SHORT_SEEDS = (1, 2)
# Seed -> cause of its failure when it was found.
FAILED_BEFORE = {
    15: "SIGHUP before the program handled it ended the process: it is ignored from the first statement on",
    31: "SIGTERM before main: the soak now waits for the program's start before the next signal",
}
SECONDS = 8


def run(build):
    spec = importlib.util.spec_from_file_location("soak", pathlib.Path(__file__).parent / "soak.py")
    soak = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(soak)
    for seed in [*SHORT_SEEDS, *FAILED_BEFORE]:
        report = soak.run_seed(build, seed, SECONDS)
        assert not report, report
