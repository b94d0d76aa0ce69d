"""Stand-in of the platform's store.

Each instance has an address of its own, so that a script can slow, watch or cut the
calls of one instance.
"""

import asyncio
import contextlib
import time
from base64 import b64decode, b64encode
from urllib.parse import unquote

from .http import Server

HISTORY = 100_000
MAX_ENTRIES = 32


def _now_ms():
    return time.monotonic() * 1000


class Door:
    """Address of the store for one caller.

    `delay_s` is how long the store takes for an answer. `on_call` is told each call
    before it is carried out.
    """

    def __init__(self, store):
        self._store = store
        self.delay_s = 0.004
        self.on_call = None
        self.server = Server(self._serve)

    @property
    def address(self):
        """Address as HOST:PORT."""
        return self.server.address

    async def _serve(self, request):
        if self.on_call is not None:
            self.on_call(request)
        await asyncio.sleep(self.delay_s / 2)
        answer = await self._store.serve(request)
        await asyncio.sleep(self.delay_s / 2)
        return answer


class Store:
    """Keys, revisions, leases and history."""

    def __init__(self, record):
        self._record = record
        self.revision = 10
        self.items = {}
        self._leases = {}
        self._down_since_ms = None
        self._n_leases = 100
        self._history = []
        self._changed = asyncio.Event()

    # What the operator and the workers do

    def put(self, key, value, lease=0):
        """Write a key."""
        self.revision += 1
        self._put(key, value, lease)
        self._notify()

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        self._remove(key)
        self._notify()

    def value(self, key):
        """Return the value of a key, None without one."""
        item = self.items.get(key)
        return b64decode(item["value"]) if item else None

    def go_down(self):
        """Answer 503 to all calls; leases pause meanwhile."""
        self._record("store: is down")
        self._down_since_ms = _now_ms()

    def come_back(self):
        """Answer again."""
        self._record("store: is back")
        down_ms = _now_ms() - self._down_since_ms
        self._down_since_ms = None
        for lease in self._leases.values():
            lease[1] += down_ms

    # Interface

    async def serve(self, request):
        """Carry out a call."""
        path, query = request.path, request.query
        if self._down_since_ms is not None:
            return 503, {}
        if path == "/v1/kv-key":
            key = unquote(query["key"])
            item = self.items.get(key)
            return (200, item) if item else (404, {})
        if path == "/v1/kv-range":
            return self._range(
                unquote(query["prefix"]), unquote(query.get("after", ""))
            )
        if path == "/v1/kv-watch":
            return await self._watch(
                unquote(query["prefix"]), int(query["after"]), int(query["waitMs"])
            )
        if path == "/v1/kv-txn":
            return self._txn(request.json())
        if path == "/v1/kv-lease":
            ttl_ms = request.json()["ttlMs"]
            self._n_leases += 1
            self._leases[self._n_leases] = [ttl_ms, _now_ms() + ttl_ms]
            return 200, {"lease": self._n_leases, "ttlMs": ttl_ms}
        if path.startswith("/v1/kv-keep/"):
            return self._keep(int(path.rpartition("/")[2]))
        if path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows = [self.items[key] for key in keys[:500]]
        return 200, {"items": rows, "hasMore": len(keys) > 500, "at": self.revision}

    async def _watch(self, prefix, after, wait_ms):
        until_ms = _now_ms() + wait_ms
        while True:
            events = [
                row
                for row in self._history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left_s = (until_ms - _now_ms()) / 1000
            if self._down_since_ms is not None:
                return 503, {}
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _txn(self, body):
        checks = body.get("expectedRevision", [])
        writes, removed = body.get("setKeys", []), body.get("remove", [])
        if len(checks) + len(writes) + len(removed) > MAX_ENTRIES:
            return 400, {}
        if any(w["key"].startswith(("op/", "servers/")) for w in writes):
            return 403, {}
        for check in checks:
            item = self.items.get(check["key"])
            if (item["revision"] if item else 0) != check["revision"]:
                rows = [self.items[c["key"]] for c in checks if c["key"] in self.items]
                return 412, {"items": rows}
        for write in writes:
            lease = write.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
        self.revision += 1
        for write in writes:
            self._put(write["key"], b64decode(write["value"]), write.get("lease", 0))
        for key in removed:
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}

    def _keep(self, lease):
        known = self._leases.get(lease)
        if known is None:
            return 404, {}
        known[1] = _now_ms() + known[0]
        return 200, {"ttlMs": known[0]}

    def _put(self, key, value, lease):
        known = self.items.get(key)
        item = {
            "key": key,
            "value": b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._history.append(item)
        if key.startswith("sys/owners/"):
            self._record(f"store: {key} is written with lease {lease}")

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self._history.append(
                {"key": key, "revision": self.revision, "tombstone": True}
            )
            if key.startswith("sys/owners/"):
                self._record(f"store: {key} is removed")

    def _notify(self):
        del self._history[:-HISTORY]
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return
        self.revision += 1
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)
        self._notify()

    async def run_leases(self):
        """End leases as their time comes, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self._down_since_ms is not None:
                continue
            for lease, (_, until_ms) in list(self._leases.items()):
                if until_ms <= _now_ms():
                    self._end_lease(lease)
