"""Base class of events, time and lifecycle."""

from dataclasses import dataclass

__all__ = ["Event", "Started", "StopRequested", "Tick"]


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened, as told by a driver.

    Parameters
    ----------
    at_ms : int
        Monotonic time of the entry instance in milliseconds.
    """

    at_ms: int


@dataclass(frozen=True, slots=True)
class Started(Event):
    """The process is ready to run effects."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time passed; sent every ``TICK_MS``."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """A planned stop begins."""
