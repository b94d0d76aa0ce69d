"""Virtual time of the fakes."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["Schedule"]


class Schedule:
    """Virtual time in milliseconds and what is due."""

    def __init__(self) -> None:
        self._now_ms = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    @property
    def now_ms(self) -> int:
        """Virtual time."""
        return self._now_ms

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay_ms`; equal times keep their order."""
        due = self._now_ms + max(0, round(delay_ms))
        heapq.heappush(self._due, (due, next(self._order), action))

    def run_until(self, end_ms: int) -> None:
        """Run everything due up to `end_ms`."""
        while self._due and self._due[0][0] <= end_ms:
            self._now_ms, _, action = heapq.heappop(self._due)
            action()
        self._now_ms = max(self._now_ms, end_ms)
