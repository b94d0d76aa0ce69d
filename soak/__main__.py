"""Command line of the soak."""

import sys
import tempfile
from pathlib import Path

import click
import trio

from soak.scenario import play


@click.command()
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--seeds", type=int, default=1, help="Number of seeds.")
@click.option("--length-s", type=float, default=12.0, help="Time of faults in a seed.")
@click.option("--keep", type=click.Path(), help="Folder that keeps settings and logs.")
def main(seed: int, seeds: int, length_s: float, keep: str | None) -> None:
    """Run real instances under random faults and check what callers were promised.

    Example: python -m soak --seed 100 --seeds 50
    """
    n_failed = 0
    for current in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(keep or temporary) / f"seed-{current}"
            folder.mkdir(parents=True, exist_ok=True)
            report = trio.run(play, current, str(folder), length_s)
        verdict = "failed" if report.problems else "ok"
        click.echo(
            f"soak: seed={current} accepted={len(report.accepted)}"
            f" refused={len(report.refused)} faults={len(report.faults)} {verdict}"
        )
        for problem in report.problems:
            click.echo(f"  {problem}; faults: {' '.join(report.faults)}")
        n_failed += bool(report.problems)
    click.echo(f"soak: seeds={seeds} failed={n_failed}")
    sys.exit(n_failed > 0)


main()
