"""The invariants of the design, checked from what the fakes recorded."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from apricotgap.core.grants import decode_grants
from apricotgap.core.limits import IN_FORCE_BOUND_MS, QUARANTINE_KILLS
from apricotgap.model import (
    Budget,
    Completed,
    Configuration,
    DataCentreState,
    FailedAfterStart,
    InstanceState,
    NotRun,
    OutcomeUnknown,
)
from proof.fake_worker import Run
from proof.fleet import Fleet, Root, Submission

__all__ = ["CHECKS", "violations"]

Check = Callable[[Fleet], Iterator[str]]


def violations(fleet: Fleet) -> list[str]:
    """Return every violation, each begins with the invariant."""
    return [found for check in CHECKS for found in check(fleet)]


def _out(config: Configuration) -> set[str]:
    return {
        name
        for name, instance in config.instances.items()
        if instance.state is not InstanceState.IN_SERVICE
        or config.data_centres[instance.data_centre].state is DataCentreState.CLOSED
    }


_GROUP_FIELDS = {"pool": "pool", "rack": "rack", "data_centre": "data_centre"}


def _breaks(config: Configuration, budget: Budget, out: set[str]) -> bool:
    field = _GROUP_FIELDS[budget.kind]
    n_all: dict[str, int] = defaultdict(int)
    n_out: dict[str, int] = defaultdict(int)
    for name, instance in config.instances.items():
        group = getattr(instance, field)
        n_all[group] += 1
        n_out[group] += name in out
    most_groups = budget.max_groups_out
    if most_groups is not None and sum(map(bool, n_out.values())) > most_groups:
        return True
    groups = n_all if budget.target == "*" else [budget.target]
    least, most = budget.min_available, budget.max_unavailable
    return any(
        (least is not None and n_all[g] - n_out[g] < least)
        or (most is not None and n_out[g] > most)
        for g in groups
    )


def budgets_hold(fleet: Fleet) -> Iterator[str]:
    """I1: planned disruptions are granted and keep every budget when they begin."""
    before: set[str] = set()
    for root in fleet.roots:
        out = _out(root.config)
        new = out - before
        before = out
        if not new:
            continue
        granted = set(decode_grants(root.grants).instances)
        if new - granted:
            yield f"I1 {sorted(new - granted)} out without a grant at {root.at_ms}"
        for budget in root.config.budgets.values():
            if _breaks(root.config, budget, out | root.down):
                yield f"I1 budget {budget.name} broken at {root.at_ms}"


def keys_are_needed(fleet: Fleet) -> Iterator[str]:
    """I3 and I4: only requests with a key in force start in keyed queues."""
    started = {run.request_id for run in fleet.runs}
    withdrawn_ms = _withdrawn_ms(fleet)
    for request_id, submission in fleet.submissions.items():
        if request_id not in started:
            continue
        digest = submission.request.key_digest
        is_open = submission.request.queue == "open"
        if not is_open and digest not in fleet.roots[0].config.keys:
            yield f"I3 {request_id} started without a key"
        since_ms = withdrawn_ms.get(digest or "")
        if since_ms is not None and submission.at_ms > since_ms + IN_FORCE_BOUND_MS:
            yield f"I4 {request_id} sent at {submission.at_ms} ran on a withdrawn key"


def _withdrawn_ms(fleet: Fleet) -> dict[str, int]:
    found: dict[str, int] = {}
    for old, new in zip(fleet.roots, fleet.roots[1:], strict=False):
        for digest in old.config.keys.keys() - new.config.keys.keys():
            found[digest] = new.at_ms
    return found


def limits_hold(fleet: Fleet) -> Iterator[str]:
    """I5: no team runs more than its upper limit at any moment."""
    for team in fleet.roots[0].config.teams:
        bounds = _bounds(fleet, team)
        changes = []
        for run in fleet.runs:
            if run.team == team:
                ended = run.ended_ms if run.ended_ms is not None else fleet.now_ms + 1
                changes += [(run.started_ms, 1), (ended, -1)]
        n_running = 0
        for at_ms, step in sorted(changes):
            n_running += step
            bound = max(b for since, until, b in bounds if since <= at_ms < until)
            if step > 0 and n_running > bound:
                yield f"I5 {team} ran {n_running} over {bound} at {at_ms}"
                break


def _bounds(fleet: Fleet, team: str) -> list[tuple[int, int, int]]:
    """Return from when until when each limit of a team may be relied on."""
    end_ms = fleet.now_ms + 2
    limits: list[tuple[int, int]] = []
    for root in fleet.roots:
        limit = root.config.teams[team].upper_limit
        if not limits or limits[-1][1] != limit:
            limits.append((root.at_ms, limit))
    bounds = []
    for i, (since_ms, limit) in enumerate(limits):
        until_ms = end_ms
        if i + 1 < len(limits):
            next_ms, next_limit = limits[i + 1]
            until_ms = next_ms
            if next_limit < limit:
                until_ms = min(end_ms, _in_force_ms(fleet, next_ms))
        bounds.append((since_ms, max(until_ms, since_ms), limit))
    return bounds


def _in_force_ms(fleet: Fleet, accepted_ms: int) -> int:
    """Return when every live entry has reached the store for the bound."""
    times: dict[tuple[str, str], int] = {}
    last: dict[tuple[str, str], int] = {}
    for sample in fleet.samples:
        key = (sample.entry, sample.incarnation)
        last[key] = sample.at_ms
        since_ms = max(sample.reached_since_ms, accepted_ms)
        if key not in times and sample.at_ms >= since_ms + IN_FORCE_BOUND_MS:
            times[key] = sample.at_ms
    dead = {
        (s.entry, s.incarnation)
        for s in fleet.samples
        if fleet.harness.entries[s.entry].identity.incarnation != s.incarnation
        or not fleet.harness.entries[s.entry].alive
    }
    never_ms = fleet.now_ms + 1
    return max(times.get(key, last[key] if key in dead else never_ms) for key in last)


def closed_and_leaving_are_left(fleet: Fleet) -> Iterator[str]:
    """I6 and I10: nothing starts on servers that operators or the platform took out."""
    for run in fleet.runs:
        entry = fleet.task_entry[run.task_id]
        since_ms = _out_since(fleet, run)
        late = since_ms is not None and run.started_ms > since_ms + IN_FORCE_BOUND_MS
        if late and not _was(fleet.isolated, entry, since_ms or 0, run.started_ms):
            yield f"I6 {run.task_id} started on {run.worker} at {run.started_ms}"
        listed_ms, until_ms = fleet.listed_leaving.get(run.worker, (None, None))
        if listed_ms is None or (until_ms is not None and run.started_ms > until_ms):
            continue
        late = run.started_ms > listed_ms + IN_FORCE_BOUND_MS
        if late and not _was(fleet.platform_cut, entry, listed_ms, run.started_ms):
            yield f"I10 {run.task_id} started on {run.worker} at {run.started_ms}"


def _was(times: dict[str, list[int]], entry: str, since_ms: int, until_ms: int) -> bool:
    return any(since_ms <= at_ms <= until_ms for at_ms in times.get(entry, ()))


def _out_since(fleet: Fleet, run: Run) -> int | None:
    """Return since when the configuration keeps the run's server out, at its start."""
    since_ms = None
    for root in fleet.roots:
        if root.at_ms > run.started_ms:
            break
        if run.worker not in _out(root.config):
            since_ms = None
        elif since_ms is None:
            since_ms = root.at_ms
    return since_ms


def answers_are_whole(fleet: Fleet) -> Iterator[str]:
    """I7: a completed request has the whole answer to itself."""
    completed = {fleet.logical_of(r.request_id) for r in fleet.runs if r.completed}
    for request_id, submission in fleet.submissions.items():
        _, outcome = fleet.harness.outcomes.get(request_id, (0, None))
        if not isinstance(outcome, Completed):
            continue
        body = fleet.harness.answer_bodies.get(request_id)
        if body != b"answer to " + submission.logical.encode():
            yield f"I7 {request_id} got {body!r}"
        if submission.logical not in completed:
            yield f"I7 {request_id} completed without a finished run"


def not_run_is_true(fleet: Fleet) -> Iterator[str]:
    """I8: a request refused as not run has no start, also none later."""
    started = {run.request_id for run in fleet.runs}
    started_logical = {fleet.logical_of(run.request_id) for run in fleet.runs}
    for logical, group in _by_logical(fleet).items():
        refused = [
            s.request.request_id
            for s in group
            if isinstance(_outcome(fleet, s), NotRun)
        ]
        for request_id in refused:
            if request_id in started:
                yield f"I8 {request_id} was refused as not run and started"
        if len(refused) == len(group) and logical in started_logical:
            yield f"I8 {logical} was refused as not run and started"


def at_most_once(fleet: Fleet) -> Iterator[str]:
    """I9: a non-idempotent request starts at most once."""
    n_starts: dict[str, int] = defaultdict(int)
    for run in fleet.runs:
        n_starts[fleet.logical_of(run.request_id)] += 1
    for logical, group in _by_logical(fleet).items():
        if not group[0].request.idempotent and n_starts[logical] > 1:
            yield f"I9 {logical} started {n_starts[logical]} times"
        if logical in fleet.poison and n_starts[logical] > QUARANTINE_KILLS:
            yield f"quarantine {logical} killed {n_starts[logical]} workers"


def _by_logical(fleet: Fleet) -> dict[str, list[Submission]]:
    groups: dict[str, list[Submission]] = {}
    for submission in fleet.submissions.values():
        groups.setdefault(submission.logical, []).append(submission)
    return groups


def _outcome(fleet: Fleet, submission: Submission) -> object:
    return fleet.harness.outcomes.get(submission.request.request_id, (0, None))[1]


def every_request_ends_once(fleet: Fleet) -> Iterator[str]:
    """Every request of an entry that lives or stopped as planned has one outcome."""
    for request_id, submission in fleet.submissions.items():
        n = fleet.harness.n_outcomes.get(request_id, 0)
        entry = submission.entry
        ends = entry.alive or entry.exited
        if n > 1 or (n == 0 and ends):
            yield (
                f"outcome {request_id} at {entry.identity.entry} "
                f"sent at {submission.at_ms} has {n} outcomes"
            )


def planned_stop_cuts_nothing(fleet: Fleet) -> Iterator[str]:
    """I11: a planned stop ends after its requests, none of them is lost."""
    for name in fleet.stopping:
        entry = fleet.harness.entries[name]
        if not entry.exited and entry.alive:
            yield f"I11 {name} did not exit"
        for submission in fleet.submissions.values():
            outcome = _outcome(fleet, submission)
            if submission.entry is entry and isinstance(
                outcome, FailedAfterStart | OutcomeUnknown
            ):
                yield f"I11 {submission.request.request_id} ended as {outcome}"


def configuration_moves_on(fleet: Fleet) -> Iterator[str]:
    """I12: revisions are in force within the bound where reachable, and never fall."""
    newest: dict[tuple[str, str], int] = {}
    late: set[str] = set()
    for sample in fleet.samples:
        key = (sample.entry, sample.incarnation)
        if sample.revision < newest.get(key, 0):
            yield f"I12 revision of {sample.entry} fell at {sample.at_ms}"
        newest[key] = max(newest.get(key, 0), sample.revision)
        if sample.at_ms < sample.reached_since_ms + IN_FORCE_BOUND_MS:
            continue
        due = _revision_at(fleet.roots, sample.at_ms - IN_FORCE_BOUND_MS)
        if sample.revision < due and sample.entry not in late:
            late.add(sample.entry)
            yield (
                f"I12 {sample.entry} has revision {sample.revision} at "
                f"{sample.at_ms}, {due} is due"
            )
    accepted = [root.config.revision for root in fleet.roots]
    if accepted != sorted(set(accepted)):
        yield "I12 the accepted revision fell or repeated"


def _revision_at(roots: list[Root], at_ms: int) -> int:
    return max((r.config.revision for r in roots if r.at_ms <= at_ms), default=0)


def harness_is_complete(fleet: Fleet) -> Iterator[str]:
    """Every effect was run."""
    for name in sorted({type(e).__name__ for e in fleet.harness.unhandled}):
        yield f"harness has no runner for {name}"


CHECKS: tuple[Check, ...] = (
    budgets_hold,
    keys_are_needed,
    limits_hold,
    closed_and_leaving_are_left,
    answers_are_whole,
    not_run_is_true,
    at_most_once,
    every_request_ends_once,
    planned_stop_cuts_nothing,
    configuration_moves_on,
    harness_is_complete,
)
