"""Dispatch of requests to backend servers and tracking of tasks in flight."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from apricotgap.core import (
    allotments,
    claims,
    estimates,
    fair_queue,
    health,
    polling,
    preemption,
    retry,
    routing,
    usage,
    worker_index,
)
from apricotgap.core.effects import (
    Dispatch,
    Effect,
    Observe,
    RenewTask,
)
from apricotgap.core.estimates import EstimateState, is_feasible
from apricotgap.core.limits import DRIFT_FACTOR, START_WINDOW_MS, TASK_LEASE_MS
from apricotgap.core.usage import apply_usage, usage_report
from apricotgap.model import Priority, Resources

if TYPE_CHECKING:
    from apricotgap.core.fair_queue import PendingRequest
    from apricotgap.core.state import EntryState

__all__ = [
    "PlacementState",
    "Task",
    "apply_usage",
    "is_feasible",
    "n_in_flight",
    "probe_at",
    "release",
    "renew",
    "schedule",
    "start_bound_passed",
    "usage_report",
]

# By this entry's clock, a task that has not started after this time never starts. The
# margin ensures that the server's clock has passed the start deadline as well.
START_BOUND_MS = int(START_WINDOW_MS * DRIFT_FACTOR) + 50
RENEW_INTERVAL_MS = TASK_LEASE_MS // 3
# A task lease that must not be renewed now is looked at again after this time.
RENEW_RETRY_MS = 1_000
# Task probes detect silent connections earlier; this only bounds driver resources.
MIN_TASK_TIMEOUT_MS = 600_000
TIMEOUT_FACTOR = 10
# A task is probed once it runs for this multiple of its estimate.
SILENCE_FACTOR = 2
# Maximum number of teams skipped per search. Skipping prevents a request that fits
# few instances from blocking the requests of other teams.
MAX_SKIPPED_TEAMS = 4


@dataclass(slots=True, eq=False)
class Task:
    """One attempt to run a request on a backend server.

    `pending_request` is None once the request no longer depends on the task, which
    then only holds its team's allotment until it can no longer run. `ends_by_ms` is
    the time by which the server has stopped it if its lease is not renewed again.
    """

    task_id: str
    pending_request: "PendingRequest | None"
    request_id: str
    class_key: tuple[str, Priority]
    team: str
    body_digest: str
    instance: str
    address: str
    data_centre: str
    pool: str
    boot_id: str
    started_ms: int
    server_deadline_ms: int
    n_slots: int
    estimate_ms: int
    ends_by_ms: int
    idempotent: bool
    spilled: bool = False
    checkpointing: bool = False
    crash_recorded: bool = False
    connection_lost: bool = False
    done_reported: bool = False
    probe_due_ms: int = 0
    unanswered_since_ms: int | None = None


@dataclass(slots=True)
class PlacementState:
    """Tasks in flight and estimates of their run time.

    `blocked_since_ms` is when requests that may preempt others began to wait.
    `preemptible` holds the tasks that may be checkpointed, newest last, by pool and
    whether they are spilled; `checkpointing` holds those with a checkpoint request.
    `starved` holds the queues that found no free worker, `next_turns` the
    round-robin counters of the queues of a pool. `peers_waiting` is, by pool, when a
    peer of the data centre last reported waiting requests; `peer_pools` holds the
    pools in the last report of each peer.
    """

    tasks: dict[str, Task] = field(default_factory=dict)
    by_request: dict[str, Task] = field(default_factory=dict)
    by_instance: dict[str, dict[str, Task]] = field(default_factory=dict)
    preemptible: dict[tuple[str, bool], dict[str, Task]] = field(default_factory=dict)
    checkpointing: dict[str, dict[str, Task]] = field(default_factory=dict)
    blocked_since_ms: dict[tuple[str, Priority], int] = field(default_factory=dict)
    starved: dict[str, None] = field(default_factory=dict)
    next_turns: dict[str, int] = field(default_factory=dict)
    renewals: list[tuple[int, str]] = field(default_factory=list)
    probes: list[tuple[int, str]] = field(default_factory=list)
    estimates: EstimateState = field(default_factory=EstimateState)
    charged_ms: dict[str, int] = field(default_factory=dict)
    peers_waiting: dict[str, dict[str, int]] = field(default_factory=dict)
    peer_pools: dict[str, frozenset[str]] = field(default_factory=dict)
    index: worker_index.RoutingIndex | None = None
    n_started: int = 0
    now_ms: int = 0

    def n_slots_in_flight(self, instance: str) -> int:
        """Return the number of slots that tasks of this entry use on an instance."""
        tasks = self.by_instance.get(instance)
        return sum(task.n_slots for task in tasks.values()) if tasks else 0


def n_in_flight(state: "EntryState", instance: str) -> int:
    """Return the number of tasks of this entry that may run on an instance."""
    return len(state.placement.by_instance.get(instance, ()))


def start_bound_passed(server_deadline_ms: int, server_now_ms: int) -> bool:
    """Tell whether a task can no longer start, by the server's clock."""
    return server_now_ms > server_deadline_ms


def schedule(state: "EntryState", at_ms: int) -> Iterable[Effect]:
    """Dispatch every waiting request that may start now.

    Looks only at queues that changed, or whose workers changed, since the last call,
    so the cost does not grow with the number of teams, queues or workers.
    """
    state.placement.now_ms = at_ms
    index = worker_index.index_of(state)
    worker_index.expire_reports(state, at_ms)
    ready = state.queues.ready
    while ready:
        queue = state.config.queues.get(next(iter(ready)))
        if queue is None:
            del ready[next(iter(ready))]
            continue
        yield from _schedule_pool(state, queue.pool, at_ms)
        for name in index.queues_of_pool[queue.pool]:
            ready.pop(name, None)


def _schedule_pool(state: "EntryState", pool: str, at_ms: int) -> Iterable[Effect]:
    queues = worker_index.index_of(state).queues_of_pool[pool]
    for name in queues:
        state.placement.starved.pop(name, None)
    for priority in (Priority.URGENT, Priority.BATCH):
        backlogged = [
            name
            for name in queues
            if fair_queue.n_waiting_in_class(state, name, priority)
        ]
        turn_key = f"{pool}/{priority}"
        while backlogged:
            # Round robin over the queues of a pool, so that none blocks another.
            turn = state.placement.next_turns.get(turn_key, 0)
            name = backlogged[turn % len(backlogged)]
            state.placement.next_turns[turn_key] = turn + 1
            effects = _start_next(state, name, priority, at_ms)
            if not effects:
                backlogged.remove(name)
            yield from effects


def _start_next(
    state: "EntryState", queue: str, priority: Priority, at_ms: int
) -> tuple[Effect, ...]:
    skipped: list[PendingRequest] = []
    worker = None
    while len(skipped) < MAX_SKIPPED_TEAMS:
        pending = fair_queue.peek(state, queue, priority, at_ms)
        if pending is None:
            break
        worker = routing.choose(state, pending.request, pending.excluded, at_ms)
        if worker is not None:
            break
        skipped.append(pending)
        if not pending.excluded and pending.request.declared == Resources():
            # No other request needs less, so none of them can start either.
            break
        fair_queue.skip_team(state, pending)
    for pending_request in skipped:
        fair_queue.unskip_team(state, pending_request)
    _record_starvation(state, queue, priority, skipped, at_ms)
    if worker is None or pending is None:
        return ()
    fair_queue.dequeue(state, pending)
    return _dispatch(state, pending, worker, at_ms)


def _record_starvation(
    state: "EntryState",
    queue: str,
    priority: Priority,
    skipped: list["PendingRequest"],
    at_ms: int,
) -> None:
    placement = state.placement
    placement.blocked_since_ms.pop((queue, priority), None)
    if not skipped:
        return
    placement.starved[queue] = None
    pool = state.config.pools.get(state.config.queues[queue].pool)
    if pool is None:
        return
    polling.record_demand(state, pool.name, at_ms)
    if priority is Priority.URGENT or pool.spare:
        placement.blocked_since_ms[queue, priority] = skipped[0].enqueued_ms


def _dispatch(
    state: "EntryState",
    pending: "PendingRequest",
    worker: worker_index.Worker,
    at_ms: int,
) -> tuple[Effect, ...]:
    placement, request, instance = state.placement, pending.request, worker.instance
    report = health.get_or_create(state, instance.name)
    estimate_ms = estimates.estimate_ms(state, request, pending.team)
    placement.n_started += 1
    since_report_ms = at_ms - (report.reported_ms or 0)
    task = Task(
        task_id=f"{state.identity.incarnation}-{placement.n_started}",
        pending_request=pending,
        request_id=request.request_id,
        class_key=pending.class_key,
        team=pending.team,
        body_digest=request.body_digest,
        instance=instance.name,
        address=instance.address,
        data_centre=instance.data_centre,
        pool=instance.pool,
        boot_id=report.boot_id,
        started_ms=at_ms,
        # Divided by the drift factor so that the deadline is never too late on a
        # server whose clock runs slow.
        server_deadline_ms=report.server_now_ms
        + int(since_report_ms / DRIFT_FACTOR)
        + START_WINDOW_MS,
        n_slots=estimates.n_slots_needed(request.declared, instance),
        estimate_ms=estimate_ms,
        ends_by_ms=at_ms + int((START_WINDOW_MS + TASK_LEASE_MS) * DRIFT_FACTOR),
        idempotent=request.idempotent,
        spilled=instance.pool != state.config.queues[request.queue].pool,
    )
    if not pending.n_attempts:
        retry.record_first_attempt(state, instance.data_centre)
    pending.n_attempts += 1
    _track(state, task)
    claims.record_dispatched(state, request.request_id)
    allotments.note_started(state, pending.team)
    usage.charge(state, task.class_key, task.team, estimate_ms * task.n_slots)
    polling.record_use(state, instance.name, at_ms)
    worker_index.refresh(state, instance.name, at_ms)
    timeout_ms = max(MIN_TASK_TIMEOUT_MS, TIMEOUT_FACTOR * estimate_ms)
    wait_ms = at_ms - pending.enqueued_ms
    labels = (("priority", str(request.priority)),)
    dispatch = Dispatch(
        task_id=task.task_id,
        request_id=request.request_id,
        instance=instance.name,
        address=instance.address,
        server_deadline_ms=task.server_deadline_ms,
        lease_ms=TASK_LEASE_MS,
        # Spilled tasks have a lower priority than the spare pool's own tasks.
        priority=Priority.BATCH if task.spilled else request.priority,
        team=pending.team,
        timeout_ms=timeout_ms,
    )
    return dispatch, Observe("queue_wait_ms", wait_ms, labels)


def _track(state: "EntryState", task: Task) -> None:
    placement = state.placement
    placement.tasks[task.task_id] = task
    placement.by_request[task.request_id] = task
    placement.by_instance.setdefault(task.instance, {})[task.task_id] = task
    if task.idempotent and (task.class_key[1] is Priority.BATCH or task.spilled):
        key = (task.pool, task.spilled)
        placement.preemptible.setdefault(key, {})[task.task_id] = task
    due_ms = task.started_ms + RENEW_INTERVAL_MS
    heappush(placement.renewals, (due_ms, task.task_id))
    silent_ms = max(START_BOUND_MS, SILENCE_FACTOR * task.estimate_ms)
    probe_at(state, task, task.started_ms + silent_ms)


def probe_at(state: "EntryState", task: Task, due_ms: int) -> None:
    """Schedule a probe of a task; replaces one that is already scheduled."""
    task.probe_due_ms = due_ms
    heappush(state.placement.probes, (due_ms, task.task_id))


def release(state: "EntryState", task: Task, at_ms: int) -> None:
    """Remove a task that no longer runs and release its slots and allotment."""
    placement = state.placement
    if placement.tasks.pop(task.task_id, None) is None:
        return
    if placement.by_request.get(task.request_id) is task:
        del placement.by_request[task.request_id]
    on_instance = placement.by_instance[task.instance]
    del on_instance[task.task_id]
    if not on_instance:
        del placement.by_instance[task.instance]
    preemption.remove_from_preemptible(state, task)
    health.get_or_create(state, task.instance).n_done_since_probe += 1
    allotments.note_finished(state, task.team)
    fair_queue.unpark(state, task.team)
    worker_index.refresh(state, task.instance, at_ms)


def renew(state: "EntryState", at_ms: int) -> Iterable[Effect]:
    """Renew the leases of running tasks that are due.

    Those of tasks under an upper limit end soon after the own lease: others may reclaim
    the units that they run under.
    """
    placement = state.placement
    while placement.renewals and placement.renewals[0][0] <= at_ms:
        _, task_id = heappop(placement.renewals)
        task = placement.tasks.get(task_id)
        if task is None or task.pending_request is None:
            continue
        if task.team and not allotments.may_renew(state, at_ms):
            heappush(placement.renewals, (at_ms + RENEW_RETRY_MS, task_id))
            continue
        task.ends_by_ms = at_ms + int((START_WINDOW_MS + TASK_LEASE_MS) * DRIFT_FACTOR)
        heappush(placement.renewals, (at_ms + RENEW_INTERVAL_MS, task_id))
        yield RenewTask(task.task_id, task.instance, task.address)
