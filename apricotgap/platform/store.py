"""Client of the platform's key-value store."""

from base64 import b64encode
from functools import partial
from urllib.parse import quote

import msgspec

from apricotgap.platform.call_observer import CallKind, CallObserver, NoObserver
from apricotgap.platform.call_timer import transfer_ms
from apricotgap.platform.http import HttpClient, HttpResponse, NoResponseError
from apricotgap.platform.store_answers import (
    decode_changes,
    decode_item,
    decode_lease,
    decode_page,
    decode_revision,
)
from apricotgap.platform.store_types import (
    Conflict,
    HistoryLostError,
    InterruptedReadError,
    Item,
    Lease,
    LeaseGone,
    PartialRead,
    RefusedError,
    Rejected,
    Snapshot,
    Stored,
    StoreError,
    Unavailable,
    Unknown,
    Write,
    WriteOutcome,
)

__all__ = [
    "Conflict",
    "HistoryLostError",
    "InterruptedReadError",
    "Item",
    "Lease",
    "LeaseGone",
    "PartialRead",
    "RefusedError",
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

CALL_TIMEOUT_MS = 1000
# Longest pause within an answer that may be large. It may take any time while it
# arrives.
STALL_MS = 1000
MAX_TXN_ENTRIES = 32
# A single response can be lost although the store is up, so that one failure does not
# show an outage.
DOWN_AFTER_FAILURES = 3
_OVERLOAD_STATUSES = (429, 503)


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
        # A burst of calls leaves idle connections, all of which may have gone silent
        # since. A renewal that follows one without an answer opens a new connection.
        self._lease_http = HttpClient(max_connections=8, max_idle=1)
        self._n_consecutive_failures = 0
        self._observer: CallObserver = NoObserver()

    def observe_calls(self, observer: CallObserver) -> None:
        """Set the observer that is told of all further calls."""
        self._observer = observer

    @property
    def is_down(self) -> bool:
        """Whether the last calls had no answer, so that another is not worth trying."""
        if self._n_consecutive_failures >= DOWN_AFTER_FAILURES:
            return True
        return self._observer.is_unreachable

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: int,
        kind: CallKind = CallKind.PROMPT,
        stall_ms: int | None = None,
        client: HttpClient | None = None,
    ) -> HttpResponse:
        call_id = self._observer.record_start(kind)
        http = self._http if client is None else client
        try:
            response = await http.call(
                method,
                self._address,
                target,
                body,
                timeout_ms,
                stall_ms=stall_ms,
                on_received=partial(self._observer.record_part, call_id),
            )
        except NoResponseError:
            self._n_consecutive_failures += 1
            self._observer.record_failure(call_id)
            raise
        except BaseException:
            self._observer.record_cancellation(call_id)
            raise
        self._observer.record_answer(call_id)
        if response.status in _OVERLOAD_STATUSES:
            self._n_consecutive_failures += 1
        else:
            self._n_consecutive_failures = 0
        return response

    async def _read(
        self, target: str, timeout_ms: int, kind: CallKind = CallKind.PROMPT
    ) -> tuple[int, bytes]:
        try:
            response = await self._call("GET", target, b"", timeout_ms, kind, STALL_MS)
        except NoResponseError as error:
            raise _store_error(error) from error
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
            raise _status_error(status)
        return decode_item(body)

    async def read_prefix(
        self, prefix: str, resume: PartialRead | None = None
    ) -> Snapshot:
        """Read all keys with a prefix.

        Pages may be read at different revisions. The revision of the first page is
        returned, so that a watch from there may repeat changes but misses none.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        resume : PartialRead, optional
            What an interrupted read of the prefix has read.

        Raises
        ------
        InterruptedReadError
            A page after the first got no usable response.
        StoreError
            The first one did not.
        """
        items: list[Item] = []
        revision = None
        after = ""
        if resume is not None:
            items, revision, after = [*resume.items], resume.revision, resume.after
        seen: set[str] = set()
        while True:
            try:
                page, has_more = await self._read_page(prefix, after)
            except StoreError as error:
                if revision is None:
                    raise
                pages = PartialRead(tuple(items), revision, after)
                raise InterruptedReadError(error, pages) from error
            revision = page.revision if revision is None else revision
            items.extend(page.items)
            if not has_more or not page.items:
                return Snapshot(tuple(items), revision)
            after = page.items[-1].key
            if after in seen:
                raise StoreError("malformed response: the pages have no end")
            seen.add(after)

    async def _read_page(self, prefix: str, after: str) -> tuple[Snapshot, bool]:
        target = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
        if after:
            target += f"&after={quote(after, safe='')}"
        status, body = await self._read(target, CALL_TIMEOUT_MS)
        if status != 200:
            raise _status_error(status)
        return decode_page(body)

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
        status, body = await self._read(
            target, wait_ms + CALL_TIMEOUT_MS, CallKind.WATCH
        )
        if status == 410:
            raise HistoryLostError("history lost")
        if status != 200:
            raise _status_error(status)
        return decode_changes(body)

    async def write(
        self, writes: tuple[Write, ...], timeout_ms: int | None = None
    ) -> WriteOutcome:
        """Write all keys or none.

        Parameters
        ----------
        writes : tuple of Write
            At most 32 entries.
        timeout_ms : int, optional
            Limit for the whole call, in milliseconds. By default it grows with the
            size of the transaction.
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
        if timeout_ms is None:
            timeout_ms = CALL_TIMEOUT_MS + transfer_ms(len(body))
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

    async def grant_lease(
        self, ttl_ms: int, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> tuple[int, int]:
        """Request a lease; return its id and its TTL in milliseconds.

        Raises
        ------
        StoreError
            No usable response. A lease that was granted nevertheless expires unused.
        """
        status, body = await self._send_lease_request(
            "POST", "/v1/kv-lease", msgspec.json.encode({"ttlMs": ttl_ms}), timeout_ms
        )
        if status != 200:
            raise _status_error(status)
        return decode_lease(body)

    async def renew_lease(self, lease: int, timeout_ms: int) -> bool:
        """Renew a lease; False if it has ended.

        Raises
        ------
        StoreError
            No usable response.
        """
        status, _ = await self._send_lease_request(
            "POST", f"/v1/kv-keep/{lease}", b"", timeout_ms, CallKind.RENEWAL
        )
        if status == 404:
            return False
        if status != 200:
            raise _status_error(status)
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
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: int = CALL_TIMEOUT_MS,
        kind: CallKind = CallKind.PROMPT,
    ) -> tuple[int, bytes]:
        try:
            response = await self._call(
                method, target, body, timeout_ms, kind, client=self._lease_http
            )
        except NoResponseError as error:
            raise _store_error(error) from error
        return response.status, response.body

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()
        await self._lease_http.aclose()


def _status_error(status: int) -> StoreError:
    kind = RefusedError if status in _OVERLOAD_STATUSES else StoreError
    return kind(f"status {status}")


def _store_error(error: NoResponseError) -> StoreError:
    return StoreError(error.reason, error.stage.value, error.n_received_bytes)


def _parse_write_outcome(status: int, body: bytes) -> WriteOutcome:
    if status == 200:
        return Stored(decode_revision(body))
    if status == 412:
        return Conflict(decode_page(body)[0].items)
    if status == 404:
        return LeaseGone()
    if status >= 500 and status != 503:
        return Unknown(f"status {status}")
    if status not in _OVERLOAD_STATUSES:
        return Rejected(f"status {status}")
    return Unavailable(f"status {status}")
