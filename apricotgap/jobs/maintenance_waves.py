"""Planning of maintenance waves: which machines are taken down next.

The platform and its settings call maintenance *upkeep*.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil

from apricotgap.jobs.configuration import Wave
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import MachineOrder, OrderTracker
from apricotgap.jobs.fleet_view import FleetView

__all__ = ["MaintenanceWaves", "WaveState"]

# Estimated time from reserving a worker to the end of its maintenance; sets the rate of
# a wave.
MAINTENANCE_CYCLE_MS = 4_500
# A wave is planned to be complete this long before its end.
WAVE_MARGIN_MS = 3_000


@dataclass(slots=True)
class WaveState:
    """Progress of a wave; `skipped` machines no longer need its maintenance."""

    wave: Wave
    first_seen_ms: int
    done: set[str] = field(default_factory=set)
    skipped: set[str] = field(default_factory=set)
    is_finished: bool = False


class MaintenanceWaves:
    """Plans the maintenance requested by operators.

    Parameters
    ----------
    tracker : OrderTracker
        Pending orders and reserved machines.
    """

    def __init__(self, tracker: OrderTracker) -> None:
        self._tracker = tracker
        self.states: dict[int, WaveState] = {}

    def replace(
        self, waves: Iterable[Wave], done: Mapping[int, Iterable[str]], at_ms: int
    ) -> None:
        """Replace the waves; `done` holds the stored names of maintained machines."""
        wanted = {wave.number: wave for wave in waves}
        for number in set(self.states) - set(wanted):
            del self.states[number]
        for number, wave in wanted.items():
            state = self.states.setdefault(number, WaveState(wave, at_ms))
            state.wave = wave
            state.done.update(done.get(number, ()))

    def pop_finished(self) -> list[int]:
        """Return the waves that have finished since the last call."""
        finished = []
        for number, state in self.states.items():
            left = set(state.wave.machines) - state.done - state.skipped
            if not left and not state.is_finished:
                state.is_finished = True
                finished.append(number)
        return finished

    def is_obsolete(self, name: str, order: MachineOrder) -> bool:
        """Whether a reservation for maintenance is no longer needed."""
        if not order.wave:
            return False
        state = self.states.get(order.wave)
        return state is None or name in state.done

    def record_result(self, order: MachineOrder, kind: str) -> None:
        """Apply the result of an maintenance order."""
        state = self.states.get(order.wave)
        if state is None:
            return
        if kind == "ok":
            state.done.add(order.machine)
        elif kind in ("gone", "wave"):
            state.skipped.add(order.machine)

    def waiting(self) -> set[str]:
        """Return the names of the machines that still need maintenance."""
        return {
            name
            for state in self.states.values()
            if not state.is_finished
            for name in set(state.wave.machines) - state.done - state.skipped
        }

    def plan(self, view: FleetView) -> list[MachineOrder]:
        """Return the maintenance to order now, and reserve machines to be emptied."""
        orders: list[MachineOrder] = []
        for number, state in self.states.items():
            if not state.is_finished:
                orders += self._plan_wave(number, state, view)
        return orders

    def _plan_wave(
        self, number: int, state: WaveState, view: FleetView
    ) -> list[MachineOrder]:
        left = self._remaining_machines(state, view)
        ready = [
            machine
            for machine in left
            if machine.state == "up" and self._tracker.is_idle(machine.name, view.at_ms)
        ]
        n_allowed = state.wave.max_down - self.n_down(number, view)
        empty = [machine for machine in ready if view.has_no_shard(machine)]
        orders = [
            self._tracker.order(MachineOrder(machine.name, wave=number), view)
            for machine in empty[: max(0, n_allowed)]
        ]
        busy = [machine for machine in ready if not view.has_no_shard(machine)]
        self._reserve_for_maintenance(number, state, len(left), busy, view)
        return orders

    def _remaining_machines(self, state: WaveState, view: FleetView) -> list[Machine]:
        """Return the machines of a wave that still need maintenance."""
        left = []
        for name in state.wave.machines:
            if name in state.done or name in state.skipped:
                continue
            machine = view.machines.get(name)
            if machine is not None:
                left.append(machine)
            elif view.at_ms - state.first_seen_ms > WAVE_MARGIN_MS:
                # The machine has left; before this time, the list may just be late.
                state.skipped.add(name)
        return left

    def _reserve_for_maintenance(
        self,
        number: int,
        state: WaveState,
        n_left: int,
        candidates: list[Machine],
        view: FleetView,
    ) -> None:
        """Reserve as many machines of pools as it takes to finish the wave in time."""
        end_ms = state.first_seen_ms + state.wave.duration_ms - WAVE_MARGIN_MS
        n_cycles = max(1, (end_ms - view.at_ms) // MAINTENANCE_CYCLE_MS)
        n_parallel = min(state.wave.max_down, ceil(n_left / n_cycles) + 1)
        by_pool: dict[str, int] = {}
        for name, order in self._tracker.reserved.items():
            if order.wave == number:
                pool = view.pool_of(name)
                by_pool[pool] = by_pool.get(pool, 0) + 1
        n_reserved = sum(by_pool.values())
        for machine in sorted(candidates, key=view.drain_cost):
            if n_reserved >= n_parallel:
                return
            max_reserved = max(1, len(view.usable(machine.pool)) // 3)
            n_of_pool = by_pool.get(machine.pool, 0)
            if machine.pool not in view.reports or n_of_pool >= max_reserved:
                continue
            by_pool[machine.pool] = n_of_pool + 1
            n_reserved += 1
            self._tracker.reserved[machine.name] = MachineOrder(
                machine.name, wave=number
            )

    def n_down(self, number: int, view: FleetView) -> int:
        """Return an upper bound of the machines of a wave that are down now."""
        state = self.states[number]
        down = {
            name
            for name, pending in self._tracker.pending.items()
            if pending.order.wave == number and not pending.is_up_again
        }
        down.update(
            name
            for name in state.wave.machines
            if name in view.machines and view.machines[name].state == "upkeep"
        )
        inherited = self._tracker.inherited(view)
        down.update(inherited & (set(state.wave.machines) - state.done))
        return len(down)
