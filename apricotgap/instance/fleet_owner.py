"""The owner of the fleet: moves machines between pools and runs waves."""

from collections.abc import Awaitable, Callable

import cbor2
import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.directory import Directory
from apricotgap.instance.lease import InstanceLease
from apricotgap.instance.order_ledger import OrderLedger
from apricotgap.instance.tenure import Tenure
from apricotgap.jobs.cbor import decode_cbor
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import MachineOrder, OrderResult
from apricotgap.jobs.fleet_plan import FleetPlanner
from apricotgap.jobs.fleet_view import PoolReport, WorkerReport
from apricotgap.metrics import Metrics
from apricotgap.platform.keys import encode_wave_status, wave_status_key
from apricotgap.platform.machines import (
    CALL_TIMEOUT_MS,
    MachineClient,
    MachineListError,
)
from apricotgap.platform.settings import PlatformSettings
from apricotgap.platform.store import (
    Conflict,
    StoreClient,
    Stored,
    StoreError,
    Write,
)

__all__ = ["FleetOwner", "WAVES"]

WAVES = "waves/"
_CYCLE_S = 0.3
_RETRY_S = 0.3
LIST_INTERVAL_MS = 900
# While machines are on the move, the list is read this often.
BUSY_LIST_INTERVAL_MS = 450

AskPool = Callable[[str, list[str], list[str]], Awaitable[PoolReport | None]]


class FleetOwner:
    """One tenure of the fleet.

    Parameters
    ----------
    tenure : Tenure
        The ownership.
    settings, store, lease, directory, clock, metrics
        What it works with.
    ask_pool : callable
        Gets a pool, the workers to reserve there and the workers that orders have
        ended; returns the owner's report, None when there is no answer.
    """

    def __init__(
        self,
        tenure: Tenure,
        settings: PlatformSettings,
        store: StoreClient,
        lease: InstanceLease,
        directory: Directory,
        clock: Clock,
        metrics: Metrics,
        ask_pool: AskPool,
    ) -> None:
        self._tenure = tenure
        self._store = store
        self._lease = lease
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._ask_pool = ask_pool
        self._client = MachineClient(settings.fleet_address, settings.name)
        self._planner = FleetPlanner(settings.bounds.move_ms, settings.bounds.upkeep_ms)
        self._holder_lease_ms = settings.bounds.holder_lease_ms
        self._ledger = OrderLedger(tenure, store, clock, self._holder_lease_ms)
        self._machines: dict[str, Machine] = {}
        self._listed_ms = -1_000_000
        self._done: dict[int, tuple[str, ...]] = {}
        self._status: dict[int, bool] = {}
        self._log = structlog.get_logger().bind(shard=tenure.shard, epoch=tenure.epoch)

    async def run(self) -> None:
        """Run the fleet until cancelled or replaced.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        claimed_ms = self._clock.now_ms
        await self._load()
        await self._inherit(claimed_ms + self._holder_lease_ms)
        async with trio.open_nursery() as nursery:
            while True:
                await self._cycle(nursery)
                await trio.sleep(_CYCLE_S)

    async def _load(self) -> None:
        while True:
            try:
                snapshot = await self._store.read_prefix(WAVES)
                break
            except StoreError as error:
                self._log.warning("waves_not_read", reason=str(error))
                await trio.sleep(_RETRY_S)
        for item in snapshot.items:
            try:
                number = int(item.key[len(WAVES) :])
                self._done[number] = tuple(decode_cbor(item.value or b""))
            except (ValueError, TypeError) as error:
                self._log.error("wave_unreadable", key=item.key, error=str(error))

    async def _inherit(self, until_ms: int) -> None:
        """Keep orders of two owners for one machine apart by one lease time."""
        while True:
            try:
                ordered = await self._ledger.load()
                break
            except StoreError as error:
                self._log.warning("fleet_orders_not_read", reason=str(error))
                await trio.sleep(_RETRY_S)
        if ordered is None:
            await trio.sleep(max(0, until_ms - self._clock.now_ms) / 1000)
            return
        self._log.info("fleet_loaded", n_waves=len(self._done), n_ordered=len(ordered))
        self._planner.inherit(ordered, until_ms)

    async def _cycle(self, nursery: trio.Nursery) -> None:
        config = self._directory.config
        if config is None or not self._has_lease(0):
            return
        await self._list_machines()
        if not self._machines:
            return
        now_ms = self._clock.now_ms
        self._planner.set_waves(self._directory.waves.values(), self._done, now_ms)
        reserved = self._planner.reserved_workers(self._machines)
        ended = self._planner.ended_workers(now_ms)
        reports: dict[str, PoolReport] = {}

        async def ask(pool: str) -> None:
            report = await self._ask_pool(pool, reserved.get(pool, []), ended)
            if report is not None:
                reports[pool] = report

        async with trio.open_nursery() as asking:
            for pool in config.working_services:
                asking.start_soon(ask, pool)
        if not self._has_lease(0):
            return
        orders, lines = self._planner.plan(
            self._clock.now_ms,
            self._listed_ms,
            config,
            self._machines,
            reports,
            self._directory.evacuated,
        )
        for line in lines:
            self._log.info(line.event, **line.fields)
        is_recorded = await self._ledger.record(order.machine for order in orders)
        for order in orders:
            if is_recorded:
                nursery.start_soon(self._send, order)
            else:
                self._answered(order, "unavailable")
        await self._store_waves()

    def _has_lease(self, span_ms: int) -> bool:
        """Whether the tenure lasts for another `span_ms`."""
        until_ms = self._lease.until_ms_of(self._tenure.lease_id)
        return until_ms - self._clock.now_ms > span_ms

    async def _list_machines(self) -> None:
        interval_ms = (
            BUSY_LIST_INTERVAL_MS if self._planner.is_busy else LIST_INTERVAL_MS
        )
        now_ms = self._clock.now_ms
        if now_ms - self._listed_ms < interval_ms:
            return
        try:
            self._machines = await self._client.machines()
            self._listed_ms = now_ms
        except MachineListError as error:
            self._log.warning("machines_not_listed", reason=str(error))

    async def _send(self, order: MachineOrder) -> None:
        kind = "unavailable"
        # An order must not arrive after another owner has sent one.
        if self._has_lease(CALL_TIMEOUT_MS):
            self._ledger.ordered(order.machine)
            kind = await self._client.send_order(order, self._tenure.epoch)
            self._ledger.ordered(order.machine)
        self._answered(order, kind)

    def _answered(self, order: MachineOrder, kind: str) -> None:
        self._metrics.count("machine_orders", result=kind)
        self._log.info(
            "machine_order_answered",
            machine=order.machine,
            pool=order.pool,
            wave=order.wave,
            result=kind,
        )
        self._planner.answered(OrderResult(order, kind, self._clock.now_ms))

    async def _store_waves(self) -> None:
        finished = set(self._planner.finished())
        for number, state in self._planner.waves.items():
            done = tuple(sorted(state.done))
            is_finished = state.is_finished
            if (
                self._done.get(number) == done
                and self._status.get(number) == is_finished
            ):
                continue
            outcome = await self._store.write(
                (
                    self._tenure.condition,
                    Write(f"{WAVES}{number}", cbor2.dumps(list(done))),
                    Write(
                        wave_status_key(number),
                        encode_wave_status(number, is_finished),
                    ),
                )
            )
            if isinstance(outcome, Stored):
                self._done[number] = done
                self._status[number] = is_finished
                if number in finished:
                    self._log.info("wave_finished", wave=number)
                continue
            self._log.warning("wave_not_stored", wave=number, outcome=repr(outcome))
            if isinstance(outcome, Conflict):
                self._tenure.check(outcome)


def report_to_rows(report: PoolReport) -> list:
    """Return the form in which a report travels."""
    return [
        report.wanted,
        [
            [
                worker.worker_id,
                worker.n_runs,
                worker.n_lasting,
                worker.is_usable,
                worker.is_reserved,
                worker.is_suspect,
            ]
            for worker in report.workers
        ],
    ]


def report_of_rows(rows: list) -> PoolReport:
    """Read the form in which a report travels."""
    wanted, workers = rows
    return PoolReport(wanted, tuple(WorkerReport(*row) for row in workers))
