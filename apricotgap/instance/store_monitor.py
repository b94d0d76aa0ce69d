"""Watches over the calls to the store, and probes it while it is unreachable."""

import itertools

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.store_reachability import StoreReachability
from apricotgap.metrics import Metrics
from apricotgap.platform.call_observer import CallKind, CallObserver
from apricotgap.platform.store import StoreClient, StoreError

__all__ = ["PROBE_INTERVAL_MS", "StoreMonitor"]

# An instance that wrongly takes the store as unreachable does so for this long.
PROBE_INTERVAL_MS = 200
# A slow store answers a probe after several intervals.
_PROBE_TIMEOUT_MS = 1_000
# No instance writes this key.
_PROBE_KEY = "probe"
_CHECK_INTERVAL_S = 0.05
# At most one outage is logged in this time.
MIN_LOG_INTERVAL_MS = 2_000


class StoreMonitor(CallObserver):
    """Applies `StoreReachability` to the calls of a store client.

    Parameters
    ----------
    store : StoreClient
        The client; its calls are observed from now on.
    clock, metrics
        Dependencies.
    """

    def __init__(self, store: StoreClient, clock: Clock, metrics: Metrics) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._reachability = StoreReachability()
        self._call_ids = itertools.count(1)
        self._logged_ms = -MIN_LOG_INTERVAL_MS
        self._log = structlog.get_logger()
        store.observe_calls(self)

    @property
    def is_unreachable(self) -> bool:
        """Whether the store counts as unreachable."""
        return self._reachability.is_unreachable(self._clock.now_ms)

    def record_start(self, kind: CallKind) -> int:
        """Record that a call begins; returns its id."""
        call_id = next(self._call_ids)
        self._reachability.record_start(call_id, kind, self._clock.now_ms)
        return call_id

    def record_part(self, call_id: int) -> None:
        """Record that a part of the answer to a call has arrived."""
        self._reachability.record_part(self._clock.now_ms)

    def record_answer(self, call_id: int) -> None:
        """Record that a call was answered, with any status."""
        self._reachability.record_answer(call_id, self._clock.now_ms)

    def record_failure(self, call_id: int) -> None:
        """Record that a call ended without an answer."""
        self._reachability.record_failure(call_id)

    def record_cancellation(self, call_id: int) -> None:
        """Record that the caller has stopped waiting."""
        self._reachability.record_cancellation(call_id, self._clock.now_ms)

    async def run(self) -> None:
        """Probe the store while it is unreachable, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self.is_unreachable:
                    await self._probe_until_reachable(nursery)
                await trio.sleep(_CHECK_INTERVAL_S)

    async def _probe_until_reachable(self, nursery: trio.Nursery) -> None:
        since_ms = self._clock.now_ms
        is_logged = since_ms - self._logged_ms >= MIN_LOG_INTERVAL_MS
        self._metrics.count("store_unreachable")
        if is_logged:
            self._logged_ms = since_ms
            why = (
                "lease_renewal"
                if self._reachability.has_silent_renewal(since_ms)
                else "silent_calls"
            )
            self._log.warning("store_unreachable", why=why)
        while self.is_unreachable:
            # The next probe does not wait for the answer of a slow store.
            nursery.start_soon(self._probe)
            await trio.sleep(PROBE_INTERVAL_MS / 1000)
        if is_logged:
            lasted_ms = self._clock.now_ms - since_ms
            self._log.info("store_reachable_again", lasted_ms=lasted_ms)

    async def _probe(self) -> None:
        try:
            await self._store.read_key(_PROBE_KEY, _PROBE_TIMEOUT_MS)
        except StoreError:
            # The call is recorded, and the next probe follows.
            return
