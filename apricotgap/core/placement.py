"""Choice of a backend server for each task and tracking of tasks in flight."""

from dataclasses import dataclass

__all__ = ["PlacementState"]


@dataclass(slots=True)
class PlacementState:
    """Tasks in flight and estimates of their run time."""
