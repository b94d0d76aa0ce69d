"""Client of the platform's key-value store."""

from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from apricotgap.decoding import DecodeError, decode_json
from apricotgap.platform.http import HttpClient, HttpResponse, NoResponseError

__all__ = [
    "Conflict",
    "HistoryLostError",
    "Item",
    "Lease",
    "LeaseGone",
    "Rejected",
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
# A single response can be lost although the store is up, so that one failure does not
# show an outage.
DOWN_AFTER_FAILURES = 3
_OVERLOAD_STATUSES = (429, 503)


class StoreError(Exception):
    """A call other than a write got no usable response."""


class HistoryLostError(StoreError):
    """The store has dropped the history after the revision of a watch."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value, None if the key was removed, and last revision.

    `created` is the revision at which the key was created.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Items and the store revision at which they were read."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that the store has granted.

    Raises
    ------
    ValueError
        The id is 0, which the store takes as no lease: the key would stay for good.
    """

    lease_id: int

    def __post_init__(self) -> None:
        if self.lease_id <= 0:
            raise ValueError(f"{self.lease_id} is not the id of a lease")


@dataclass(frozen=True, slots=True)
class Write:
    """Write and condition on one key of a transaction.

    `expected_revision` is None for no condition and 0 for a key that must not
    exist. A `value` of None removes the key, unless `check_only` is set. `lease` is
    the lease to which the key is attached, None for a key that stays.
    """

    key: str
    value: bytes | None = None
    expected_revision: int | None = None
    lease: Lease | None = None
    check_only: bool = False


@dataclass(frozen=True, slots=True)
class Stored:
    """The transaction was committed at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition failed; `items` are the existing keys among those checked."""

    items: tuple[Item, ...]

    def revision_of(self, key: str) -> int:
        """Return the revision of a checked key, 0 if it does not exist."""
        return next((item.revision for item in self.items if item.key == key), 0)


@dataclass(frozen=True, slots=True)
class LeaseGone:
    """The lease to which a key was to be attached has ended."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The transaction was not committed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Rejected(Unavailable):
    """The transaction was not committed, and no retry of it would be."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The transaction may have been committed or may yet be."""

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


class _WireRevision(msgspec.Struct):
    revision: int


class _WireLease(msgspec.Struct):
    ttlMs: int  # noqa: N815
    lease: int = 0


_RANGE_DECODER = msgspec.json.Decoder(_WireRange)
_WATCH_DECODER = msgspec.json.Decoder(_WireWatch)
_REVISION_DECODER = msgspec.json.Decoder(_WireRevision)
_LEASE_DECODER = msgspec.json.Decoder(_WireLease)


class StoreClient:
    """Reads, transactions, leases and watches on the key-value store.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._http = HttpClient(max_connections=48)
        self._n_consecutive_failures = 0

    @property
    def is_down(self) -> bool:
        """Whether the last calls all failed, so that another is not worth trying."""
        return self._n_consecutive_failures >= DOWN_AFTER_FAILURES

    async def _call(
        self, method: str, target: str, body: bytes, timeout_ms: int
    ) -> HttpResponse:
        try:
            response = await self._http.call(
                method, self._address, target, body, timeout_ms
            )
        except NoResponseError:
            self._n_consecutive_failures += 1
            raise
        if response.status in _OVERLOAD_STATUSES:
            self._n_consecutive_failures += 1
        else:
            self._n_consecutive_failures = 0
        return response

    async def _read(self, target: str, timeout_ms: int) -> tuple[int, bytes]:
        try:
            response = await self._call("GET", target, b"", timeout_ms)
        except NoResponseError as error:
            raise StoreError(error.reason) from error
        return response.status, response.body

    async def read_key(self, key: str, timeout_ms: int = CALL_TIMEOUT_MS) -> Item:
        """Read one key; a missing key has revision 0.

        Raises
        ------
        StoreError
            No usable response.
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
        """Read all keys with a prefix.

        Pages may be read at different revisions. The revision of the first page is
        returned, so that a watch from there may repeat changes but misses none.

        Raises
        ------
        StoreError
            No usable response.
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
            page = _decode(_RANGE_DECODER, body)
            revision = page.at if revision is None else revision
            items.extend(wire.item() for wire in page.items)
            if not page.hasMore or not page.items:
                return Snapshot(tuple(items), revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Snapshot:
        """Wait for changes of keys with a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : int
            Revision after which changes are wanted.
        wait_ms : int
            Maximum wait for a change, in milliseconds.

        Returns
        -------
        Snapshot
            Changes in order, none if `wait_ms` has passed; the next watch continues
            after its revision.

        Raises
        ------
        HistoryLostError
            The store has dropped changes; the prefix must be read again.
        StoreError
            No usable response.
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
        changes = _decode(_WATCH_DECODER, body)
        return Snapshot(tuple(wire.item() for wire in changes.events), changes.at)

    async def write(
        self, writes: tuple[Write, ...], timeout_ms: int = CALL_TIMEOUT_MS
    ) -> WriteOutcome:
        """Write all keys or none.

        Parameters
        ----------
        writes : tuple of Write
            At most 32 entries.
        timeout_ms : int
            Limit for the whole call, in milliseconds.
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
                        "lease": write.lease.lease_id if write.lease else 0,
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
            response = await self._call("POST", "/v1/kv-txn", body, timeout_ms)
        except NoResponseError as error:
            if error.sent:
                return Unknown(error.reason)
            return Unavailable(error.reason)
        try:
            return _parse_write_outcome(response.status, response.body)
        except StoreError as error:
            return Unknown(str(error))

    async def grant_lease(self, ttl_ms: int) -> tuple[int, int]:
        """Request a lease; return its id and its TTL in milliseconds.

        Raises
        ------
        StoreError
            No usable response. A lease that was granted nevertheless expires unused.
        """
        status, body = await self._send_lease_request(
            "POST", "/v1/kv-lease", msgspec.json.encode({"ttlMs": ttl_ms})
        )
        if status != 200:
            raise StoreError(f"status {status}")
        wire = _decode(_LEASE_DECODER, body)
        if wire.lease <= 0:
            raise StoreError("malformed response: no id of a lease")
        return wire.lease, wire.ttlMs

    async def renew_lease(self, lease: int, timeout_ms: int) -> bool:
        """Renew a lease; False if it has ended.

        Raises
        ------
        StoreError
            No usable response.
        """
        status, _ = await self._send_lease_request(
            "POST", f"/v1/kv-keep/{lease}", b"", timeout_ms
        )
        if status == 404:
            return False
        if status != 200:
            raise StoreError(f"status {status}")
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys.

        Raises
        ------
        StoreError
            No usable response; the lease then expires.
        """
        await self._send_lease_request("DELETE", f"/v1/kv-lease-end/{lease}", b"")

    async def _send_lease_request(
        self, method: str, target: str, body: bytes, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> tuple[int, bytes]:
        try:
            response = await self._call(method, target, body, timeout_ms)
        except NoResponseError as error:
            raise StoreError(error.reason) from error
        return response.status, response.body

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()


def _parse_write_outcome(status: int, body: bytes) -> WriteOutcome:
    if status == 200:
        return Stored(_decode(_REVISION_DECODER, body).revision)
    if status == 412:
        checked = _decode(_RANGE_DECODER, body)
        return Conflict(tuple(wire.item() for wire in checked.items))
    if status == 404:
        return LeaseGone()
    if status >= 500 and status != 503:
        return Unknown(f"status {status}")
    if status not in _OVERLOAD_STATUSES:
        return Rejected(f"status {status}")
    return Unavailable(f"status {status}")


def _decode(decoder: "msgspec.json.Decoder[_T]", body: bytes) -> _T:
    try:
        return decode_json(body, decoder)
    except DecodeError as error:
        raise StoreError(f"malformed response: {error}") from error
