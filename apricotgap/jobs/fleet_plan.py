"""Planner of machine orders: moves between pools and maintenance waves."""

from collections.abc import Container, Iterable, Mapping

from apricotgap.jobs.configuration import Configuration, Wave
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import MachineOrder, OrderResult, OrderTracker
from apricotgap.jobs.fleet_view import FleetView, PoolReport
from apricotgap.jobs.machine_absence import AbsenceTracker
from apricotgap.jobs.machine_list import MachineList
from apricotgap.jobs.maintenance_waves import MaintenanceWaves
from apricotgap.jobs.pool_sizes import PoolSizes
from apricotgap.jobs.wave_state import WaveState

__all__ = ["FleetPlanner"]


class FleetPlanner:
    """Plans moves and maintenance from the machines and the reports of the pools.

    Parameters
    ----------
    move_ms, maintenance_ms : int
        How long a machine is unavailable during a move and during maintenance.
    """

    def __init__(self, move_ms: int, maintenance_ms: int) -> None:
        self._absences = AbsenceTracker()
        self._tracker = OrderTracker(move_ms, maintenance_ms, self._absences)
        self._waves = MaintenanceWaves(self._tracker, self._absences)
        self._sizes = PoolSizes(self._tracker, self._waves)

    @property
    def waves(self) -> Mapping[int, WaveState]:
        """State of the operators' waves, by number."""
        return self._waves.states

    @property
    def is_busy(self) -> bool:
        """Whether orders are pending or machines reserved."""
        return self._tracker.is_busy

    @property
    def shares(self) -> Mapping[str, int]:
        """Number of machines that the last pass planned for each pool."""
        return self._sizes.shares

    @property
    def is_draining(self) -> bool:
        """Whether machines are reserved for pools that lack them."""
        return self._sizes.is_draining

    def urgent_workers(
        self, machines: Mapping[str, Machine]
    ) -> dict[str, dict[str, int]]:
        """Return the priority of the jobs for which workers' machines leave, by pool.

        Machines that leave for no other pool, or for late jobs only, are left out.
        """
        return self._sizes.urgent_workers(machines)

    def inherit(self, machines: Iterable[str], until_ms: int) -> None:
        """Order nothing until then for machines with orders of a previous owner."""
        self._tracker.inherit(machines, until_ms)

    def ended_workers(self, at_ms: int) -> list[str]:
        """Return the ids of workers that recent orders have ended."""
        return self._tracker.ended_workers(at_ms)

    def reserved_workers(self, machines: Mapping[str, Machine]) -> dict[str, list[str]]:
        """Return the ids of workers on reserved machines, by pool."""
        return self._tracker.reserved_workers(machines)

    def set_waves(
        self,
        waves: Iterable[Wave],
        done: Mapping[int, Iterable[str]],
        at_ms: int,
        begun_ms: Mapping[int, int] | None = None,
        succeeded: Container[int] = (),
    ) -> None:
        """Replace the waves.

        Parameters
        ----------
        waves : iterable of Wave
            All waves in force.
        done : mapping of int to iterable of str
            Stored names of the maintained machines, by wave.
        at_ms : int
            Current time.
        begun_ms : mapping of int to int, optional
            When the waves were ordered; those without an entry begin now.
        succeeded : container of int, optional
            Waves that have succeeded by what an earlier owner has stored.
        """
        self._waves.replace(waves, done, at_ms, begun_ms or {}, succeeded)

    def handle_response(self, result: OrderResult) -> None:
        """Apply the result of an order."""
        if self._tracker.handle_response(result):
            self._waves.record_result(result)

    @property
    def lacks_machines(self) -> bool:
        """Whether the next pass needs to know the machines of registered workers."""
        return self._waves.lacks_machines()

    def plan(
        self,
        at_ms: int,
        listed_ms: int,
        config: Configuration,
        machines: MachineList,
        reports: Mapping[str, PoolReport],
        evacuated: frozenset[str],
        services: Iterable[str] | None = None,
        registered: frozenset[str] | None = None,
    ) -> tuple[list[MachineOrder], list[LogDecision]]:
        """Return the orders to send now and the log lines of this pass.

        Parameters
        ----------
        at_ms : int
            Current time.
        listed_ms : int
            When the list of machines was requested.
        config : Configuration
            Source of the pools and which of them is spare.
        machines : MachineList
            The list of machines.
        reports : mapping of str to PoolReport
            Reports by pool; the machines of a pool without one are not ordered.
        evacuated : frozenset of str
            Data centres that get no work now.
        services : iterable of str, optional
            Services that have a shard, by default those that a queue uses.
        registered : frozenset of str, optional
            Machines that registered workers name, None if they are unknown now. They
            are needed only while `lacks_machines`.
        """
        if services is None:
            services = config.working_services
        self._absences.record(machines, listed_ms)
        view = FleetView(
            at_ms,
            listed_ms,
            config,
            machines.machines,
            reports,
            evacuated,
            services,
            registered,
        )
        reserved = frozenset(self._tracker.reserved)
        self._tracker.prune(view, self._waves.is_obsolete)
        orders = self._tracker.retries(view)
        orders += self._waves.plan(view)
        orders += self._sizes.plan(view)
        orders += self._plan_reserved(view, reserved)
        for order in orders:
            view.log_lines.append(
                LogDecision(
                    "machine_order",
                    {
                        "machine": order.machine,
                        "pool": order.pool,
                        "wave": order.wave,
                        "why": order.why or ("maintenance" if order.wave else ""),
                        "for_level": order.for_level,
                        "list_age_ms": at_ms - listed_ms,
                    },
                )
            )
        return orders, view.log_lines

    def _plan_reserved(
        self, view: FleetView, reserved: frozenset[str]
    ) -> list[MachineOrder]:
        """Return the orders for reserved machines that have become empty.

        Those that are reserved only since the reports were requested come later: a
        report may show the end of an earlier reservation.
        """
        orders = []
        for name, order in self._tracker.reserved.items():
            if name not in reserved:
                continue
            machine = view.machines[name]
            worker = view.worker(machine)
            if name in self._tracker.pending or worker is None:
                continue
            if self._tracker.is_backing_off(name, view.at_ms):
                continue
            if worker.n_runs or not worker.is_reserved:
                continue
            if order.wave:
                wave_limit = self._waves.states[order.wave].wave.max_down
                if self._waves.n_down(order.wave, view) >= wave_limit:
                    continue
            orders.append(self._tracker.order(order, view))
        return orders
