"""Stores the progress of a shard's jobs, many per transaction."""

from collections.abc import Iterable

import structlog
import trio

from apricotgap.instance.keys import progress_key
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.shard_jobs import SaveBatch
from apricotgap.platform.store import (
    MAX_TXN_ENTRIES,
    Conflict,
    Item,
    StoreClient,
    Stored,
    StoreError,
    Unknown,
    Write,
)

__all__ = ["ProgressWriter"]

# Longest time until ended runs are written to the store. Their workers get no
# acknowledgement before that.
MAX_SAVE_DELAY_S = 0.15
# Progress that a caller or the start of a job waits for is stored after this delay,
# which lets some of it share a transaction.
URGENT_SAVE_DELAY_S = 0.01
_RETRY_S = 0.15
# Largest number of concurrent transactions of one save.
MAX_PARALLEL_WRITES = 6

Documents = tuple[tuple[str, bytes, int], ...]


class ProgressWriter:
    """Writes changed progress and tells the shard what is stored.

    Each write is conditional on the last known revision of its document, so that a
    write with an unknown outcome that takes effect late cannot undo a later one.

    Parameters
    ----------
    shard, ownership, store
        Dependencies.
    """

    def __init__(self, shard: Shard, ownership: Ownership, store: StoreClient) -> None:
        self._shard = shard
        self._ownership = ownership
        self._store = store
        self._dirty = trio.Event()
        self.saved = trio.Event()
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    def wake(self) -> None:
        """Request that changed progress is stored soon."""
        self._dirty.set()

    async def run(self) -> None:
        """Store changed progress until cancelled.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        while True:
            await self._dirty.wait()
            self._dirty = trio.Event()
            if not self._shard.has_unsaved:
                continue
            if self._shard.has_urgent_unsaved:
                await trio.sleep(URGENT_SAVE_DELAY_S)
            else:
                with trio.move_on_after(MAX_SAVE_DELAY_S):
                    while not self._shard.has_urgent_unsaved:
                        await self._dirty.wait()
                        self._dirty = trio.Event()
            batch = self._shard.begin_save()
            if not await self._save(batch):
                self._dirty.set()
                await trio.sleep(_RETRY_S)

    async def _save(self, batch: SaveBatch) -> bool:
        revisions: dict[str, int] = {}
        # Each document takes two entries, its condition and its value. The condition on
        # the owner key takes one.
        max_documents = (MAX_TXN_ENTRIES - 1) // 2
        limiter = trio.CapacityLimiter(MAX_PARALLEL_WRITES)

        async def write_chunk(chunk: Documents) -> None:
            async with limiter:
                revisions.update(await self._write_chunk(chunk))

        async with trio.open_nursery() as nursery:
            for start in range(0, len(batch.documents), max_documents):
                nursery.start_soon(
                    write_chunk, batch.documents[start : start + max_documents]
                )
        missing = [job for job, *_ in batch.documents if job not in revisions]
        self._shard.save_failed(missing)
        self._shard.saved(batch, revisions)
        self.saved.set()
        self.saved = trio.Event()
        return not missing

    async def _write_chunk(self, chunk: Documents) -> dict[str, int]:
        """Write documents in one transaction; return the stored revisions by job id."""
        outcome = await self._store.write(
            (
                self._ownership.condition,
                *(
                    Write(
                        progress_key(self._shard.service, job_id),
                        data,
                        expected_revision=revision,
                    )
                    for job_id, data, revision in chunk
                ),
            )
        )
        if isinstance(outcome, Stored):
            return {job_id: outcome.revision for job_id, *_ in chunk}
        self._log.warning("progress_not_stored", outcome=repr(outcome)[:200])
        if isinstance(outcome, Conflict):
            self._ownership.check(outcome)
            self._adopt_revisions(outcome.items)
        elif isinstance(outcome, Unknown):
            await self._reread(job_id for job_id, *_ in chunk)
        return {}

    async def _reread(self, job_ids: Iterable[str]) -> None:
        """Read the revisions of documents after a write with an unknown outcome."""
        for job_id in job_ids:
            key = progress_key(self._shard.service, job_id)
            try:
                item = await self._store.read_key(key)
            except StoreError as error:
                self._log.warning("reread_failed", job=job_id, reason=str(error))
                return
            self._adopt_revisions((item,))

    def _adopt_revisions(self, items: Iterable[Item]) -> None:
        for item in items:
            job = self._shard.jobs.get(item.key.rpartition("/")[2])
            if job is not None and item.key.startswith("progress/"):
                job.revision = item.revision
