"""Reads of prefixes that go on after a failure where they stopped."""

from typing import Any

import trio

from apricotgap.platform.store import (
    InterruptedReadError,
    PartialRead,
    Snapshot,
    StoreClient,
    StoreError,
)

__all__ = ["PrefixReader", "read_prefix"]

_RETRY_S = 0.15


class PrefixReader:
    """Reads all keys with a prefix.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    prefix : str
        Prefix of the keys.
    """

    def __init__(self, store: StoreClient, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._partial: PartialRead | None = None

    @property
    def is_interrupted(self) -> bool:
        """Whether the next call of `read` goes on with an earlier one."""
        return self._partial is not None

    async def read(self) -> Snapshot:
        """Read all keys, or those that an interrupted read has left.

        Raises
        ------
        StoreError
            No usable response; the next call goes on after the last page read.
        """
        try:
            if self._partial is None:
                return await self._store.read_prefix(self._prefix)
            snapshot = await self._store.read_prefix(self._prefix, self._partial)
        except InterruptedReadError as error:
            self._partial = error.partial
            raise
        self._partial = None
        return snapshot


async def read_prefix(store: StoreClient, prefix: str, log: Any) -> Snapshot:
    """Read the keys below a prefix; goes on until the store has answered."""
    reader = PrefixReader(store, prefix)
    while True:
        try:
            return await reader.read()
        except StoreError as error:
            log.warning(
                "load_failed",
                prefix=prefix,
                reason=str(error),
                stage=error.stage,
                n_received_bytes=error.n_received_bytes,
            )
            await trio.sleep(_RETRY_S)
