"""Run-time estimates and the number of slots that a request needs."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricotgap.model import Instance, Request, Resources

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "EstimateState",
    "estimate_ms",
    "fits",
    "is_feasible",
    "n_slots_needed",
    "record_run_time",
]

DEFAULT_RUN_MS = 1_000
MAX_RUN_MS = 3_600_000
# Weight of a new observation in the moving average.
_OBSERVATION_WEIGHT = 0.2
_MAX_AVERAGES = 20_000


@dataclass(slots=True)
class EstimateState:
    """Moving averages of the run time in milliseconds by queue and team."""

    averages: dict[tuple[str, str], float] = field(default_factory=dict)


def estimate_ms(state: "EntryState", request: Request, team: str) -> int:
    """Return the expected run time; the declared one is used until one is measured."""
    average_ms = state.placement.estimates.averages.get((request.queue, team))
    if average_ms is None:
        average_ms = request.expected_run_ms or DEFAULT_RUN_MS
    return min(max(1, int(average_ms)), MAX_RUN_MS)


def record_run_time(
    state: "EntryState", request: Request, team: str, run_ms: int
) -> None:
    """Update the estimate with a measured run time."""
    averages = state.placement.estimates.averages
    average_ms = averages.get((request.queue, team))
    if average_ms is None:
        if len(averages) >= _MAX_AVERAGES:
            del averages[next(iter(averages))]
        average_ms = run_ms
    averages[request.queue, team] = average_ms + _OBSERVATION_WEIGHT * (
        run_ms - average_ms
    )


def fits(declared: Resources, instance: Instance) -> bool:
    """Tell whether an instance is large enough; an unset capacity fits any request."""
    return instance.capacity == Resources() or declared.fits_in(instance.capacity)


def n_slots_needed(declared: Resources, instance: Instance) -> int:
    """Return the slots that the declared resources take up on an instance."""
    capacity = instance.capacity
    n_needed = 1
    for need, total in (
        (declared.cpu_milli, capacity.cpu_milli),
        (declared.memory_mb, capacity.memory_mb),
        (declared.accelerators, capacity.accelerators),
    ):
        if need and total:
            n_needed = max(n_needed, -(-need * instance.slots // total))
    return min(n_needed, instance.slots)


def is_feasible(state: "EntryState", request: Request, queue: str) -> bool:
    """Tell whether some instance of the queue's pool or a spare pool is large enough.

    Checks the distinct capacities only, so the cost does not grow with instances.
    """
    from apricotgap.core import worker_index  # noqa: PLC0415

    pool = state.config.queues[queue].pool
    index = worker_index.index_of(state)
    sizes = [*index.sizes.get(pool, ()), *index.spare_sizes]
    return any(size == Resources() or request.declared.fits_in(size) for size in sizes)
