"""Figures of a played deployment, as the callers of each queue see them."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from simulation.deployment import JobRecord

__all__ = ["QueueFigures", "figures_by_queue"]

# A job that ends after this multiple of its objective has failed for its caller.
LATE_LIMIT = 3
# Worth of a late job as a part of that of one in time.
LATE_WORTH = 0.07
# The worth of a job has a part that is the same for all and one that grows with its
# work, up to a limit.
FIXED_WORTH = 0.3
MAX_WORTH = 4.0


@dataclass(slots=True)
class QueueFigures:
    """Numbers of jobs by outcome, and the share of the worth that was earned."""

    n_jobs: int = 0
    n_in_time: int = 0
    n_late: int = 0
    n_refused: int = 0
    n_failed: int = 0
    owed: float = 0.0
    earned: float = 0.0

    @property
    def worth(self) -> float:
        """Share of the worth that was earned."""
        return self.earned / self.owed if self.owed else 1.0


def figures_by_queue(records: Iterable[JobRecord]) -> dict[str, QueueFigures]:
    """Count the outcomes of the jobs of each queue."""
    by_queue: dict[str, list[JobRecord]] = defaultdict(list)
    for record in records:
        by_queue[record.job.spec.queue].append(record)
    return {queue: _figures(found) for queue, found in sorted(by_queue.items())}


def _figures(records: list[JobRecord]) -> QueueFigures:
    figures = QueueFigures()
    mean_work = sum(record.job.work for record in records) / len(records)
    for record in records:
        part = (1 - FIXED_WORTH) * record.job.work / mean_work
        worth = min(MAX_WORTH, FIXED_WORTH + part)
        figures.n_jobs += 1
        figures.owed += worth
        latency_ms = record.latency_ms()
        objective_ms = record.job.objective_ms
        if not record.is_accepted:
            figures.n_refused += 1
        elif latency_ms is None or latency_ms > LATE_LIMIT * objective_ms:
            figures.n_failed += 1
        elif latency_ms > objective_ms:
            figures.n_late += 1
            figures.earned += LATE_WORTH * worth
        else:
            figures.n_in_time += 1
            figures.earned += worth
    return figures
