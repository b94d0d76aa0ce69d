"""List of the workers that the platform registers in the store."""

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.mirror import PrefixMirror
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.platform.keys import WORKERS_PREFIX
from apricotgap.platform.store import Item, StoreClient
from apricotgap.platform.wire import WireError, decode_worker

__all__ = ["WorkerList"]

# Bounds how far the list lags behind: a draining worker must get no new work after a
# few seconds.
WATCH_WAIT_MS = 2_000
WATCH_PAUSE_MS = 200


class WorkerList:
    """Decoded copy of the workers' store entries.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    clock : Clock
        Measures the age of the copy.
    """

    def __init__(self, store: StoreClient, clock: Clock) -> None:
        self._mirror = PrefixMirror(
            store, WORKERS_PREFIX, clock, self._changed, WATCH_WAIT_MS, WATCH_PAUSE_MS
        )
        self._entries: dict[str, WorkerEntry] = {}
        self._version = 0
        self._seen_versions: dict[str, int] = {}
        self._has_readers = trio.Event()
        self._unreadable: set[str] = set()
        self._log = structlog.get_logger()

    @property
    def loaded(self) -> trio.Event:
        """Event that is set once the entries were read."""
        return self._mirror.loaded

    @property
    def fresh_as_of_ms(self) -> int | None:
        """Time of which the entries show the state, None before the first read."""
        return self._mirror.fresh_as_of_ms

    async def run(self) -> None:
        """Watch the entries until cancelled, from the first `add_reader` on."""
        await self._has_readers.wait()
        await self._mirror.run()

    def entries(self) -> tuple[WorkerEntry, ...]:
        """Return all readable entries."""
        return tuple(self._entries.values())

    def has_changed_for(self, reader: str) -> bool:
        """Return whether entries changed since this reader's last call."""
        if self._seen_versions.get(reader) == self._version:
            return False
        self._seen_versions[reader] = self._version
        return True

    def add_reader(self, reader: str) -> None:
        """Start the watch and report the entries to this reader as changed."""
        self._has_readers.set()
        self._seen_versions.pop(reader, None)

    def _changed(self, items: tuple[Item, ...]) -> None:
        self._version += 1
        for item in items:
            worker_id = item.key[len(WORKERS_PREFIX) :]
            if item.value is None:
                self._entries.pop(worker_id, None)
                self._unreadable.discard(worker_id)
                continue
            try:
                self._entries[worker_id] = decode_worker(worker_id, item.value)
                self._unreadable.discard(worker_id)
            except WireError as error:
                self._entries.pop(worker_id, None)
                if worker_id not in self._unreadable:
                    self._unreadable.add(worker_id)
                    self._log.warning(
                        "worker_entry_unusable", worker=worker_id, error=str(error)
                    )
