"""Plays scenarios and prints the figures: `python -m simulation overload --seeds 3`."""

from dataclasses import fields, replace

import click

from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from simulation.report import figures_by_queue
from simulation.scenarios import SCENARIOS

__all__: list[str] = []


@click.command()
@click.argument("name", type=click.Choice(sorted(SCENARIOS)))
@click.option("--seeds", default=1, show_default=True, help="Number of seeds to play.")
@click.option(
    "--on",
    "decisions",
    multiple=True,
    type=click.Choice([each.name for each in fields(OverloadOptions)]),
    help="Decision under overload to switch on; may be given several times.",
)
def main(name: str, seeds: int, decisions: tuple[str, ...]) -> None:
    """Play a scenario and print a row for each queue."""
    scenario = SCENARIOS[name]
    overload = replace(DEFAULT_OVERLOAD_OPTIONS, **dict.fromkeys(decisions, True))
    for seed in range(1, seeds + 1):
        deployment = scenario.play(seed, overload)
        print(
            f"{name} seed {seed}: {deployment.n_moves} moves, "
            f"{deployment.n_stops} stops, "
            f"{deployment.paid_ms / 1000:.0f} machine-seconds paid"
        )
        found = figures_by_queue(deployment.records.values())
        for queue, figures in found.items():
            print(
                f"  {queue:16} jobs {figures.n_jobs:4} in time {figures.n_in_time:4} "
                f"late {figures.n_late:4} refused {figures.n_refused:4} "
                f"failed {figures.n_failed:4} worth {figures.worth:.2f}"
            )


if __name__ == "__main__":
    main()
