"""Stored list (roster) of the workers that may run tasks of a shard."""

from collections.abc import Iterable
from typing import Any

import cbor2
import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.decoding import (
    Count,
    DecodeError,
    Integer,
    convert,
    decode_cbor,
)
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
from apricotgap.platform.wire import is_address

__all__ = ["RosterWriter", "decode_roster", "decode_settled"]

# Id of a worker and start of its incarnation.
Incarnation = tuple[str, int]
# Id, address, machine, labels, start of the incarnation and capacity of a worker.
_WorkerRow = tuple[str, str, str, tuple[str, ...], Integer, tuple[Count, Count, Count]]

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
            for entry in self._decode_entries(item.value):
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

    def _decode_entries(self, value: bytes) -> list[WorkerEntry]:
        try:
            entries, unreadable = decode_roster(self._shard.service, value)
        except DecodeError as error:
            self._log.error("roster_unreadable", error=str(error))
            return []
        if unreadable:
            self._log.error(
                "roster_rows_unreadable", n=len(unreadable), error=str(unreadable[0])
            )
        return entries

    def _decode_settled(self, item: Item) -> set[Incarnation]:
        try:
            return decode_settled(item.value or b"")
        except DecodeError as error:
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


def decode_roster(
    service: str, data: bytes
) -> tuple[list[WorkerEntry], list[DecodeError]]:
    """Decode a roster.

    Returns
    -------
    entries : list of WorkerEntry
        The workers in the readable rows.
    unreadable : list of DecodeError
        Why the other rows are unreadable.

    Raises
    ------
    DecodeError
        The data is not a roster.
    """
    entries = []
    unreadable = []
    for row in decode_cbor(data, list[Any]):
        try:
            entries.append(_decode_entry(service, row))
        except DecodeError as error:
            unreadable.append(error)
    return entries, unreadable


def _decode_entry(service: str, row: Any) -> WorkerEntry:
    worker_id, address, machine, labels, born_ms, total = convert(row, _WorkerRow)
    if not is_address(address):
        raise DecodeError("malformed address of a worker")
    free = Resources(*total)
    return WorkerEntry(
        worker_id, service, address, "", machine, False, free, labels, born_ms
    )


def decode_settled(data: bytes) -> set[Incarnation]:
    """Decode the workers on which no run of an earlier owner is left.

    Raises
    ------
    DecodeError
        The data is malformed.
    """
    return set(decode_cbor(data, list[tuple[str, Integer]]))
