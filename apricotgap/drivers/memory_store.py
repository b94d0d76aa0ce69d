"""In-memory store with switchable faults for tests in virtual time."""

import math
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, field

import trio

from apricotgap.core.events import CasResult, KeyValue
from apricotgap.drivers.store_api import (
    MAX_VALUE_BYTES,
    CasAnswer,
    Lease,
    Snapshot,
    Store,
    StoreCallError,
)

__all__ = ["MemoryFaults", "MemoryStore"]

CALL_TIMEOUT_MS = 1_000
MAX_HISTORY = 10_000


@dataclass(slots=True)
class MemoryFaults:
    """Faults of a memory store; change the attributes to switch them.

    Parameters
    ----------
    down : bool
        Calls fail without effect and watches break.
    n_lost_answers : int
        The next writes take effect, but their answers are lost.
    n_late_effects : int
        The next writes take effect `late_ms` after their call timed out.
    late_ms : int
        Delay of late effects.
    slow_ms : int
        Delay of each call; a call slower than the timeout loses its answer.
    silent_watches : bool
        Watches stay open and deliver nothing.
    """

    down: bool = False
    n_lost_answers: int = 0
    n_late_effects: int = 0
    late_ms: int = 500
    slow_ms: int = 0
    silent_watches: bool = False


@dataclass(slots=True)
class _Entry:
    value: bytes
    revision: int
    lease_id: int = 0


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_ms: int
    keys: set[str] = field(default_factory=set)


class MemoryStore(Store):
    """Store kept in memory; share one object among clients.

    Time is that of the running trio loop, so it is virtual under ``MockClock``.

    Parameters
    ----------
    timeout_ms : int
        Longest time for a call.
    max_history : int
        Most changes that a watch can start back from.
    """

    def __init__(
        self, timeout_ms: int = CALL_TIMEOUT_MS, max_history: int = MAX_HISTORY
    ) -> None:
        self.faults = MemoryFaults()
        self._timeout_ms = timeout_ms
        self._revision = 1
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._max_history = max_history
        self._history: deque[tuple[int, KeyValue]] = deque()
        self._first_kept = 1
        self._changed = trio.Event()
        self._late: list[tuple[int, Callable[[], object]]] = []

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    async def read_key(self, key: str) -> Snapshot:
        """Read one key."""
        await self._reach()
        entry = self._entries.get(key)
        item = KeyValue(key, b"", 0)
        if entry is not None:
            item = KeyValue(key, entry.value, entry.revision)
        return Snapshot((item,), self._revision)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys below `prefix`."""
        await self._reach()
        items = tuple(
            KeyValue(key, entry.value, entry.revision)
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix)
        )
        return Snapshot(items, self._revision)

    async def cas(
        self, key: str, expected_revision: int, value: bytes, lease_id: int = 0
    ) -> CasAnswer:
        """Write a key if its revision is `expected_revision`."""
        if len(value) > MAX_VALUE_BYTES:
            raise StoreCallError(f"value of {key} is above {MAX_VALUE_BYTES} bytes")

        def put() -> CasAnswer:
            if self._revision_of(key) != expected_revision:
                return CasAnswer(CasResult.CONFLICT)
            if lease_id and lease_id not in self._leases:
                raise StoreCallError(f"lease {lease_id} does not exist")
            return CasAnswer(CasResult.STORED, self._set(key, value, lease_id))

        return await self._write(put)

    async def delete(self, key: str, expected_revision: int) -> CasAnswer:
        """Delete a key if its revision is `expected_revision`."""

        def remove() -> CasAnswer:
            if self._revision_of(key) != expected_revision:
                return CasAnswer(CasResult.CONFLICT)
            self._remove(key)
            return CasAnswer(CasResult.STORED, self._revision)

        return await self._write(remove)

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Ask for a lease."""
        await self._reach()
        lease_id, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease_id] = _Lease(ttl_ms, _now_ms() + ttl_ms)
        return Lease(lease_id, ttl_ms)

    async def keep_alive(self, lease_id: int) -> int:
        """Renew a lease."""
        await self._reach()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_ms = _now_ms() + lease.ttl_ms
        return lease.ttl_ms

    async def revoke(self, lease_id: int) -> None:
        """Give a lease back."""
        await self._reach()
        self._drop_lease(lease_id)

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int = 0
    ) -> AsyncIterator[AsyncIterator[tuple[KeyValue, ...]]]:
        """Watch all keys below `prefix`."""
        await self._reach()
        start = from_revision or self._revision + 1
        async with aclosing(self._changes(prefix, start)) as changes:
            yield changes

    async def _changes(
        self, prefix: str, next_revision: int
    ) -> AsyncGenerator[tuple[KeyValue, ...], None]:
        while True:
            if self.faults.down:
                raise StoreCallError("watch broke: the store is down")
            self._advance()
            if next_revision < self._first_kept:
                raise StoreCallError(
                    f"watch cancelled, compact revision {self._first_kept}"
                )
            news = [(r, i) for r, i in self._history if r >= next_revision]
            items = tuple(item for _, item in news if item.key.startswith(prefix))
            if news:
                next_revision = news[-1][0] + 1
            if items and not self.faults.silent_watches:
                yield items
                continue
            # Wakes for lapsed leases, late effects and switched faults.
            with trio.move_on_after(0.1):
                await self._changed.wait()

    async def _reach(self) -> None:
        await trio.lowlevel.checkpoint()
        slow_ms = self.faults.slow_ms
        if slow_ms:
            await trio.sleep(min(slow_ms, self._timeout_ms) / 1000)
        if self.faults.down:
            raise StoreCallError("the store is down")
        if slow_ms >= self._timeout_ms:
            raise StoreCallError("timed out")
        self._advance()

    async def _write(self, change: Callable[[], CasAnswer]) -> CasAnswer:
        faults = self.faults
        if not faults.down and faults.n_late_effects > 0:
            faults.n_late_effects -= 1
            due_ms = _now_ms() + self._timeout_ms + faults.late_ms
            self._late.append((due_ms, change))
            await trio.sleep(self._timeout_ms / 1000)
            return CasAnswer(CasResult.UNKNOWN)
        if not faults.down and faults.slow_ms >= self._timeout_ms:
            self._late.append((_now_ms() + faults.slow_ms, change))
            await trio.sleep(self._timeout_ms / 1000)
            return CasAnswer(CasResult.UNKNOWN)
        await self._reach()
        answer = change()
        if faults.n_lost_answers > 0:
            faults.n_lost_answers -= 1
            return CasAnswer(CasResult.UNKNOWN)
        return answer

    def _advance(self) -> None:
        """Apply late effects and lapse leases that are due."""
        now_ms = _now_ms()
        due = [change for at_ms, change in self._late if at_ms <= now_ms]
        self._late = [late for late in self._late if late[0] > now_ms]
        for change in due:
            try:
                change()
            except StoreCallError:
                continue  # Its lease lapsed meanwhile, so the write has no effect.
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_ms <= now_ms:
                self._drop_lease(lease_id)

    def _revision_of(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def _set(self, key: str, value: bytes, lease_id: int) -> int:
        self._detach(key)
        self._revision += 1
        self._entries[key] = _Entry(value, self._revision, lease_id)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._record(KeyValue(key, value, self._revision))
        return self._revision

    def _remove(self, key: str) -> None:
        if key not in self._entries:
            return
        self._detach(key)
        del self._entries[key]
        self._revision += 1
        self._record(KeyValue(key, b"", 0))

    def _detach(self, key: str) -> None:
        entry = self._entries.get(key)
        lease = self._leases.get(entry.lease_id) if entry else None
        if lease is not None:
            lease.keys.discard(key)

    def _drop_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        for key in sorted(lease.keys) if lease else ():
            self._remove(key)

    def _record(self, item: KeyValue) -> None:
        self._history.append((self._revision, item))
        if len(self._history) > self._max_history:
            self._first_kept = self._history.popleft()[0] + 1
        self._changed.set()
        self._changed = trio.Event()


def _now_ms() -> int:
    return math.floor(trio.current_time() * 1000)
