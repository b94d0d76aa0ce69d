"""Base class of effects; effects for metrics, logs and lifecycle."""

from dataclasses import dataclass, field

__all__ = ["Count", "Effect", "Exit", "LogChange", "Observe", "SetReady"]


@dataclass(frozen=True, slots=True)
class Effect:
    """Base class of operations that a driver must run."""


@dataclass(frozen=True, slots=True)
class Count(Effect):
    """Adds `n` to a counter."""

    name: str
    n: int = 1
    labels: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Observe(Effect):
    """Records a value of a histogram."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class LogChange(Effect):
    """Logs a change of state."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SetReady(Effect):
    """Sets the result of the readiness check."""

    ready: bool


@dataclass(frozen=True, slots=True)
class Exit(Effect):
    """Ends the process, since the shutdown is complete."""
