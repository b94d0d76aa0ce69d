"""Monotonic time in milliseconds."""

import time
from abc import ABC, abstractmethod

import trio

__all__ = ["BootClock", "BootTrioClock", "Clock", "FakeClock", "TrioClock"]


class Clock(ABC):
    """Source of monotonic time.

    An implementation must never go backwards and must advance while the process
    is paused, so that a lease that lapsed during a pause is seen as lapsed.
    """

    @property
    @abstractmethod
    def now_ms(self) -> int:
        """Milliseconds since an arbitrary fixed point."""


class TrioClock(Clock):
    """Clock of the running trio loop, virtual under ``trio.testing.MockClock``."""

    @property
    def now_ms(self) -> int:
        """Milliseconds since an arbitrary fixed point."""
        return int(trio.current_time() * 1000)


class FakeClock(Clock):
    """Clock that a test advances by hand.

    Parameters
    ----------
    start_ms : int
        Initial time in milliseconds.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    @property
    def now_ms(self) -> int:
        """Milliseconds since the fixed start."""
        return self._now_ms

    def advance(self, step_ms: int) -> None:
        """Move the time forward.

        Parameters
        ----------
        step_ms : int
            Milliseconds to add, not negative.
        """
        if step_ms < 0:
            raise ValueError("step_ms must not be negative")
        self._now_ms += step_ms


class BootClock(Clock):
    """Clock that also counts the time in which the machine is suspended."""

    @property
    def now_ms(self) -> int:
        """Milliseconds since the machine started."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class BootTrioClock(trio.abc.Clock):
    """Clock of a trio loop that also counts the time of a suspended machine.

    Time-outs that ran out during a suspension cancel their calls on waking, before
    these send anything more.
    """

    def start_clock(self) -> None:
        """Need no preparation."""

    def current_time(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return seconds until a deadline."""
        return deadline - self.current_time()
