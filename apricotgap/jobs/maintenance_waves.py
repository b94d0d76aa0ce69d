"""Planning of maintenance waves: which machines are taken down next.

The platform and its settings call maintenance *upkeep*.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from apricotgap.jobs.configuration import Wave
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import MachineOrder, OrderTracker
from apricotgap.jobs.fleet_view import FleetView
from apricotgap.jobs.wave_reservations import WaveReservations

__all__ = ["MaintenanceWaves", "WaveState"]

# Estimated time from reserving a worker to the end of its maintenance; sets the rate of
# a wave.
MAINTENANCE_CYCLE_MS = 4_500
# A wave is planned to be complete this long before its end: a takeover of the fleet
# takes about 4 s, and the store may be unavailable for a few seconds.
END_RESERVE_MS = 7_000
# A machine that is missing from the list for this long has left the fleet; before, the
# list may just be late.
LIST_DELAY_MS = 3_000


@dataclass(slots=True)
class WaveState:
    """Progress of a wave; `skipped` machines no longer need its maintenance.

    `begun_ms` is when the wave was ordered, as far as this instance knows.
    `first_seen_ms` is when this owner of the fleet first planned it.
    """

    wave: Wave
    first_seen_ms: int
    begun_ms: int
    done: set[str] = field(default_factory=set)
    skipped: set[str] = field(default_factory=set)
    is_finished: bool = False

    def n_cycles_left(self, at_ms: int) -> int:
        """Return how often machines can be emptied and maintained in time.

        This is 0 near the end. A short wave keeps a third of its duration in reserve.
        """
        duration_ms = self.wave.duration_ms
        reserve_ms = min(END_RESERVE_MS, duration_ms // 3)
        left_ms = self.begun_ms + duration_ms - reserve_ms - at_ms
        return max(0, left_ms // MAINTENANCE_CYCLE_MS)


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
        self,
        waves: Iterable[Wave],
        done: Mapping[int, Iterable[str]],
        at_ms: int,
        begun_ms: Mapping[int, int],
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
        begun_ms : mapping of int to int
            When the waves were ordered; those without an entry begin now.
        """
        wanted = {wave.number: wave for wave in waves}
        for number in set(self.states) - set(wanted):
            del self.states[number]
        for number, wave in wanted.items():
            begins_ms = begun_ms.get(number, at_ms)
            state = self.states.setdefault(number, WaveState(wave, at_ms, begins_ms))
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
        n_allowed -= self._n_drained(number, view)
        empty = [machine for machine in ready if view.has_no_shard(machine)]
        orders = [
            self._tracker.order(MachineOrder(machine.name, wave=number), view)
            for machine in empty[: max(0, n_allowed)]
        ]
        if not state.n_cycles_left(view.at_ms):
            self._claim_leaving(number, left)
        busy = [
            machine
            for machine in ready
            if not view.has_no_shard(machine) and machine.pool in view.reports
        ]
        reservations = WaveReservations(
            self._reserved_machines(number, view),
            Counter(map(view.pool_of, self._tracker.reserved)),
            left,
            state.wave.max_down,
            state.n_cycles_left(view.at_ms),
            view,
        )
        for machine in reservations.choose(busy):
            self._tracker.reserved[machine.name] = MachineOrder(
                machine.name, wave=number
            )
        return orders

    def _reserved_machines(self, number: int, view: FleetView) -> list[Machine]:
        return [
            view.machines[name]
            for name, order in self._tracker.reserved.items()
            if order.wave == number and name in view.machines
        ]

    def _n_drained(self, number: int, view: FleetView) -> int:
        """Return the number of reserved machines that are empty and may go down next.

        They go before machines outside the pools, since their pools lack them.
        """
        n = 0
        for machine in self._reserved_machines(number, view):
            if machine.name in self._tracker.pending:
                continue
            worker = view.worker(machine)
            if worker is not None and worker.is_reserved and not worker.n_runs:
                n += 1
        return n

    def _claim_leaving(self, number: int, left: list[Machine]) -> None:
        """Reserve machines for the wave that are reserved for a move.

        The time left does not suffice for the move and the maintenance after it.
        """
        for machine in left:
            order = self._tracker.reserved.get(machine.name)
            if order is None or not order.pool:
                continue
            if machine.name not in self._tracker.pending:
                self._tracker.reserved[machine.name] = MachineOrder(
                    machine.name, wave=number
                )

    def _remaining_machines(self, state: WaveState, view: FleetView) -> list[Machine]:
        """Return the machines of a wave that still need maintenance."""
        left = []
        for name in state.wave.machines:
            if name in state.done or name in state.skipped:
                continue
            machine = view.machines.get(name)
            if machine is not None:
                left.append(machine)
            elif view.at_ms - state.first_seen_ms > LIST_DELAY_MS:
                state.skipped.add(name)
                view.log_lines.append(
                    LogDecision(
                        "wave_machine_left",
                        {
                            "wave": state.wave.number,
                            "machine": name,
                            "known_for_ms": view.at_ms - state.begun_ms,
                            "list_age_ms": view.at_ms - view.listed_ms,
                        },
                    )
                )
        return left

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
