"""Key-value state with revisions, leases and a bounded history."""

import heapq
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

import trio

from standins.serving import now_ms

__all__ = ["Change", "KeyValues", "Record", "in_range"]

MAX_HISTORY = 10_000


@dataclass(frozen=True, slots=True)
class Record:
    """A stored key."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one key; `deleted` records have an empty value."""

    record: Record
    deleted: bool


@dataclass(slots=True)
class _Lease:
    ttl_s: int
    expires_ms: int
    keys: set[bytes] = field(default_factory=set)


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Tell whether a key is in an etcd range (empty `end`: one key)."""
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


class KeyValues:
    """State of the key-value store.

    Parameters
    ----------
    max_history : int
        Most changes kept for watches that start in the past.
    """

    def __init__(self, max_history: int = MAX_HISTORY) -> None:
        self.revision = 1
        self.changed = trio.Event()
        self._records: dict[bytes, Record] = {}
        self._sorted_keys: list[bytes] = []
        self._leases: dict[int, _Lease] = {}
        # One entry for each lease: no later than its expiry, then its id.
        self._expiries: list[tuple[int, int]] = []
        self._n_leases = 0
        self._max_history = max_history
        self._history: deque[Change] = deque()
        # First revision that a watch can start from.
        self.compact_revision = 1

    def wake(self) -> None:
        """Wake all watches."""
        self.changed.set()
        self.changed = trio.Event()

    def range(
        self, start: bytes, end: bytes, limit: int = 0
    ) -> tuple[list[Record], int]:
        """Return records of a range, sorted by key, and their total number."""
        self.lapse()
        if not end:
            found = [self._records[start]] if start in self._records else []
        else:
            keys = self._sorted_keys
            last = len(keys) if end == b"\0" else bisect_left(keys, end)
            found = [self._records[k] for k in keys[bisect_left(keys, start) : last]]
        return (found[:limit] if limit else found), len(found)

    def mod_revision(self, key: bytes) -> int:
        """Revision of a key, 0 when it is absent."""
        self.lapse()
        record = self._records.get(key)
        return record.mod_revision if record else 0

    def has_lease(self, lease_id: int) -> bool:
        """Tell whether a lease is valid."""
        self.lapse()
        return lease_id in self._leases

    def put(self, key: bytes, value: bytes, lease_id: int = 0) -> None:
        """Write a key."""
        old = self._records.get(key)
        if old is None:
            insort(self._sorted_keys, key)
        else:
            self._detach(old)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self.revision += 1
        record = Record(
            key,
            value,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease_id,
        )
        self._records[key] = record
        self._note(Change(record, False))
        self.wake()

    def delete(self, start: bytes, end: bytes) -> int:
        """Delete a range; all its keys share one revision."""
        found, _ = self.range(start, end)
        if not found:
            return 0
        self.revision += 1
        for record in found:
            self._detach(record)
            del self._records[record.key]
            del self._sorted_keys[bisect_left(self._sorted_keys, record.key)]
            gone = Record(record.key, b"", 0, self.revision, 0)
            self._note(Change(gone, True))
        self.wake()
        return len(found)

    def _note(self, change: Change) -> None:
        self._history.append(change)
        if len(self._history) > self._max_history:
            dropped = self._history.popleft()
            self.compact_revision = dropped.record.mod_revision + 1

    def changes_from(self, revision: int) -> list[Change]:
        """Return changes at or after a revision, oldest first."""
        self.lapse()
        found: list[Change] = []
        for change in reversed(self._history):
            if change.record.mod_revision < revision:
                break
            found.append(change)
        return found[::-1]

    def grant(self, ttl_s: int) -> int:
        """Grant a lease and return its id."""
        self._n_leases += 1
        expires_ms = now_ms() + ttl_s * 1000
        self._leases[self._n_leases] = _Lease(ttl_s, expires_ms)
        heapq.heappush(self._expiries, (expires_ms, self._n_leases))
        return self._n_leases

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; 0 when it does not exist."""
        self.lapse()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_ms = now_ms() + lease.ttl_s * 1000
        return lease.ttl_s

    def revoke(self, lease_id: int) -> bool:
        """Remove a lease and its keys; False when it does not exist."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in sorted(lease.keys):
            self.delete(key, b"")
        return True

    def lapse(self) -> None:
        """Remove leases whose time is over."""
        now = now_ms()
        while self._expiries and self._expiries[0][0] <= now:
            _, lease_id = heapq.heappop(self._expiries)
            lease = self._leases.get(lease_id)
            if lease is None:
                continue
            if lease.expires_ms > now:
                heapq.heappush(self._expiries, (lease.expires_ms, lease_id))
            else:
                self.revoke(lease_id)

    def _detach(self, record: Record) -> None:
        lease = self._leases.get(record.lease_id)
        if lease is not None:
            lease.keys.discard(record.key)
