"""Weighted fair queueing over teams with two priority classes."""

from dataclasses import dataclass

__all__ = ["QueueState"]


@dataclass(slots=True)
class QueueState:
    """Admitted requests that wait."""
