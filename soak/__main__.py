"""Command line of the soak."""

import signal
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

import click
import trio

from soak.faults import choose_faults
from soak.layout import LAYOUTS
from soak.scenario import Plan, Report, play


@click.command()
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--seeds", type=int, default=1, help="Number of seeds.")
@click.option("--size", type=click.Choice(sorted(LAYOUTS)), default="small")
@click.option("--instances", type=int, help="Number of instances, if not the size's.")
@click.option("--faults", default="all", help="Names or scopes; '' for none.")
@click.option("--length-s", type=float, default=20.0, help="Time of traffic in a seed.")
@click.option("--burst-s", type=float, default=10.0, help="Length of a round.")
@click.option("--calm-s", type=float, default=8.0, help="Time between rounds.")
@click.option("--series", type=int, default=3, help="Series of faults that overlap.")
@click.option("--keep", type=click.Path(), help="Folder that keeps settings and logs.")
def main(
    seed: int,
    seeds: int,
    size: str,
    instances: int | None,
    faults: str,
    length_s: float,
    burst_s: float,
    calm_s: float,
    series: int,
    keep: str | None,
) -> None:
    """Run real instances under random faults and check what callers were promised.

    Example: python -m soak --seed 100 --seeds 50
    """
    try:
        chosen = tuple(choose_faults(faults))
    except ValueError as error:
        raise click.BadParameter(str(error)) from error
    # An end by SIGTERM must stop the instances too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    layout = LAYOUTS[size]
    layout = replace(layout, n_instances=instances or layout.n_instances)
    plan = Plan(layout, chosen, length_s, burst_s, calm_s, series)
    n_failed = 0
    for current in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(keep or temporary) / f"seed-{current}"
            folder.mkdir(parents=True, exist_ok=True)
            report = trio.run(play, current, str(folder), plan)
            (folder / "report.txt").write_text(_describe(report))
        click.echo(_summary(report))
        n_failed += bool(report.problems)
    click.echo(f"soak: seeds={seeds} failed={n_failed}")
    sys.exit(n_failed > 0)


def _summary(report: Report) -> str:
    verdict = "failed" if report.problems else "ok"
    lines = [
        f"soak: seed={report.seed} accepted={report.n_accepted}"
        f" long_running={report.n_long_running}"
        f" calls={report.n_calls} starts={report.n_starts}"
        f" faults={report.faults.total()} unanswered={dict(report.endings)}"
        f" max_lag_ms={report.max_lag_ms}"
        f" longest_outage_ms={report.longest_outage_ms}"
        f" unhindered_ms={report.longest_unhindered_ms} {verdict}"
    ]
    return "\n  ".join(lines + report.problems)


def _describe(report: Report) -> str:
    longest = f"longest unhindered: {report.longest_unhindered}"
    return "\n".join([_summary(report), longest, "", *report.timeline, ""])


main()
