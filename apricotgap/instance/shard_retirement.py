"""End of a shard whose service no queue uses any more and whose jobs have ended."""

from collections.abc import Iterable

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import (
    SHARD_CLOSING,
    SHARD_OPEN,
    jobs_prefix,
    owner_key,
    shard_key,
    tenure_key,
)
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.shard import Shard
from apricotgap.platform.store import (
    Item,
    StoreClient,
    Stored,
    StoreError,
    Write,
)

__all__ = ["ShardRetirement", "ShardUnusedError"]

CHECK_INTERVAL_S = 1.0
# Instances whose view of the configuration is behind may accept jobs for this long, and
# a queue that is moved away may soon be moved back.
UNUSED_DELAY_MS = 10_000

# Less than the time after which other instances claim a shard that is closing.
RETIRE_TIMEOUT_S = 1.5


class ShardUnusedError(Exception):
    """No queue uses the service of a shard, and none of its jobs is left."""


class ShardRetirement:
    """Gives up a shard for good, together with the key that says that it has jobs.

    Any instance may accept a job at any moment. The owner therefore resigns and changes
    the key first, looks for jobs then, and removes the key only if it is still
    unchanged: whoever accepts a job in between has to change it. Owners do so by their
    claim, and others with the job.

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

    async def run(self, stored: PrefixMirror) -> None:
        """Wait for the end of the shard.

        Parameters
        ----------
        stored : PrefixMirror
            Copy of the keys of the service's jobs.

        Raises
        ------
        ShardUnusedError
            The owner should stop and call `retire`.
        """
        while not self._is_over(stored.items):
            await trio.sleep(CHECK_INTERVAL_S)
        raise ShardUnusedError

    def _is_over(self, stored: Iterable[str]) -> bool:
        config = self._cluster_view.config
        if (
            config is None
            or self._shard.service in config.used_services
            or self._shard.jobs
            or any(map(_is_job, stored))
        ):
            self._unused_since_ms = None
            return False
        now_ms = self._clock.now_ms
        if self._unused_since_ms is None:
            self._unused_since_ms = now_ms
        return now_ms - self._unused_since_ms >= UNUSED_DELAY_MS

    async def retire(self) -> None:
        """Resign, and remove the shard's key unless a job is stored.

        The election cancels the owner as soon as it has resigned, so that this goes on
        in spite of it for a short time.
        """
        with trio.move_on_after(RETIRE_TIMEOUT_S, shield=True):
            await self._resign_and_remove()

    async def _resign_and_remove(self) -> None:
        shard = self._ownership.shard
        closing = await self._write(
            Write(owner_key(shard), expected_revision=self._ownership.revision),
            Write(tenure_key(shard)),
            Write(shard_key(shard), SHARD_CLOSING),
        )
        if closing is None:
            return
        # A shard that stays is claimed again.
        value = SHARD_OPEN if await self._has_stored_jobs() else None
        key = Write(shard_key(shard), value, expected_revision=closing)
        if await self._write(key) is not None and value is None:
            self._log.info("shard_retired")

    async def _write(self, *writes: Write) -> int | None:
        """Write and update the view; return the revision, None if it failed."""
        outcome = await self._store.write(writes)
        if not isinstance(outcome, Stored):
            self._log.warning("shard_not_retired", outcome=repr(outcome)[:200])
            return None
        for write in writes:
            self._cluster_view.apply(Item(write.key, write.value, outcome.revision))
        return outcome.revision

    async def _has_stored_jobs(self) -> bool:
        try:
            snapshot = await self._store.read_prefix(jobs_prefix(self._shard.service))
        except StoreError as error:
            self._log.warning("shard_not_retired", reason=str(error))
            return True
        return any(_is_job(item.key) for item in snapshot.items)


def _is_job(key: str) -> bool:
    """Return whether a key below the jobs of a service is that of a job."""
    return key.count("/") == 2
