"""Searches for the factor at which a promise breaks: `python -m tests.margins`.

Each burden of `tests/margin_days.py` is doubled from the state as planned until every
promise has been broken, or up to the greatest factor.
"""

import math
from dataclasses import astuple, dataclass

import click

from tests.margin_days import Burden, Measured, Promise, measure


@dataclass(frozen=True)
class Break:
    """Where a promise broke under one burden.

    `factor` is None, and `measured` that of the last day, if it held on all days.
    """

    promise: Promise
    factor: int | None
    measured: Measured


def search(burden, max_factor, seed, on_day=None):
    """Play days of one burden; return the measures by factor.

    `on_day` is called with each factor and its measures.
    """
    days = {}
    factor = 1
    while factor <= max_factor:
        days[factor] = measure(burden.worsen(burden.planned, factor), seed)
        if on_day is not None:
            on_day(factor, days[factor])
        if not any(_holds(each, days[factor]) for each in Promise.registry.values()):
            break
        factor *= 2
    return days


def _holds(promise, measured):
    return promise.margin(measured) >= 1


def breaks(days):
    """Return a `Break` for each promise."""
    found = []
    for promise in Promise.registry.values():
        broken = [factor for factor in days if not _holds(promise, days[factor])]
        factor = min(broken, default=None)
        found.append(Break(promise, factor, days[factor or max(days)]))
    return found


def _row(burden, days, found):
    planned = days[1]
    margin = found.promise.margin(planned)
    shown = "-" if margin in (0, math.inf) else f"{margin:.1f}"
    if found.factor is None:
        factor, what = f"over {max(days)}", ""
    else:
        factor, what = str(found.factor), found.promise.describe(found.measured)
    value = found.promise.value(planned)
    cells = (burden.name, found.promise.name, value, shown, factor, what)
    return "| " + " | ".join(map(str, cells)) + " |"


def _times(measured):
    """Return all measures but the broken promises, in the order of `Measured`."""
    *cells, _broken = astuple(measured)
    return " | ".join(map(str, cells))


def _print_day(factor, measured):
    click.echo(f"# x {factor} | {_times(measured)}")


@click.command()
@click.option(
    "--burden",
    "names",
    multiple=True,
    type=click.Choice(sorted(Burden.registry)),
    help="Burden to search; may be given several times, by default all.",
)
@click.option("--max-factor", default=64, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--days", "shows_days", is_flag=True, help="Print the measures of each day."
)
def main(names, max_factor, seed, shows_days):
    """Print the margin of each promise and the factor at which it breaks."""
    click.echo("| burden | promise | planned | margin | breaks at | what broke |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for name in names or Burden.registry:
        burden = Burden.registry[name]
        days = search(burden, max_factor, seed, _print_day if shows_days else None)
        for found in breaks(days):
            click.echo(_row(burden, days, found))


if __name__ == "__main__":
    main()
