"""Preemption of batch tasks by checkpoints in favour of urgent requests."""

from collections.abc import Iterable
from itertools import chain, islice
from typing import TYPE_CHECKING

from apricotgap.core import fair_queue
from apricotgap.core.effects import CheckpointTask, Effect
from apricotgap.model import Priority

if TYPE_CHECKING:
    from apricotgap.core.placement import Task
    from apricotgap.core.state import EntryState

__all__ = [
    "checkpoint_batch_of_limited_teams",
    "checkpoint_blocking",
    "remove_from_preemptible",
]

CHECKPOINT_AFTER_MS = 500
MAX_CHECKPOINTS_PER_TICK = 8


def remove_from_preemptible(state: "EntryState", task: "Task") -> None:
    """Remove a task from the preemptible and from the checkpointing tasks."""
    placement = state.placement
    placement.preemptible.get((task.pool, task.spilled), {}).pop(task.task_id, None)
    placement.checkpointing.get(task.pool, {}).pop(task.task_id, None)


def checkpoint_blocking(state: "EntryState", at_ms: int) -> Iterable[Effect]:
    """Checkpoint idempotent batch tasks that have blocked urgent requests for too long.

    The newest tasks are preempted first, since they lose the least work. Spilled
    tasks are also preempted in favour of the spare pool's own requests.
    """
    placement = state.placement
    n_left = MAX_CHECKPOINTS_PER_TICK
    for (queue, priority), since_ms in list(placement.blocked_since_ms.items()):
        n_wanted = fair_queue.n_waiting_in_class(state, queue, priority)
        if not n_wanted or queue not in state.config.queues:
            del placement.blocked_since_ms[queue, priority]
            continue
        if at_ms - since_ms < CHECKPOINT_AFTER_MS:
            continue
        pool = state.config.queues[queue].pool
        requested = placement.checkpointing.setdefault(pool, {})
        n_wanted = min(n_wanted - len(requested), n_left)
        for task in _to_checkpoint(state, pool, priority, n_wanted):
            remove_from_preemptible(state, task)
            requested[task.task_id] = task
            task.checkpointing = True
            n_left -= 1
            yield CheckpointTask(task.task_id, task.instance, task.address)


def checkpoint_batch_of_limited_teams(
    state: "EntryState", at_ms: int
) -> Iterable[Effect]:
    """Checkpoint batch tasks of teams whose urgent requests wait at their limit."""
    for team, since_ms in list(state.queues.urgent_parked_ms.items()):
        n_urgent = state.queues.n_urgent_by_team.get(team, 0)
        if not n_urgent:
            del state.queues.urgent_parked_ms[team]
            continue
        if at_ms - since_ms < CHECKPOINT_AFTER_MS:
            continue
        state.queues.urgent_parked_ms[team] = at_ms
        n_wanted = min(n_urgent, MAX_CHECKPOINTS_PER_TICK)
        for task in _batch_of(state, team, n_wanted):
            remove_from_preemptible(state, task)
            state.placement.checkpointing.setdefault(task.pool, {})[task.task_id] = task
            task.checkpointing = True
            yield CheckpointTask(task.task_id, task.instance, task.address)


def _batch_of(state: "EntryState", team: str, n: int) -> list["Task"]:
    tasks = chain.from_iterable(
        reversed(group.values()) for group in state.placement.preemptible.values()
    )
    return list(islice((task for task in tasks if task.team == team), n))


def _to_checkpoint(
    state: "EntryState", pool: str, priority: Priority, n: int
) -> list["Task"]:
    preemptible = state.placement.preemptible
    spilled = reversed(preemptible.get((pool, True), {}).values())
    if priority is Priority.URGENT:
        unspilled = reversed(preemptible.get((pool, False), {}).values())
        return list(islice(chain(spilled, unspilled), max(n, 0)))
    return list(islice(spilled, max(n, 0)))
