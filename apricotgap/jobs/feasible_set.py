"""Feasible set: work that a pool can complete by its due times."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

__all__ = ["CapacityForecast", "FeasibleSet"]

SLOT_MS = 100
# Work that is due later than this is not limited by the set.
HORIZON_MS = 20_000


@dataclass(frozen=True, slots=True)
class CapacityForecast:
    """Cores of a pool for finite jobs, now and after `later_ms`."""

    now_cores: float
    later_cores: float
    later_ms: int

    def core_ms_until(self, after_ms: int) -> float:
        """Return the work that the pool can do from now until then, in core-ms."""
        early_ms = min(after_ms, self.later_ms)
        return self.now_cores * early_ms + self.later_cores * (after_ms - early_ms)

    def time_for(self, core_ms: float) -> int | None:
        """Return the time that the pool takes for some work, None without capacity."""
        early_core_ms = self.now_cores * self.later_ms
        if core_ms <= early_core_ms:
            return int(core_ms / self.now_cores) if core_ms else 0
        if self.later_cores <= 0:
            return None
        return self.later_ms + int((core_ms - early_core_ms) / self.later_cores)


class FeasibleSet:
    """Accepts work as long as all accepted work can be completed by its due time.

    The pool counts as one fluid resource: a slot keeps the capacity until its end that
    accepted work with an earlier or equal due time leaves.

    Parameters
    ----------
    forecast : CapacityForecast
        Capacity of the pool.
    horizon_ms : int, optional
        Latest due time of any work that is to be limited. Later slots would only have
        more capacity left.
    reserved : iterable of tuple of float and int, optional
        Work that is in the set already, with its due times.
    """

    def __init__(
        self,
        forecast: CapacityForecast,
        horizon_ms: int = HORIZON_MS,
        reserved: Iterable[tuple[float, int]] = (),
    ) -> None:
        horizon_ms = max(SLOT_MS, min(horizon_ms, HORIZON_MS))
        n_slots = -(-horizon_ms // SLOT_MS)
        due = [0.0] * n_slots
        for core_ms, due_in_ms in reserved:
            first = _first_slot(due_in_ms)
            if first < n_slots:
                due[first] += core_ms
        self._slack = [
            forecast.core_ms_until(SLOT_MS * (slot + 1)) - taken
            for slot, taken in enumerate(accumulate(due))
        ]

    def has_room(self, core_ms: float, due_in_ms: int) -> bool:
        """Whether work fits that is due after a time.

        Parameters
        ----------
        core_ms : float
            The work.
        due_in_ms : int
            Time from now within which it has to be completed.
        """
        first = _first_slot(due_in_ms)
        if first >= len(self._slack):
            return True
        return min(self._slack[first:]) >= core_ms

    def add(self, core_ms: float, due_in_ms: int) -> bool:
        """Accept work that is due after a time, unless it would make some of it late.

        Parameters
        ----------
        core_ms : float
            The work.
        due_in_ms : int
            Time from now within which it has to be completed.
        """
        if not self.has_room(core_ms, due_in_ms):
            return False
        self.reserve(core_ms, due_in_ms)
        return True

    def reserve(self, core_ms: float, due_in_ms: int) -> None:
        """Take capacity for work that is done in any case."""
        first = _first_slot(due_in_ms)
        self._slack[first:] = [slack - core_ms for slack in self._slack[first:]]

    def occupy(self, n_cores: float, core_ms: float) -> None:
        """Take cores for runs that go on until they have done some work."""
        if not core_ms:
            return
        self._slack = [
            slack - min(core_ms, n_cores * SLOT_MS * (slot + 1))
            for slot, slack in enumerate(self._slack)
        ]


def _first_slot(due_in_ms: int) -> int:
    """Return the last slot that ends by a due time; the first one covers overdue work.

    Work that is due within the first slot may use all of it.
    """
    return max(0, due_in_ms // SLOT_MS - 1)
