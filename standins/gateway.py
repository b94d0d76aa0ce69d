"""The key-value store behind the published etcd v3 JSON gateway format."""

from base64 import b64decode, b64encode
from collections import Counter
from typing import Any

import trio

from standins.faults import Fault, Faults
from standins.key_values import Change, KeyValues, Record, in_range
from standins.serving import Exchange

__all__ = ["FAULT_KINDS", "Gateway"]

FAULT_KINDS = frozenset(
    {"store_down", "store_slow", "store_lost_answers", "store_silent_watches"}
)
MAX_VALUE_BYTES = 1_000_000
LEASE_CHECK_S = 0.1

_GRPC_INVALID, _GRPC_NOT_FOUND, _GRPC_UNAVAILABLE = 3, 5, 14


class _Refused(Exception):
    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


class Gateway:
    """Answers the store's calls.

    Parameters
    ----------
    state : KeyValues
        The state.
    faults : Faults
        Faults to apply; kinds are `FAULT_KINDS`.
    """

    def __init__(self, state: KeyValues, faults: Faults) -> None:
        self._state = state
        self._faults = faults
        self._counts: Counter[str] = Counter()
        self._calls_by_entry: Counter[str] = Counter()
        self._n_watches = 0
        self._routes = {
            "/v3/kv/range": ("reads", self._range),
            "/v3/kv/txn": ("writes", self._txn),
            "/v3/kv/deleterange": ("writes", self._delete_range),
            "/v3/lease/grant": ("writes", self._grant),
            "/v3/lease/revoke": ("writes", self._revoke),
            "/v3/lease/keepalive": ("keep_alives", self._keep_alive),
        }

    def counters(self) -> dict[str, Any]:
        """Count calls so far; a waiting watch is counted while it is open."""
        return {
            "reads": self._counts["reads"],
            "writes": self._counts["writes"],
            "keep_alives": self._counts["keep_alives"],
            "watches_opened": self._counts["watches"],
            "waiting_watches": self._n_watches,
            "calls_by_entry": dict(self._calls_by_entry),
            "revision": self._state.revision,
        }

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        entry = exchange.header("apricotgap-entry")
        self._calls_by_entry[entry] += 1
        down = self._faults.hit("store_down", entry)
        if down is not None:
            await _answer_down(exchange, down)
            return
        slow = self._faults.hit("store_slow", entry)
        if slow is not None:
            await trio.sleep(slow.delay_ms / 1000)
        if exchange.path == "/v3/watch":
            await self._watch(exchange, entry)
            return
        await self._call(exchange, entry)

    async def _call(self, exchange: Exchange, entry: str) -> None:
        route = self._routes.get(exchange.path)
        if route is None or exchange.method != "POST":
            await exchange.answer_json(404, {"message": "Not Found", "code": 5})
            return
        kind, handler = route
        self._counts[kind] += 1
        try:
            answer = handler(exchange.json())
        except _Refused as error:
            body = {"error": str(error), "message": str(error), "code": error.code}
            await exchange.answer_json(error.status, body)
            return
        if self._faults.hit("store_lost_answers", entry) is not None:
            await exchange.lose_answer()
            return
        await exchange.answer_json(200, answer)

    def _header(self) -> dict[str, str]:
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self._state.revision),
            "raft_term": "1",
        }

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        limit = int(body.get("limit", 0))
        found, n = self._state.range(_key(body), _range_end(body), limit)
        answer: dict[str, Any] = {"header": self._header()}
        if found:
            answer["kvs"] = [_kv(record) for record in found]
        if len(found) < n:
            answer["more"] = True
        if n:
            answer["count"] = str(n)
        return answer

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        compares = body.get("compare") or []
        if len(compares) != 1 or compares[0].get("target") != "MOD":
            raise _Refused(400, _GRPC_INVALID, "exactly one MOD compare is supported")
        compare = compares[0]
        if compare.get("result", "EQUAL") != "EQUAL":
            raise _Refused(400, _GRPC_INVALID, "only EQUAL is supported")
        expected = int(compare.get("mod_revision", 0))
        succeeded = self._state.mod_revision(_key(compare)) == expected
        operations = body.get("success" if succeeded else "failure") or []
        for operation in operations:
            self._check(operation)
        responses = [self._operate(operation) for operation in operations]
        answer: dict[str, Any] = {"header": self._header()}
        # The gateway leaves out fields with their default value.
        if succeeded:
            answer["succeeded"] = True
        if responses:
            answer["responses"] = responses
        return answer

    def _check(self, operation: dict[str, Any]) -> None:
        put = operation.get("request_put")
        if put is None:
            return
        if len(b64decode(put.get("value", ""))) > MAX_VALUE_BYTES:
            raise _Refused(400, _GRPC_INVALID, "etcdserver: request is too large")
        lease_id = int(put.get("lease", 0))
        if lease_id and not self._state.has_lease(lease_id):
            message = "etcdserver: requested lease not found"
            raise _Refused(404, _GRPC_NOT_FOUND, message)

    def _operate(self, operation: dict[str, Any]) -> dict[str, Any]:
        match operation:
            case {"request_put": put}:
                value = b64decode(put.get("value", ""))
                self._state.put(_key(put), value, int(put.get("lease", 0)))
                return {"response_put": {"header": self._header()}}
            case {"request_delete_range": delete}:
                return {"response_delete_range": self._delete_range(delete)}
            case {"request_range": wanted}:
                return {"response_range": self._range(wanted)}
        raise _Refused(400, _GRPC_INVALID, "unknown operation")

    def _delete_range(self, body: dict[str, Any]) -> dict[str, Any]:
        n = self._state.delete(_key(body), _range_end(body))
        answer: dict[str, Any] = {"header": self._header()}
        return {**answer, "deleted": str(n)} if n else answer

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl_s = int(body["TTL"])
        if ttl_s <= 0:
            raise _Refused(400, _GRPC_INVALID, "TTL must be positive")
        lease_id = self._state.grant(ttl_s)
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl_s)}

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = int(body["ID"])
        result = {"header": self._header(), "ID": str(lease_id)}
        ttl_s = self._state.keep_alive(lease_id)
        return {"result": {**result, "TTL": str(ttl_s)} if ttl_s else result}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        if not self._state.revoke(int(body["ID"])):
            message = "etcdserver: requested lease not found"
            raise _Refused(404, _GRPC_NOT_FOUND, message)
        return {"header": self._header()}

    async def _watch(self, exchange: Exchange, entry: str) -> None:
        create = exchange.json()["create_request"]
        first_revision = int(create.get("start_revision", 0))
        span = (_key(create), _range_end(create))
        self._counts["watches"] += 1
        self._n_watches += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._send_changes, exchange, span, first_revision, entry, nursery
                )
                await exchange.until_disconnected()
                nursery.cancel_scope.cancel()
        finally:
            self._n_watches -= 1

    async def _send_changes(
        self,
        exchange: Exchange,
        span: tuple[bytes, bytes],
        first_revision: int,
        entry: str,
        nursery: trio.Nursery,
    ) -> None:
        next_revision = first_revision or self._state.revision + 1
        await exchange.start_stream()
        base = {"header": self._header(), "watch_id": "0"}
        await exchange.send_line({"result": {**base, "created": True}})
        while True:
            down = self._faults.active("store_down", entry)
            if down is not None and down.options.get("mode") != "silent":
                break
            oldest = self._state.compact_revision
            if next_revision < oldest:
                cancel = {"canceled": True, "compact_revision": str(oldest)}
                await exchange.send_line({"result": {**base, **cancel}})
                break
            changed = self._state.changed
            changes = self._state.changes_from(next_revision)
            if changes:
                next_revision = changes[-1].record.mod_revision + 1
            events = [_event(c) for c in changes if in_range(c.record.key, *span)]
            silent = down or self._faults.active("store_silent_watches", entry)
            if events and not silent:
                result = {"header": self._header(), "watch_id": "0", "events": events}
                await exchange.send_line({"result": result})
            # Wakes also for lapsed leases and faults that end.
            with trio.move_on_after(LEASE_CHECK_S):
                await changed.wait()
        await exchange.end_stream()
        nursery.cancel_scope.cancel()


async def _answer_down(exchange: Exchange, down: Fault) -> None:
    if down.options.get("mode") == "silent":
        await exchange.until_disconnected()
        return
    message = "etcdserver: no leader"
    body = {"error": message, "message": message, "code": _GRPC_UNAVAILABLE}
    await exchange.answer_json(503, body)


def _key(body: dict[str, Any]) -> bytes:
    return b64decode(body.get("key", ""))


def _range_end(body: dict[str, Any]) -> bytes:
    return b64decode(body.get("range_end", ""))


def _kv(record: Record) -> dict[str, str]:
    fields = {
        "key": b64encode(record.key).decode(),
        "mod_revision": str(record.mod_revision),
    }
    if record.version:
        fields["create_revision"] = str(record.create_revision)
        fields["version"] = str(record.version)
    if record.value:
        fields["value"] = b64encode(record.value).decode()
    if record.lease_id:
        fields["lease"] = str(record.lease_id)
    return fields


def _event(change: Change) -> dict[str, Any]:
    # PUT is the default type and is left out.
    kv = _kv(change.record)
    return {"type": "DELETE", "kv": kv} if change.deleted else {"kv": kv}
