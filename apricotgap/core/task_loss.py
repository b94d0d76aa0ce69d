"""Retry or end of requests whose task has no response."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from apricotgap.core import (
    claims,
    fair_queue,
    placement,
    preemption,
    quarantine,
    retry,
    usage,
)
from apricotgap.core.effects import Count, Effect, StopTask
from apricotgap.core.worker_index import index_of
from apricotgap.model import NotRun, Outcome, OutcomeUnknown, RefusalKind

if TYPE_CHECKING:
    from apricotgap.core.fair_queue import PendingRequest
    from apricotgap.core.placement import Task
    from apricotgap.core.state import EntryState

__all__ = [
    "detach",
    "end_unknown",
    "handle_lost_task",
    "handle_not_run",
    "handle_server_restart",
    "requeue_for_retry",
]


def handle_lost_task(
    state: "EntryState", task: "Task", message: str, at_ms: int
) -> list[Effect]:
    """Handle a task whose response is lost although the task may run.

    An idempotent request is retried within the retry budget, while the lost task is
    stopped and holds its allotment until it can no longer run. Any other request
    waits for a probe of the task after its start deadline.
    """
    task.connection_lost = True
    preemption.remove_from_preemptible(state, task)
    due_ms = max(at_ms, task.started_ms + placement.START_BOUND_MS)
    placement.probe_at(state, task, due_ms)
    pending = task.pending_request
    if pending is None or not task.idempotent:
        return []
    effects: list[Effect] = [StopTask(task.task_id, task.instance, task.address)]
    effects += _retry_or_end(state, task, pending, message, at_ms)
    return effects


def handle_server_restart(
    state: "EntryState", task: "Task", at_ms: int
) -> list[Effect]:
    """Handle a task whose server restarted, which does not prove that it never ran."""
    quarantine.record_crash_under(state, task)
    effects: list[Effect] = []
    pending, message = task.pending_request, "the backend server restarted"
    if pending is not None and task.idempotent:
        effects += _retry_or_end(state, task, pending, message, at_ms)
    elif pending is not None:
        effects += end_unknown(state, task, pending, message, at_ms)
    bound_ms = task.started_ms + placement.START_BOUND_MS
    if at_ms >= bound_ms:
        placement.release(state, task, at_ms)
    else:
        # The restarted server may still accept a message that is in transit.
        task.connection_lost = True
        placement.probe_at(state, task, bound_ms)
    return effects


def _retry_or_end(
    state: "EntryState",
    task: "Task",
    pending: "PendingRequest",
    message: str,
    at_ms: int,
) -> Iterable[Effect]:
    pending.may_have_run = True
    if not retry.may_retry_failure(state, pending, task.data_centre):
        yield from end_unknown(state, task, pending, message, at_ms)
        return
    detach(state, task)
    pending.excluded.add(task.instance)
    yield from requeue_for_retry(state, pending, at_ms)
    yield Count("retries", labels=(("data_centre", task.data_centre),))


def end_unknown(
    state: "EntryState",
    task: "Task",
    pending: "PendingRequest",
    message: str,
    at_ms: int,
) -> Iterable[Effect]:
    """End a request whose task may or may not have run."""
    detach(state, task)
    outcome = OutcomeUnknown(message)
    return claims.conclude(
        state, pending.request.request_id, outcome, task.task_id, at_ms
    )


def detach(state: "EntryState", task: "Task") -> None:
    """Detach a task from its request, whose outcome no longer depends on it."""
    task.pending_request = None
    if state.placement.by_request.get(task.request_id) is task:
        del state.placement.by_request[task.request_id]


def requeue_for_retry(
    state: "EntryState", pending: "PendingRequest", at_ms: int
) -> Iterable[Effect]:
    """Queue a request for another attempt, or end it if it was cancelled meanwhile."""
    request_id = pending.request.request_id
    if claims.cancel_requested(state, request_id):
        message = "the caller cancelled the request"
        outcome: Outcome = NotRun(RefusalKind.CANCELLED, message)
        if pending.may_have_run:
            outcome = OutcomeUnknown(f"{message}; an earlier attempt may have run")
        return claims.conclude(state, request_id, outcome, None, at_ms)
    queue = state.config.queues.get(pending.request.queue)
    if queue is not None:
        members = index_of(state).members.get(queue.pool, ())
        if len(pending.excluded) >= len(members):
            pending.excluded.clear()
    fair_queue.requeue(state, pending, at_ms)
    return ()


def handle_not_run(
    state: "EntryState", task: "Task", kind: RefusalKind, message: str, at_ms: int
) -> Iterable[Effect]:
    """Retry a request whose task provably never ran, or end it."""
    pending = task.pending_request
    usage.charge(state, task.class_key, task.team, -task.estimate_ms * task.n_slots)
    detach(state, task)
    placement.release(state, task, at_ms)
    if pending is None:
        return ()
    if retry.may_retry_not_run(pending):
        return requeue_for_retry(state, pending, at_ms)
    outcome: Outcome = NotRun(kind, message)
    if pending.may_have_run:
        outcome = OutcomeUnknown("an earlier attempt may have run; " + message)
    return claims.conclude(
        state, pending.request.request_id, outcome, task.task_id, at_ms
    )
