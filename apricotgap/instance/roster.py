"""Stored list (roster) of the workers that may run tasks of a shard."""

from collections.abc import Iterable

import cbor2
import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.decoding import decode_cbor
from apricotgap.instance.keys import roster_key
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.model import Resources
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker
from apricotgap.platform.store import (
    Conflict,
    Item,
    Snapshot,
    StoreClient,
    Stored,
    StoreError,
    Unknown,
    Write,
)

__all__ = ["RosterWriter"]

# Id of a worker and start of its incarnation.
Incarnation = tuple[str, int]

_INTERVAL_S = 0.05
_RETRY_S = 0.15


class RosterWriter:
    """Stores each worker before a task starts on it.

    Each write is conditional on the last known revision of the roster, so that a write
    with an unknown outcome that takes effect late cannot drop a worker added since.

    Parameters
    ----------
    shard, ownership, store, clock
        Dependencies.
    """

    def __init__(
        self, shard: Shard, ownership: Ownership, store: StoreClient, clock: Clock
    ) -> None:
        self._shard = shard
        self._ownership = ownership
        self._store = store
        self._clock = clock
        self._key = roster_key(ownership.shard)
        self._revision = 0
        self._settled_key = f"{self._key}/settled"
        self._recorded: set[str] = set()
        self._recorded_settled: set[Incarnation] = set()
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    def load(self, snapshot: Snapshot, at_ms: int) -> None:
        """Add the workers that the previous owner stored to the shard."""
        settled: set[Incarnation] = set()
        for item in snapshot.items:
            if item.key == self._settled_key:
                settled = self._decode_settled(item)
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
                is_settled = (entry.worker_id, entry.born_ms) in settled
                self._shard.add_inherited_worker(entry, at_ms, is_settled)
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
            settled = self._settled(workers.values())
            is_recorded = (
                workers.keys() == self._recorded and settled == self._recorded_settled
            )
            if not has_unrecorded and is_recorded:
                continue
            if self._store.is_down or not await self._write(workers):
                await trio.sleep(_RETRY_S)

    async def _write(self, workers: dict[str, Worker]) -> bool:
        rows = [_encode_worker(worker) for worker in workers.values()]
        settled = self._settled(workers.values())
        outcome = await self._store.write(
            (
                self._ownership.condition,
                Write(self._key, cbor2.dumps(rows), expected_revision=self._revision),
                Write(self._settled_key, cbor2.dumps(sorted(map(list, settled)))),
            )
        )
        if isinstance(outcome, Stored):
            self._revision = outcome.revision
            self._recorded = set(workers)
            self._recorded_settled = settled
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

    def _settled(self, workers: Iterable[Worker]) -> set[Incarnation]:
        now_ms = self._clock.now_ms
        return {
            (worker.worker_id, worker.entry.born_ms)
            for worker in workers
            if worker.is_settled(now_ms)
        }

    def _decode_settled(self, item: Item) -> set[Incarnation]:
        try:
            rows = decode_cbor(item.value or b"")
            return {(str(worker_id), int(born_ms)) for worker_id, born_ms in rows}
        except (ValueError, TypeError) as error:
            self._log.error("settled_workers_unreadable", error=str(error))
            return set()

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
