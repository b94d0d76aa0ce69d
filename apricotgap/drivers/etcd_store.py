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
from apricotgap.drivers.store_api import (
    MAX_VALUE_BYTES,
    CasAnswer,
    Lease,
    Snapshot,
    Store,
    StoreCallError,
)

__all__ = ["EtcdStore"]

WATCH_IDLE_MS = 30_000
MAX_WATCH_LINE_BYTES = 16 * MAX_VALUE_BYTES

_NEVER_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
# Request timeout and client closed request say nothing about the effect.
_MAY_HAVE_RUN = (408, 499)
_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    OSError,
)


class _AnswerLost(Exception):
    """The call may have reached the store, but no usable answer came."""


class EtcdStore(Store):
    """Client of the etcd v3 JSON gateway over httpcore.

    Parameters
    ----------
    endpoints : sequence of str
        Base URLs such as ``http://10.0.0.1:2379``. The last one that answered is
        tried first.
    entry : str
        Name of this entry instance, sent as ``Apricotgap-Entry``.
    timeout_ms : int
        Longest time for a whole call.
    watch_idle_ms : int
        A watch that delivers nothing for this long counts as broken, since an
        open connection can go silent for good.
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
        self._preferred = 0
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
        return await self._range(_range_of(prefix))

    async def cas(
        self, key: str, expected_revision: int, value: bytes, lease_id: int = 0
    ) -> CasAnswer:
        """Write a key if its revision is `expected_revision`."""
        if len(value) > MAX_VALUE_BYTES:
            raise StoreCallError(f"value of {key} is above {MAX_VALUE_BYTES} bytes")
        put = {"key": _encode(key.encode()), "value": _encode(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        return await self._write(key, expected_revision, {"request_put": put})

    async def delete(self, key: str, expected_revision: int) -> CasAnswer:
        """Delete a key if its revision is `expected_revision`."""
        delete = {"key": _encode(key.encode())}
        return await self._write(
            key, expected_revision, {"request_delete_range": delete}
        )

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Ask for a lease, in whole seconds."""
        ttl_s = -(-ttl_ms // 1000)
        # A repeated grant only leaves an unused lease that lapses.
        answer = await self._read("/v3/lease/grant", {"TTL": str(ttl_s)})
        try:
            return Lease(int(answer["ID"]), int(answer["TTL"]) * 1000)
        except (KeyError, TypeError, ValueError) as error:
            raise StoreCallError("lease answer is malformed") from error

    async def keep_alive(self, lease_id: int) -> int:
        """Renew a lease."""
        answer = await self._read("/v3/lease/keepalive", {"ID": str(lease_id)})
        try:
            return max(0, int(answer["result"].get("TTL", 0))) * 1000
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise StoreCallError("keep-alive answer is malformed") from error

    async def revoke(self, lease_id: int) -> None:
        """Give a lease back."""
        await self._read("/v3/lease/revoke", {"ID": str(lease_id)})

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int = 0
    ) -> AsyncIterator[AsyncIterator[tuple[KeyValue, ...]]]:
        """Watch all keys below `prefix`."""
        create: dict[str, str] = _range_of(prefix)
        if from_revision:
            create["start_revision"] = str(from_revision)
        url = self._endpoints[self._preferred] + "/v3/watch"
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
                    raise StoreCallError(f"watch refused with status {response.status}")
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
        except _FAILURES as error:
            self._prefer_next()
            raise StoreCallError(f"watch broke: {type(error).__name__}") from error
        except StoreCallError:
            self._prefer_next()
            raise

    async def _range(self, span: dict[str, str]) -> Snapshot:
        answer = await self._read("/v3/kv/range", span)
        try:
            items = tuple(_item(kv) for kv in answer.get("kvs") or ())
            return Snapshot(items, int(answer["header"]["revision"]))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreCallError("range answer is malformed") from error

    async def _read(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            return await self._call(path, body, repeatable=True)
        except _AnswerLost as error:
            raise StoreCallError(f"{path}: {error}") from error

    async def _write(
        self, key: str, expected_revision: int, change: dict[str, Any]
    ) -> CasAnswer:
        compare = {
            "key": _encode(key.encode()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_revision),
        }
        body = {"compare": [compare], "success": [change], "failure": []}
        try:
            answer = await self._call("/v3/kv/txn", body, repeatable=False)
            # The gateway leaves `succeeded` out when false, so an answer counts as a
            # conflict only when its header shows that the store made it.
            revision = int(answer["header"]["revision"])
            if not answer.get("succeeded", False):
                return CasAnswer(CasResult.CONFLICT)
            return CasAnswer(CasResult.STORED, revision)
        except (_AnswerLost, KeyError, TypeError, ValueError):
            return CasAnswer(CasResult.UNKNOWN)

    async def _call(
        self, path: str, body: dict[str, Any], repeatable: bool
    ) -> dict[str, Any]:
        """Call the endpoints in turn; a write goes on only if nothing was sent."""
        content = json.dumps(body).encode()
        n_endpoints = len(self._endpoints)
        # A pooled connection may have been closed meanwhile, so a read has a second
        # try even with one endpoint.
        n_tries = max(2, n_endpoints) if repeatable else n_endpoints
        failure = "no endpoint could be reached"
        lost = False
        with trio.move_on_after(self._timeout_ms / 1000) as scope:
            for _ in range(n_tries):
                try:
                    return await self._post(path, content)
                except _NEVER_SENT as error:
                    failure = type(error).__name__
                except (*_FAILURES, _AnswerLost) as error:
                    failure, lost = str(error) or type(error).__name__, True
                self._prefer_next()
                if lost and not repeatable:
                    break
        if lost or scope.cancelled_caught:
            raise _AnswerLost("timed out" if scope.cancelled_caught else failure)
        raise StoreCallError(f"{path}: {failure}")

    async def _post(self, path: str, content: bytes) -> dict[str, Any]:
        share_s = self._timeout_ms / 1000 / len(self._endpoints)
        phases = ("connect", "pool", "write", "read")
        response = await self._pool.request(
            "POST",
            self._endpoints[self._preferred] + path,
            headers=self._headers,
            content=content,
            extensions={"timeout": dict.fromkeys(phases, share_s)},
        )
        if 400 <= response.status < 500 and response.status not in _MAY_HAVE_RUN:
            raise StoreCallError(f"{path}: refused with status {response.status}")
        if response.status != 200:
            raise _AnswerLost(f"status {response.status}")
        try:
            answer = json.loads(response.content)
        except ValueError as error:
            raise _AnswerLost("the answer is not JSON") from error
        if not isinstance(answer, dict):
            raise _AnswerLost("the answer is not an object")
        return answer

    def _prefer_next(self) -> None:
        if len(self._endpoints) == 1:
            return
        self._preferred = (self._preferred + 1) % len(self._endpoints)
        self._log.info(
            "store endpoint changed", endpoint=self._endpoints[self._preferred]
        )


def _encode(data: bytes) -> str:
    return b64encode(data).decode()


def _range_of(prefix: str) -> dict[str, str]:
    start = prefix.encode() or b"\0"
    end = start.rstrip(b"\xff")
    end = end[:-1] + bytes([end[-1] + 1]) if prefix else b"\0"
    return {"key": _encode(start), "range_end": _encode(end)}


def _item(kv: dict[str, Any]) -> KeyValue:
    return KeyValue(
        b64decode(kv["key"]).decode(),
        b64decode(kv.get("value", "")),
        int(kv["mod_revision"]),
    )


async def _chunks(response: httpcore.Response) -> AsyncGenerator[bytes, None]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except _FAILURES as error:
        raise StoreCallError(f"watch broke: {type(error).__name__}") from error


async def _lines(chunks: AsyncIterator[bytes]) -> AsyncGenerator[bytes, None]:
    buffer = b""
    async for chunk in chunks:
        buffer += chunk
        if len(buffer) > MAX_WATCH_LINE_BYTES:
            raise StoreCallError("a watch answer is too long")
        *lines, buffer = buffer.split(b"\n")
        for line in lines:
            yield line


def _watch_result(line: bytes) -> dict[str, Any]:
    try:
        result = json.loads(line)["result"]
    except (KeyError, TypeError, ValueError) as error:
        raise StoreCallError("watch answer is malformed or missing") from error
    if not isinstance(result, dict):
        raise StoreCallError("watch answer is malformed")
    if result.get("canceled"):
        raise StoreCallError(
            f"watch cancelled, compact revision {result.get('compact_revision', 0)}"
        )
    return result


def _changed_item(event: dict[str, Any]) -> KeyValue:
    item = _item(event["kv"])
    return KeyValue(item.key, b"", 0) if event.get("type") == "DELETE" else item


async def _changes(
    lines: AsyncIterator[bytes],
) -> AsyncGenerator[tuple[KeyValue, ...], None]:
    async for line in lines:
        events = _watch_result(line).get("events") or ()
        try:
            items = tuple(_changed_item(event) for event in events)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise StoreCallError("watch event is malformed") from error
        if items:
            yield items
    raise StoreCallError("the store ended the watch")
