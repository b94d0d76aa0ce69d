"""Runs the measurements of cost: all, or the parts that are named."""

import argparse
import sys
from importlib import import_module

__all__: list[str] = []

PARTS = {
    "reducer": "bench.reducer_cost",
    "jobs": "bench.jobs_cost",
    "instance": "bench.instance_cost",
    "request": "bench.request_cost",
    "idle": "bench.idle_cost",
    "change": "bench.change_cost",
    "planning": "bench.planning",
    "first-start": "bench.first_start",
}


def main() -> int:
    """Run the parts and print the checks; fail when one misses its goal."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("parts", nargs="*", help=f"any of {', '.join(PARTS)}")
    names = parser.parse_args().parts or list(PARTS)
    unknown = sorted(set(names) - set(PARTS))
    if unknown:
        parser.error(f"unknown part {unknown[0]!r}; use {', '.join(PARTS)}")
    checks = []
    for name in names:
        checks += import_module(PARTS[name]).run()
        print(flush=True)
    for check in checks:
        verdict = "ok  " if check.passed else "MISS"
        print(f"{verdict} {check.name}: {check.value:.3g}, goal {check.most:.3g}")
    n_passed = sum(check.passed for check in checks)
    print(f"bench: checks={len(checks)} passed={n_passed}")
    return 0 if n_passed == len(checks) else 1


if __name__ == "__main__":
    sys.exit(main())
