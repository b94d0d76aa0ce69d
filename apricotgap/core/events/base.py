"""Base class of events; events for time and lifecycle."""

from dataclasses import dataclass

__all__ = ["Event", "Started", "StopRequested", "Tick"]


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of events that a driver reports.

    Parameters
    ----------
    at_ms : int
        Monotonic time of the entry instance in milliseconds.
    """

    at_ms: int


@dataclass(frozen=True, slots=True)
class Started(Event):
    """The process has started and can run effects."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Periodic timer event, sent every ``TICK_MS``."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """A graceful shutdown was requested."""
