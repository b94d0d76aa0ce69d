"""Two-level split of each team's upper limit."""

from dataclasses import dataclass

__all__ = ["AllotmentState"]


@dataclass(slots=True)
class AllotmentState:
    """Rows held by this entry instance and what runs under them."""
