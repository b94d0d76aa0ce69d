"""State of the two-level split of each team's upper limit, and queries on it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

from apricotgap.core import config_view, ledger_codec, membership
from apricotgap.core.limits import (
    LEDGER_WRITE_BURST,
    LEDGER_WRITE_INTERVAL_MS,
    MEMBER_LEASE_MS,
)
from apricotgap.model import Priority
from apricotgap.model.ledger import DataCentreLedger, FleetLedger, Row, TeamRows

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "UNLIMITED",
    "AllotmentState",
    "HolderLiveness",
    "PendingWrite",
    "StoredDocument",
    "check_lease",
    "has_released_rows",
    "headroom",
    "holder_of",
    "limit_of",
    "may_renew",
    "note_finished",
    "note_started",
    "own_row",
    "set_waiting",
    "surplus",
]

UNLIMITED = 1_000_000_000
MIN_UNITS_WITH_RESERVE = 4
URGENT_UNITS_DIVISOR = 8

_Ledger = TypeVar("_Ledger", FleetLedger, DataCentreLedger)


@dataclass(frozen=True, slots=True)
class StoredDocument(Generic[_Ledger]):
    """A document and the store revision at which it was read or written."""

    ledger: _Ledger
    revision: int = 0


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A compare-and-swap that was sent and whose result is not known yet."""

    call_id: str
    key: str
    bucket: int
    expected_revision: int
    ledger: FleetLedger | DataCentreLedger
    sent_ms: int


@dataclass(slots=True)
class HolderLiveness:
    """Observations that decide when the rows of a holder may be reclaimed.

    `absent_since_ms` holds, by holder, since when it is neither heard nor live nor
    on the platform's list. Only time during which this entry instance itself
    reached the store counts.
    """

    heard_ms: dict[str, int] = field(default_factory=dict)
    incarnations: dict[str, str] = field(default_factory=dict)
    absent_since_ms: dict[str, int] = field(default_factory=dict)
    rows: dict[str, dict[str, Row]] = field(default_factory=dict)
    listed: frozenset[str] | None = None
    contact_ms: int | None = None


@dataclass(slots=True)
class AllotmentState:
    """Rows held by this entry instance and what runs under them.

    `documents` and `fleet` hold the documents by bucket. `unresolved` holds writes
    of data centre documents whose result is unknown and that may still take effect.
    `lapsed_ms` is the last time at which the own lease was found invalid;
    `confirmed` tells whether the rows were read after it, and `to_renew` names the
    buckets whose rows must be renewed after it before use. `fair_bounds` holds, by
    team, the number of running tasks above which nothing starts because other
    holders have less than their fair share.
    """

    running: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    documents: dict[int, StoredDocument[DataCentreLedger]] = field(default_factory=dict)
    fleet: dict[int, StoredDocument[FleetLedger]] = field(default_factory=dict)
    fleet_read_ms: dict[int, int] = field(default_factory=dict)
    unreadable: set[str] = field(default_factory=set)
    pending_write: PendingWrite | None = None
    unresolved: list[PendingWrite] = field(default_factory=list)
    last_write_ms: int | None = None
    write_credit_ms: int = LEDGER_WRITE_BURST * LEDGER_WRITE_INTERVAL_MS
    next_plan_ms: int = 0
    next_bucket: int | None = None
    n_calls: int = 0
    pending_reads: dict[str, str] = field(default_factory=dict)
    due_reads: dict[str, int] = field(default_factory=dict)
    watch_open: bool = False
    watch_asked_ms: int | None = None
    confirmed: bool = False
    was_confirmed: bool = False
    lapsed_ms: int = -1
    lease_checked_ms: int | None = None
    to_renew: set[int] = field(default_factory=set)
    idle_since_ms: dict[str, int] = field(default_factory=dict)
    cap_idle_since_ms: dict[str, int] = field(default_factory=dict)
    fair_bounds: dict[str, int] = field(default_factory=dict)
    unmet_demand_ms: dict[str, int] = field(default_factory=dict)
    liveness: HolderLiveness = field(default_factory=HolderLiveness)


def headroom(
    state: EntryState,
    team: str,
    at_ms: int,
    priority: Priority = Priority.URGENT,
) -> int:
    """Return how many tasks of a team may start now.

    Batch work leaves an eighth of the units free for urgent work, which would
    otherwise wait until a batch task of the same team ends.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    team : str
        Name of the team; empty for queues open to all, which have no upper limit.
    at_ms : int
        Monotonic time in milliseconds.
    priority : Priority
        Priority of the work.

    Returns
    -------
    int
        Tasks that may start; 0 while the own row is not confirmed.
    """
    if not team:
        return UNLIMITED
    allotment_state = state.allotments
    check_lease(state, at_ms)
    if (
        not allotment_state.confirmed
        or ledger_codec.bucket_of(team) in allotment_state.to_renew
    ):
        return 0
    if not _limits_confirmed(state, at_ms):
        return 0
    usable = min(_usable(state, team), allotment_state.fair_bounds.get(team, UNLIMITED))
    if priority is Priority.BATCH:
        usable -= _urgent_units(usable)
    return max(0, usable - allotment_state.running.get(team, 0))


def _limits_confirmed(state: EntryState, at_ms: int) -> bool:
    """Return whether the configuration was confirmed after the last lease expiry.

    While the process was paused, a limit may have been lowered, which also lowers
    the units of the row.
    """
    lapsed_ms = state.allotments.lapsed_ms
    if lapsed_ms < 0:
        return True
    age_ms = config_view.age_ms(state, at_ms)
    return age_ms is not None and at_ms - age_ms > lapsed_ms


def _urgent_units(usable: int) -> int:
    if usable < MIN_UNITS_WITH_RESERVE:
        return 0
    return max(1, usable // URGENT_UNITS_DIVISOR)


def note_started(state: EntryState, team: str) -> None:
    """Count a task of a team as running; must be called when it is dispatched."""
    if team:
        running = state.allotments.running
        running[team] = running.get(team, 0) + 1


def note_finished(state: EntryState, team: str) -> None:
    """Count a task of a team as ended, or as certain never to start."""
    running = state.allotments.running
    if running.get(team, 0) > 1:
        running[team] -= 1
    else:
        running.pop(team, None)


def set_waiting(state: EntryState, team: str, n: int) -> None:
    """Set the number of requests of a team that wait for an allotment."""
    if not team:
        return
    allotment_state = state.allotments
    if n > 0 and team not in allotment_state.waiting:
        allotment_state.next_plan_ms = 0
    if n > 0:
        allotment_state.waiting[team] = n
    else:
        allotment_state.waiting.pop(team, None)


def surplus(state: EntryState) -> dict[str, int]:
    """Return, by team, how many running tasks exceed the units held.

    The scheduler must checkpoint or drain that many tasks.
    """
    over = {
        team: n - _usable(state, team) for team, n in state.allotments.running.items()
    }
    return {team: n for team, n in over.items() if n > 0}


def may_renew(state: EntryState, at_ms: int) -> bool:
    """Return whether leases of tasks under an upper limit may be renewed.

    The grace period before a row is reclaimed covers the longest task lease, but
    only if a holder renews no task leases after its own lease has expired.
    """
    return membership.lease_valid(state, at_ms)


def has_released_rows(state: EntryState) -> bool:
    """Return whether this entry instance, while shutting down, holds no more rows."""
    allotment_state = state.allotments
    holder = holder_of(state)
    return allotment_state.pending_write is None and not any(
        holder in team.rows
        for stored in allotment_state.documents.values()
        for team in stored.ledger.teams.values()
    )


def holder_of(state: EntryState) -> str:
    """Return the holder name of this entry instance, unique to its incarnation."""
    return f"{state.identity.entry}/{state.identity.incarnation}"


def limit_of(state: EntryState, team: str) -> int:
    """Return the upper limit in force for a team, 0 if the team does not exist."""
    found = state.config.teams.get(team)
    return found.upper_limit if found is not None else 0


def own_row(state: EntryState, team: str) -> Row | None:
    """Return the stored row of this entry instance for a team."""
    stored = state.allotments.documents.get(ledger_codec.bucket_of(team))
    rows = stored.ledger.teams.get(team) if stored is not None else None
    return rows.rows.get(holder_of(state)) if rows is not None else None


def check_lease(state: EntryState, at_ms: int) -> None:
    """Record an expired lease, or a pause long enough to have hidden an expiry."""
    allotment_state = state.allotments
    paused = (
        allotment_state.lease_checked_ms is not None
        and at_ms - allotment_state.lease_checked_ms >= MEMBER_LEASE_MS
    )
    allotment_state.lease_checked_ms = at_ms
    if paused or not membership.lease_valid(state, at_ms):
        allotment_state.lapsed_ms = at_ms
        allotment_state.confirmed = False


def _usable(state: EntryState, team: str) -> int:
    """Return the units of the own row, the minimum over all values it may have.

    A write with unknown result can take effect as long as the document keeps the
    revision that the write expects, so reading the old value does not rule it out.
    """
    row = own_row(state, team)
    if row is None:
        return 0
    allotment_state = state.allotments
    limit = limit_of(state, team)
    bucket = ledger_codec.bucket_of(team)
    key = ledger_codec.data_centre_key(state.identity.data_centre, bucket)
    usable = row.usable(limit)
    sent = [
        *allotment_state.unresolved,
        *([allotment_state.pending_write] if allotment_state.pending_write else []),
    ]
    for write in sent:
        if (
            write.key != key
            or write.expected_revision != allotment_state.documents[bucket].revision
        ):
            continue
        rows = write.ledger.teams.get(team)
        if not isinstance(rows, TeamRows | None):
            continue
        later = rows.rows.get(holder_of(state)) if rows is not None else None
        usable = min(usable, later.usable(limit) if later is not None else 0)
    return usable
