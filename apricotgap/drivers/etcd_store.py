"""Store client for the etcd v3 JSON gateway."""

import json
from base64 import b64decode, b64encode
from collections.abc import AsyncGenerator, AsyncIterator, Sequence
from contextlib import aclosing, asynccontextmanager
from typing import Any

import httpcore
import structlog
import trio

from apricotgap.core.events import CasResult, KeyValue
from apricotgap.core.limits import CAS_TIMEOUT_MS
from apricotgap.decoding import decode_json
from apricotgap.drivers.store_api import (
    MAX_VALUE_BYTES,
    CasResponse,
    Lease,
    Snapshot,
    Store,
    StoreCallError,
)

__all__ = ["EtcdStore"]

WATCH_IDLE_MS = 30_000
MAX_WATCH_LINE_BYTES = 16 * MAX_VALUE_BYTES

_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
# Neither 408 (request timeout) nor 499 (client closed request) shows whether the call
# took effect.
_AMBIGUOUS_STATUSES = (408, 499)
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    OSError,
)


class _LostResponseError(Exception):
    """The call may have reached the store, but no usable response arrived."""


class EtcdStore(Store):
    """Client of the etcd v3 JSON gateway over httpcore.

    Parameters
    ----------
    endpoints : sequence of str
        Base URLs such as ``http://10.0.0.1:2379``. Calls start with the endpoint that
        responded last.
    entry : str
        Name of this entry instance, sent as ``Apricotgap-Entry``.
    timeout_ms : int
        Timeout of a call in milliseconds, over all attempts.
    watch_idle_ms : int
        Time in milliseconds after which a watch that delivers nothing counts as
        broken: a connection can stay open although nothing arrives any more.
    """

    def __init__(
        self,
        endpoints: Sequence[str],
        entry: str = "",
        timeout_ms: int = CAS_TIMEOUT_MS,
        watch_idle_ms: int = WATCH_IDLE_MS,
    ) -> None:
        if not endpoints:
            raise ValueError("endpoints must name at least one base URL")
        if timeout_ms <= 0 or watch_idle_ms <= 0:
            raise ValueError("timeout_ms and watch_idle_ms must be positive")
        self._endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self._headers = [
            (b"Content-Type", b"application/json"),
            (b"Apricotgap-Entry", entry.encode()),
        ]
        self._timeout_ms = timeout_ms
        self._watch_idle_ms = watch_idle_ms
        self._endpoint_index = 0
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=64, max_keepalive_connections=16
        )
        self._log = structlog.get_logger("store")

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def read_key(self, key: str) -> Snapshot:
        """Read one key."""
        snapshot = await self._range({"key": _encode(key.encode())})
        if snapshot.items:
            return snapshot
        return Snapshot((KeyValue(key, b"", 0),), snapshot.revision)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys below `prefix`."""
        return await self._range(_prefix_range(prefix))

    async def cas(
        self, key: str, expected_revision: int, value: bytes, lease_id: int = 0
    ) -> CasResponse:
        """Write a key if its revision is `expected_revision`."""
        if len(value) > MAX_VALUE_BYTES:
            raise StoreCallError(f"value of {key} exceeds {MAX_VALUE_BYTES} bytes")
        put = {"key": _encode(key.encode()), "value": _encode(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        return await self._write(key, expected_revision, {"request_put": put})

    async def delete(self, key: str, expected_revision: int) -> CasResponse:
        """Delete a key if its revision is `expected_revision`."""
        delete = {"key": _encode(key.encode())}
        return await self._write(
            key, expected_revision, {"request_delete_range": delete}
        )

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Request a lease; its time to live is rounded up to whole seconds."""
        ttl_s = -(-ttl_ms // 1000)
        # Safe to retry: a duplicate grant only leaves an unused lease, which expires.
        response = await self._read("/v3/lease/grant", {"TTL": str(ttl_s)})
        try:
            return Lease(int(response["ID"]), int(response["TTL"]) * 1000)
        except (KeyError, TypeError, ValueError) as error:
            raise StoreCallError("lease response is malformed") from error

    async def keep_alive(self, lease_id: int) -> int:
        """Renew a lease."""
        response = await self._read("/v3/lease/keepalive", {"ID": str(lease_id)})
        try:
            return max(0, int(response["result"].get("TTL", 0))) * 1000
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise StoreCallError("keep-alive response is malformed") from error

    async def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        await self._read("/v3/lease/revoke", {"ID": str(lease_id)})

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int = 0
    ) -> AsyncIterator[AsyncIterator[tuple[KeyValue, ...]]]:
        """Watch all keys below `prefix`."""
        create: dict[str, str] = _prefix_range(prefix)
        if from_revision:
            create["start_revision"] = str(from_revision)
        url = self._endpoints[self._endpoint_index] + "/v3/watch"
        timeout_s = self._timeout_ms / 1000
        timeout = {
            "connect": timeout_s,
            "pool": timeout_s,
            "write": timeout_s,
            "read": self._watch_idle_ms / 1000,
        }
        try:
            async with self._pool.stream(
                "POST",
                url,
                headers=self._headers,
                content=json.dumps({"create_request": create}).encode(),
                extensions={"timeout": timeout},
            ) as response:
                if response.status != 200:
                    raise StoreCallError(f"watch failed with status {response.status}")
                async with (
                    aclosing(_chunks(response)) as chunks,
                    aclosing(_lines(chunks)) as lines,
                ):
                    with trio.move_on_after(timeout_s) as scope:
                        first = _watch_result(await anext(lines, b""))
                    if scope.cancelled_caught or not first.get("created"):
                        raise StoreCallError("the store did not confirm the watch")
                    async with aclosing(_changes(lines)) as changes:
                        yield changes
        except _TRANSPORT_ERRORS as error:
            self._select_next_endpoint()
            raise StoreCallError(f"watch failed: {type(error).__name__}") from error
        except StoreCallError:
            self._select_next_endpoint()
            raise

    async def _range(self, key_range: dict[str, str]) -> Snapshot:
        response = await self._read("/v3/kv/range", key_range)
        try:
            items = tuple(_key_value(kv) for kv in response.get("kvs") or ())
            return Snapshot(items, int(response["header"]["revision"]))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreCallError("range response is malformed") from error

    async def _read(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            return await self._call(path, body, retryable=True)
        except _LostResponseError as error:
            raise StoreCallError(f"{path}: {error}") from error

    async def _write(
        self, key: str, expected_revision: int, change: dict[str, Any]
    ) -> CasResponse:
        compare = {
            "key": _encode(key.encode()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_revision),
        }
        body = {"compare": [compare], "success": [change], "failure": []}
        try:
            response = await self._call("/v3/kv/txn", body, retryable=False)
            # The gateway omits `succeeded` when it is false. A response counts as a
            # conflict only if its header shows that it comes from the store.
            revision = int(response["header"]["revision"])
            if not response.get("succeeded", False):
                return CasResponse(CasResult.CONFLICT)
            return CasResponse(CasResult.STORED, revision)
        except (_LostResponseError, KeyError, TypeError, ValueError):
            return CasResponse(CasResult.UNKNOWN)

    async def _call(
        self, path: str, body: dict[str, Any], retryable: bool
    ) -> dict[str, Any]:
        """Try the endpoints in turn; a write is retried only if nothing was sent."""
        content = json.dumps(body).encode()
        n_endpoints = len(self._endpoints)
        # The server may have closed a pooled connection, so a read gets a second
        # attempt even with one endpoint.
        n_attempts = max(2, n_endpoints) if retryable else n_endpoints
        failure = "no endpoint could be reached"
        response_lost = False
        with trio.move_on_after(self._timeout_ms / 1000) as scope:
            for _ in range(n_attempts):
                try:
                    return await self._post(path, content)
                except _NOT_SENT_ERRORS as error:
                    failure = type(error).__name__
                except (*_TRANSPORT_ERRORS, _LostResponseError) as error:
                    failure, response_lost = str(error) or type(error).__name__, True
                self._select_next_endpoint()
                if response_lost and not retryable:
                    break
        if response_lost or scope.cancelled_caught:
            raise _LostResponseError("timed out" if scope.cancelled_caught else failure)
        raise StoreCallError(f"{path}: {failure}")

    async def _post(self, path: str, content: bytes) -> dict[str, Any]:
        attempt_timeout_s = self._timeout_ms / 1000 / len(self._endpoints)
        phases = ("connect", "pool", "write", "read")
        response = await self._pool.request(
            "POST",
            self._endpoints[self._endpoint_index] + path,
            headers=self._headers,
            content=content,
            extensions={"timeout": dict.fromkeys(phases, attempt_timeout_s)},
        )
        if 400 <= response.status < 500 and response.status not in _AMBIGUOUS_STATUSES:
            raise StoreCallError(f"{path}: refused with status {response.status}")
        if response.status != 200:
            raise _LostResponseError(f"status {response.status}")
        try:
            document = decode_json(response.content, Any)
        except ValueError as error:
            raise _LostResponseError("the response is not JSON") from error
        if not isinstance(document, dict):
            raise _LostResponseError("the response is not a JSON object")
        return document

    def _select_next_endpoint(self) -> None:
        if len(self._endpoints) == 1:
            return
        self._endpoint_index = (self._endpoint_index + 1) % len(self._endpoints)
        self._log.info(
            "store endpoint changed", endpoint=self._endpoints[self._endpoint_index]
        )


def _encode(data: bytes) -> str:
    return b64encode(data).decode()


def _prefix_range(prefix: str) -> dict[str, str]:
    start = prefix.encode() or b"\0"
    end = start.rstrip(b"\xff")
    end = end[:-1] + bytes([end[-1] + 1]) if prefix else b"\0"
    return {"key": _encode(start), "range_end": _encode(end)}


def _key_value(kv: dict[str, Any]) -> KeyValue:
    return KeyValue(
        b64decode(kv["key"]).decode(),
        b64decode(kv.get("value", "")),
        int(kv["mod_revision"]),
    )


async def _chunks(response: httpcore.Response) -> AsyncGenerator[bytes, None]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except _TRANSPORT_ERRORS as error:
        raise StoreCallError(f"watch failed: {type(error).__name__}") from error


async def _lines(chunks: AsyncIterator[bytes]) -> AsyncGenerator[bytes, None]:
    buffer = b""
    async for chunk in chunks:
        buffer += chunk
        if len(buffer) > MAX_WATCH_LINE_BYTES:
            raise StoreCallError("watch response line is too long")
        *lines, buffer = buffer.split(b"\n")
        for line in lines:
            yield line


def _watch_result(line: bytes) -> dict[str, Any]:
    try:
        response: Any = decode_json(line, Any)
        result = response["result"]
    except (KeyError, TypeError, ValueError) as error:
        raise StoreCallError("watch response is malformed or missing") from error
    if not isinstance(result, dict):
        raise StoreCallError("watch response is malformed")
    if result.get("canceled"):
        raise StoreCallError(
            f"watch cancelled, compact revision {result.get('compact_revision', 0)}"
        )
    return result


def _event_key_value(event: dict[str, Any]) -> KeyValue:
    item = _key_value(event["kv"])
    return KeyValue(item.key, b"", 0) if event.get("type") == "DELETE" else item


async def _changes(
    lines: AsyncIterator[bytes],
) -> AsyncGenerator[tuple[KeyValue, ...], None]:
    async for line in lines:
        events = _watch_result(line).get("events") or ()
        try:
            items = tuple(_event_key_value(event) for event in events)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise StoreCallError("watch event is malformed") from error
        if items:
            yield items
    raise StoreCallError("the store closed the watch")
