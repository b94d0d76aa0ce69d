"""At-most-once claims, tickets and the end of every request."""

from dataclasses import dataclass

__all__ = ["ClaimState"]


@dataclass(slots=True)
class ClaimState:
    """Claims, tickets and retained outcomes."""
