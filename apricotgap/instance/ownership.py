"""An instance's ownership of a shard and how its loss is detected."""

from dataclasses import dataclass

from apricotgap.instance.keys import owner_key
from apricotgap.platform.store import Conflict, Write

__all__ = ["Ownership", "OwnershipLostError"]


class OwnershipLostError(Exception):
    """Another instance owns the shard or may already own it."""


@dataclass(frozen=True, slots=True)
class Ownership:
    """Ownership of a shard, which ends with the lease `lease_id`.

    `epoch` is the fencing token. Every write of the owner is conditional on
    `revision`, the store revision of the owner key, so that the writes of a
    replaced owner fail. `inherited_lease_ms` is how long from the claim on the leases
    that earlier owners gave to workers may last.
    """

    shard: str
    epoch: int
    revision: int
    lease_id: int
    inherited_lease_ms: int

    @property
    def condition(self) -> Write:
        """Transaction entry that fails once the ownership has ended."""
        return Write(
            owner_key(self.shard), expected_revision=self.revision, check_only=True
        )

    def check(self, conflict: Conflict) -> None:
        """Raise if a conflict shows that the ownership is lost.

        Raises
        ------
        OwnershipLostError
            The owner key was deleted or rewritten.
        """
        revision = conflict.revision_of(owner_key(self.shard))
        if revision != self.revision:
            raise OwnershipLostError(f"owner key now has revision {revision}")
