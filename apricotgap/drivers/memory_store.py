"""In-memory store with injected faults for tests in virtual time."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass

import trio

from apricotgap.core.events import CasResult, KeyValue
from apricotgap.drivers.memory_state import MemoryState
from apricotgap.drivers.store_api import (
    MAX_VALUE_BYTES,
    CasResponse,
    Lease,
    Snapshot,
    Store,
    StoreCallError,
)

__all__ = ["MemoryFaults", "MemoryState", "MemoryStore"]

CALL_TIMEOUT_MS = 1_000
WATCH_CHECK_S = 0.1


@dataclass(slots=True)
class MemoryFaults:
    """Faults injected into one client; set the attributes to change them.

    Parameters
    ----------
    down : bool
        Calls fail without effect and watches fail.
    n_lost_answers : int
        Number of writes, from the next one, that take effect without a response.
    n_late_effects : int
        Number of writes, from the next one, that time out and take effect `late_ms`
        later.
    late_ms : int
        Time from the timeout to the effect of such a write, in milliseconds.
    slow_ms : int
        Delay of each call in milliseconds. A delay of at least the timeout loses the
        response.
    silent_watches : bool
        Watches stay open and deliver nothing.
    """

    down: bool = False
    n_lost_answers: int = 0
    n_late_effects: int = 0
    late_ms: int = 500
    slow_ms: int = 0
    silent_watches: bool = False


class MemoryStore(Store):
    """Client of a store that is kept in memory.

    Clients with the same state see each other's writes. Each client has its own
    faults, so that a test can partition a single entry instance.

    Parameters
    ----------
    state : MemoryState or None
        State shared with other clients; None for a new one.
    timeout_ms : int
        Timeout of a call in milliseconds.
    """

    def __init__(
        self, state: MemoryState | None = None, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> None:
        self.state = MemoryState() if state is None else state
        self.faults = MemoryFaults()
        self._timeout_ms = timeout_ms

    async def read_key(self, key: str) -> Snapshot:
        """Read one key."""
        await self._simulate_call()
        return Snapshot((self.state.item(key),), self.state.revision)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys below `prefix`."""
        await self._simulate_call()
        return Snapshot(self.state.items(prefix), self.state.revision)

    async def cas(
        self, key: str, expected_revision: int, value: bytes, lease_id: int = 0
    ) -> CasResponse:
        """Write a key if its revision is `expected_revision`."""
        if len(value) > MAX_VALUE_BYTES:
            raise StoreCallError(f"value of {key} exceeds {MAX_VALUE_BYTES} bytes")

        def put() -> CasResponse:
            if self.state.revision_of(key) != expected_revision:
                return CasResponse(CasResult.CONFLICT)
            return CasResponse(CasResult.STORED, self.state.put(key, value, lease_id))

        return await self._write(put)

    async def delete(self, key: str, expected_revision: int) -> CasResponse:
        """Delete a key if its revision is `expected_revision`."""

        def remove() -> CasResponse:
            if self.state.revision_of(key) != expected_revision:
                return CasResponse(CasResult.CONFLICT)
            return CasResponse(CasResult.STORED, self.state.remove(key))

        return await self._write(remove)

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Request a lease."""
        await self._simulate_call()
        return self.state.grant(ttl_ms)

    async def keep_alive(self, lease_id: int) -> int:
        """Renew a lease."""
        await self._simulate_call()
        return self.state.keep_alive(lease_id)

    async def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        await self._simulate_call()
        self.state.revoke(lease_id)

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int = 0
    ) -> AsyncIterator[AsyncIterator[tuple[KeyValue, ...]]]:
        """Watch all keys below `prefix`."""
        await self._simulate_call()
        start = from_revision or self.state.revision + 1
        async with aclosing(self._changes(prefix, start)) as changes:
            yield changes

    async def _changes(
        self, prefix: str, next_revision: int
    ) -> AsyncGenerator[tuple[KeyValue, ...], None]:
        while True:
            if self.faults.down:
                raise StoreCallError("watch failed: the store is down")
            self.state.advance()
            changed = self.state.changed
            new_changes = self.state.changes(next_revision)
            if new_changes:
                next_revision = new_changes[-1][0] + 1
            items = tuple(
                item for _, item in new_changes if item.key.startswith(prefix)
            )
            if items and not self.faults.silent_watches:
                yield items
                continue
            # Polls, since due leases, delayed writes and changed faults set no event.
            with trio.move_on_after(WATCH_CHECK_S):
                await changed.wait()

    async def _simulate_call(self) -> None:
        await trio.lowlevel.checkpoint()
        slow_ms = self.faults.slow_ms
        if slow_ms:
            await trio.sleep(min(slow_ms, self._timeout_ms) / 1000)
        if self.faults.down:
            raise StoreCallError("the store is down")
        if slow_ms >= self._timeout_ms:
            raise StoreCallError("timed out")
        self.state.advance()

    async def _write(self, change: Callable[[], CasResponse]) -> CasResponse:
        faults = self.faults
        late_ms = 0
        if faults.n_late_effects > 0 and not faults.down:
            faults.n_late_effects -= 1
            late_ms = self._timeout_ms + faults.late_ms
        elif faults.slow_ms >= self._timeout_ms and not faults.down:
            late_ms = faults.slow_ms
        if late_ms:
            self.state.schedule_write(self.state.now_ms + late_ms, change)
            await trio.sleep(self._timeout_ms / 1000)
            return CasResponse(CasResult.UNKNOWN)
        await self._simulate_call()
        response = change()
        if faults.n_lost_answers > 0:
            faults.n_lost_answers -= 1
            return CasResponse(CasResult.UNKNOWN)
        return response
