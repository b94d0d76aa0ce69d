"""Abstract access to the platform's key-value store."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from apricotgap.core.events import CasResult, KeyValue
from apricotgap.errors import UnavailableError

__all__ = [
    "MAX_VALUE_BYTES",
    "CasResponse",
    "Lease",
    "Snapshot",
    "Store",
    "StoreCallError",
]

MAX_VALUE_BYTES = 1_000_000


class StoreCallError(UnavailableError):
    """A read or lease call failed, or a write certainly had no effect."""

    kind = "store_unavailable"

    def __init__(self, message: str) -> None:
        super().__init__(message, "retry when the store is reachable again")


@dataclass(frozen=True, slots=True)
class CasResponse:
    """Result of a write; `revision` is the new revision when it was stored."""

    result: CasResult
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """A granted lease; `ttl_ms` counts from the time at which the call was sent.

    Raises
    ------
    ValueError
        The id is 0, which the store takes as no lease: a key would stay for good.
    """

    lease_id: int
    ttl_ms: int

    def __post_init__(self) -> None:
        if self.lease_id <= 0:
            raise ValueError(f"{self.lease_id} is not the id of a lease")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Result of a read.

    Parameters
    ----------
    items : tuple of KeyValue
        Items, sorted by key.
    revision : int
        Revision of the whole store at the time of the read. A watch that starts from
        the next revision misses no change and needs no older history.
    """

    items: tuple[KeyValue, ...]
    revision: int


class Store(ABC):
    """Client of the store.

    An implementation guarantees:

    - Revisions of all keys come from one counter that only increases.
    - `CONFLICT` means that the write had no effect and never will. A write without
      a response is `UNKNOWN` once any byte may have been sent.
    - `StoreCallError` from a write means that it had no effect.
    - A watch reports every change after it was opened, in order, or raises.
    """

    @abstractmethod
    async def read_key(self, key: str) -> Snapshot:
        """Read one key; its single item has revision 0 when it is absent."""

    @abstractmethod
    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys below `prefix`."""

    async def get(self, key: str) -> KeyValue:
        """Read one key; revision 0 when it is absent."""
        return (await self.read_key(key)).items[0]

    async def list(self, prefix: str) -> tuple[KeyValue, ...]:
        """Read all keys below `prefix`, sorted by key."""
        return (await self.read_prefix(prefix)).items

    @abstractmethod
    async def cas(
        self, key: str, expected_revision: int, value: bytes, lease_id: int = 0
    ) -> CasResponse:
        """Write a key if its revision is `expected_revision` (0: it is absent)."""

    @abstractmethod
    async def delete(self, key: str, expected_revision: int) -> CasResponse:
        """Delete a key if its revision is `expected_revision`."""

    @abstractmethod
    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Request a lease; its keys are deleted when it expires."""

    @abstractmethod
    async def keep_alive(self, lease_id: int) -> int:
        """Renew a lease.

        Returns
        -------
        int
            New time to live in milliseconds, 0 when the lease no longer exists.
        """

    @abstractmethod
    async def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""

    @abstractmethod
    def watch(
        self, prefix: str, from_revision: int = 0
    ) -> AbstractAsyncContextManager[AsyncIterator[tuple[KeyValue, ...]]]:
        """Watch all keys below `prefix`.

        Parameters
        ----------
        prefix : str
            Common prefix of the keys.
        from_revision : int
            First revision to report; 0 reports only new changes.

        Returns
        -------
        async context manager
            Entered once the watch is open; yields groups of changes, with
            absent keys for deletions.

        Raises
        ------
        StoreCallError
            On opening or iterating, if the watch fails or the history no longer
            contains `from_revision`.
        """

    async def aclose(self) -> None:  # noqa: B027
        """Close connections; does nothing by default."""
