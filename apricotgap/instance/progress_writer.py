"""Stores the progress of a shard's jobs, many per transaction."""

from collections.abc import Iterable, Iterator

import structlog
import trio

from apricotgap.instance.keys import progress_key
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.shard_jobs import SaveBatch
from apricotgap.platform.store import (
    MAX_TXN_ENTRIES,
    Conflict,
    Item,
    Rejected,
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
# A document that the store rejects by itself is written again after this time.
REJECTED_RETRY_S = 5.0
# Largest number of concurrent transactions of one save.
MAX_PARALLEL_WRITES = 6
# Each document takes two entries of a transaction, its condition and its value. The
# condition on the owner key takes one.
_MAX_DOCUMENTS = (MAX_TXN_ENTRIES - 1) // 2
# Bytes of the documents of a transaction that has more than one. A transaction that
# times out on a slow link is sent again as a whole.
MAX_TXN_BYTES = 16_384

Documents = tuple[tuple[str, bytes, int], ...]


class ProgressWriter:
    """Writes changed progress and tells the shard what is stored.

    Each write is conditional on the last known revision of its document, so that a
    write with an unknown outcome that takes effect late cannot undo a later one.

    A document that fails must not hold up the others. After a conflict or a rejection
    the documents that may be the cause are written in transactions of their own. One
    that is rejected even so is set aside: ends are acknowledged without it, since their
    workers would otherwise list more and more of them.

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
        self._has_ended = False
        self.saved = trio.Event()
        # Jobs whose documents are written in transactions of their own.
        self._isolated: set[str] = set()
        # Jobs whose documents the store rejects, and when to write them again.
        self._retry_s: dict[str, float] = {}
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
        try:
            await self._run()
        finally:
            self._has_ended = True
            self.saved.set()

    async def wait_for_phase(self, job: JobState) -> None:
        """Wait until the phase of a job is stored.

        Raises
        ------
        OwnershipLostError
            The owner has ended and stores nothing more.
        """
        while job.saved_phase is not job.progress.phase:
            if self._has_ended:
                raise OwnershipLostError("the owner of the shard has ended")
            await self.saved.wait()

    async def _run(self) -> None:
        while True:
            await self._wait_for_changes()
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

    async def _wait_for_changes(self) -> None:
        """Wait until progress has changed or a rejected document is due again."""
        retry_s = min(self._retry_s.values(), default=float("inf"))
        with trio.move_on_at(retry_s):
            await self._dirty.wait()
        self._dirty = trio.Event()
        now_s = trio.current_time()
        due = [job_id for job_id, at_s in self._retry_s.items() if at_s <= now_s]
        for job_id in due:
            del self._retry_s[job_id]
        self._shard.save_failed(due)

    async def _save(self, batch: SaveBatch) -> bool:
        revisions: dict[str, int] = {}
        limiter = trio.CapacityLimiter(MAX_PARALLEL_WRITES)

        async def write_chunk(chunk: Documents) -> None:
            async with limiter:
                revisions.update(await self._write_chunk(chunk))

        async with trio.open_nursery() as nursery:
            for chunk in self._chunks(batch.documents):
                nursery.start_soon(write_chunk, chunk)
        unsaved = [job for job, *_ in batch.documents if job not in revisions]
        missing = [job for job in unsaved if job not in self._retry_s]
        self._shard.save_failed(missing)
        self._shard.saved(batch, revisions, is_complete=not missing)
        self.saved.set()
        self.saved = trio.Event()
        return not missing

    def _chunks(self, documents: Documents) -> Iterator[Documents]:
        """Yield the documents of each transaction, without those set aside."""
        due = [row for row in documents if row[0] not in self._retry_s]
        shared = tuple(row for row in due if row[0] not in self._isolated)
        yield from _split(shared)
        for row in due:
            if row[0] in self._isolated:
                yield (row,)

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
        job_ids = [job_id for job_id, *_ in chunk]
        if isinstance(outcome, Stored):
            self._isolated.difference_update(job_ids)
            return dict.fromkeys(job_ids, outcome.revision)
        self._log.warning(
            "progress_not_stored", n_jobs=len(chunk), outcome=repr(outcome)[:200]
        )
        if isinstance(outcome, Conflict):
            self._ownership.check(outcome)
            await self._resolve_conflict(chunk, outcome)
        elif isinstance(outcome, Unknown):
            await self._reread(job_ids)
        elif isinstance(outcome, Rejected):
            self._isolated.update(job_ids)
            if len(job_ids) == 1:
                self._set_aside(job_ids[0], outcome)
        return {}

    async def _resolve_conflict(self, chunk: Documents, conflict: Conflict) -> None:
        """Adopt the revisions of a conflict; documents that differ are read again.

        A conflict shows no key that does not exist, and not which condition failed.
        """
        revisions = {
            job_id: conflict.revision_of(progress_key(self._shard.service, job_id))
            for job_id, *_ in chunk
        }
        changed = [
            job_id for job_id, _, revision in chunk if revisions[job_id] != revision
        ]
        suspects = changed or list(revisions)
        self._isolated.update(suspects)
        await self._reread(suspects)

    def _set_aside(self, job_id: str, outcome: Rejected) -> None:
        self._retry_s[job_id] = trio.current_time() + REJECTED_RETRY_S
        self._log.error("progress_rejected", job=job_id, reason=outcome.reason)

    async def _reread(self, job_ids: Iterable[str]) -> None:
        """Read the revisions of documents, 0 for one that does not exist."""
        for job_id in job_ids:
            key = progress_key(self._shard.service, job_id)
            try:
                item = await self._store.read_key(key)
            except StoreError as error:
                self._log.warning("reread_failed", job=job_id, reason=str(error))
                return
            self._adopt_revision(job_id, item)

    def _adopt_revision(self, job_id: str, item: Item) -> None:
        job = self._shard.jobs.get(job_id)
        if job is not None:
            job.revision = item.revision if item.value is not None else 0


def _split(documents: Documents) -> Iterator[Documents]:
    """Yield documents in groups, each of which fits into a transaction."""
    group: list[tuple[str, bytes, int]] = []
    n_bytes = 0
    for row in documents:
        size = len(row[1])
        if group and (len(group) == _MAX_DOCUMENTS or n_bytes + size > MAX_TXN_BYTES):
            yield tuple(group)
            group, n_bytes = [], 0
        group.append(row)
        n_bytes += size
    if group:
        yield tuple(group)
