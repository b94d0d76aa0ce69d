"""State of the in-memory store, shared by its clients."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from apricotgap.core.events import KeyValue
from apricotgap.drivers.store_api import Lease, StoreCallError

__all__ = ["MemoryState"]

MAX_HISTORY = 10_000


@dataclass(slots=True)
class _Entry:
    value: bytes
    revision: int
    lease_id: int


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_ms: int
    keys: set[str] = field(default_factory=set)


class MemoryState:
    """Keys, leases and a bounded history of changes.

    Leases expire by the clock of the running trio loop, virtual under ``MockClock``.

    Parameters
    ----------
    max_history : int
        Number of past changes that a watch can start from.
    """

    def __init__(self, max_history: int = MAX_HISTORY) -> None:
        self.revision = 1
        self.changed = trio.Event()
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[int, _Lease] = {}
        self._n_leases = 0
        self._max_history = max_history
        self._history: deque[tuple[int, KeyValue]] = deque()
        self._first_retained_revision = 1
        self._delayed_writes: list[tuple[int, Callable[[], object]]] = []

    @property
    def now_ms(self) -> int:
        """Time of the trio loop in milliseconds."""
        return int(trio.current_time() * 1000)

    def advance(self) -> None:
        """Apply delayed writes and expire leases that are due."""
        now_ms = self.now_ms
        due = [change for at_ms, change in self._delayed_writes if at_ms <= now_ms]
        self._delayed_writes = [
            delayed for delayed in self._delayed_writes if delayed[0] > now_ms
        ]
        for change in due:
            try:
                change()
            except StoreCallError:
                continue  # The lease has expired, so the write has no effect.
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_ms <= now_ms:
                self.revoke(lease_id)

    def schedule_write(self, at_ms: int, change: Callable[[], object]) -> None:
        """Apply a write at the time `at_ms`."""
        self._delayed_writes.append((at_ms, change))

    def item(self, key: str) -> KeyValue:
        """Return the current state of a key."""
        entry = self._entries.get(key)
        return KeyValue(key, entry.value if entry else b"", self.revision_of(key))

    def items(self, prefix: str) -> tuple[KeyValue, ...]:
        """Return all keys below a prefix, sorted."""
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return tuple(self.item(key) for key in keys)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 if it is absent."""
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def changes(self, next_revision: int) -> list[tuple[int, KeyValue]]:
        """Return changes at or after a revision, oldest first.

        Raises
        ------
        StoreCallError
            If the history no longer contains the revision.
        """
        if next_revision < self._first_retained_revision:
            raise StoreCallError(
                f"watch cancelled, compact revision {self._first_retained_revision}"
            )
        return [change for change in self._history if change[0] >= next_revision]

    def put(self, key: str, value: bytes, lease_id: int) -> int:
        """Write a key and return its revision."""
        if lease_id and lease_id not in self._leases:
            raise StoreCallError(f"lease {lease_id} does not exist")
        self._detach(key)
        self.revision += 1
        self._entries[key] = _Entry(value, self.revision, lease_id)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._record(KeyValue(key, value, self.revision))
        return self.revision

    def remove(self, key: str) -> int:
        """Delete a key and return the revision of the store."""
        if key in self._entries:
            self._detach(key)
            del self._entries[key]
            self.revision += 1
            self._record(KeyValue(key, b"", 0))
        return self.revision

    def grant(self, ttl_ms: int) -> Lease:
        """Grant a lease."""
        self._n_leases += 1
        self._leases[self._n_leases] = _Lease(ttl_ms, self.now_ms + ttl_ms)
        return Lease(self._n_leases, ttl_ms)

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease and return its time to live, 0 if it does not exist."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_ms = self.now_ms + lease.ttl_ms
        return lease.ttl_ms

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        lease = self._leases.pop(lease_id, None)
        for key in sorted(lease.keys) if lease else ():
            self.remove(key)

    def _detach(self, key: str) -> None:
        entry = self._entries.get(key)
        lease = self._leases.get(entry.lease_id) if entry else None
        if lease is not None:
            lease.keys.discard(key)

    def _record(self, item: KeyValue) -> None:
        self._history.append((self.revision, item))
        if len(self._history) > self._max_history:
            self._first_retained_revision = self._history.popleft()[0] + 1
        self.changed.set()
        self.changed = trio.Event()
