"""Removal of jobs that ended longer ago than their state has to be kept."""

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.keys import cancel_key, index_key, job_key, progress_key
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.limits import RETENTION_MARGIN_MS
from apricotgap.jobs.shard import Shard
from apricotgap.platform.store import Item, StoreClient, Stored, Write

__all__ = ["JobCleanup"]

CLEANUP_INTERVAL_S = 5.0


class JobCleanup:
    """Removes expired jobs from the store and the shard.

    Parameters
    ----------
    shard, ownership, store, clock
        Dependencies.
    retention_ms : int
        How long the state of an ended job is kept.
    """

    def __init__(
        self,
        shard: Shard,
        ownership: Ownership,
        store: StoreClient,
        clock: Clock,
        retention_ms: int,
    ) -> None:
        self._shard = shard
        self._ownership = ownership
        self._store = store
        self._clock = clock
        self._retention_ms = retention_ms
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    async def run(self, stored: PrefixMirror) -> None:
        """Remove expired jobs until cancelled.

        Parameters
        ----------
        stored : PrefixMirror
            Copy of the keys of the service's jobs.
        """
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            unix_ms = self._shard.unix_of(self._clock.now_ms)
            keep_ms = self._retention_ms + RETENTION_MARGIN_MS
            expired = [
                job_id
                for job_id, job in self._shard.jobs.items()
                if job.is_final
                and job.saved_phase is job.progress.phase
                and not job.runs
                and unix_ms - job.progress.finished_ms > keep_ms
            ]
            for job_id in expired:
                await self._remove(job_id, stored)

    async def _remove(self, job_id: str, stored: PrefixMirror) -> None:
        key = job_key(self._shard.service, job_id)
        keys = (
            key,
            progress_key(self._shard.service, job_id),
            cancel_key(self._shard.service, job_id),
            index_key(job_id),
        )
        outcome = await self._store.write(
            (self._ownership.condition, *map(Write, keys))
        )
        if isinstance(outcome, Stored):
            self._shard.forget(job_id)
            # A read under way may still show the job, which would then run again.
            stored.adopt(Item(key, None, outcome.revision))
            self._log.info("job_removed", job=job_id)
            return
        self._log.warning("job_not_removed", job=job_id, outcome=repr(outcome))
