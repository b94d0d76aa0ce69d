"""Specification of upper limits with faults."""

from collections.abc import Iterator
from typing import ClassVar

from proof.allotment_documents import NO_ROW, Cell, Fleet, Rows
from proof.allotment_steps import AllotmentSpecification
from proof.allotment_world import Entry, World

__all__ = [
    "AllotmentHolders",
    "AllotmentLateWrites",
    "AllotmentLevels",
    "AllotmentLimits",
]


class AllotmentLevels(AllotmentSpecification):
    """Shares and caps of two data centres; every row runs what it holds."""

    name = "allotments, shares and caps"
    bounds = (
        "2 data centres, 1 raise; 3 entries, limit 1; "
        "or 2 entries, limit 2, 1 lost write"
    )
    guards: ClassVar[dict[str, str]] = {
        "use a raise once": "an old share that raises a lowered cap again",
        "raise the share before the cap": "rows that no share covers",
        "lower the cap before the share": "a share given away while rows use it",
    }
    moves_caps = True

    def initial(self) -> Iterator[World]:
        """Return the state in which one data centre holds everything."""
        yield _two_data_centres(1, ("a", "b", "c"))._replace(n_raises=1)
        yield _two_data_centres(2, ("a", "c"))._replace(n_raises=1, n_lost=1)


def _two_data_centres(limit: int, names: tuple[str, ...]) -> World:
    cap = Cell(limit, limit, generation=1)
    rows = (("x", Rows(cap)), ("y", Rows(NO_ROW)))
    entries = tuple(
        Entry(name, "y") if name == "c" else Entry(name, "x", cap=cap, share=cap)
        for name in names
    )
    return World(Fleet(1, (("x", cap),)), rows, entries, (limit,), limit)


def _one_data_centre() -> World:
    cap = Cell(2, 2, generation=1)
    entries = (
        Entry("a", "x", cap=cap, share=cap, row=Cell(1, 2)),
        Entry("b", "x", cap=cap, share=cap),
    )
    rows = (("x", Rows(cap, (("a", Cell(1, 2)),))),)
    return World(Fleet(1, (("x", cap),)), rows, entries, (2,), 2)


class AllotmentLimits(AllotmentSpecification):
    """Rows of one data centre while the limit changes."""

    name = "allotments, limit changes"
    bounds = "2 entries, limits 2-1-2, or 1-2 and 1 lost write"
    guards: ClassVar[dict[str, str]] = {
        "use a raise once stored": "tasks under units that were never stored",
        "count a lost write until it is over": "tasks under units given away late",
        "keep a row above the running tasks": "units given away while they run",
        "take only what is free": "rows above the cap",
        "scale with the limit": "rows above a lowered limit",
    }
    history = (2, 1, 2)

    def initial(self) -> Iterator[World]:
        """Return the state in which one entry holds a unit."""
        yield _one_data_centre()._replace(limits=(2, 1, 2))
        yield _one_data_centre()._replace(limits=(1, 2), n_lost=1, bound=2)


class AllotmentHolders(AllotmentSpecification):
    """Rows of one data centre while holders pause, restart and are reclaimed."""

    name = "allotments, gone holders"
    bounds = (
        "limit 2, delayed starts and writes; 2 entries, 1 lapse; "
        "or 1 entry, 1 restart; or 1 entry, 1 lapse, limits 2-1"
    )
    guards: ClassVar[dict[str, str]] = {
        "check the own lease": "starts after the row was reclaimed",
        "read after a lapse": "use of a row that was reclaimed",
        "newest configuration after a lapse": "starts under a limit of the past",
        "renew after a lapse": "a reclaim sent earlier that lands after the read",
        "renew tasks only under a lease": "tasks that outlive the grace time",
        "start deadline": "dispatches that start after the grace time",
        "reclaim on proof": "a row taken from a holder that still runs",
        "new incarnation starts empty": "two incarnations that use one row",
    }
    history = (2, 1)
    delays_starts = True

    def initial(self) -> Iterator[World]:
        """Return the states in which one entry holds a unit."""
        yield _one_data_centre()._replace(n_lapses=1)
        world = _one_data_centre()
        yield world._replace(entries=world.entries[:1], n_restarts=1)
        yield world._replace(entries=world.entries[:1], n_lapses=1, limits=(2, 1))


class AllotmentLateWrites(AllotmentSpecification):
    """Lost writes that take effect around a pause and a reclaim."""

    name = "allotments, late writes"
    bounds = "2 entries, limit 2, 1 lapse, 1 lost write"
    guards: ClassVar[dict[str, str]] = {
        "count a lost write until it is over": "tasks under units given away late",
        "renew after a lapse": "a lost reclaim that lands after the read",
    }

    def initial(self) -> Iterator[World]:
        """Return the state in which one entry holds a unit."""
        yield _one_data_centre()._replace(n_lapses=1, n_lost=1)
