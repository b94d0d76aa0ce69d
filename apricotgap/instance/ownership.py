"""Ownership of a shard, as its owner carries it."""

from dataclasses import dataclass

from apricotgap.instance.keys import owner_key
from apricotgap.platform.store import Conflict, Write

__all__ = ["OwnershipLostError", "Ownership"]


class OwnershipLostError(Exception):
    """Another instance owns the shard, or may own it by now."""


@dataclass(frozen=True, slots=True)
class Ownership:
    """Ownership of a shard, which ends with the lease `lease_id`.

    Writes of the owner are conditioned on `revision`.
    """

    shard: str
    epoch: int
    revision: int
    lease_id: int

    @property
    def condition(self) -> Write:
        """Part of a transaction that fails once the ownership has ended."""
        return Write(
            owner_key(self.shard), expected_revision=self.revision, check_only=True
        )

    def check(self, conflict: Conflict) -> None:
        """Tell apart a lost ownership from another condition that failed.

        Raises
        ------
        OwnershipLostError
            The owner's key is gone or another one.
        """
        revision = conflict.revision_of(owner_key(self.shard))
        if revision != self.revision:
            raise OwnershipLostError(f"owner revision {revision}")
