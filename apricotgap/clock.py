"""Monotonic time in milliseconds."""

import time
from abc import ABC, abstractmethod

import trio

__all__ = ["BootClock", "BootTrioClock", "Clock", "FakeClock", "TrioClock"]


class Clock(ABC):
    """Source of monotonic time.

    An implementation must never go backwards and must advance while the process
    is paused, so that a lease that expired during a pause is detected as expired.
    """

    @property
    @abstractmethod
    def now_ms(self) -> int:
        """Milliseconds since an arbitrary fixed point."""


class TrioClock(Clock):
    """Time of the running trio loop, simulated under ``trio.testing.MockClock``."""

    @property
    def now_ms(self) -> int:
        """Milliseconds since an arbitrary fixed point."""
        return int(trio.current_time() * 1000)


class FakeClock(Clock):
    """Clock that a test advances explicitly.

    Parameters
    ----------
    start_ms : int
        Initial time in milliseconds.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    @property
    def now_ms(self) -> int:
        """Milliseconds since an arbitrary fixed point."""
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
    """Clock that also advances while the machine is suspended."""

    @property
    def now_ms(self) -> int:
        """Milliseconds since the machine booted."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class BootTrioClock(trio.abc.Clock):
    """Clock for the trio loop that also advances while the machine is suspended.

    Timeouts that expired during a suspension cancel their calls on resume, before
    these can send anything more.
    """

    def start_clock(self) -> None:
        """Do nothing; the boot clock is always running."""

    def current_time(self) -> float:
        """Return seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return seconds until a deadline."""
        return deadline - self.current_time()
