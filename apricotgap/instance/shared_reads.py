"""Reads that calls for one key share, and whose results serve for a short time."""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import trio

from apricotgap.clock import Clock
from apricotgap.platform.store import StoreError

__all__ = ["SharedReads"]

_T = TypeVar("_T")


class _Read(Generic[_T]):
    """One read, for all calls that wait for it."""

    def __init__(self, began_ms: int) -> None:
        self.began_ms = began_ms
        self.has_ended = trio.Event()
        # At most one result; none if the read has failed or was cancelled.
        self.results: list[_T] = []
        self.error: StoreError | None = None


class SharedReads(Generic[_T]):
    """Reads each key at most once at a time.

    Parameters
    ----------
    read : callable
        Reads a key; may raise `StoreError`.
    clock : Clock
        Monotonic clock.
    max_age_ms : int
        How long after its read has begun a result serves further calls, in
        milliseconds.

    After a read that took longer than that, or failed, the key is not read again for as
    long as it took, so that slow reads leave half of the link to other calls.
    """

    def __init__(
        self, read: Callable[[str], Awaitable[_T]], clock: Clock, max_age_ms: int
    ) -> None:
        self._read = read
        self._clock = clock
        self._max_age_ms = max_age_ms
        self._reads: dict[str, _Read[_T]] = {}
        # Until when keys are not read again.
        self._paused_until_ms: dict[str, int] = {}

    async def get(self, key: str) -> _T:
        """Return a result that is young, or whose read began after this call.

        Raises
        ------
        StoreError
            The read failed.
        """
        called_ms = self._clock.now_ms
        while True:
            read = self._reads.get(key)
            if read is None or self._is_outdated(read, called_ms):
                pause_ms = self._paused_until_ms.get(key, 0) - self._clock.now_ms
                if pause_ms <= 0:
                    return await self._begin(key)
                await trio.sleep(pause_ms / 1000)
                continue
            await read.has_ended.wait()
            if read.error is not None:
                raise StoreError(str(read.error)) from read.error
            if read.results and not self._is_outdated(read, called_ms):
                return read.results[0]

    def _is_outdated(self, read: _Read[_T], called_ms: int) -> bool:
        if not read.has_ended.is_set() or read.began_ms >= called_ms:
            return False
        return self._clock.now_ms - read.began_ms > self._max_age_ms

    async def _begin(self, key: str) -> _T:
        self._forget_outdated()
        read: _Read[_T] = _Read(self._clock.now_ms)
        self._reads[key] = read
        try:
            result = await self._read(key)
            read.results.append(result)
            return result
        except StoreError as error:
            read.error = error
            raise
        finally:
            if not read.results:
                del self._reads[key]
            self._pause(key, self._clock.now_ms - read.began_ms, bool(read.results))
            read.has_ended.set()

    def _pause(self, key: str, took_ms: int, is_read: bool) -> None:
        if is_read and took_ms <= self._max_age_ms:
            self._paused_until_ms.pop(key, None)
            return
        self._paused_until_ms[key] = self._clock.now_ms + took_ms

    def _forget_outdated(self) -> None:
        now_ms = self._clock.now_ms
        self._reads = {
            key: read
            for key, read in self._reads.items()
            if not self._is_outdated(read, now_ms + 1)
        }
