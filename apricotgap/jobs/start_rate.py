"""Rate at which an owner starts tasks while tasks wait for it."""

from collections import deque
from typing import NamedTuple

from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.shard import Shard

__all__ = ["StartRate", "n_tasks_ahead"]

# The rate follows a change of the load within the time in which a job is of use.
WINDOW_MS = 3_000
# Shorter shortages tell no rate: a burst that is sent in several passes is one.
MIN_SHORT_MS = 1_000


class _Span(NamedTuple):
    """Time between two scheduling passes in which tasks waited for the owner."""

    until_ms: int
    took_ms: int
    n_starts: int


class StartRate:
    """Measures the starts of an owner over the time in which it was short of starts.

    An owner that starts all that has room is not short, however few starts there are.
    """

    def __init__(self) -> None:
        self._spans: deque[_Span] = deque()
        self._short_ms = 0
        self._n_short_starts = 0
        self._n_starts = 0
        # Time of the last pass, if it left tasks that could have started.
        self._short_since_ms: int | None = None

    def record_start(self) -> None:
        """Count a start that a worker has confirmed."""
        self._n_starts += 1

    def record_pass(self, at_ms: int, is_short: bool) -> None:
        """Record a scheduling pass.

        Parameters
        ----------
        at_ms : int
            Time of the pass.
        is_short : bool
            Whether it left tasks that a worker has room for to a later one.
        """
        if self._short_since_ms is not None:
            took_ms = at_ms - self._short_since_ms
            self._spans.append(_Span(at_ms, took_ms, self._n_starts))
            self._short_ms += took_ms
            self._n_short_starts += self._n_starts
        self._n_starts = 0
        self._short_since_ms = at_ms if is_short else None
        self._forget(at_ms)

    def per_s(self, at_ms: int) -> float | None:
        """Return starts per second, None if the owner has not been short of starts."""
        self._forget(at_ms)
        if self._short_ms < MIN_SHORT_MS or not self._n_short_starts:
            return None
        return 1_000 * self._n_short_starts / self._short_ms

    def _forget(self, at_ms: int) -> None:
        while self._spans and self._spans[0].until_ms < at_ms - WINDOW_MS:
            span = self._spans.popleft()
            self._short_ms -= span.took_ms
            self._n_short_starts -= span.n_starts


def n_tasks_ahead(shard: Shard, priority: int, at_ms: int) -> int:
    """Return the waiting tasks that may start now and that no new job goes before.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    priority : int
        Priority of the new job; a lower number goes first.
    at_ms : int
        Current time.
    """
    unix_ms = shard.unix_of(at_ms)
    n_tasks = 0
    for job in shard.open_jobs.values():
        if job.spec.priority > priority:
            continue
        with shard.guard(job):
            n_tasks += _n_startable(shard, job, unix_ms)
    return n_tasks


def _n_startable(shard: Shard, job: JobState, unix_ms: int) -> int:
    """Return the tasks of a job that wait for neither another step nor its team."""
    return sum(
        len(job.waiting[key])
        for key in job.open_steps(unix_ms)
        if shard.is_within_team_limit(job.spec.team, job.spec.steps[key[1]].allocation)
    )
