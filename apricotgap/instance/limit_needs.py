"""Tells the owners of other shards which teams lack a part of their limit in a shard.

Each owner has one key, which all instances follow with the others below `sys/`. It goes
with the owner's lease. Owners without work that see it give up what they keep of these
teams' limits (`jobs/idle_shares.py`).
"""

import structlog

from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import encode_teams, limit_needs_key
from apricotgap.instance.ownership import Ownership
from apricotgap.platform.store import (
    Conflict,
    Item,
    Lease,
    StoreClient,
    Stored,
    Write,
)

__all__ = ["WRITE_INTERVAL_MS", "LimitNeeds"]

# Least time between two writes of the key, in milliseconds. Each one ends the watch
# of every instance.
WRITE_INTERVAL_MS = 1_000
# Most teams that a log line names.
_MAX_LOGGED_TEAMS = 8


class LimitNeeds:
    """What the shards lack of the teams' limits.

    Parameters
    ----------
    ownership, store, cluster_view
        Dependencies.
    """

    def __init__(
        self, ownership: Ownership, store: StoreClient, cluster_view: ClusterView
    ) -> None:
        self._ownership = ownership
        self._store = store
        self._cluster_view = cluster_view
        self._tried_ms = -WRITE_INTERVAL_MS
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    @property
    def of_others(self) -> frozenset[str]:
        """Teams that lack a part of their limit in another shard."""
        return self._cluster_view.limit_needs_beside(self._ownership.shard)

    async def publish(self, teams: frozenset[str], at_ms: int) -> None:
        """Store the teams that lack a part of their limit here, if they changed.

        Parameters
        ----------
        teams : frozenset of str
            Names of the teams.
        at_ms : int
            Current time.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        if teams == self._cluster_view.limit_needs_of(self._ownership.shard):
            return
        if at_ms - self._tried_ms < WRITE_INTERVAL_MS:
            return
        self._tried_ms = at_ms
        key = limit_needs_key(self._ownership.shard)
        value = encode_teams(teams) if teams else None
        lease = Lease(self._ownership.lease_id) if teams else None
        outcome = await self._store.write(
            (self._ownership.condition, Write(key, value, lease=lease))
        )
        if isinstance(outcome, Stored):
            self._cluster_view.apply(Item(key, value, outcome.revision))
            self._log.info("limit_needs", teams=sorted(teams)[:_MAX_LOGGED_TEAMS])
            return
        if isinstance(outcome, Conflict):
            self._ownership.check(outcome)
        self._log.warning("limit_needs_not_stored", outcome=repr(outcome)[:200])
