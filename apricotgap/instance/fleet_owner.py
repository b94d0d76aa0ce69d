"""Owner of the fleet shard: moves machines between pools and runs waves."""

from collections.abc import Awaitable, Callable

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.fleet_order_store import FleetOrderStore
from apricotgap.instance.lease import InstanceLease
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.wave_store import WaveStore
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs.fleet_orders import MachineOrder, OrderResult
from apricotgap.jobs.fleet_plan import FleetPlanner
from apricotgap.jobs.fleet_view import PoolReport, ReportRequest
from apricotgap.jobs.limits import RESERVATION_MS
from apricotgap.jobs.machine_list import MachineList
from apricotgap.jobs.team_totals import TeamTotals
from apricotgap.metrics import Metrics
from apricotgap.platform.machines import (
    CALL_TIMEOUT_MS,
    MachineClient,
    MachineListError,
)
from apricotgap.platform.settings import PlatformSettings
from apricotgap.platform.store import StoreClient, StoreError

__all__ = ["FleetOwner"]

_CYCLE_INTERVAL_S = 0.3
# Interval of the cycles while workers are being emptied for a pool that lacks machines.
_DRAIN_CYCLE_INTERVAL_S = 0.2
_RETRY_S = 0.3
LIST_INTERVAL_MS = 900
# Interval of lists while orders are in progress.
BUSY_LIST_INTERVAL_MS = 450
# An older list of workers does not tell which machines have one.
WORKERS_MAX_AGE_MS = 5_000
# An order is not sent with less time than this for its answer.
MIN_TIMEOUT_MS = 100

RequestPoolReport = Callable[[str, ReportRequest], Awaitable[PoolReport | None]]


class FleetOwner:
    """Runs the fleet shard for the duration of one ownership.

    Parameters
    ----------
    ownership : Ownership
        Ownership of the fleet shard.
    settings, store, lease, cluster_view, workers, clock, metrics
        Dependencies.
    request_pool_report : callable
        Called with a pool and what its owner is told; returns the report of the owner,
        None without an answer.
    """

    def __init__(
        self,
        ownership: Ownership,
        settings: PlatformSettings,
        store: StoreClient,
        lease: InstanceLease,
        cluster_view: ClusterView,
        workers: WorkerList,
        clock: Clock,
        metrics: Metrics,
        request_pool_report: RequestPoolReport,
    ) -> None:
        self._ownership = ownership
        self._store = store
        self._lease = lease
        self._cluster_view = cluster_view
        self._workers = workers
        self._clock = clock
        self._metrics = metrics
        self._request_pool_report = request_pool_report
        self._client = MachineClient(settings.fleet_address, settings.name)
        self._planner = FleetPlanner(settings.bounds.move_ms, settings.bounds.upkeep_ms)
        self._team_totals = TeamTotals()
        self._holder_lease_ms = settings.bounds.holder_lease_ms
        self._order_store = FleetOrderStore(
            ownership, store, clock, self._holder_lease_ms
        )
        self._list = MachineList({})
        self._listed_ms = -1_000_000
        self._wave_store = WaveStore(ownership, store)
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    async def run(self) -> None:
        """Run the fleet shard until cancelled or replaced by another owner.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        claimed_ms = self._clock.now_ms
        await self._wave_store.load()
        await self._load_recent_orders(claimed_ms + self._holder_lease_ms)
        async with trio.open_nursery() as nursery:
            while True:
                await self._cycle(nursery)
                is_draining = self._planner.is_draining
                await trio.sleep(
                    _DRAIN_CYCLE_INTERVAL_S if is_draining else _CYCLE_INTERVAL_S
                )

    async def _load_recent_orders(self, until_ms: int) -> None:
        """Exclude machines of the previous owner's recent orders until `until_ms`.

        Orders of two owners for one machine are thus at least one holder lease apart.
        If the list of orders is unreadable, this waits until then instead.
        """
        while True:
            try:
                machines = await self._order_store.load()
                break
            except StoreError as error:
                self._log.warning("fleet_orders_not_read", reason=str(error))
                await trio.sleep(_RETRY_S)
        if machines is None:
            await trio.sleep(max(0, until_ms - self._clock.now_ms) / 1000)
            return
        self._log.info(
            "fleet_loaded", n_waves=len(self._wave_store.done), n_ordered=len(machines)
        )
        self._planner.inherit(machines, until_ms)

    async def _cycle(self, nursery: trio.Nursery) -> None:
        config = self._cluster_view.config
        if config is None or not self._has_lease(0):
            return
        await self._list_machines()
        machines = self._list.machines
        if not machines:
            return
        now_ms = self._clock.now_ms
        self._planner.set_waves(
            self._cluster_view.waves.values(),
            self._wave_store.done,
            now_ms,
            self._cluster_view.waves_begun_ms,
            self._wave_store.succeeded(self._cluster_view.wave_revisions),
        )
        reserved = self._planner.reserved_workers(machines)
        ended = self._planner.ended_workers(now_ms)
        urgent = self._planner.urgent_workers(machines)
        services = self._cluster_view.services()
        reports: dict[str, PoolReport] = {}
        # A shard that reports keeps its reserved workers empty at least until then.
        reserved_until_ms = now_ms + RESERVATION_MS

        async def request(pool: str) -> None:
            request = ReportRequest(
                reserved.get(pool, []),
                ended,
                self._planner.shares.get(pool, 0),
                self._team_totals.others(pool, now_ms),
                urgent.get(pool, {}),
            )
            report = await self._request_pool_report(pool, request)
            if report is not None:
                reports[pool] = report
                self._team_totals.record(pool, report.team_cores, now_ms)

        async with trio.open_nursery() as request_nursery:
            for pool in services:
                if pool not in config.spare_services:
                    request_nursery.start_soon(request, pool)
        if not self._has_lease(0):
            return
        orders, decisions = self._planner.plan(
            self._clock.now_ms,
            self._listed_ms,
            config,
            self._list,
            reports,
            self._cluster_view.evacuated,
            services,
            self._registered_machines(),
        )
        for decision in decisions:
            self._log.info(decision.event, **decision.fields)
        is_recorded = await self._order_store.record(order.machine for order in orders)
        for order in orders:
            if is_recorded:
                nursery.start_soon(self._send, order, reserved_until_ms)
            else:
                self._handle_response(order, "unavailable")
        await self._order_store.prune()
        await self._wave_store.save(self._planner.waves)

    def _has_lease(self, span_ms: int) -> bool:
        """Return whether the lease of the ownership lasts longer than `span_ms`."""
        until_ms = self._lease.valid_until_ms_of(self._ownership.lease_id)
        return until_ms - self._clock.now_ms > span_ms

    async def _list_machines(self) -> None:
        interval_ms = (
            BUSY_LIST_INTERVAL_MS if self._planner.is_busy else LIST_INTERVAL_MS
        )
        now_ms = self._clock.now_ms
        if now_ms - self._listed_ms < interval_ms:
            return
        try:
            self._list = await self._client.machines()
            self._listed_ms = now_ms
        except MachineListError as error:
            self._log.warning("machines_not_listed", reason=str(error))

    def _registered_machines(self) -> frozenset[str] | None:
        """Return the machines of registered workers, None if they are unknown now.

        The workers are watched from the first time on that a machine is missing.
        """
        if not self._planner.lacks_machines:
            return None
        as_of_ms = self._workers.fresh_as_of_ms
        if as_of_ms is None:
            self._workers.add_reader(self._ownership.shard)
            return None
        if self._clock.now_ms - as_of_ms > WORKERS_MAX_AGE_MS:
            return None
        return frozenset(entry.machine for entry in self._workers.entries())

    async def _send(self, order: MachineOrder, reserved_until_ms: int) -> None:
        kind = "unavailable"
        left_ms = reserved_until_ms - self._clock.now_ms
        timeout_ms = min(CALL_TIMEOUT_MS, left_ms)
        # The order must arrive before another owner may send one, and before the worker
        # of its machine may get tasks again.
        if timeout_ms >= MIN_TIMEOUT_MS and self._has_lease(timeout_ms):
            self._order_store.record_sent(order.machine)
            kind = await self._client.send_order(
                order, self._ownership.epoch, timeout_ms
            )
            self._order_store.record_sent(order.machine)
        self._handle_response(order, kind)

    def _handle_response(self, order: MachineOrder, kind: str) -> None:
        self._metrics.count("machine_orders", result=kind)
        self._log.info(
            "machine_order_answered",
            machine=order.machine,
            pool=order.pool,
            wave=order.wave,
            result=kind,
        )
        self._planner.handle_response(OrderResult(order, kind, self._clock.now_ms))
