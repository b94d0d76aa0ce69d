"""Execution of confirmed plans under availability budgets."""

from dataclasses import dataclass

__all__ = ["WaveState"]


@dataclass(slots=True)
class WaveState:
    """Grants, the runner role and progress of plans."""
