"""Runs every scenario for both deployments and writes docs/MEASURES.md."""

import argparse
import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from measures import report, scenarios
from measures.fleet import DEPLOYMENTS

__all__ = ["main"]

SEEDS = (1, 2, 3)
N_PROCESSES = 4


def main() -> int:
    """Print the figures; the exit code tells whether an invariant was violated."""
    parser = argparse.ArgumentParser(prog="measures", description=__doc__)
    docs = Path(__file__).resolve().parent.parent / "docs"
    parser.add_argument("--docs", type=Path, default=docs, help="output directory")
    arguments = parser.parse_args()
    cases = list(itertools.product(DEPLOYMENTS, scenarios.SCENARIOS, SEEDS))
    joined = {(d, s): scenarios.Result() for d, s, _ in cases}
    with ProcessPoolExecutor(N_PROCESSES) as pool:
        results = pool.map(scenarios.run, *zip(*cases, strict=True))
        for (deployment, scenario, _), result in zip(cases, results, strict=True):
            joined[deployment, scenario].join(result)
    rows = [row for d in DEPLOYMENTS for row in report.rows_of(d, joined)]
    report.write(arguments.docs, rows, joined, SEEDS)
    for row in rows:
        print(row.text())
    with_goal = [row for row in rows if row.goal is not None]
    n_met = sum(row.met for row in with_goal)
    # The static split is a baseline, so its violations are its own.
    n_violations = sum(
        sum(result.violations.values())
        for (_, scenario), result in joined.items()
        if scenario != "change_static"
    )
    print(f"measures: goals={len(with_goal)} met={n_met} violations={n_violations}")
    return 1 if n_violations else 0


if __name__ == "__main__":
    sys.exit(main())
