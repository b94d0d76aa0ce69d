"""Plays scenarios and prints the figures: `python -m simulation overload --seeds 3`."""

import click

from simulation.report import figures_by_queue
from simulation.scenarios import SCENARIOS

__all__: list[str] = []


@click.command()
@click.argument("name", type=click.Choice(sorted(SCENARIOS)))
@click.option("--seeds", default=1, show_default=True, help="Number of seeds to play.")
def main(name: str, seeds: int) -> None:
    """Play a scenario and print a row for each queue."""
    scenario = SCENARIOS[name]
    for seed in range(1, seeds + 1):
        deployment = scenario.play(seed)
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
