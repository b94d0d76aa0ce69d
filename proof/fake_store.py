"""A key-value store with compare-and-swap, leases, watches and faults."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.limits import CAS_TIMEOUT_MS
from proof.schedule import Schedule

__all__ = ["FakeStore"]

Post = Callable[[Callable[[int], ev.Event]], None]


@dataclass(slots=True)
class _Value:
    value: bytes
    revision: int
    lease_id: int


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    ends_ms: int
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Watch:
    prefix: str
    post: Post
    client: str
    silent: bool = False


class FakeStore:
    """The store's behaviour in virtual time.

    Set `down`, `slow_ms`, `lose_answers` (of the next writes), `delay_writes_ms`
    (the answer is lost and the write takes effect late) or `silent_watches` to
    make it fail.
    """

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        self._values: dict[str, _Value] = {}
        self._leases: dict[int, _Lease] = {}
        self._watches: list[_Watch] = []
        self._last_revision = 0
        self._lease_ids = itertools.count(1)
        self.down = False
        self.slow_ms = 0
        self.lose_answers = 0
        self.delay_writes_ms = 0
        self.silent_watches = False
        self.checks_revision = True
        self.n_reads = 0
        self.n_writes = 0
        self.on_write: Callable[[str, bytes], None] = lambda key, value: None

    @property
    def n_watches(self) -> int:
        """Number of waiting watches."""
        return len(self._watches)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, None if it is absent."""
        self._expire()
        found = self._values.get(key)
        return found.value if found else None

    def values(self, prefix: str) -> dict[str, bytes]:
        """Return the values below a prefix."""
        self._expire()
        return {
            key: found.value
            for key, found in sorted(self._values.items())
            if key.startswith(prefix)
        }

    def call(
        self,
        effect: fx.Effect,
        *,
        client: str,
        reachable: Callable[[], bool],
        link_ms: float,
        sent_ms: int,
        post: Post,
    ) -> None:
        """Run a store effect of `client`."""
        if isinstance(effect, fx.OpenWatch):
            action: Callable[[], None] = lambda: self._open(effect, client, post)  # noqa: E731
        else:
            action = lambda: self._serve(effect, sent_ms, link_ms, post)  # noqa: E731

        def arrive() -> None:
            if self.down or not reachable():
                self._fail(effect, post)
            else:
                action()

        self._schedule.after(link_ms + self.slow_ms, arrive)

    def lapse_lease_of(self, key: str) -> None:
        """End the lease that a key is bound to, as if it had lapsed."""
        found = self._values.get(key)
        if found is not None and found.lease_id:
            self._end_lease(found.lease_id)

    def break_watches(self, client: str | None = None) -> None:
        """Break open watches, of one client or of all."""
        for watch in list(self._watches):
            if client in (None, watch.client):
                self._watches.remove(watch)
                watch.post(lambda at, p=watch.prefix: ev.WatchBroken(at, p))

    def _fail(self, effect: fx.Effect, post: Post) -> None:
        build: Callable[[int], ev.Event]
        if isinstance(effect, fx.OpenWatch):
            build = lambda at: ev.WatchBroken(at, effect.prefix)  # noqa: E731
        elif isinstance(effect, (fx.StoreCas, fx.StoreDelete)):
            build = lambda at: ev.CasFinished(  # noqa: E731
                at, effect.call_id, effect.key, ev.CasResult.UNKNOWN
            )
        elif isinstance(effect, (fx.RenewLease, fx.RevokeLease)):
            return
        else:
            call_id = effect.call_id  # type: ignore[attr-defined]
            build = lambda at: ev.StoreCallFailed(at, call_id)  # noqa: E731
        self._schedule.after(CAS_TIMEOUT_MS, lambda: post(build))

    def _serve(
        self, effect: fx.Effect, sent_ms: int, link_ms: float, post: Post
    ) -> None:
        self._expire()
        if isinstance(effect, (fx.StoreCas, fx.StoreDelete)):
            self._write(effect, link_ms, post)
            return
        build = self._answer(effect, sent_ms)
        if build is not None:
            self._schedule.after(link_ms, lambda: post(build))

    def _answer(
        self, effect: fx.Effect, sent_ms: int
    ) -> Callable[[int], ev.Event] | None:
        if isinstance(effect, fx.StoreGet):
            self.n_reads += 1
            items = (self._item(effect.key),)
            if effect.keys_only:
                items = tuple(ev.KeyValue(i.key, b"", i.revision) for i in items)
            revision = self._last_revision
            return lambda at: ev.StoreReadFinished(
                at, effect.call_id, items, sent_ms, revision
            )
        if isinstance(effect, fx.StoreList):
            self.n_reads += 1
            keys = sorted(k for k in self._values if k.startswith(effect.prefix))
            found = tuple(self._item(key) for key in keys)
            revision = self._last_revision
            return lambda at: ev.StoreReadFinished(
                at, effect.call_id, found, sent_ms, revision
            )
        self.n_writes += 1
        if isinstance(effect, fx.GrantLease):
            lease_id = next(self._lease_ids)
            ends_ms = self._schedule.now_ms + effect.ttl_ms
            self._leases[lease_id] = _Lease(effect.ttl_ms, ends_ms)
            return lambda at: ev.LeaseGranted(
                at, effect.call_id, lease_id, effect.ttl_ms, sent_ms
            )
        if isinstance(effect, fx.RenewLease):
            lease = self._leases.get(effect.lease_id)
            if lease is None:
                return lambda at: ev.LeaseLost(at, effect.lease_id)
            lease.ends_ms = self._schedule.now_ms + lease.ttl_ms
            ttl_ms = lease.ttl_ms
            return lambda at: ev.LeaseRenewed(at, effect.lease_id, ttl_ms, sent_ms)
        if isinstance(effect, fx.RevokeLease):
            self._end_lease(effect.lease_id)
        return None

    def _write(
        self, effect: fx.StoreCas | fx.StoreDelete, link_ms: float, post: Post
    ) -> None:
        self.n_writes += 1
        if self.delay_writes_ms:
            self._schedule.after(self.delay_writes_ms, lambda: self._apply(effect))
            self._fail(effect, post)
            return
        result, revision = self._apply(effect)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self._fail(effect, post)
            return
        self._schedule.after(
            link_ms,
            lambda: post(
                lambda at: ev.CasFinished(
                    at, effect.call_id, effect.key, result, revision
                )
            ),
        )

    def _apply(self, effect: fx.StoreCas | fx.StoreDelete) -> tuple[ev.CasResult, int]:
        self._expire()
        current = self._values.get(effect.key)
        known = current.revision if current else 0
        if self.checks_revision and known != effect.expected_revision:
            return ev.CasResult.CONFLICT, 0
        self._last_revision += 1
        revision = self._last_revision
        if isinstance(effect, fx.StoreDelete):
            self._values.pop(effect.key, None)
            self._notify(ev.KeyValue(effect.key, b"", 0))
            self.on_write(effect.key, b"")
            return ev.CasResult.STORED, revision
        if effect.lease_id and effect.lease_id not in self._leases:
            return ev.CasResult.CONFLICT, 0
        if current is not None and current.lease_id in self._leases:
            self._leases[current.lease_id].keys.discard(effect.key)
        self._values[effect.key] = _Value(effect.value, revision, effect.lease_id)
        if effect.lease_id:
            self._leases[effect.lease_id].keys.add(effect.key)
        self._notify(ev.KeyValue(effect.key, effect.value, revision))
        self.on_write(effect.key, effect.value)
        return ev.CasResult.STORED, revision

    def _open(self, effect: fx.OpenWatch, client: str, post: Post) -> None:
        self._watches = [
            w
            for w in self._watches
            if not (w.client == client and w.prefix == effect.prefix)
        ]
        self._watches.append(_Watch(effect.prefix, post, client))
        post(lambda at: ev.WatchOpened(at, effect.prefix))

    def _notify(self, item: ev.KeyValue) -> None:
        if self.silent_watches:
            return
        for watch in self._watches:
            if item.key.startswith(watch.prefix):
                self._schedule.after(
                    1,
                    lambda w=watch: w.post(
                        lambda at: ev.StoreChanged(at, w.prefix, (item,))
                    ),
                )

    def _item(self, key: str) -> ev.KeyValue:
        found = self._values.get(key)
        if found is None:
            return ev.KeyValue(key, b"", 0)
        return ev.KeyValue(key, found.value, found.revision)

    def _expire(self) -> None:
        now_ms = self._schedule.now_ms
        for lease_id in [i for i, x in self._leases.items() if x.ends_ms <= now_ms]:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        for key in sorted(lease.keys) if lease else ():
            self._last_revision += 1
            self._values.pop(key, None)
            self._notify(ev.KeyValue(key, b"", 0))
