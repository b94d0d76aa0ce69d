"""Client of the platform's key-value store."""

from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from apricotgap.platform.http import Answer, HttpClient, NoAnswerError

__all__ = [
    "Conflict",
    "HistoryLostError",
    "Item",
    "LeaseGone",
    "Snapshot",
    "StoreClient",
    "StoreError",
    "Stored",
    "Unavailable",
    "Unknown",
    "Write",
    "WriteOutcome",
]

_T = TypeVar("_T")

CALL_TIMEOUT_MS = 1000
MAX_TXN_ENTRIES = 32
# Single answers get lost while the store is up.
DOWN_AFTER_FAILURES = 3
_TURNED_AWAY = (429, 503)


class StoreError(Exception):
    """A read got no usable answer."""


class HistoryLostError(StoreError):
    """The store no longer holds the history that a watch asks for."""


@dataclass(frozen=True, slots=True)
class Item:
    """One key; `value` is None for a removed key."""

    key: str
    value: bytes | None
    revision: int
    created: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Items and the store revision they were read at."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """One key of a transaction.

    `expected_revision` is None for no condition and 0 for a key that must not
    exist; `value` None removes the key, `check_only` writes nothing.
    """

    key: str
    value: bytes | None = None
    expected_revision: int | None = None
    lease: int = 0
    check_only: bool = False


@dataclass(frozen=True, slots=True)
class Stored:
    """The transaction took effect at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition failed; `items` are those conditioned keys that exist."""

    items: tuple[Item, ...]

    def revision_of(self, key: str) -> int:
        """Revision of a conditioned key, 0 when it does not exist."""
        return next((item.revision for item in self.items if item.key == key), 0)


@dataclass(frozen=True, slots=True)
class LeaseGone:
    """The lease of a key has ended."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Nothing was done."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The transaction may have taken effect or may still do so."""

    reason: str


WriteOutcome = Stored | Conflict | LeaseGone | Unavailable | Unknown


class _WireItem(msgspec.Struct):
    key: str
    revision: int = 0
    value: str | None = None
    created: int = 0
    tombstone: bool = False

    def item(self) -> Item:
        if self.tombstone or self.value is None:
            return Item(self.key, None, self.revision)
        return Item(self.key, b64decode(self.value), self.revision, self.created)


class _WireRange(msgspec.Struct):
    at: int = 0
    items: list[_WireItem] = []
    hasMore: bool = False  # noqa: N815


class _WireWatch(msgspec.Struct):
    at: int
    events: list[_WireItem] = []


class _WireWritten(msgspec.Struct):
    revision: int


class _WireLease(msgspec.Struct):
    ttlMs: int  # noqa: N815
    lease: int = 0


_RANGE = msgspec.json.Decoder(_WireRange)
_WATCH = msgspec.json.Decoder(_WireWatch)
_WRITTEN = msgspec.json.Decoder(_WireWritten)
_LEASE = msgspec.json.Decoder(_WireLease)


class StoreClient:
    """Reads, transactions, leases and watches.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._http = HttpClient(max_connections=48)
        self._n_failed = 0

    @property
    def is_down(self) -> bool:
        """Whether the last calls all failed, so that a new one is not worth a try."""
        return self._n_failed >= DOWN_AFTER_FAILURES

    async def _call(
        self, method: str, target: str, body: bytes, timeout_ms: int
    ) -> Answer:
        try:
            answer = await self._http.call(
                method, self._address, target, body, timeout_ms
            )
        except NoAnswerError:
            self._n_failed += 1
            raise
        if answer.status in _TURNED_AWAY:
            self._n_failed += 1
        else:
            self._n_failed = 0
        return answer

    async def _read(self, target: str, timeout_ms: int) -> tuple[int, bytes]:
        try:
            answer = await self._call("GET", target, b"", timeout_ms)
        except NoAnswerError as error:
            raise StoreError(error.reason) from error
        return answer.status, answer.body

    async def read_key(self, key: str, timeout_ms: int = CALL_TIMEOUT_MS) -> Item:
        """Read one key; a missing key has revision 0.

        Raises
        ------
        StoreError
            No usable answer.
        """
        target = f"/v1/kv-key?key={quote(key, safe='')}"
        status, body = await self._read(target, timeout_ms)
        if status == 404:
            return Item(key, None, 0)
        if status != 200:
            raise StoreError(f"status {status}")
        return _decode(msgspec.json.Decoder(_WireItem), body).item()

    async def read_prefix(
        self, prefix: str, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Snapshot:
        """Read all keys below a prefix.

        Pages are not one snapshot, so the revision of the first page is returned:
        a watch from there repeats changes rather than missing them.

        Raises
        ------
        StoreError
            No usable answer.
        """
        items: list[Item] = []
        revision = None
        after = ""
        while True:
            target = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                target += f"&after={quote(after, safe='')}"
            status, body = await self._read(target, timeout_ms)
            if status != 200:
                raise StoreError(f"status {status}")
            page = _decode(_RANGE, body)
            revision = page.at if revision is None else revision
            items.extend(wire.item() for wire in page.items)
            if not page.hasMore or not page.items:
                return Snapshot(tuple(items), revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Snapshot:
        """Wait for changes below a prefix.

        Returns
        -------
        Snapshot
            Changes in order, none after `wait_ms`; go on from its revision.

        Raises
        ------
        HistoryLostError
            Read the prefix again.
        StoreError
            No usable answer.
        """
        target = (
            f"/v1/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after}&waitMs={wait_ms}"
        )
        status, body = await self._read(target, wait_ms + CALL_TIMEOUT_MS)
        if status == 410:
            raise HistoryLostError("history lost")
        if status != 200:
            raise StoreError(f"status {status}")
        found = _decode(_WATCH, body)
        return Snapshot(tuple(wire.item() for wire in found.events), found.at)

    async def write(
        self, writes: tuple[Write, ...], timeout_ms: int = CALL_TIMEOUT_MS
    ) -> WriteOutcome:
        """Write all keys or none.

        Parameters
        ----------
        writes : tuple of Write
            At most 32 entries.
        timeout_ms : int
            Longest wait for the answer.
        """
        body = msgspec.json.encode(
            {
                "expectedRevision": [
                    {"key": write.key, "revision": write.expected_revision}
                    for write in writes
                    if write.expected_revision is not None
                ],
                "setKeys": [
                    {
                        "key": write.key,
                        "value": b64encode(write.value).decode(),
                        "lease": write.lease,
                    }
                    for write in writes
                    if write.value is not None
                ],
                "remove": [
                    write.key
                    for write in writes
                    if write.value is None and not write.check_only
                ],
            }
        )
        try:
            answer = await self._call("POST", "/v1/kv-txn", body, timeout_ms)
        except NoAnswerError as error:
            if error.sent:
                return Unknown(error.reason)
            return Unavailable(error.reason)
        try:
            return _write_outcome(answer.status, answer.body)
        except StoreError as error:
            return Unknown(str(error))

    async def grant_lease(self, ttl_ms: int) -> tuple[int, int]:
        """Ask for a lease; returns its id and its duration in milliseconds.

        Raises
        ------
        StoreError
            No usable answer; a lease that was granted all the same lapses unused.
        """
        status, body = await self._post(
            "POST", "/v1/kv-lease", msgspec.json.encode({"ttlMs": ttl_ms})
        )
        if status != 200:
            raise StoreError(f"status {status}")
        wire = _decode(_LEASE, body)
        return wire.lease, wire.ttlMs

    async def renew_lease(self, lease: int, timeout_ms: int) -> bool:
        """Renew a lease; False when it has ended.

        Raises
        ------
        StoreError
            No usable answer.
        """
        status, _ = await self._post("POST", f"/v1/kv-keep/{lease}", b"", timeout_ms)
        if status == 404:
            return False
        if status != 200:
            raise StoreError(f"status {status}")
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Give a lease and its keys back.

        Raises
        ------
        StoreError
            No usable answer; the lease then lapses.
        """
        await self._post("DELETE", f"/v1/kv-lease-end/{lease}", b"")

    async def _post(
        self, method: str, target: str, body: bytes, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> tuple[int, bytes]:
        try:
            answer = await self._call(method, target, body, timeout_ms)
        except NoAnswerError as error:
            raise StoreError(error.reason) from error
        return answer.status, answer.body

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()


def _write_outcome(status: int, body: bytes) -> WriteOutcome:
    if status == 200:
        return Stored(_decode(_WRITTEN, body).revision)
    if status == 412:
        found = _decode(_RANGE, body)
        return Conflict(tuple(wire.item() for wire in found.items))
    if status == 404:
        return LeaseGone()
    if status >= 500 and status != 503:
        return Unknown(f"status {status}")
    return Unavailable(f"status {status}")


def _decode(decoder: "msgspec.json.Decoder[_T]", body: bytes) -> _T:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise StoreError(f"malformed answer: {error}") from error
