"""Entry instances: incarnations, leases, heartbeats and whom to connect to."""

from dataclasses import dataclass

__all__ = ["MembershipState"]


@dataclass(slots=True)
class MembershipState:
    """Known entry instances and the own registration."""
