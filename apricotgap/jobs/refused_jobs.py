"""Refused jobs: their places, and when their callers are expected back."""

import heapq
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from apricotgap.jobs.job_work import JobWork, whole_work
from apricotgap.jobs.model import JobSpec

__all__ = ["RefusedJobs"]

# Refused jobs whose first submission is remembered, and for how long.
MAX_REFUSED = 4_096
MEMORY_MS = 60_000
# A place is kept from this long before the caller is expected until this long after.
# Callers see whole seconds, and a call may take a second attempt.
RESERVED_BEFORE_MS = 1_000
RESERVED_AFTER_MS = 1_000

_Group = tuple[str, int]


@dataclass(slots=True)
class _Refused:
    spec: JobSpec
    refused_ms: int
    n_refusals: int = 0
    return_ms: int = 0
    away_core_ms: float = 0.0

    @property
    def group(self) -> _Group:
        return self.spec.team, self.spec.priority


class RefusedJobs:
    """Remembers refused jobs, a bounded number of them."""

    def __init__(self) -> None:
        # In the order of the latest refusal.
        self._refused: dict[str, _Refused] = {}
        # Start of each reservation, the job and when its caller is expected.
        self._returns: list[tuple[int, str, int]] = []
        # Work of the jobs whose callers are away, by team and priority.
        self._away: defaultdict[_Group, float] = defaultdict(float)

    def keep_place(self, spec: JobSpec) -> JobSpec:
        """Return a job with the time of its first refused submission."""
        known = self._refused.get(spec.job_id)
        if known is None:
            return spec
        return replace(spec, submitted_ms=known.spec.submitted_ms)

    def n_refusals(self, job_id: str) -> int:
        """Return how often a job was refused, as far as this is remembered."""
        known = self._refused.get(job_id)
        return known.n_refusals if known else 0

    def away_core_ms(self, work: JobWork) -> float:
        """Return the work of refused jobs of the same team and priority that return.

        The job itself and those that hold a place again do not count.
        """
        known = self._refused.get(work.job_id)
        own = known.away_core_ms if known else 0.0
        return max(0.0, self._away.get((work.team, work.priority), 0.0) - own)

    def record(self, spec: JobSpec, at_ms: int, return_ms: int) -> None:
        """Add a refusal of a job whose caller is expected back at `return_ms`."""
        while self._refused and (
            len(self._refused) >= MAX_REFUSED
            or next(iter(self._refused.values())).refused_ms < at_ms - MEMORY_MS
        ):
            self._end_absence(self._refused.pop(next(iter(self._refused))))
        known = self._refused.pop(spec.job_id, None)
        if known is None:
            # The content may be large and is not needed.
            known = _Refused(replace(spec, content=""), at_ms)
        self._end_absence(known)
        known.refused_ms = at_ms
        known.n_refusals += 1
        known.return_ms = return_ms
        known.away_core_ms = whole_work(spec, 0.0).core_ms
        self._away[known.group] += known.away_core_ms
        self._refused[spec.job_id] = known
        entry = (return_ms - RESERVED_BEFORE_MS, spec.job_id, return_ms)
        heapq.heappush(self._returns, entry)

    def record_returned(self, job_id: str) -> None:
        """Record that the caller of a job has come back and is not refused again."""
        known = self._refused.get(job_id)
        if known is not None:
            self._end_absence(known)

    def take_returning(self, at_ms: int) -> Iterator[tuple[JobSpec, int]]:
        """Yield the jobs whose reservation begins, and when each reservation ends."""
        while self._returns and self._returns[0][0] <= at_ms:
            _, job_id, return_ms = heapq.heappop(self._returns)
            known = self._refused.get(job_id)
            if known is None or known.return_ms != return_ms:
                continue
            self._end_absence(known)
            if at_ms < return_ms + RESERVED_AFTER_MS:
                yield known.spec, return_ms + RESERVED_AFTER_MS

    def _end_absence(self, known: _Refused) -> None:
        self._away[known.group] -= known.away_core_ms
        known.away_core_ms = 0.0
        if self._away[known.group] <= 0:
            del self._away[known.group]
