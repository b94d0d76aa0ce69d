"""The workers that the platform lists."""

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.platform.keys import WORKERS_PREFIX
from apricotgap.platform.store import Item, StoreClient
from apricotgap.platform.wire import WireError, decode_worker

__all__ = ["WorkerList"]

# A leaving worker must get no new work within seconds, so the list may lag by this.
WATCH_WAIT_MS = 2_000
WATCH_PAUSE_MS = 200


class WorkerList:
    """Mirror of the workers' entries.

    Parameters
    ----------
    store : StoreClient
        The store.
    clock : Clock
        Time of freshness.
    """

    def __init__(self, store: StoreClient, clock: Clock) -> None:
        self._mirror = PrefixMirror(
            store, WORKERS_PREFIX, clock, self._changed, WATCH_WAIT_MS, WATCH_PAUSE_MS
        )
        self._entries: dict[str, WorkerEntry] = {}
        self._version = 0
        self._seen: dict[str, int] = {}
        self._wanted = trio.Event()
        self._unreadable: set[str] = set()
        self._log = structlog.get_logger()

    @property
    def loaded(self) -> trio.Event:
        """Set once the entries were read."""
        return self._mirror.loaded

    async def run(self) -> None:
        """Follow the entries, once a shard needs them, until cancelled."""
        await self._wanted.wait()
        await self._mirror.run()

    def entries(self) -> tuple[WorkerEntry, ...]:
        """All usable entries."""
        return tuple(self._entries.values())

    def changed_since(self, reader: str) -> bool:
        """Whether entries changed since the same reader asked last."""
        if self._seen.get(reader) == self._version:
            return False
        self._seen[reader] = self._version
        return True

    def add_reader(self, reader: str) -> None:
        """Follow the entries and answer the reader's first question with yes."""
        self._wanted.set()
        self._seen.pop(reader, None)

    def _changed(self, items: tuple[Item, ...]) -> None:
        self._version += 1
        for item in items:
            worker_id = item.key[len(WORKERS_PREFIX) :]
            if item.value is None:
                self._entries.pop(worker_id, None)
                continue
            try:
                self._entries[worker_id] = decode_worker(worker_id, item.value)
            except WireError as error:
                self._entries.pop(worker_id, None)
                if worker_id not in self._unreadable:
                    self._unreadable.add(worker_id)
                    self._log.warning(
                        "worker_entry_unusable", worker=worker_id, error=str(error)
                    )
