"""Checks every specification and every mutant of it."""

import logging
import time

import click
import structlog

from proof.acknowledgements import Acknowledgements
from proof.allotments import (
    AllotmentHolders,
    AllotmentLateWrites,
    AllotmentLevels,
    AllotmentLimits,
)
from proof.checker import Result, Specification, explore
from proof.claims import Claims
from proof.configuration import ConfigurationView
from proof.elections import Elections
from proof.incarnations import Incarnations
from proof.runs import Runs
from proof.service_shards import ServiceShards
from proof.team_limits import TeamLimitRows
from proof.tenures import Tenures
from proof.waves import WaveGrants

__all__ = ["main"]

SPECIFICATIONS: tuple[type[Specification], ...] = (
    Acknowledgements,
    AllotmentLimits,
    AllotmentHolders,
    AllotmentLateWrites,
    AllotmentLevels,
    Claims,
    ConfigurationView,
    Elections,
    Incarnations,
    Runs,
    ServiceShards,
    TeamLimitRows,
    Tenures,
    WaveGrants,
)


def _show_trace(result: Result) -> None:
    for i, label in enumerate(result.trace, start=1):
        click.echo(f"      {i:2}. {label}")
    click.echo(f"      => {result.violation}")


def _check(specification: type[Specification], trace: bool) -> tuple[int, int, int]:
    started_s = time.perf_counter()
    result = explore(specification())
    click.echo(f"\n{specification.name}: {specification.bounds}")
    for invariant in specification.invariants:
        click.echo(f"  invariant  {invariant}")
    if specification.goal is not None:
        click.echo(f"  goal       {specification.goal}")
    verdict = "holds" if result.violation is None else f"VIOLATED {result.violation}"
    click.echo(f"  states {result.n_states}, depth {result.depth}: {verdict}")
    if result.violation is not None:
        _show_trace(result)
    n_killed = 0
    for guard, prevents in specification.guards.items():
        mutant = explore(specification(without=guard))
        killed = mutant.violation is not None
        n_killed += killed
        state = f"killed at depth {mutant.depth:2}" if killed else "SURVIVED"
        click.echo(f"  mutant     without {guard!r}: {state} ({prevents})")
        if trace and killed:
            _show_trace(mutant)
    click.echo(f"  seconds    {time.perf_counter() - started_s:.1f}")
    return result.n_states, int(result.violation is not None), n_killed


@click.command()
@click.option("--trace", is_flag=True, help="Print the counterexample of each mutant.")
@click.option("--only", default="", help="Check specifications whose name has this.")
def main(trace: bool, only: str) -> None:
    """Check the core protocol exhaustively within the stated bounds."""
    # Classes of the product that a specification plays write no log lines.
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    chosen = [spec for spec in SPECIFICATIONS if only in spec.name]
    if not chosen:
        raise click.UsageError(f"no specification is named {only!r}")
    results = [_check(specification, trace) for specification in chosen]
    n_states, n_violations, n_killed = (
        sum(column) for column in zip(*results, strict=True)
    )
    n_mutants = sum(len(specification.guards) for specification in chosen)
    click.echo(
        f"\nmodel-check: states={n_states} violations={n_violations} "
        f"mutants={n_mutants} killed={n_killed}"
    )
    if n_violations or n_killed < n_mutants:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
