"""Computes the next state of a team's allotment documents."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from fractions import Fraction

from apricotgap.core import ledger
from apricotgap.model.ledger import FleetLedger, Row, TeamRows

__all__ = [
    "TeamWorkload",
    "data_centre_demand",
    "fair_bound",
    "plan_rows",
    "plan_share",
    "target_of",
]


@dataclass(frozen=True, slots=True)
class TeamWorkload:
    """Demand of a team at an entry instance, and what it may keep.

    Parameters
    ----------
    limit : int
        Upper limit in force, 0 for a team that no longer exists.
    n_running : int
        Tasks that have started and are not known to have ended.
    n_waiting : int
        Requests that wait for an allotment.
    release_idle : bool
        Whether idle units are released now: their hold time has passed, or other
        holders wait for units.
    release_idle_cap : bool
        The same for units of the cap that no row holds.
    baseline : int
        Units that the holder acquires with its first request and keeps while no
        other holder lacks units, so that later requests need not wait for the
        store.
    data_centre_baseline : int
        The same for the whole data centre.
    """

    limit: int
    n_running: int = 0
    n_waiting: int = 0
    release_idle: bool = False
    release_idle_cap: bool = False
    baseline: int = 0
    data_centre_baseline: int = 0

    @property
    def demand(self) -> int:
        """Units needed for running and waiting work, at most the limit."""
        return min(self.limit, self.n_running + self.n_waiting)


def plan_rows(
    team: TeamRows, holder: str, workload: TeamWorkload, share: Row | None, fence: int
) -> TeamRows:
    """Return the rows that the holder should write; equal if nothing changes.

    Parameters
    ----------
    team : TeamRows
        Rows of the data centre as stored.
    holder : str
        Holder name of the own row.
    workload : TeamWorkload
        Demand at the holder.
    share : Row or None
        The data centre's share as last read, None if it was not read.
    fence : int
        Fence of the document.

    Returns
    -------
    TeamRows
        Rows whose total stays within the cap.
    """
    before = team
    if share is not None:
        team = ledger.raise_cap(team, share, fence)
    team = _plan_own(team, holder, workload)
    row = team.rows.get(holder)
    if row is not None and row.n == 0 and row.wanted == 0:
        team = ledger.reclaim(team, holder)
    return _plan_cap(before, team, workload, share)


def fair_bound(team: TeamRows, holder: str, workload: TeamWorkload) -> int | None:
    """Return the units above which the holder must not start tasks, None if unbounded.

    A holder above its fair share that replaced each ended task immediately would
    never release units, and other holders would never reach their fair share.
    """
    fair_units, others_short = _fair_units(
        _units(team, workload.limit), holder, workload.demand, team.rows, workload.limit
    )
    return fair_units if others_short or team.target is not None else None


def _plan_own(team: TeamRows, holder: str, workload: TeamWorkload) -> TeamRows:
    limit, demand = workload.limit, workload.demand
    held = ledger.rebase(team.rows.get(holder, ledger.EMPTY_ROW), limit).n
    bound = fair_bound(team, holder, workload)
    target_units = demand if bound is None else min(demand, bound)
    if target_units > held:
        units = (
            target_units if bound is not None else max(target_units, workload.baseline)
        )
        raised = ledger.acquire_units(
            team, holder, units, limit, wanted=demand, n_running=workload.n_running
        )
        if raised.rows.get(holder, ledger.EMPTY_ROW).n > held:
            return raised
    kept = max(target_units, workload.baseline) if bound is None else target_units
    if (held > kept and workload.release_idle) or (
        bound is not None and held > target_units
    ):
        lowered = ledger.release_units(
            team, holder, kept, limit, wanted=demand, n_running=workload.n_running
        )
        if lowered.rows.get(holder, ledger.EMPTY_ROW).n < held:
            return lowered
    return _plan_wanted(_plan_basis(team, holder, workload), holder, workload)


def _plan_basis(team: TeamRows, holder: str, workload: TeamWorkload) -> TeamRows:
    """Express the own row in units of the current limit to free rounding remainders."""
    row = team.rows.get(holder, ledger.EMPTY_ROW)
    rebased = ledger.rebase(row, workload.limit)
    unchanged = ledger.portion(rebased) == ledger.portion(row)
    if unchanged or workload.n_running > rebased.n:
        return team
    return replace(team, rows={**team.rows, holder: rebased})


def _plan_wanted(team: TeamRows, holder: str, workload: TeamWorkload) -> TeamRows:
    row = team.rows.get(holder, ledger.EMPTY_ROW)
    reported = min(workload.limit, row.wanted) if workload.limit else row.wanted
    if reported == workload.demand or (
        reported > workload.demand and not workload.release_idle
    ):
        return team
    if reported < workload.demand <= row.usable(workload.limit):
        return team
    row = replace(row, wanted=workload.demand)
    return replace(team, rows={**team.rows, holder: row})


def _plan_cap(
    before: TeamRows, team: TeamRows, workload: TeamWorkload, share: Row | None
) -> TeamRows:
    limit = workload.limit
    generation = share.generation if share is not None else 0
    floor = max(data_centre_demand(team, limit), workload.data_centre_baseline)
    if team.target is not None:
        floor = min(floor, team.target)
    rose = team.cap.generation != before.cap.generation
    shrinks = team.target is not None or (workload.release_idle_cap and not rose)
    units = ledger.available(ledger.portion(team.cap), (), limit)
    target_units = min(units, floor) if shrinks else units
    if Fraction(target_units, max(1, limit)) >= ledger.portion(team.cap):
        return team
    if ledger.total(team.rows.values()) >= ledger.portion(team.cap):
        return team
    return ledger.lower_cap(team, target_units, limit, generation)


def plan_share(
    fleet: FleetLedger,
    name: str,
    data_centre: str,
    team: TeamRows,
    limit: int,
    *,
    fence: int,
    baseline: int = 0,
) -> FleetLedger:
    """Return the fleet document that the data centre should write for one team.

    Parameters
    ----------
    fleet : FleetLedger
        Shares as stored.
    name : str
        Name of the team.
    data_centre : str
        The own data centre.
    team : TeamRows
        Stored rows of the own data centre.
    limit : int
        Upper limit in force.
    fence : int
        Fence of the data centre document.
    baseline : int
        Minimum to which a share is raised while no other data centre lacks units.

    Returns
    -------
    FleetLedger
        Shares whose total stays within the limit; equal if nothing changes.
    """
    shares = fleet.teams.get(name, {})
    share = shares.get(data_centre, ledger.EMPTY_ROW)
    wanted = data_centre_demand(team, limit)
    fair_units, others_short = _fair_units(limit, data_centre, wanted, shares, limit)
    target_units = min(fair_units, wanted) if others_short else wanted
    cap_units = ledger.available(ledger.portion(team.cap), (), limit)
    if target_units > cap_units:
        if ledger.can_raise_cap(team, share, fence) and share.usable(limit) > cap_units:
            return fleet
        units = target_units if others_short else max(target_units, baseline)
        raised = ledger.raise_share(
            fleet, name, data_centre, units, limit, wanted=wanted
        )
        if raised.teams[name][data_centre].usable(limit) > cap_units:
            return raised
    if ledger.can_lower_share(share, team.cap) or (share.wanted and not wanted):
        return ledger.lower_share(fleet, name, data_centre, team.cap, wanted=wanted)
    if share.wanted == wanted or (target_units <= cap_units and wanted > share.wanted):
        return fleet
    if data_centre not in shares and wanted == 0:
        return fleet
    own = replace(share, wanted=wanted)
    teams = {**fleet.teams, name: {**shares, data_centre: own}}
    return replace(fleet, teams=teams)


def target_of(
    fleet: FleetLedger, name: str, data_centre: str, team: TeamRows, limit: int
) -> int | None:
    """Return the units to which a data centre must shrink, None if it need not."""
    shares = fleet.teams.get(name, {})
    wanted = data_centre_demand(team, limit)
    fair_units, others_short = _fair_units(limit, data_centre, wanted, shares, limit)
    held = ledger.available(ledger.portion(team.cap), (), limit)
    return fair_units if others_short and held > fair_units else None


def data_centre_demand(team: TeamRows, limit: int) -> int:
    """Return the total demand of the rows of a data centre, at most the limit."""
    return min(limit, sum(row.wanted for row in team.rows.values()))


def _units(team: TeamRows, limit: int) -> int:
    units = ledger.available(ledger.portion(team.cap), (), limit)
    return units if team.target is None else min(units, team.target)


def _fair_units(
    n_units: int, name: str, demand: int, rows: Mapping[str, Row], limit: int
) -> tuple[int, bool]:
    wanted = {other: min(limit, row.wanted) for other, row in rows.items()}
    wanted[name] = demand
    allocation = ledger.max_min_allocation(n_units, wanted)
    lacking = sum(
        max(0, allocation[other] - row.usable(limit))
        for other, row in rows.items()
        if other != name
    )
    free = n_units - sum(row.usable(limit) for row in rows.values())
    # Free units cover what others lack, unless this holder would acquire them first.
    contested = lacking > 0 and demand > allocation[name]
    return allocation[name], contested or lacking > max(0, free)
