"""Pure operations on allotment documents.

Each keeps the shares of a team within its upper limit and the rows of a data centre
within its cap.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from fractions import Fraction

from apricotgap.model.ledger import DataCentreLedger, FleetLedger, Row, TeamRows

__all__ = [
    "EMPTY_ROW",
    "acquire_units",
    "available",
    "can_lower_share",
    "can_raise_cap",
    "lower_cap",
    "lower_share",
    "max_min_allocation",
    "portion",
    "raise_cap",
    "raise_share",
    "rebase",
    "reclaim",
    "release_units",
    "remove_team",
    "renew",
    "rows_within_caps",
    "shares_within_limits",
    "total",
]

EMPTY_ROW = Row(0, 1)


def portion(row: Row) -> Fraction:
    """Return the fraction of the upper limit that a row holds."""
    return Fraction(row.n, row.basis)


def total(rows: Iterable[Row]) -> Fraction:
    """Return the fraction of the upper limit that rows hold together."""
    return sum((portion(row) for row in rows), Fraction(0))


def available(cap: Fraction, rows: Iterable[Row], limit: int) -> int:
    """Return the whole units of `limit` that `rows` leave free below `cap`."""
    free = cap - total(rows)
    return free.numerator * limit // free.denominator if free > 0 else 0


def max_min_allocation(n_units: int, wanted: Mapping[str, int]) -> dict[str, int]:
    """Allocate units by max-min fairness.

    No holder gets more than it wants, and what it does not want is divided equally
    among the others. Units left over by the division go to the first names.

    Parameters
    ----------
    n_units : int
        Units to allocate.
    wanted : mapping of str to int
        Units wanted, by holder.

    Returns
    -------
    dict of str to int
        Units allocated, by holder.
    """
    parts: dict[str, int] = {}
    names = sorted(wanted)
    left = max(0, n_units)
    while names:
        part, n_extra = divmod(left, len(names))
        satisfied = [name for name in names if wanted[name] <= part]
        if not satisfied:
            extra = {name: part + (i < n_extra) for i, name in enumerate(names)}
            return parts | extra
        parts |= {name: wanted[name] for name in satisfied}
        left -= sum(wanted[name] for name in satisfied)
        names = [name for name in names if name not in parts]
    return parts


def rebase(row: Row, limit: int) -> Row:
    """Express a row in units of the current limit without raising its portion."""
    if limit <= 0:
        return replace(row, n=0, basis=1)
    return replace(row, n=row.usable(limit), basis=limit)


def acquire_units(
    team: TeamRows, holder: str, n: int, limit: int, *, wanted: int, n_running: int
) -> TeamRows:
    """Raise the row of `holder` to at most `n` units of `limit`.

    Fewer units are acquired when the cap leaves fewer free. A row with more running
    tasks than units, as after a lowered limit, stays unchanged: expressed in units
    of the lower limit it would give up units that the tasks need once the limit
    rises again.
    """
    row = rebase(team.rows.get(holder, EMPTY_ROW), limit)
    if n_running > row.n:
        return team
    others = [other for name, other in team.rows.items() if name != holder]
    cap = portion(team.cap)
    free = available(cap, [*others, row], limit)
    raised = replace(row, n=row.n + max(0, min(n - row.n, free)), wanted=wanted)
    return replace(team, rows={**team.rows, holder: raised})


def release_units(
    team: TeamRows, holder: str, n: int, limit: int, *, wanted: int, n_running: int
) -> TeamRows:
    """Lower the row of `holder` to `n` units, never below its running tasks.

    The units of a row with more running tasks than units stay unchanged.
    """
    row = team.rows.get(holder, EMPTY_ROW)
    rebased = rebase(row, limit)
    if n_running > rebased.n:
        return replace(team, rows={**team.rows, holder: replace(row, wanted=wanted)})
    kept = min(rebased.n, max(n, n_running))
    rows = {**team.rows, holder: replace(rebased, n=kept, wanted=wanted)}
    if kept == 0 and wanted == 0:
        del rows[holder]
    return replace(team, rows=rows)


def renew(team: TeamRows, holder: str) -> TeamRows:
    """Increment the renewals of a row, so that no earlier reclaim can apply."""
    row = team.rows[holder]
    row = replace(row, renewals=row.renewals + 1)
    return replace(team, rows={**team.rows, holder: row})


def reclaim(team: TeamRows, holder: str) -> TeamRows:
    """Remove the row of a reclaimable holder."""
    rows = {name: row for name, row in team.rows.items() if name != holder}
    return replace(team, rows=rows)


def can_raise_cap(team: TeamRows, share: Row, fence: int) -> bool:
    """Return whether the cap may be raised to a share that was read earlier.

    Each raise of a share is used at most once. A reader with a stale share could
    otherwise raise the cap again after the cap and the share were lowered.
    """
    return share.generation > max(team.cap.generation, fence)


def raise_cap(team: TeamRows, share: Row, fence: int) -> TeamRows:
    """Raise the cap to a stored share of the fleet document."""
    if not can_raise_cap(team, share, fence):
        return team
    cap = replace(share, wanted=0)
    if portion(share) < max(portion(team.cap), total(team.rows.values())):
        cap = replace(team.cap, generation=share.generation)
    return replace(team, cap=cap)


def lower_cap(team: TeamRows, n: int, limit: int, generation: int) -> TeamRows:
    """Lower the cap to `n` units of `limit`, never below the rows.

    `generation` is that of the share as read, which can no longer raise the cap.
    """
    last = max(generation, team.cap.generation)
    used = total(team.rows.values())
    aim = max(Fraction(n, max(1, limit)), used)
    if aim >= portion(team.cap):
        return replace(team, cap=replace(team.cap, generation=last))
    return replace(team, cap=Row(aim.numerator, aim.denominator, generation=last))


def raise_share(
    ledger: FleetLedger, team: str, data_centre: str, n: int, limit: int, *, wanted: int
) -> FleetLedger:
    """Raise a data centre's share to at most `n` units of `limit`.

    The share gets a new generation even if no unit was free, so that a cap below
    the share may be raised to it.
    """
    shares = ledger.teams.get(team, {})
    own = shares.get(data_centre, EMPTY_ROW)
    others = [row for name, row in shares.items() if name != data_centre]
    free = available(Fraction(1), others, limit)
    n = min(n, free)
    if n > 0 and Fraction(n, limit) > portion(own):
        own = Row(n, limit)
    number = ledger.generation + 1
    own = replace(own, wanted=wanted, generation=number)
    teams = {**ledger.teams, team: {**shares, data_centre: own}}
    return replace(ledger, teams=teams, generation=number)


def can_lower_share(share: Row, cap: Row) -> bool:
    """Return whether the share may be lowered to a stored cap.

    The cap must have used the last raise of the share; otherwise it could still be
    raised above the lowered share.
    """
    return cap.generation >= share.generation and portion(cap) < portion(share)


def lower_share(
    ledger: FleetLedger, team: str, data_centre: str, cap: Row, wanted: int
) -> FleetLedger:
    """Lower a data centre's share to a stored cap."""
    shares = ledger.teams.get(team, {})
    own = shares.get(data_centre, EMPTY_ROW)
    if can_lower_share(own, cap):
        own = replace(cap, generation=own.generation)
    shares = {**shares, data_centre: replace(own, wanted=wanted)}
    if own.n == 0 and wanted == 0:
        del shares[data_centre]
    teams = {**ledger.teams, team: shares}
    if not shares:
        del teams[team]
    return replace(ledger, teams=teams)


def remove_team(ledger: DataCentreLedger, team: str) -> DataCentreLedger:
    """Remove a team that holds nothing, and raise the fence to its generation."""
    removed = ledger.teams.get(team)
    if removed is None or removed.cap.n or removed.rows:
        return ledger
    teams = {name: rows for name, rows in ledger.teams.items() if name != team}
    return replace(ledger, teams=teams, fence=max(ledger.fence, removed.cap.generation))


def shares_within_limits(ledger: FleetLedger) -> bool:
    """Return whether the shares of each team are within its upper limit."""
    return all(total(shares.values()) <= 1 for shares in ledger.teams.values())


def rows_within_caps(ledger: DataCentreLedger) -> bool:
    """Return whether the rows of each team are within its cap."""
    return all(
        total(team.rows.values()) <= portion(team.cap) for team in ledger.teams.values()
    )
