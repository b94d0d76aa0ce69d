"""Keys of shards that owners of an earlier build do not write."""

from collections.abc import Callable

import structlog

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import SHARD_OPEN, shard_key
from apricotgap.platform.store import StoreClient, Write

__all__ = ["ShardMarks"]

# Time for the owner itself, if its build writes the key.
OWNER_DELAY_MS = 250


class ShardMarks:
    """Writes the keys of owned shards that have none.

    If its last queue left, such a shard would have no next owner.

    Parameters
    ----------
    store, cluster_view, clock
        Dependencies.
    """

    def __init__(
        self, store: StoreClient, cluster_view: ClusterView, clock: Clock
    ) -> None:
        self._store = store
        self._cluster_view = cluster_view
        self._clock = clock
        self._unmarked_since_ms: dict[str, int] = {}
        self._log = structlog.get_logger()

    async def write(self, delay_ms: Callable[[str], int]) -> None:
        """Write the keys that have been missing for long enough.

        Parameters
        ----------
        delay_ms : callable
            Returns how long, in milliseconds, a shard is left to other instances.
        """
        now_ms = self._clock.now_ms
        self._unmarked_since_ms = {
            shard: self._unmarked_since_ms.get(shard, now_ms)
            for shard in self._cluster_view.unmarked_shards()
        }
        for shard, since_ms in self._unmarked_since_ms.items():
            item = self._cluster_view.owner_item(shard)
            if item is None or now_ms - since_ms < OWNER_DELAY_MS + delay_ms(shard):
                continue
            outcome = await self._store.write(
                (
                    Write(item.key, expected_revision=item.revision, check_only=True),
                    Write(shard_key(shard), SHARD_OPEN, expected_revision=0),
                )
            )
            self._log.info("shard_marked", shard=shard, outcome=type(outcome).__name__)
