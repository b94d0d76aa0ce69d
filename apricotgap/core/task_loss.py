"""What becomes of a request whose task gave no answer."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from apricotgap.core import claims, fair_queue, placement, preemption, retry, usage
from apricotgap.core.effects import Count, Effect, StopTask
from apricotgap.core.worker_index import index_of
from apricotgap.model import NotRun, Outcome, OutcomeUnknown, RefusalKind

if TYPE_CHECKING:
    from apricotgap.core.fair_queue import Waiting
    from apricotgap.core.placement import Task
    from apricotgap.core.state import EntryState

__all__ = [
    "detach",
    "end_unknown",
    "lose_task",
    "lose_task_by_restart",
    "not_run",
    "wait_again",
]


def lose_task(
    state: "EntryState", task: "Task", message: str, at_ms: int
) -> list[Effect]:
    """Handle a task whose answer will not come although it may run.

    An idempotent request is tried again within the retry budget, while the lost
    task is stopped and holds its allotment until it can no longer run. Any other
    request waits for a probe of the task after its start deadline.
    """
    task.connection_lost = True
    preemption.not_preemptible(state, task)
    due_ms = max(at_ms, task.started_ms + placement.START_BOUND_MS)
    placement.probe_at(state, task, due_ms)
    waiting = task.waiting
    if waiting is None or not task.idempotent:
        return []
    effects: list[Effect] = [StopTask(task.task_id, task.instance, task.address)]
    effects += _retry_or_end(state, task, waiting, message, at_ms)
    return effects


def lose_task_by_restart(state: "EntryState", task: "Task", at_ms: int) -> list[Effect]:
    """Handle a task whose server restarted, which proves nothing about it."""
    effects: list[Effect] = []
    waiting, message = task.waiting, "the backend server restarted"
    if waiting is not None and task.idempotent:
        effects += _retry_or_end(state, task, waiting, message, at_ms)
    elif waiting is not None:
        effects += end_unknown(state, task, waiting, message, at_ms)
    bound_ms = task.started_ms + placement.START_BOUND_MS
    if at_ms >= bound_ms:
        placement.release(state, task, at_ms)
    else:
        # The new server may still accept the message that is on its way.
        task.connection_lost = True
        placement.probe_at(state, task, bound_ms)
    return effects


def _retry_or_end(
    state: "EntryState", task: "Task", waiting: "Waiting", message: str, at_ms: int
) -> Iterable[Effect]:
    waiting.may_have_run = True
    if not retry.may_retry_failure(state, waiting, task.data_centre):
        return end_unknown(state, task, waiting, message, at_ms)
    detach(state, task)
    waiting.tried.add(task.instance)
    wait_again(state, waiting, at_ms)
    return (Count("retries", labels=(("data_centre", task.data_centre),)),)


def end_unknown(
    state: "EntryState", task: "Task", waiting: "Waiting", message: str, at_ms: int
) -> Iterable[Effect]:
    """End a request whose task may or may not have run."""
    detach(state, task)
    outcome = OutcomeUnknown(message)
    return claims.conclude(
        state, waiting.request.request_id, outcome, task.task_id, at_ms
    )


def detach(state: "EntryState", task: "Task") -> None:
    """Let a task no longer decide about its request."""
    task.waiting = None
    if state.placement.by_request.get(task.request_id) is task:
        del state.placement.by_request[task.request_id]


def wait_again(state: "EntryState", waiting: "Waiting", at_ms: int) -> None:
    """Let a request wait for a further try."""
    queue = state.config.queues.get(waiting.request.queue)
    if queue is not None:
        members = index_of(state).members.get(queue.pool, ())
        if len(waiting.tried) >= len(members):
            waiting.tried.clear()
    fair_queue.put_back(state, waiting, at_ms)


def not_run(
    state: "EntryState", task: "Task", kind: RefusalKind, message: str, at_ms: int
) -> Iterable[Effect]:
    """Try a request again after proof that the task never ran, or end it."""
    waiting = task.waiting
    usage.charge(state, task.class_key, task.team, -task.estimate_ms * task.n_slots)
    detach(state, task)
    placement.release(state, task, at_ms)
    if waiting is None:
        return ()
    if retry.may_retry_not_run(waiting):
        wait_again(state, waiting, at_ms)
        return ()
    outcome: Outcome = NotRun(kind, message)
    if waiting.may_have_run:
        outcome = OutcomeUnknown("an earlier try may have run; " + message)
    return claims.conclude(
        state, waiting.request.request_id, outcome, task.task_id, at_ms
    )
