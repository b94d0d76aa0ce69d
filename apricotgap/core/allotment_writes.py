"""Chooses the next write of an allotment document."""

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
    Stored,
    Write,
    holder_of,
    limit_of,
    own_row,
)
from apricotgap.core.effects import Count, Effect, StoreCas
from apricotgap.core.limits import (
    CAS_TIMEOUT_MS,
    LEDGER_WRITE_BURST,
    LEDGER_WRITE_INTERVAL_MS,
    SURPLUS_HOLD_MS,
)
from apricotgap.core.state import EntryState
from apricotgap.model.ledger import DataCentreLedger, FleetLedger, TeamRows

__all__ = ["ask", "keep_unresolved", "next_call", "settle", "stored", "write"]

FLEET_READ_INTERVAL_MS = 5_000


def next_call(state: EntryState) -> str:
    """Return a new call id of this module."""
    state.allotments.n_calls += 1
    return f"allot-{state.allotments.n_calls}"


def ask(state: EntryState, what: str, at_ms: int) -> None:
    """Mark a key or the own prefix to be read, at `at_ms` unless asked before."""
    state.allotments.due.setdefault(what, at_ms)


def stored(state: EntryState, write: Write, revision: int, at_ms: int) -> None:
    """Take a written document as stored."""
    own = state.allotments
    if isinstance(write.ledger, FleetLedger):
        known = own.fleet.get(write.bucket)
        if known is None or known.revision < revision:
            own.fleet[write.bucket] = Stored(write.ledger, revision)
            own.fleet_read_ms[write.bucket] = write.sent_ms
        return
    before = _document(state, write.bucket)
    if before.revision < revision:
        own.documents[write.bucket] = Stored(write.ledger, revision)
        if _caps_fell(before.ledger, write.ledger):
            ask(state, ledger_codec.fleet_key(write.bucket), at_ms)
    if write.sent_ms > own.lapsed_ms:
        own.to_renew.discard(write.bucket)
    settle(state)


def keep_unresolved(state: EntryState, write: Write) -> None:
    """Remember a write with unknown result until it can no longer take effect."""
    if isinstance(write.ledger, DataCentreLedger):
        state.allotments.unresolved.append(write)
        settle(state)


def settle(state: EntryState) -> None:
    """Forget writes whose expected revision is in the past."""
    own = state.allotments
    own.unresolved = [
        write
        for write in own.unresolved
        if _document(state, write.bucket).revision == write.expected_revision
    ]


def write(state: EntryState, at_ms: int) -> Iterable[Effect]:
    """Write one document if one has to change and the interval has passed."""
    own = state.allotments
    _give_up_write(state, at_ms)
    gone = reclaim.reclaimable_holders(state, at_ms)
    if own.writing is not None or not own.confirmed or at_ms < own.plan_after_ms:
        return
    if not _may_write(state, at_ms):
        return
    active = _active_teams(state)
    for bucket in _buckets(state):
        teams = active.get(bucket, [])
        _note_idle(state, teams, at_ms)
        _ask_fleet(state, bucket, teams, at_ms)
        effect = _next_write(state, bucket, teams, gone, at_ms)
        if effect is not None:
            own.next_bucket = (bucket + 1) % ledger_codec.N_BUCKETS
            yield Count("allotment_writes")
            yield effect
            return
    # A pass over 330 teams costs tens of milliseconds.
    own.plan_after_ms = at_ms + LEDGER_WRITE_INTERVAL_MS


def _may_write(state: EntryState, at_ms: int) -> bool:
    """Tell whether the write rate permits one more; a burst serves a first need."""
    own = state.allotments
    elapsed_ms = at_ms - (own.last_write_ms if own.last_write_ms is not None else at_ms)
    refilled = own.write_credit_ms + elapsed_ms
    own.write_credit_ms = min(refilled, LEDGER_WRITE_BURST * LEDGER_WRITE_INTERVAL_MS)
    own.last_write_ms = at_ms
    return own.write_credit_ms >= LEDGER_WRITE_INTERVAL_MS


def _give_up_write(state: EntryState, at_ms: int) -> None:
    own = state.allotments
    if own.writing is not None and at_ms - own.writing.sent_ms > 3 * CAS_TIMEOUT_MS:
        keep_unresolved(state, own.writing)
        ask(state, own.writing.key, at_ms)
        own.writing = None


def _buckets(state: EntryState) -> Iterator[int]:
    own = state.allotments
    busy = {ledger_codec.bucket_of(team) for team in {**own.running, **own.waiting}}
    busy.update(b for b, stored in own.documents.items() if stored.ledger.teams)
    busy.update(write.bucket for write in own.unresolved)
    # Entries begin with different buckets, so that their first writes do not conflict.
    start = own.next_bucket
    if start is None:
        start = ledger_codec.bucket_of(holder_of(state))
    yield from sorted(busy, key=lambda b: (b - start) % ledger_codec.N_BUCKETS)


def _active_teams(state: EntryState) -> dict[int, list[str]]:
    """Return the teams with work or rows, sorted, by bucket."""
    own = state.allotments
    active: dict[int, set[str]] = {}
    for team in {**own.running, **own.waiting}:
        active.setdefault(ledger_codec.bucket_of(team), set()).add(team)
    for bucket, document in own.documents.items():
        active.setdefault(bucket, set()).update(document.ledger.teams)
    return {bucket: sorted(teams) for bucket, teams in active.items()}


def _document(state: EntryState, bucket: int) -> Stored[DataCentreLedger]:
    return state.allotments.documents.get(bucket, Stored(DataCentreLedger("")))


def _rows_of(state: EntryState, bucket: int, team: str) -> TeamRows:
    teams = _document(state, bucket).ledger.teams
    return teams.get(team, TeamRows(ledger.EMPTY))


def _demand(state: EntryState, team: str) -> int:
    own = state.allotments
    waiting = 0 if state.stopping else own.waiting.get(team, 0)
    return min(limit_of(state, team), own.running.get(team, 0) + waiting)


def _note_idle(state: EntryState, teams: list[str], at_ms: int) -> None:
    own = state.allotments
    for team in teams:
        rows = _rows_of(state, ledger_codec.bucket_of(team), team)
        limit, row = limit_of(state, team), own_row(state, team)
        told = max(row.usable(limit), row.wanted) if row is not None else 0
        cap = ledger.available(ledger.portion(rows.cap), (), limit)
        _since(own.idle_since_ms, team, told > _demand(state, team), at_ms)
        idle = cap > allotment_plan.data_centre_wants(rows, limit)
        _since(own.cap_idle_since_ms, team, idle, at_ms)


def _since(times: dict[str, int], team: str, holds: bool, at_ms: int) -> None:
    if holds:
        times.setdefault(team, at_ms)
    else:
        times.pop(team, None)


def _need(state: EntryState, team: str, at_ms: int) -> allotment_plan.Need:
    own = state.allotments
    unmet = at_ms - own.unmet_ms.get(team, at_ms - 2 * SURPLUS_HOLD_MS)
    now = state.stopping or unmet <= SURPLUS_HOLD_MS

    def held(times: dict[str, int]) -> bool:
        return now or at_ms - times.get(team, at_ms) >= SURPLUS_HOLD_MS

    return allotment_plan.Need(
        limit=limit_of(state, team),
        n_running=own.running.get(team, 0),
        n_waiting=0 if state.stopping else own.waiting.get(team, 0),
        give_back=held(own.idle_since_ms),
        cap_idle=held(own.cap_idle_since_ms),
        base=0 if state.stopping else _base(state, team, at_ms),
        base_of_data_centre=_data_centre_base(state, team, at_ms),
    )


def _base(state: EntryState, team: str, at_ms: int) -> int:
    """Return an equal part of the limit for each live entry instance, at least 1."""
    n_entries = max(1, len(membership.live_entries(state, at_ms)))
    return min(limit_of(state, team), max(1, limit_of(state, team) // n_entries))


def _data_centre_base(state: EntryState, team: str, at_ms: int) -> int:
    data_centre = state.identity.data_centre
    if state.stopping:
        return 0
    n_own = max(1, len(membership.live_entries_of(state, data_centre, at_ms)))
    return min(limit_of(state, team), n_own * _base(state, team, at_ms))


def _ask_fleet(state: EntryState, bucket: int, teams: list[str], at_ms: int) -> None:
    """Read the shares when units are missing, wanted elsewhere, or at intervals."""
    own = state.allotments
    read_ms = own.fleet_read_ms.get(bucket)
    if read_ms is None or at_ms - read_ms >= FLEET_READ_INTERVAL_MS:
        ask(state, ledger_codec.fleet_key(bucket), at_ms)
        return
    if at_ms - read_ms < LEDGER_WRITE_INTERVAL_MS:
        return
    for team in teams:
        row, limit = own_row(state, team), limit_of(state, team)
        held = row.usable(limit) if row is not None else 0
        unmet = at_ms - own.unmet_ms.get(team, at_ms - 2 * SURPLUS_HOLD_MS)
        if _demand(state, team) > held or (held and unmet <= SURPLUS_HOLD_MS):
            ask(state, ledger_codec.fleet_key(bucket), at_ms)
            return


def _next_write(
    state: EntryState,
    bucket: int,
    teams: list[str],
    gone: frozenset[str],
    at_ms: int,
) -> StoreCas | None:
    """Return the next write of a bucket.

    Rows whose only change is the work told to others come after the shares: demand
    that changes all the time would otherwise keep the share from ever rising.
    """
    planned = _plan_rows(state, bucket, teams, gone, at_ms)
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
    own = state.allotments
    key = ledger_codec.data_centre_key(state.identity.data_centre, bucket)
    return bucket in own.to_renew or any(w.key == key for w in own.unresolved)


def _plan_rows(
    state: EntryState,
    bucket: int,
    teams: list[str],
    gone: frozenset[str],
    at_ms: int,
) -> DataCentreLedger:
    planned = _document(state, bucket).ledger
    for team in teams:
        planned = _plan_team(state, planned, team, gone, at_ms)
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
    gone: frozenset[str],
    at_ms: int,
) -> DataCentreLedger:
    own = state.allotments
    bucket = ledger_codec.bucket_of(team)
    holder = holder_of(state)
    rows = document.teams.get(team, TeamRows(ledger.EMPTY))
    before = rows
    for other in gone.intersection(rows.rows):
        rows = ledger.reclaim(rows, other)
    if bucket in own.to_renew and holder in rows.rows:
        rows = ledger.renew(rows, holder)
    fleet = own.fleet.get(bucket)
    share = None
    if fleet is not None:
        share = fleet.ledger.teams.get(team, {}).get(state.identity.data_centre)
        if at_ms - own.fleet_read_ms.get(bucket, at_ms) <= LEDGER_WRITE_INTERVAL_MS:
            target = allotment_plan.target_of(
                fleet.ledger,
                team,
                state.identity.data_centre,
                rows,
                limit_of(state, team),
            )
            rows = replace(rows, target=target)
    need = _need(state, team, at_ms)
    bound = allotment_plan.fair_bound(rows, holder, need)
    if bound is None:
        own.fair_bounds.pop(team, None)
    else:
        own.fair_bounds[team] = bound
    rows = allotment_plan.plan_rows(rows, holder, need, share, document.fence)
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
            base=_need(state, team, at_ms).base_of_data_centre,
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
    own = state.allotments
    if key in own.unreadable:
        return None
    call_id = next_call(state)
    planned = replace(planned, writer=f"{holder_of(state)}/{call_id}")
    own.writing = Write(call_id, key, bucket, revision, planned, at_ms)
    own.write_credit_ms -= LEDGER_WRITE_INTERVAL_MS
    return StoreCas(call_id, key, revision, ledger_codec.encode(planned))


def _caps_fell(before: DataCentreLedger, after: DataCentreLedger) -> bool:
    return any(
        ledger.portion(team.cap)
        > ledger.portion(after.teams.get(name, TeamRows(ledger.EMPTY)).cap)
        for name, team in before.teams.items()
    )
