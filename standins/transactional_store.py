"""Stand-in of the platform's store: transactions, leases, watches and faults."""

import itertools
from base64 import b64encode
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import trio

from standins.serving import Exchange, Listener, now_ms

__all__ = ["TransactionalStore"]

MAX_ENTRIES = 32


def _revision(row: dict[str, Any]) -> int:
    return int(row["revision"])


@dataclass
class _Item:
    value: str
    revision: int
    created: int
    lease: int = 0


@dataclass
class Faults:
    """What the store does wrong; tests set the fields."""

    is_busy: bool = False
    is_silent: bool = False
    n_lost_answers: int = 0
    n_late_writes: int = 0


@dataclass
class TransactionalStore:
    """The state and the HTTP interface of one store."""

    faults: Faults = field(default_factory=Faults)
    revision: int = 1
    oldest_revision: int = 0

    def __post_init__(self) -> None:
        self.items: dict[str, _Item] = {}
        self.n_calls: Counter[str] = Counter()
        self.leases: dict[int, tuple[int, int]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = trio.Event()
        self._numbers = itertools.count(7)
        self.listener = Listener(self._serve)

    @property
    def address(self) -> str:
        """Address of the HTTP interface."""
        return self.listener.address

    def forget_history(self) -> None:
        """Drop the history, so that watches must read anew."""
        self._history.clear()
        self.oldest_revision = self.revision

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the operator or a worker does."""
        self.revision += 1
        self._put(key, b64encode(value).decode(), lease)
        self._notify()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key as the operator does."""
        self.revision += 1
        self._remove(key)
        self._notify()

    def _put(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._history.append(self._row(key))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._history.append(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _row(self, key: str) -> dict[str, Any]:
        item = self.items.get(key)
        if item is None:
            return {"key": key, "revision": 0}
        return {"key": key, **vars(item)}

    def _expire(self) -> None:
        for lease, (_, until_ms) in list(self.leases.items()):
            if until_ms <= now_ms():
                self._end(lease)

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        self.revision += 1
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self._remove(key)
        self._notify()

    async def run_leases(self) -> None:
        """End leases as their time comes, until cancelled."""
        while True:
            await trio.sleep(0.05)
            self._expire()

    async def _serve(self, exchange: Exchange) -> None:
        path = exchange.path
        query = {key: values[0] for key, values in parse_qs(exchange.query).items()}
        if self.faults.is_silent:
            await exchange.until_disconnected()
            return
        if self.faults.is_busy:
            await exchange.answer_json(503, {})
            return
        self._expire()
        self.n_calls[path.removeprefix("/v1/").partition("/")[0]] += 1
        handlers = {
            "/v1/kv-key": self._get,
            "/v1/kv-range": self._range,
            "/v1/kv-watch": self._watch,
        }
        if path in handlers:
            await handlers[path](exchange, query)
        elif path == "/v1/kv-txn":
            await self._txn(exchange)
        elif path == "/v1/kv-lease":
            ttl_ms = exchange.json()["ttlMs"]
            lease = next(self._numbers)
            self.leases[lease] = (ttl_ms, now_ms() + ttl_ms)
            await exchange.answer_json(200, {"lease": lease, "ttlMs": ttl_ms})
        elif path.startswith("/v1/kv-keep/"):
            await self._keep(exchange, int(path.rpartition("/")[2]))
        elif path.startswith("/v1/kv-lease-end/"):
            self._end(int(path.rpartition("/")[2]))
            await exchange.answer_json(200, {})
        else:
            await exchange.answer_json(404, {})

    async def _keep(self, exchange: Exchange, lease: int) -> None:
        if lease not in self.leases:
            await exchange.answer_json(404, {})
            return
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, now_ms() + ttl_ms)
        await exchange.answer_json(200, {"ttlMs": ttl_ms})

    async def _get(self, exchange: Exchange, query: dict[str, str]) -> None:
        status = 200 if query["key"] in self.items else 404
        await exchange.answer_json(status, self._row(query["key"]))

    async def _range(self, exchange: Exchange, query: dict[str, str]) -> None:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        rows = [self._row(key) for key in keys[:500]]
        page = {"items": rows, "hasMore": len(keys) > 500, "at": self.revision}
        await exchange.answer_json(200, page)

    async def _watch(self, exchange: Exchange, query: dict[str, str]) -> None:
        after, prefix = int(query["after"]), query["prefix"]
        seen = after
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while after >= self.oldest_revision and not self._events(seen, prefix):
                seen = self.revision
                await self._changed.wait()
        if after < self.oldest_revision:
            await exchange.answer_json(410, {})
            return
        # Read after the wait: changes may come in the moment in which it ends.
        page = {"events": self._events(after, prefix), "at": self.revision}
        await exchange.answer_json(200, page)

    def _events(self, after: int, prefix: str) -> list[dict[str, Any]]:
        first = bisect_right(self._history, after, key=_revision)
        return [
            row
            for row in itertools.islice(self._history, first, None)
            if row["key"].startswith(prefix)
        ]

    async def _txn(self, exchange: Exchange) -> None:
        body = exchange.json()
        if self.faults.n_late_writes:
            self.faults.n_late_writes -= 1
            await exchange.lose_answer()
            await trio.sleep(0.3)
            self._apply(body)
            return
        status, answer = self._apply(body)
        if self.faults.n_lost_answers:
            self.faults.n_lost_answers -= 1
            await exchange.lose_answer()
            return
        await exchange.answer_json(status, answer)

    def _apply(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = body.get("expectedRevision", [])
        writes = body.get("setKeys", [])
        removals = body.get("remove", [])
        if len(conditions) + len(writes) + len(removals) > MAX_ENTRIES:
            return 400, {}
        rows = [self._row(row["key"]) for row in conditions]
        if any(
            row["revision"] != wanted["revision"]
            for row, wanted in zip(rows, conditions, strict=True)
        ):
            # A key that does not exist has no state to show.
            found = [row for row in rows if row["revision"]]
            return 412, {"items": found, "at": self.revision}
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in removals:
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}
