"""Runs store effects and posts store events."""

from collections import deque
from collections.abc import Callable

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.core.effects import (
    Effect,
    GrantLease,
    OpenWatch,
    RenewLease,
    RevokeLease,
    StoreCas,
    StoreDelete,
    StoreGet,
    StoreList,
)
from apricotgap.core.events import (
    CasFinished,
    Event,
    LeaseGranted,
    LeaseLost,
    LeaseRenewed,
    StoreCallFailed,
    StoreChanged,
    StoreReadFinished,
    WatchBroken,
    WatchOpened,
)
from apricotgap.drivers.store_api import Snapshot, Store, StoreCallError

__all__ = ["StoreDriver"]

MAX_CONCURRENT = 32
MAX_WAITING = 2_000


class StoreDriver:
    """Runs store effects; effects on the same key run in order.

    Parameters
    ----------
    store : Store
        Client of the store.
    post : callable
        Synchronous function that is called with each event.
    clock : Clock
        Source of the event timestamps.
    max_concurrent : int
        Maximum number of concurrent calls, not counting watches.
    max_waiting : int
        Maximum number of queued effects; further ones fail without being sent.
    """

    handles = (
        StoreGet,
        StoreList,
        StoreCas,
        StoreDelete,
        GrantLease,
        RenewLease,
        RevokeLease,
        OpenWatch,
    )

    def __init__(
        self,
        store: Store,
        post: Callable[[Event], None],
        clock: Clock,
        max_concurrent: int = MAX_CONCURRENT,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self._store = store
        self._post = post
        self._clock = clock
        self._limiter = trio.CapacityLimiter(max_concurrent)
        self._max_waiting = max_waiting
        self._n_waiting = 0
        self._nursery: trio.Nursery | None = None
        self._stopped = False
        self._waiting: dict[str, deque[Effect]] = {}
        self._watches: dict[str, trio.CancelScope] = {}
        self._log = structlog.get_logger("store")
        self._reachable = True
        self.n_failed = 0
        self.n_watches_broken = 0

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled, which also cancels open calls and watches."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self._stopped = True

    def run(self, effect: Effect) -> None:
        """Start an effect; its event is posted later, never from this call.

        Effects passed after the driver has stopped are dropped.

        Parameters
        ----------
        effect : Effect
            One of the types in `handles`.
        """
        if self._stopped:
            return
        if self._nursery is None:
            raise RuntimeError("the store driver is not running; call serve first")
        if isinstance(effect, OpenWatch):
            self._open_watch(self._nursery, effect)
            return
        if self._n_waiting >= self._max_waiting:
            self._nursery.start_soon(self._report_failure, effect)
            return
        self._n_waiting += 1
        key = _ordering_key(effect)
        queue = self._waiting.get(key)
        if queue is not None:
            queue.append(effect)
            return
        self._waiting[key] = deque([effect])
        self._nursery.start_soon(self._run_queue, key)

    async def _run_queue(self, key: str) -> None:
        queue = self._waiting[key]
        while queue:
            effect = queue.popleft()
            self._n_waiting -= 1
            async with self._limiter:
                await self._run_effect(effect)
        del self._waiting[key]

    async def _run_effect(self, effect: Effect) -> None:
        try:
            event = await self._call_store(effect)
        except StoreCallError as error:
            self._set_reachable(False, error.message)
            await self._report_failure(effect)
            return
        self._set_reachable(True)
        if event is not None:
            self._post(event)

    async def _call_store(self, effect: Effect) -> Event | None:
        sent_ms = self._clock.now_ms
        store = self._store
        match effect:
            case StoreGet(call_id, key):
                return self._read_finished(call_id, await store.read_key(key), sent_ms)
            case StoreList(call_id, prefix):
                return self._read_finished(
                    call_id, await store.read_prefix(prefix), sent_ms
                )
            case StoreCas(call_id, key, expected, value, lease_id):
                response = await store.cas(key, expected, value, lease_id)
                return CasFinished(
                    self._clock.now_ms, call_id, key, response.result, response.revision
                )
            case StoreDelete(call_id, key, expected):
                response = await store.delete(key, expected)
                return CasFinished(
                    self._clock.now_ms, call_id, key, response.result, response.revision
                )
            case GrantLease(call_id, ttl_ms):
                lease = await store.grant_lease(ttl_ms)
                return LeaseGranted(
                    self._clock.now_ms, call_id, lease.lease_id, lease.ttl_ms, sent_ms
                )
            case RenewLease(lease_id):
                ttl_ms = await store.keep_alive(lease_id)
                now_ms = self._clock.now_ms
                if ttl_ms <= 0:
                    return LeaseLost(now_ms, lease_id)
                return LeaseRenewed(now_ms, lease_id, ttl_ms, sent_ms)
            case RevokeLease(lease_id):
                await store.revoke(lease_id)
                return None
        raise TypeError(f"{type(effect).__name__} is not a store effect")

    def _read_finished(self, call_id: str, snapshot: Snapshot, sent_ms: int) -> Event:
        return StoreReadFinished(
            self._clock.now_ms, call_id, snapshot.items, sent_ms, snapshot.revision
        )

    async def _report_failure(self, effect: Effect) -> None:
        """Report a failed read, or a call that certainly had no effect."""
        self.n_failed += 1
        # RenewLease and RevokeLease have no call id; without renewal a lease expires.
        call_id = getattr(effect, "call_id", None)
        if call_id is not None:
            self._post(StoreCallFailed(self._clock.now_ms, call_id))

    def _open_watch(self, nursery: trio.Nursery, effect: OpenWatch) -> None:
        old = self._watches.get(effect.prefix)
        if old is not None:
            old.cancel()
        scope = trio.CancelScope()
        self._watches[effect.prefix] = scope
        nursery.start_soon(self._watch, effect, scope)

    async def _watch(self, effect: OpenWatch, scope: trio.CancelScope) -> None:
        prefix = effect.prefix
        with scope:
            try:
                async with self._store.watch(prefix, effect.from_revision) as changes:
                    self._post(WatchOpened(self._clock.now_ms, prefix))
                    async for items in changes:
                        self._post(StoreChanged(self._clock.now_ms, prefix, items))
            except StoreCallError:
                # Not logged: an idle watch ends regularly at the idle timeout while the
                # store is reachable.
                self.n_watches_broken += 1
        if scope.cancelled_caught:
            return
        if self._watches.get(prefix) is scope:
            del self._watches[prefix]
        self._post(WatchBroken(self._clock.now_ms, prefix))

    def _set_reachable(self, reachable: bool, cause: str = "") -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            self._log.info("store reachable")
        else:
            self._log.warning("store unreachable", cause=cause)


def _ordering_key(effect: Effect) -> str:
    match effect:
        case StoreGet(_, key) | StoreCas(_, key) | StoreDelete(_, key):
            return f"key/{key}"
        case StoreList(call_id) | GrantLease(call_id):
            return f"call/{call_id}"
        case RenewLease(lease_id) | RevokeLease(lease_id):
            return f"lease/{lease_id}"
    raise TypeError(f"{type(effect).__name__} is not a store effect")
