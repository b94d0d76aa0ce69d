"""Event handlers for completed, failed, refused and probed tasks."""

from collections.abc import Iterable
from heapq import heappop
from typing import ClassVar

from apricotgap.core import (
    claims,
    estimates,
    fair_queue,
    health,
    placement,
    preemption,
    quarantine,
    task_loss,
    usage,
    worker_index,
)
from apricotgap.core.effects import (
    Count,
    DropConnections,
    Effect,
    ProbeTask,
    ProbeWorker,
)
from apricotgap.core.events import (
    Event,
    TaskCheckpointed,
    TaskCompleted,
    TaskFailed,
    TaskProbed,
    TaskRefusal,
    TaskRefused,
    TaskState,
    Tick,
)
from apricotgap.core.limits import TASK_LEASE_MS
from apricotgap.core.placement import Task
from apricotgap.core.reducer import Handler
from apricotgap.core.state import EntryState
from apricotgap.model import Completed, RefusalKind

__all__ = [
    "HandleTaskCheckpointed",
    "HandleTaskCompleted",
    "HandleTaskFailed",
    "HandleTaskProbed",
    "HandleTaskRefused",
    "HandleTaskTick",
]

PROBE_INTERVAL_MS = 1_000
# The response may still be in transit when a probe reports the task as done.
ANSWER_GRACE_MS = 5_000
_REFUSALS = {
    TaskRefusal.FULL: RefusalKind.NO_CAPACITY,
    TaskRefusal.INFEASIBLE: RefusalKind.INFEASIBLE,
}


def _charge_measured_time(state: EntryState, task: Task, run_ms: int) -> None:
    correction_ms = (run_ms - task.estimate_ms) * task.n_slots
    usage.charge(state, task.class_key, task.team, correction_ms)


class HandleTaskCompleted(Handler):
    """Ends a request with the response to its task."""

    handles: ClassVar = (TaskCompleted,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Correct charge and estimate, end the request and refill the free slot."""
        assert isinstance(event, TaskCompleted)
        task = state.placement.tasks.get(event.task_id)
        if task is None:
            return
        pending = task.pending_request
        _charge_measured_time(state, task, event.run_ms)
        if event.status >= 500:
            # Counted as a failure so that a worker that fails fast does not look fast.
            yield from health.record_failure(state, task.instance, event.at_ms)
        else:
            health.record_success(state, task.instance, event.at_ms)
            quarantine.record_completion(state, task.body_digest)
            if pending is not None:
                estimates.record_run_time(
                    state, pending.request, task.team, event.run_ms
                )
        task_loss.detach(state, task)
        placement.release(state, task, event.at_ms)
        if pending is not None:
            outcome = Completed(event.status, event.n_body_bytes)
            yield from claims.conclude(
                state, task.request_id, outcome, task.task_id, event.at_ms
            )
        yield from placement.schedule(state, event.at_ms)


class HandleTaskRefused(Handler):
    """Retries a refused task elsewhere; a refusal proves that nothing ran."""

    handles: ClassVar = (TaskRefused,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Update the worker by the reason and queue the request again."""
        assert isinstance(event, TaskRefused)
        task = state.placement.tasks.get(event.task_id)
        if task is None:
            return
        yield Count("task_refusals", labels=(("reason", str(event.reason)),))
        if event.reason is TaskRefusal.DUPLICATE:
            # The server received this task id before, so the first copy may run.
            yield from task_loss.handle_lost_task(
                state, task, "the task was sent twice", event.at_ms
            )
            yield from placement.schedule(state, event.at_ms)
            return
        self._update_worker(state, task, event.reason)
        kind = _REFUSALS.get(event.reason, RefusalKind.BACKEND_REFUSED)
        message = f"backend servers refused: {event.reason}"
        yield from task_loss.handle_not_run(state, task, kind, message, event.at_ms)
        yield from placement.schedule(state, event.at_ms)

    @staticmethod
    def _update_worker(state: EntryState, task: Task, reason: TaskRefusal) -> None:
        worker_health = health.get_or_create(state, task.instance)
        if reason is TaskRefusal.FULL:
            # Other entries use the slots; the next report shows when one is free.
            n_own = placement.n_in_flight(state, task.instance) - 1
            worker_health.n_others = max(
                worker_health.n_others, worker_health.n_slots - n_own
            )
        elif reason is TaskRefusal.LEAVING:
            worker_health.draining = True
        elif reason is TaskRefusal.DEADLINE:
            # The recorded time of the server's clock may be wrong.
            worker_health.reported_ms = None
        elif reason is TaskRefusal.INFEASIBLE and task.pending_request is not None:
            task.pending_request.excluded.add(task.instance)


class HandleTaskFailed(Handler):
    """Handles a task without a complete response."""

    handles: ClassVar = (TaskFailed,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Record the failure, then retry, probe or end the request as is safe."""
        assert isinstance(event, TaskFailed)
        task = state.placement.tasks.get(event.task_id)
        if task is None or task.connection_lost:
            return
        at_ms = event.at_ms
        if event.timed_out:
            # The connection may be broken although the server works.
            yield DropConnections(task.instance, task.address)
        else:
            yield from health.record_failure(state, task.instance, at_ms)
        if event.timed_out or not event.sent:
            yield ProbeWorker(task.instance, task.address, fresh=True)
        if event.sent:
            if task.pending_request is not None and not event.timed_out:
                task.pending_request.n_broken_connections += 1
            yield from task_loss.handle_lost_task(state, task, event.message, at_ms)
        else:
            health.get_or_create(state, task.instance).reported_ms = None
            if task.pending_request is not None:
                task.pending_request.excluded.add(task.instance)
            kind = RefusalKind.BACKEND_REFUSED
            yield from task_loss.handle_not_run(state, task, kind, event.message, at_ms)
        worker_index.refresh(state, task.instance, at_ms)
        yield from placement.schedule(state, at_ms)


class HandleTaskCheckpointed(Handler):
    """Queues the request of a checkpointed task again."""

    handles: ClassVar = (TaskCheckpointed,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Free the slot of a stopped task; others are not preempted again."""
        assert isinstance(event, TaskCheckpointed)
        task = state.placement.tasks.get(event.task_id)
        if task is None:
            return
        preemption.remove_from_preemptible(state, task)
        task.checkpointing = False
        if event.stopped:
            pending = task.pending_request
            _charge_measured_time(state, task, event.at_ms - task.started_ms)
            task_loss.detach(state, task)
            placement.release(state, task, event.at_ms)
            if pending is not None:
                pending.may_have_run = True
                yield from task_loss.requeue_for_retry(state, pending, event.at_ms)
        yield from placement.schedule(state, event.at_ms)


class HandleTaskProbed(Handler):
    """Decides about a lost or silent task by the result of its probe."""

    handles: ClassVar = (TaskProbed,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Retry if the task provably never ran, else end as unknown or probe again."""
        assert isinstance(event, TaskProbed)
        task = state.placement.tasks.get(event.task_id)
        if task is None:
            return
        resolve = (
            self._resolve_lost_task
            if task.connection_lost
            else self._resolve_silent_task
        )
        yield from resolve(state, task, event)
        yield from placement.schedule(state, event.at_ms)

    def _resolve_lost_task(
        self, state: EntryState, task: Task, event: TaskProbed
    ) -> Iterable[Effect]:
        at_ms = event.at_ms
        if event.state is None:
            return self._end_without_proof(
                state,
                task,
                "the backend server did not answer a task probe",
                at_ms,
            )
        if self._restarted(task, event):
            return task_loss.handle_server_restart(state, task, at_ms)
        if event.state is TaskState.DONE:
            effects = self._end_without_proof(
                state, task, "the response to the task was lost", at_ms
            )
            placement.release(state, task, at_ms)
            return effects
        if self._never_started(task, event):
            kind = RefusalKind.BACKEND_REFUSED
            return task_loss.handle_not_run(
                state, task, kind, "the task never started", at_ms
            )
        if event.state is TaskState.UNKNOWN and not (event.boot_id and task.boot_id):
            return self._end_without_proof(
                state, task, "the server may have restarted", at_ms
            )
        placement.probe_at(state, task, at_ms + PROBE_INTERVAL_MS)
        return ()

    @staticmethod
    def _restarted(task: Task, event: TaskProbed) -> bool:
        both_known = bool(event.boot_id) and bool(task.boot_id)
        return both_known and event.boot_id != task.boot_id

    @staticmethod
    def _never_started(task: Task, event: TaskProbed) -> bool:
        """Tell whether the same boot of the server did not start the task in time."""
        if event.state is not TaskState.UNKNOWN or not event.boot_id:
            return False
        return event.boot_id == task.boot_id and placement.start_bound_passed(
            task.server_deadline_ms, event.server_now_ms
        )

    def _resolve_silent_task(
        self, state: EntryState, task: Task, event: TaskProbed
    ) -> Iterable[Effect]:
        """Decide whether a task that exceeds its estimate lost its connection."""
        at_ms = event.at_ms
        if event.state is None:
            return self._handle_unanswered_probe(state, task, at_ms)
        if self._restarted(task, event):
            return task_loss.handle_server_restart(state, task, at_ms)
        task.unanswered_since_ms = None
        drop = DropConnections(task.instance, task.address)
        if self._never_started(task, event):
            kind, message = (
                RefusalKind.BACKEND_REFUSED,
                "the task never reached the backend server",
            )
            return [drop, *task_loss.handle_not_run(state, task, kind, message, at_ms)]
        is_done = event.state is TaskState.DONE
        if is_done and task.done_reported:
            probe = ProbeWorker(task.instance, task.address, fresh=True)
            message = "the connection became unresponsive"
            return [
                drop,
                probe,
                *task_loss.handle_lost_task(state, task, message, at_ms),
            ]
        task.done_reported = is_done
        # The probe interval grows with the run time of the task.
        backoff_ms = max(PROBE_INTERVAL_MS, (at_ms - task.started_ms) // 2)
        next_ms = ANSWER_GRACE_MS if is_done else backoff_ms
        placement.probe_at(state, task, at_ms + next_ms)
        return ()

    @staticmethod
    def _handle_unanswered_probe(
        state: EntryState, task: Task, at_ms: int
    ) -> Iterable[Effect]:
        """Give up a task whose lease cannot have been renewed for its full length."""
        if task.unanswered_since_ms is None:
            task.unanswered_since_ms = at_ms
        if at_ms - task.unanswered_since_ms < TASK_LEASE_MS:
            placement.probe_at(state, task, at_ms + PROBE_INTERVAL_MS)
            return ()
        drop = DropConnections(task.instance, task.address)
        message = "the backend server does not answer"
        return [drop, *task_loss.handle_lost_task(state, task, message, at_ms)]

    @staticmethod
    def _end_without_proof(
        state: EntryState, task: Task, message: str, at_ms: int
    ) -> Iterable[Effect]:
        placement.probe_at(state, task, at_ms + PROBE_INTERVAL_MS)
        pending = task.pending_request
        if pending is None:
            return ()
        return task_loss.end_unknown(state, task, pending, message, at_ms)


class HandleTaskTick(Handler):
    """Runs periodic work: expiry, lease renewal, probes, preemption, dispatch."""

    handles: ClassVar = (Tick,)
    order: ClassVar = 60

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Process the queues and the tasks in flight."""
        at_ms = event.at_ms
        state.placement.now_ms = at_ms
        worker_index.refresh_preference(state, at_ms)
        yield from fair_queue.expire(state, at_ms)
        fair_queue.recheck_parked(state, at_ms)
        yield from placement.renew(state, at_ms)
        yield from self._probe(state, at_ms)
        yield from placement.schedule(state, at_ms)
        yield from preemption.checkpoint_blocking(state, at_ms)
        yield from preemption.checkpoint_batch_of_limited_teams(state, at_ms)

    @staticmethod
    def _probe(state: EntryState, at_ms: int) -> Iterable[Effect]:
        probes = state.placement.probes
        while probes and probes[0][0] <= at_ms:
            due_ms, task_id = heappop(probes)
            task = state.placement.tasks.get(task_id)
            if task is None or task.probe_due_ms != due_ms:
                continue
            if task.pending_request is None and at_ms >= task.ends_by_ms:
                placement.release(state, task, at_ms)
                continue
            yield ProbeTask(task.task_id, task.instance, task.address)
