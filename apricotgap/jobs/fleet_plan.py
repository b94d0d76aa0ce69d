"""Planner of machine orders: moves between pools and waves of upkeep."""

from collections.abc import Iterable, Mapping

from apricotgap.jobs.configuration import Configuration, Wave
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import MachineOrder, OrderResult, OrderTracker
from apricotgap.jobs.fleet_view import FleetView, PoolReport
from apricotgap.jobs.pool_sizes import PoolSizes
from apricotgap.jobs.upkeep_waves import UpkeepWaves, WaveState

__all__ = ["FleetPlanner"]


class FleetPlanner:
    """Plans moves and upkeep from the list of machines and the reports of the pools.

    Parameters
    ----------
    move_ms, upkeep_ms : int
        How long a machine is unavailable during a move and during upkeep.
    """

    def __init__(self, move_ms: int, upkeep_ms: int) -> None:
        self._tracker = OrderTracker(move_ms, upkeep_ms)
        self._waves = UpkeepWaves(self._tracker)
        self._sizes = PoolSizes(self._tracker, self._waves)

    @property
    def waves(self) -> Mapping[int, WaveState]:
        """State of the operators' waves, by number."""
        return self._waves.states

    @property
    def is_busy(self) -> bool:
        """Whether orders are pending or machines reserved."""
        return self._tracker.is_busy

    def inherit(self, machines: Iterable[str], until_ms: int) -> None:
        """Order nothing until then for machines with orders of an earlier owner."""
        self._tracker.inherit(machines, until_ms)

    def ended_workers(self, at_ms: int) -> list[str]:
        """Return the ids of workers that recent orders have ended."""
        return self._tracker.ended_workers(at_ms)

    def reserved_workers(self, machines: Mapping[str, Machine]) -> dict[str, list[str]]:
        """Return the ids of workers on reserved machines, by pool."""
        return self._tracker.reserved_workers(machines)

    def set_waves(
        self, waves: Iterable[Wave], done: Mapping[int, Iterable[str]], at_ms: int
    ) -> None:
        """Replace the waves; `done` names machines whose upkeep is stored as done."""
        self._waves.replace(waves, done, at_ms)

    def pop_finished(self) -> list[int]:
        """Return the waves that have finished since the last call."""
        return self._waves.pop_finished()

    def handle_answer(self, result: OrderResult) -> None:
        """Apply the result of an order."""
        if self._tracker.handle_answer(result):
            self._waves.record_result(result.order, result.kind)

    def plan(
        self,
        at_ms: int,
        listed_ms: int,
        config: Configuration,
        machines: Mapping[str, Machine],
        reports: Mapping[str, PoolReport],
        evacuated: frozenset[str],
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
        machines : mapping of str to Machine
            Machines by name.
        reports : mapping of str to PoolReport
            Reports by pool; the machines of a pool without one are not ordered.
        evacuated : frozenset of str
            Data centres that get no work now.
        """
        current = FleetView(at_ms, config, machines, reports, evacuated)
        self._tracker.prune(listed_ms, current, self._waves.is_over)
        orders = self._tracker.retries(at_ms)
        orders += self._waves.plan(current)
        orders += self._sizes.plan(current)
        orders += self._plan_reserved(current)
        for order in orders:
            current.log_lines.append(
                LogDecision(
                    "machine_order",
                    {
                        "machine": order.machine,
                        "pool": order.pool,
                        "wave": order.wave,
                        "list_age_ms": at_ms - listed_ms,
                    },
                )
            )
        return orders, current.log_lines

    def _plan_reserved(self, current: FleetView) -> list[MachineOrder]:
        """Return the orders for reserved machines that have become empty."""
        orders = []
        for name, order in self._tracker.reserved.items():
            machine = current.machines[name]
            worker = current.worker(machine)
            if name in self._tracker.pending or worker is None:
                continue
            if self._tracker.is_backing_off(name, current.at_ms):
                continue
            if worker.n_runs or not worker.is_reserved:
                continue
            if order.wave:
                most = self._waves.states[order.wave].wave.max_down
                if self._waves.n_down(order.wave, current) >= most:
                    continue
            orders.append(self._tracker.order(order, current))
        return orders
