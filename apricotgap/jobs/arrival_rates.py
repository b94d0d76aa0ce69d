"""Rates at which the work of accepted jobs has arrived lately, by team."""

from collections import defaultdict, deque
from collections.abc import Iterator

from apricotgap.jobs.job_work import JobWork

__all__ = ["ArrivalRates"]

# Long enough for several jobs of each team, short enough to follow the start of a burst
# within the time in which a job is of use.
WINDOW_MS = 3_000

_Group = tuple[str, int]


class ArrivalRates:
    """Work that arrived within the last seconds."""

    def __init__(self) -> None:
        self._arrivals: deque[tuple[int, _Group, float]] = deque()
        self._core_ms: defaultdict[_Group, float] = defaultdict(float)

    def record(self, work: JobWork, at_ms: int) -> None:
        """Add the work of an accepted job."""
        group = (work.team, work.priority)
        self._arrivals.append((at_ms, group, work.core_ms))
        self._core_ms[group] += work.core_ms
        self._forget(at_ms)

    def cores(self, at_ms: int) -> Iterator[tuple[str, int, float]]:
        """Yield teams and priorities with the cores that keep up with their work."""
        self._forget(at_ms)
        for (team, priority), core_ms in self._core_ms.items():
            yield team, priority, core_ms / WINDOW_MS

    def _forget(self, at_ms: int) -> None:
        while self._arrivals and self._arrivals[0][0] < at_ms - WINDOW_MS:
            _, group, core_ms = self._arrivals.popleft()
            self._core_ms[group] -= core_ms
            if self._core_ms[group] < 1:
                del self._core_ms[group]
