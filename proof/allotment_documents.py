"""Hashable allotment documents, changed by the functions of the product."""

from functools import cache
from typing import NamedTuple

from apricotgap.core import ledger
from apricotgap.model.ledger import DataCentreLedger, FleetLedger, Row, TeamRows

__all__ = [
    "NO_ROW",
    "TEAM",
    "Cell",
    "Fleet",
    "Rows",
    "lower_cap",
    "lower_share",
    "raise_cap",
    "raise_share",
    "reclaim",
    "renew",
    "return_unit",
    "row_of",
    "share_of",
    "sound",
    "take_unit",
]

TEAM = "t"


class Cell(NamedTuple):
    """A row as a tuple, whose hash is quick."""

    n: int
    basis: int
    generation: int = 0
    renewals: int = 0

    def usable(self, limit: int) -> int:
        """Return the units that the holder may run."""
        return _usable(self, limit)


class Rows(NamedTuple):
    """Rows of one team in a data centre."""

    cap: Cell
    rows: tuple[tuple[str, Cell], ...] = ()


class Fleet(NamedTuple):
    """Shares of one team."""

    generation: int
    shares: tuple[tuple[str, Cell], ...]


NO_ROW = Cell(0, 1)


@cache
def _usable(cell: Cell, limit: int) -> int:
    return _row(cell).usable(limit)


def _row(cell: Cell) -> Row:
    return Row(cell.n, cell.basis, 0, cell.generation, cell.renewals)


def _cell(row: Row) -> Cell:
    return Cell(row.n, row.basis, row.generation, row.renewals)


def row_of(rows: Rows, holder: str) -> Cell:
    """Return the row of a holder."""
    return dict(rows.rows).get(holder, NO_ROW)


def share_of(fleet: Fleet, data_centre: str) -> Cell:
    """Return the share of a data centre."""
    return dict(fleet.shares).get(data_centre, NO_ROW)


def _team(rows: Rows) -> TeamRows:
    return TeamRows(_row(rows.cap), {name: _row(cell) for name, cell in rows.rows})


def _rows(team: TeamRows) -> Rows:
    cells = sorted((name, _cell(row)) for name, row in team.rows.items())
    return Rows(_cell(team.cap), tuple(cells))


def _ledger(fleet: Fleet) -> FleetLedger:
    shares = {name: _row(cell) for name, cell in fleet.shares}
    return FleetLedger("", {TEAM: shares}, fleet.generation)


def _fleet(document: FleetLedger) -> Fleet:
    shares = document.teams.get(TEAM, {})
    cells = sorted((name, _cell(row)) for name, row in shares.items())
    return Fleet(document.generation, tuple(cells))


@cache
def take_unit(rows: Rows, holder: str, limit: int, n_running: int) -> Rows:
    """Take one more unit."""
    n = row_of(rows, holder).usable(limit) + 1
    team = _team(rows)
    return _rows(
        ledger.acquire_units(team, holder, n, limit, wanted=0, n_running=n_running)
    )


@cache
def return_unit(rows: Rows, holder: str, limit: int, n_running: int) -> Rows:
    """Return one unit."""
    n = max(0, row_of(rows, holder).usable(limit) - 1)
    team = _team(rows)
    return _rows(
        ledger.release_units(team, holder, n, limit, wanted=0, n_running=n_running)
    )


@cache
def renew(rows: Rows, holder: str) -> Rows:
    """Renew a row."""
    return _rows(ledger.renew(_team(rows), holder))


@cache
def reclaim(rows: Rows, holder: str) -> Rows:
    """Remove the row of a gone holder."""
    return _rows(ledger.reclaim(_team(rows), holder))


@cache
def raise_cap(rows: Rows, share: Cell) -> Rows:
    """Raise the cap to a share that was read."""
    return _rows(ledger.raise_cap(_team(rows), _row(share), 0))


@cache
def lower_cap(rows: Rows, limit: int, generation: int) -> Rows:
    """Lower the cap to its rows."""
    return _rows(ledger.lower_cap(_team(rows), 0, limit, generation))


@cache
def raise_share(fleet: Fleet, data_centre: str, limit: int) -> Fleet:
    """Raise a share by one unit."""
    n = share_of(fleet, data_centre).usable(limit) + 1
    document = _ledger(fleet)
    return _fleet(ledger.raise_share(document, TEAM, data_centre, n, limit, wanted=0))


@cache
def lower_share(fleet: Fleet, data_centre: str, cap: Cell) -> Fleet:
    """Lower a share to a stored cap."""
    document = _ledger(fleet)
    return _fleet(ledger.lower_share(document, TEAM, data_centre, _row(cap), wanted=0))


@cache
def sound(fleet: Fleet, data_centre: str, rows: Rows) -> bool:
    """Tell whether the shares, the cap and the rows fit into each other."""
    share = _row(share_of(fleet, data_centre))
    return (
        ledger.shares_within_limits(_ledger(fleet))
        and ledger.rows_within_caps(DataCentreLedger("", {TEAM: _team(rows)}))
        and ledger.portion(_row(rows.cap)) <= ledger.portion(share)
    )
