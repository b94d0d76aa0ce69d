"""Chooses and sends the next write of an allotment document."""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from apricotgap.core import (
    allotment_plan,
    ledger,
    ledger_codec,
    membership,
    reclaim,
)
from apricotgap.core.allotments import (
    PendingWrite,
    StoredDocument,
    holder_of,
    limit_of,
    own_row,
)
from apricotgap.core.effects import Count, Effect, StoreCas
from apricotgap.core.limits import (
    CAS_TIMEOUT_MS,
    IDLE_UNITS_HOLD_MS,
    LEDGER_WRITE_BURST,
    LEDGER_WRITE_INTERVAL_MS,
)
from apricotgap.core.state import EntryState
from apricotgap.model.ledger import DataCentreLedger, FleetLedger, TeamRows

__all__ = [
    "add_unresolved",
    "apply_stored_write",
    "next_call_id",
    "prune_unresolved",
    "schedule_read",
    "write_next_document",
]

FLEET_READ_INTERVAL_MS = 5_000


def next_call_id(state: EntryState) -> str:
    """Return a new identifier for a store call of the allotments."""
    state.allotments.n_calls += 1
    return f"allot-{state.allotments.n_calls}"


def schedule_read(state: EntryState, key_or_prefix: str, at_ms: int) -> None:
    """Schedule a read of a key or of the own prefix, unless one is already due."""
    state.allotments.due_reads.setdefault(key_or_prefix, at_ms)


def apply_stored_write(
    state: EntryState, write: PendingWrite, revision: int, at_ms: int
) -> None:
    """Use a written document as the current one after the store accepted it."""
    allotment_state = state.allotments
    if isinstance(write.ledger, FleetLedger):
        known = allotment_state.fleet.get(write.bucket)
        if known is None or known.revision < revision:
            allotment_state.fleet[write.bucket] = StoredDocument(write.ledger, revision)
            allotment_state.fleet_read_ms[write.bucket] = write.sent_ms
        return
    before = _document(state, write.bucket)
    if before.revision < revision:
        allotment_state.documents[write.bucket] = StoredDocument(write.ledger, revision)
        if _any_cap_lowered(before.ledger, write.ledger):
            schedule_read(state, ledger_codec.fleet_key(write.bucket), at_ms)
    if write.sent_ms > allotment_state.lapsed_ms:
        allotment_state.to_renew.discard(write.bucket)
    prune_unresolved(state)


def add_unresolved(state: EntryState, write: PendingWrite) -> None:
    """Keep a write with unknown result until it can no longer take effect."""
    if isinstance(write.ledger, DataCentreLedger):
        state.allotments.unresolved.append(write)
        prune_unresolved(state)


def prune_unresolved(state: EntryState) -> None:
    """Drop unresolved writes whose expected revision is no longer current."""
    allotment_state = state.allotments
    allotment_state.unresolved = [
        write
        for write in allotment_state.unresolved
        if _document(state, write.bucket).revision == write.expected_revision
    ]


def write_next_document(state: EntryState, at_ms: int) -> Iterable[Effect]:
    """Write one document if one has to change and the write rate permits it."""
    allotment_state = state.allotments
    _abandon_late_write(state, at_ms)
    reclaimable = reclaim.reclaimable_holders(state, at_ms)
    if (
        allotment_state.pending_write is not None
        or not allotment_state.confirmed
        or at_ms < allotment_state.next_plan_ms
    ):
        return
    if not _may_write(state, at_ms):
        return
    active = _active_teams(state)
    for bucket in _buckets(state):
        teams = active.get(bucket, [])
        _record_idle_times(state, teams, at_ms)
        _schedule_fleet_read(state, bucket, teams, at_ms)
        effect = _next_write(state, bucket, teams, reclaimable, at_ms)
        if effect is not None:
            allotment_state.next_bucket = (bucket + 1) % ledger_codec.N_BUCKETS
            yield Count("allotment_writes")
            yield effect
            return
    # A pass over 330 teams takes tens of milliseconds.
    allotment_state.next_plan_ms = at_ms + LEDGER_WRITE_INTERVAL_MS


def _may_write(state: EntryState, at_ms: int) -> bool:
    """Return whether the write rate permits a write; bursts serve first requests."""
    allotment_state = state.allotments
    elapsed_ms = at_ms - (
        allotment_state.last_write_ms
        if allotment_state.last_write_ms is not None
        else at_ms
    )
    refilled = allotment_state.write_credit_ms + elapsed_ms
    allotment_state.write_credit_ms = min(
        refilled, LEDGER_WRITE_BURST * LEDGER_WRITE_INTERVAL_MS
    )
    allotment_state.last_write_ms = at_ms
    return allotment_state.write_credit_ms >= LEDGER_WRITE_INTERVAL_MS


def _abandon_late_write(state: EntryState, at_ms: int) -> None:
    allotment_state = state.allotments
    if (
        allotment_state.pending_write is not None
        and at_ms - allotment_state.pending_write.sent_ms > 3 * CAS_TIMEOUT_MS
    ):
        add_unresolved(state, allotment_state.pending_write)
        schedule_read(state, allotment_state.pending_write.key, at_ms)
        allotment_state.pending_write = None


def _buckets(state: EntryState) -> Iterator[int]:
    allotment_state = state.allotments
    busy = {
        ledger_codec.bucket_of(team)
        for team in {**allotment_state.running, **allotment_state.waiting}
    }
    busy.update(
        b for b, stored in allotment_state.documents.items() if stored.ledger.teams
    )
    busy.update(write.bucket for write in allotment_state.unresolved)
    # Entry instances start at different buckets so that first writes don't conflict.
    start = allotment_state.next_bucket
    if start is None:
        start = ledger_codec.bucket_of(holder_of(state))
    yield from sorted(busy, key=lambda b: (b - start) % ledger_codec.N_BUCKETS)


def _active_teams(state: EntryState) -> dict[int, list[str]]:
    """Return the sorted names of the teams with work or rows, by bucket."""
    allotment_state = state.allotments
    active: dict[int, set[str]] = {}
    for team in {**allotment_state.running, **allotment_state.waiting}:
        active.setdefault(ledger_codec.bucket_of(team), set()).add(team)
    for bucket, document in allotment_state.documents.items():
        active.setdefault(bucket, set()).update(document.ledger.teams)
    return {bucket: sorted(teams) for bucket, teams in active.items()}


def _document(state: EntryState, bucket: int) -> StoredDocument[DataCentreLedger]:
    return state.allotments.documents.get(bucket, StoredDocument(DataCentreLedger("")))


def _rows_of(state: EntryState, bucket: int, team: str) -> TeamRows:
    teams = _document(state, bucket).ledger.teams
    return teams.get(team, TeamRows(ledger.EMPTY_ROW))


def _demand(state: EntryState, team: str) -> int:
    allotment_state = state.allotments
    waiting = 0 if state.stopping else allotment_state.waiting.get(team, 0)
    return min(limit_of(state, team), allotment_state.running.get(team, 0) + waiting)


def _record_idle_times(state: EntryState, teams: list[str], at_ms: int) -> None:
    allotment_state = state.allotments
    for team in teams:
        rows = _rows_of(state, ledger_codec.bucket_of(team), team)
        limit, row = limit_of(state, team), own_row(state, team)
        reported = max(row.usable(limit), row.wanted) if row is not None else 0
        cap = ledger.available(ledger.portion(rows.cap), (), limit)
        _track_since(
            allotment_state.idle_since_ms, team, reported > _demand(state, team), at_ms
        )
        idle = cap > allotment_plan.data_centre_demand(rows, limit)
        _track_since(allotment_state.cap_idle_since_ms, team, idle, at_ms)


def _track_since(times: dict[str, int], team: str, holds: bool, at_ms: int) -> None:
    if holds:
        times.setdefault(team, at_ms)
    else:
        times.pop(team, None)


def _workload(state: EntryState, team: str, at_ms: int) -> allotment_plan.TeamWorkload:
    allotment_state = state.allotments
    unmet = at_ms - allotment_state.unmet_demand_ms.get(
        team, at_ms - 2 * IDLE_UNITS_HOLD_MS
    )
    now = state.stopping or unmet <= IDLE_UNITS_HOLD_MS

    def held(times: dict[str, int]) -> bool:
        return now or at_ms - times.get(team, at_ms) >= IDLE_UNITS_HOLD_MS

    return allotment_plan.TeamWorkload(
        limit=limit_of(state, team),
        n_running=allotment_state.running.get(team, 0),
        n_waiting=0 if state.stopping else allotment_state.waiting.get(team, 0),
        release_idle=held(allotment_state.idle_since_ms),
        release_idle_cap=held(allotment_state.cap_idle_since_ms),
        baseline=0 if state.stopping else _baseline(state, team, at_ms),
        data_centre_baseline=_data_centre_baseline(state, team, at_ms),
    )


def _baseline(state: EntryState, team: str, at_ms: int) -> int:
    """Return the limit divided by the number of live entry instances, at least 1."""
    n_entries = max(1, len(membership.live_entries(state, at_ms)))
    return min(limit_of(state, team), max(1, limit_of(state, team) // n_entries))


def _data_centre_baseline(state: EntryState, team: str, at_ms: int) -> int:
    data_centre = state.identity.data_centre
    if state.stopping:
        return 0
    n_own = max(1, len(membership.live_entries_of(state, data_centre, at_ms)))
    return min(limit_of(state, team), n_own * _baseline(state, team, at_ms))


def _schedule_fleet_read(
    state: EntryState, bucket: int, teams: list[str], at_ms: int
) -> None:
    """Schedule a read of the shares at intervals, or earlier.

    They are read earlier when units are missing here or wanted elsewhere.
    """
    allotment_state = state.allotments
    read_ms = allotment_state.fleet_read_ms.get(bucket)
    if read_ms is None or at_ms - read_ms >= FLEET_READ_INTERVAL_MS:
        schedule_read(state, ledger_codec.fleet_key(bucket), at_ms)
        return
    if at_ms - read_ms < LEDGER_WRITE_INTERVAL_MS:
        return
    for team in teams:
        row, limit = own_row(state, team), limit_of(state, team)
        held = row.usable(limit) if row is not None else 0
        unmet = at_ms - allotment_state.unmet_demand_ms.get(
            team, at_ms - 2 * IDLE_UNITS_HOLD_MS
        )
        if _demand(state, team) > held or (held and unmet <= IDLE_UNITS_HOLD_MS):
            schedule_read(state, ledger_codec.fleet_key(bucket), at_ms)
            return


def _next_write(
    state: EntryState,
    bucket: int,
    teams: list[str],
    reclaimable: frozenset[str],
    at_ms: int,
) -> StoreCas | None:
    """Return the next write of a bucket.

    A change of only the reported demand is written after the shares: demand that
    changes continuously would otherwise prevent the share from ever being raised.
    """
    planned = _plan_rows(state, bucket, teams, reclaimable, at_ms)
    stored_rows = _document(state, bucket).ledger
    if not _same_units(planned, stored_rows) or _must_write(state, bucket):
        return _write_rows(state, bucket, planned, at_ms)
    shares = _write_shares(state, bucket, teams, at_ms)
    if shares is not None or planned == stored_rows:
        return shares
    return _write_rows(state, bucket, planned, at_ms)


def _same_units(one: DataCentreLedger, other: DataCentreLedger) -> bool:
    def units(document: DataCentreLedger) -> DataCentreLedger:
        teams = {
            name: replace(
                team, rows={h: replace(r, wanted=0) for h, r in team.rows.items()}
            )
            for name, team in document.teams.items()
        }
        return replace(document, teams=teams)

    return one == other or units(one) == units(other)


def _must_write(state: EntryState, bucket: int) -> bool:
    allotment_state = state.allotments
    key = ledger_codec.data_centre_key(state.identity.data_centre, bucket)
    return bucket in allotment_state.to_renew or any(
        w.key == key for w in allotment_state.unresolved
    )


def _plan_rows(
    state: EntryState,
    bucket: int,
    teams: list[str],
    reclaimable: frozenset[str],
    at_ms: int,
) -> DataCentreLedger:
    planned = _document(state, bucket).ledger
    for team in teams:
        planned = _plan_team(state, planned, team, reclaimable, at_ms)
    return planned


def _write_rows(
    state: EntryState, bucket: int, planned: DataCentreLedger, at_ms: int
) -> StoreCas | None:
    document = _document(state, bucket)
    key = ledger_codec.data_centre_key(state.identity.data_centre, bucket)
    return _cas(state, key, bucket, document.revision, planned, at_ms=at_ms)


def _plan_team(
    state: EntryState,
    document: DataCentreLedger,
    team: str,
    reclaimable: frozenset[str],
    at_ms: int,
) -> DataCentreLedger:
    allotment_state = state.allotments
    bucket = ledger_codec.bucket_of(team)
    holder = holder_of(state)
    rows = document.teams.get(team, TeamRows(ledger.EMPTY_ROW))
    before = rows
    for other in reclaimable.intersection(rows.rows):
        rows = ledger.reclaim(rows, other)
    if bucket in allotment_state.to_renew and holder in rows.rows:
        rows = ledger.renew(rows, holder)
    fleet = allotment_state.fleet.get(bucket)
    share = None
    if fleet is not None:
        share = fleet.ledger.teams.get(team, {}).get(state.identity.data_centre)
        if (
            at_ms - allotment_state.fleet_read_ms.get(bucket, at_ms)
            <= LEDGER_WRITE_INTERVAL_MS
        ):
            target = allotment_plan.target_of(
                fleet.ledger,
                team,
                state.identity.data_centre,
                rows,
                limit_of(state, team),
            )
            rows = replace(rows, target=target)
    workload = _workload(state, team, at_ms)
    bound = allotment_plan.fair_bound(rows, holder, workload)
    if bound is None:
        allotment_state.fair_bounds.pop(team, None)
    else:
        allotment_state.fair_bounds[team] = bound
    rows = allotment_plan.plan_rows(rows, holder, workload, share, document.fence)
    if rows != before:
        teams = {**document.teams, team: rows}
        document = replace(document, teams=teams)
    if fleet is not None and share is None:
        document = ledger.remove_team(document, team)
    return document


def _write_shares(
    state: EntryState, bucket: int, teams: list[str], at_ms: int
) -> StoreCas | None:
    fleet = state.allotments.fleet.get(bucket)
    if fleet is None:
        return None
    planned = fleet.ledger
    for team in teams:
        planned = allotment_plan.plan_share(
            planned,
            team,
            state.identity.data_centre,
            _rows_of(state, bucket, team),
            limit_of(state, team),
            fence=_document(state, bucket).ledger.fence,
            baseline=_workload(state, team, at_ms).data_centre_baseline,
        )
    if planned == fleet.ledger:
        return None
    key = ledger_codec.fleet_key(bucket)
    return _cas(state, key, bucket, fleet.revision, planned, at_ms=at_ms)


def _cas(
    state: EntryState,
    key: str,
    bucket: int,
    revision: int,
    planned: FleetLedger | DataCentreLedger,
    *,
    at_ms: int,
) -> StoreCas | None:
    allotment_state = state.allotments
    if key in allotment_state.unreadable:
        return None
    call_id = next_call_id(state)
    planned = replace(planned, writer=f"{holder_of(state)}/{call_id}")
    allotment_state.pending_write = PendingWrite(
        call_id, key, bucket, revision, planned, at_ms
    )
    allotment_state.write_credit_ms -= LEDGER_WRITE_INTERVAL_MS
    return StoreCas(call_id, key, revision, ledger_codec.encode(planned))


def _any_cap_lowered(before: DataCentreLedger, after: DataCentreLedger) -> bool:
    return any(
        ledger.portion(team.cap)
        > ledger.portion(after.teams.get(name, TeamRows(ledger.EMPTY_ROW)).cap)
        for name, team in before.teams.items()
    )
