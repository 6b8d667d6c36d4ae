"""Callers use their connections until a stopping gateway is gone: no request is read and dropped."""
import importlib.util
import pathlib

SEEDS = (1, 2, 3)


def run(build):
    path = pathlib.Path(__file__).resolve().parent / "stops.py"
    spec = importlib.util.spec_from_file_location("stops", path)
    stops = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(stops)
    for seed in SEEDS:
        violations, counts = stops.run_seed(build, seed)
        assert not violations, (seed, counts, violations[:5])
