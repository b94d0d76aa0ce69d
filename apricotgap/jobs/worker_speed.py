"""Whether a worker is slow, by the progress of its runs.

A task may be several times as long as others of its step on a sound worker, and would
be as long anywhere else. A slow worker delays all of its runs.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.runs import Run
from apricotgap.jobs.workers import Worker

__all__ = ["RunSpeed", "WorkerSpeed", "judge_worker"]

# A run that needs at most this multiple of the typical duration counts as normal.
# Estimates are off by up to half.
NORMAL_FACTOR = 1.5
# With 3 tasks in 100 seven times as long as the others, a fifth of the runs at one time
# are long. That three of three are so on a sound worker is rare, that two of two are so
# is not.
MIN_SLOW_RUNS = 3
# A run that has ended this long after a slow one began has been beside it.
BESIDE_MS = 400
# A worker that was slow may still be so this long after.
SLOW_MEMORY_MS = 10_000


class WorkerSpeed(Enum):
    """What is known of the speed of a worker; UNDECIDED: long task or slow worker."""

    SOUND = auto()
    SLOW = auto()
    UNDECIDED = auto()


@dataclass(frozen=True, slots=True)
class RunSpeed:
    """A run and its speed.

    `total_ms` is the duration of a whole run at its present rate, None if that is
    unknown. `is_calibrated` means that `typical_ms` and `late_ms` come from finished
    tasks, else from the estimate.
    """

    job: JobState
    run: Run
    total_ms: float | None
    typical_ms: int
    late_ms: int
    is_calibrated: bool

    @property
    def is_slow(self) -> bool:
        """Whether the run progresses far more slowly than others of its kind."""
        return self.total_ms is not None and self.total_ms > self.late_ms

    @property
    def is_normal(self) -> bool:
        """Whether the run progresses as others of its kind."""
        if self.total_ms is None or self.run.progress.has_slowed:
            return False
        return self.total_ms <= NORMAL_FACTOR * self.typical_ms


def judge_worker(worker: Worker, speeds: Sequence[RunSpeed], at_ms: int) -> WorkerSpeed:
    """Return whether a worker is slow.

    Parameters
    ----------
    worker : Worker
        The worker.
    speeds : sequence of RunSpeed
        Its finite runs.
    at_ms : int
        Current time.
    """
    if any(each.is_normal for each in speeds):
        return WorkerSpeed.SOUND
    slow = [each for each in speeds if each.is_slow]
    if not slow:
        return WorkerSpeed.SOUND
    if any(each.run.progress.has_slowed for each in slow):
        return WorkerSpeed.SLOW
    began_ms = min(each.run.started_ms for each in slow)
    if worker.normal_end_ms - began_ms > BESIDE_MS:
        # A normal run has ended beside one of those that are slow.
        return WorkerSpeed.SOUND
    was_slow = at_ms - worker.found_slow_ms <= SLOW_MEMORY_MS
    if was_slow or (len(slow) >= MIN_SLOW_RUNS and _are_comparable(slow)):
        return WorkerSpeed.SLOW
    return WorkerSpeed.UNDECIDED


def _are_comparable(slow: Iterable[RunSpeed]) -> bool:
    """Whether a wrong estimate of one step does not explain all of the slow runs."""
    steps = {each.run.name[:3] for each in slow}
    return len(steps) > 1 or any(each.is_calibrated for each in slow)
