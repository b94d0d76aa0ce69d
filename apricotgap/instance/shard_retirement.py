"""End of a shard whose service no queue uses any more and whose jobs have ended."""

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import (
    SHARD_CLOSING,
    jobs_prefix,
    owner_key,
    shard_key,
    tenure_key,
)
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.jobs.shard import Shard
from apricotgap.platform.store import (
    Conflict,
    Item,
    StoreClient,
    Stored,
    StoreError,
    Write,
    WriteOutcome,
)

__all__ = ["ShardRetirement"]

CHECK_INTERVAL_S = 1.0
# Instances whose view of the configuration is behind may accept jobs for this long, and
# a queue that is moved away may soon be moved back.
UNUSED_DELAY_MS = 10_000


class ShardRetirement:
    """Gives up a shard for good, together with the key that says that it has jobs.

    Other instances may write a job to the store at any moment. Each such write either
    depends on the revision of the key or changes it. The owner therefore changes the
    key first, looks for jobs then, and removes the key only if it is still unchanged.

    Parameters
    ----------
    shard, ownership, store, cluster_view, clock
        Dependencies.
    """

    def __init__(
        self,
        shard: Shard,
        ownership: Ownership,
        store: StoreClient,
        cluster_view: ClusterView,
        clock: Clock,
    ) -> None:
        self._shard = shard
        self._ownership = ownership
        self._store = store
        self._cluster_view = cluster_view
        self._clock = clock
        self._unused_since_ms: int | None = None
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    async def run(self) -> None:
        """Check for the end of the shard until cancelled.

        Raises
        ------
        OwnershipLostError
            The shard has been given up, or the store shows another owner.
        """
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if not self._is_over():
                continue
            if await self._retire():
                raise OwnershipLostError("no queue uses the service, no job is left")
            self._unused_since_ms = None

    def _is_over(self) -> bool:
        config = self._cluster_view.config
        if (
            config is None
            or self._shard.service in config.used_services
            or self._shard.jobs
        ):
            self._unused_since_ms = None
            return False
        now_ms = self._clock.now_ms
        if self._unused_since_ms is None:
            self._unused_since_ms = now_ms
        return now_ms - self._unused_since_ms >= UNUSED_DELAY_MS

    async def _retire(self) -> bool:
        """Remove the shard's keys unless a job is stored; return whether it has."""
        shard, ownership = self._ownership.shard, self._ownership
        closing = await self._write(
            ownership.condition, Write(shard_key(shard), SHARD_CLOSING)
        )
        if not isinstance(closing, Stored) or await self._has_stored_jobs():
            return False
        removed = await self._write(
            Write(owner_key(shard), expected_revision=ownership.revision),
            Write(shard_key(shard), expected_revision=closing.revision),
            Write(tenure_key(shard)),
        )
        if not isinstance(removed, Stored):
            return False
        for key in (owner_key(shard), shard_key(shard)):
            self._cluster_view.apply(Item(key, None, removed.revision))
        self._log.info("shard_retired")
        return True

    async def _write(self, *writes: Write) -> WriteOutcome:
        outcome = await self._store.write(writes)
        if not isinstance(outcome, Stored):
            self._log.warning("shard_not_retired", outcome=repr(outcome)[:200])
        if isinstance(outcome, Conflict):
            self._ownership.check(outcome)
        return outcome

    async def _has_stored_jobs(self) -> bool:
        """Return whether a job is stored; the shard finds it by its watch."""
        try:
            snapshot = await self._store.read_prefix(jobs_prefix(self._shard.service))
        except StoreError as error:
            self._log.warning("shard_not_retired", reason=str(error))
            return True
        return any(item.key.count("/") == 2 for item in snapshot.items)
