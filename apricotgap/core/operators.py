"""Operator actions on the configuration."""

from dataclasses import dataclass

__all__ = ["OperatorState"]


@dataclass(slots=True)
class OperatorState:
    """Operator calls under way."""
