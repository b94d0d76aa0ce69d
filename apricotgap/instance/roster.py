"""Stored list (roster) of the workers that may run tasks of a shard."""

import cbor2
import structlog
import trio

from apricotgap.decoding import decode_cbor
from apricotgap.instance.keys import roster_key
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.model import Resources
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker
from apricotgap.platform.store import (
    Conflict,
    Snapshot,
    StoreClient,
    Stored,
    StoreError,
    Unknown,
    Write,
)

__all__ = ["RosterWriter"]

_INTERVAL_S = 0.05
_RETRY_S = 0.15


class RosterWriter:
    """Stores each worker before a task starts on it.

    Each write is conditional on the last known revision of the roster, so that a write
    with an unknown outcome that takes effect late cannot drop a worker added since.

    Parameters
    ----------
    shard, ownership, store
        Dependencies.
    """

    def __init__(self, shard: Shard, ownership: Ownership, store: StoreClient) -> None:
        self._shard = shard
        self._ownership = ownership
        self._store = store
        self._key = roster_key(ownership.shard)
        self._revision = 0
        self._recorded: set[str] = set()
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    def load(self, snapshot: Snapshot, at_ms: int) -> None:
        """Add the workers that the previous owner stored to the shard."""
        for item in snapshot.items:
            if item.key != self._key or item.value is None:
                continue
            self._revision = item.revision
            try:
                rows = decode_cbor(item.value)
                entries = [_decode_entry(self._shard.service, row) for row in rows]
            except (ValueError, TypeError) as error:
                self._log.error("roster_unreadable", error=str(error))
                continue
            for entry in entries:
                self._shard.add_inherited_worker(entry, at_ms)
                self._shard.workers[entry.worker_id].is_recorded = True
                self._recorded.add(entry.worker_id)

    async def run(self) -> None:
        """Keep the roster up to date until cancelled.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        while True:
            await trio.sleep(_INTERVAL_S)
            workers = dict(self._shard.workers)
            has_unrecorded = any(not worker.is_recorded for worker in workers.values())
            if not has_unrecorded and workers.keys() == self._recorded:
                continue
            if self._store.is_down or not await self._write(workers):
                await trio.sleep(_RETRY_S)

    async def _write(self, workers: dict[str, Worker]) -> bool:
        rows = [_encode_worker(worker) for worker in workers.values()]
        write = Write(self._key, cbor2.dumps(rows), expected_revision=self._revision)
        outcome = await self._store.write((self._ownership.condition, write))
        if isinstance(outcome, Stored):
            self._revision = outcome.revision
            self._recorded = set(workers)
            for worker in workers.values():
                worker.is_recorded = True
            return True
        self._log.warning("roster_not_stored", outcome=repr(outcome)[:200])
        if isinstance(outcome, Conflict):
            self._ownership.check(outcome)
            self._revision = outcome.revision_of(self._key)
        elif isinstance(outcome, Unknown):
            await self._reread()
        return False

    async def _reread(self) -> None:
        try:
            self._revision = (await self._store.read_key(self._key)).revision
        except StoreError as error:
            self._log.warning("roster_not_read", reason=str(error))


def _encode_worker(worker: Worker) -> list:
    entry, total = worker.entry, worker.total
    return [
        entry.worker_id,
        entry.address,
        entry.machine,
        list(entry.labels),
        entry.born_ms,
        [total.cpu, total.memory_mb, total.gpus],
    ]


def _decode_entry(service: str, row: list) -> WorkerEntry:
    worker_id, address, machine, labels, born_ms, total = row
    free = Resources(*total)
    return WorkerEntry(
        worker_id, service, address, "", machine, False, free, tuple(labels), born_ms
    )
