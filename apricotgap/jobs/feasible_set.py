"""Feasible set: work that a pool can complete by its due times."""

from dataclasses import dataclass

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


class FeasibleSet:
    """Accepts work as long as all accepted work can be completed by its due time.

    The pool counts as one fluid resource: a slot keeps the capacity until its end that
    accepted work with an earlier or equal due time leaves.

    Parameters
    ----------
    forecast : CapacityForecast
        Capacity of the pool.
    """

    def __init__(self, forecast: CapacityForecast) -> None:
        self._slack = [
            forecast.core_ms_until(end_ms)
            for end_ms in range(SLOT_MS, HORIZON_MS + SLOT_MS, SLOT_MS)
        ]

    def add(self, core_ms: float, due_in_ms: int) -> bool:
        """Accept work that is due after a time, unless it would make some of it late.

        Parameters
        ----------
        core_ms : float
            The work.
        due_in_ms : int
            Time from now within which it has to be completed.
        """
        first = max(0, due_in_ms // SLOT_MS - 1)
        if first >= len(self._slack):
            return True
        if min(self._slack[first:]) < core_ms:
            return False
        self.reserve(core_ms, due_in_ms)
        return True

    def reserve(self, core_ms: float, due_in_ms: int) -> None:
        """Take capacity for work that is done in any case."""
        first = max(0, due_in_ms // SLOT_MS - 1)
        self._slack[first:] = [slack - core_ms for slack in self._slack[first:]]
