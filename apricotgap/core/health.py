"""Health of backend servers: ejection, probing and the retry budget."""

from dataclasses import dataclass

__all__ = ["HealthState"]


@dataclass(slots=True)
class HealthState:
    """What is known of each backend server."""
