"""Entry instances on one in-memory store, run in simulated time."""

from collections import Counter
from dataclasses import replace
from random import Random

from apricotgap.core import config_handlers, membership_handlers, placement
from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.lifecycle import ReadinessHandler
from apricotgap.core.reducer import Reducer
from apricotgap.core.state import EntryState, Identity
from apricotgap.model.peers import Usage

HANDLERS = (
    ReadinessHandler,
    *(
        getattr(module, name)
        for module in (config_handlers, membership_handlers)
        for name in module.__all__
    ),
)


def use_plain_usage(monkeypatch):
    """Replace usage reports by empty ones, for tests that do not cover them."""
    report = Usage({}, {}, {})
    monkeypatch.setattr(placement, "usage_report", lambda _: report, raising=False)
    monkeypatch.setattr(placement, "apply_usage", lambda *_: None, raising=False)


class FakeStore:
    """In-memory store of keys with revisions and leases.

    Each item of `write_faults` makes the result of one root write unknown: "before"
    drops the write, a function is called after the write was applied.
    """

    def __init__(self):
        self.data, self.revision, self.leases = {}, 0, {}
        self.down, self.write_faults, self.calls, self.n_written = (
            set(),
            [],
            Counter(),
            0,
        )
        self.n_read = 0

    def put(self, key, value, lease=0):
        self.revision += 1
        self.n_written += len(value)
        self.data[key] = (value, self.revision, lease)

    def item(self, key):
        value, revision, _ = self.data.get(key, (b"", 0, 0))
        return ev.KeyValue(key, value, revision)

    def expire(self, lease):
        self.leases.pop(lease, None)
        self.data = {k: v for k, v in self.data.items() if not lease or v[2] != lease}

    def answer(self, effect, node, at_ms):  # noqa: PLR0912
        """Return the event that results from an effect, None if there is none."""
        for lease in [k for k, until in self.leases.items() if until < at_ms]:
            self.expire(lease)
        call_id = getattr(effect, "call_id", None)
        if node in self.down:
            if isinstance(effect, fx.StoreCas | fx.StoreDelete):
                return ev.CasFinished(at_ms, call_id, effect.key, ev.CasResult.UNKNOWN)
            return ev.StoreCallFailed(at_ms, call_id) if call_id else None
        self.calls[type(effect).__name__, getattr(effect, "key", "")] += 1
        match effect:
            case fx.StoreGet():
                item = self.item(effect.key)
                self.n_read += 0 if effect.keys_only else len(item.value)
                items = (replace(item, value=b"") if effect.keys_only else item,)
                return ev.StoreReadFinished(at_ms, call_id, items, at_ms)
            case fx.StoreList():
                keys = [k for k in self.data if k.startswith(effect.prefix)]
                items = tuple(map(self.item, keys))
                return ev.StoreReadFinished(at_ms, call_id, items, at_ms)
            case fx.StoreCas() | fx.StoreDelete():
                return self._write(effect, at_ms)
            case fx.GrantLease():
                lease = len(self.calls) + self.revision * 1000 + len(self.leases) + 1
                self.leases[lease] = at_ms + effect.ttl_ms
                return ev.LeaseGranted(at_ms, call_id, lease, effect.ttl_ms, at_ms)
            case fx.RenewLease():
                if effect.lease_id not in self.leases:
                    return ev.LeaseLost(at_ms, effect.lease_id)
                self.leases[effect.lease_id] = at_ms + 10_000
                return ev.LeaseRenewed(at_ms, effect.lease_id, 10_000, at_ms)
            case fx.RevokeLease():
                self.expire(effect.lease_id)
        return None

    def _write(self, effect, at_ms):
        fault = (
            self.write_faults.pop(0)
            if self.write_faults and "root" in effect.key
            else ""
        )
        if fault == "before":
            return ev.CasFinished(
                at_ms, effect.call_id, effect.key, ev.CasResult.UNKNOWN
            )
        result = ev.CasResult.CONFLICT
        if self.item(effect.key).revision == effect.expected_revision:
            result = ev.CasResult.STORED
            if isinstance(effect, fx.StoreDelete):
                del self.data[effect.key]
            else:
                self.put(effect.key, effect.value, effect.lease_id)
        if callable(fault):
            fault()
        if fault:
            result = ev.CasResult.UNKNOWN
        return ev.CasFinished(
            at_ms, effect.call_id, effect.key, result, self.item(effect.key).revision
        )


class Fleet:
    """Entry instances, named ``<data centre><number>``, and their connections.

    `cut` holds the pairs whose messages are lost although they are connected.
    """

    def __init__(self, *names, seeds=(), store=None):
        self.store = store or FakeStore()
        self.at_ms, self.nodes, self.cut, self.log = 1_000, {}, set(), []
        self.watching = True
        for name in names:
            self.add(name, seeds)
        for name in names:
            self.step(name, ev.Started(self.at_ms))

    def add(self, name, seeds=(), incarnation="1"):
        identity = Identity(name, incarnation, name[0], f"{name}:1")
        state = EntryState(identity, Random(name))
        state.seeds = {seed: f"{seed}:1" for seed in seeds}
        self.nodes[name] = Reducer(state, HANDLERS)

    def state(self, name):
        return self.nodes[name].state

    def link(self, one, other):
        for a, b in ((one, other), (other, one)):
            self.step(a, ev.PeerConnected(self.at_ms, b, b[0], "1"))

    def unlink(self, one, other):
        self.step(one, ev.PeerDisconnected(self.at_ms, other))
        self.step(other, ev.PeerDisconnected(self.at_ms, one))

    def step(self, name, event):
        self.run(name, self.nodes[name].step(event))

    def run(self, name, effects):
        for effect in effects:
            self.log.append((name, effect))
            if isinstance(effect, fx.SendPeer):
                pair = frozenset((name, effect.peer))
                known = self.nodes.get(effect.peer)
                if known and name in known.state.members.peers and pair not in self.cut:
                    event = ev.PeerReceived(self.at_ms, name, effect.message)
                    self.step(effect.peer, event)
                continue
            revision = self.store.revision
            event = self.store.answer(effect, name, self.at_ms)
            if isinstance(effect, fx.StoreCas) and self.store.revision > revision:
                self._watch(effect.key)
            if event is not None:
                self.step(name, event)

    def _watch(self, key):
        prefix = key if key == "config/root" else "members/"
        if not self.watching or not key.startswith(prefix):
            return
        for name in self.nodes:
            if name not in self.store.down:
                item = (self.store.item(key),)
                self.step(name, ev.StoreChanged(self.at_ms, prefix, item))

    def pass_time(self, ms, *names):
        for _ in range(ms // 100):
            self.at_ms += 100
            for name in names or self.nodes:
                self.step(name, ev.Tick(self.at_ms))

    def logged(self, event):
        return [
            e for _, e in self.log if isinstance(e, fx.LogChange) and e.event == event
        ]
