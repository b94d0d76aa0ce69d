"""Base class of effects, metrics, logs and lifecycle."""

from dataclasses import dataclass, field

__all__ = ["Count", "Effect", "Exit", "LogChange", "Observe", "SetReady"]


@dataclass(frozen=True, slots=True)
class Effect:
    """Something that a driver must do."""


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
    """Logs one line for a change of state."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SetReady(Effect):
    """Sets the answer of the readiness check."""

    ready: bool


@dataclass(frozen=True, slots=True)
class Exit(Effect):
    """All work is done; the process may end."""
