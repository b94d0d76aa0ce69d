"""Planning of maintenance waves: which machines are taken down next.

The platform and its settings call maintenance *upkeep*.
"""

from collections import Counter
from collections.abc import Container, Iterable, Mapping

from apricotgap.jobs.configuration import Wave
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import MachineOrder, OrderResult, OrderTracker
from apricotgap.jobs.fleet_view import FleetView
from apricotgap.jobs.machine_absence import AbsenceTracker
from apricotgap.jobs.wave_reservations import WaveReservations
from apricotgap.jobs.wave_state import WaveState

__all__ = ["MaintenanceWaves"]


class MaintenanceWaves:
    """Plans the maintenance requested by operators.

    Parameters
    ----------
    tracker : OrderTracker
        Pending orders and reserved machines.
    absences : AbsenceTracker
        Machines that the lists lack.
    """

    def __init__(self, tracker: OrderTracker, absences: AbsenceTracker) -> None:
        self._tracker = tracker
        self._absences = absences
        self.states: dict[int, WaveState] = {}

    def replace(
        self,
        waves: Iterable[Wave],
        done: Mapping[int, Iterable[str]],
        at_ms: int,
        begun_ms: Mapping[int, int],
        succeeded: Container[int],
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
        succeeded : container of int
            Waves that have succeeded by what an earlier owner has stored. Their other
            machines have left, unless a list shows them.
        """
        wanted = {wave.number: wave for wave in waves}
        for number in set(self.states) - set(wanted):
            del self.states[number]
        for number, wave in wanted.items():
            known = self.states.get(number)
            if known is None or known.wave != wave:
                # What was heard of machines before an order doesn't count for it.
                state = WaveState(wave, begun_ms.get(number, at_ms))
                if known is not None:
                    state.add_done(known.done)
                elif number in succeeded:
                    state.left.update(set(wave.machines) - set(done.get(number, ())))
                self.states[number] = state
            self.states[number].add_done(done.get(number, ()))

    def is_obsolete(self, name: str, order: MachineOrder) -> bool:
        """Whether a reservation for maintenance is no longer needed."""
        if not order.wave:
            return False
        state = self.states.get(order.wave)
        return state is None or name in state.done

    def record_result(self, result: OrderResult) -> None:
        """Apply the result of a maintenance order."""
        state = self.states.get(result.order.wave)
        if state is not None:
            state.record_result(result, self._absences)

    def waiting(self) -> set[str]:
        """Return the names of the machines that still need maintenance."""
        return {name for state in self.states.values() for name in state.open_machines}

    def lacks_machines(self) -> bool:
        """Whether lists have lacked a machine of a wave long; it is to be asked for."""
        return any(
            state.is_questionable(name, self._absences)
            for state in self.states.values()
            for name in state.open_machines
        )

    def plan(self, view: FleetView) -> list[MachineOrder]:
        """Return the maintenance to order now, and reserve machines to be emptied."""
        orders: list[MachineOrder] = []
        for number, state in self.states.items():
            for name, has_left in state.update(self._absences):
                event = "wave_machine_left" if has_left else "wave_machine_back"
                fields = {"wave": number, "machine": name}
                view.log_lines.append(LogDecision(event, fields))
            if state.open_machines:
                orders += self._plan_wave(number, state, view)
        return orders

    def _plan_wave(
        self, number: int, state: WaveState, view: FleetView
    ) -> list[MachineOrder]:
        left = [
            view.machines[name] for name in state.open_machines if name in view.machines
        ]
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
        orders += self._ask_for_missing(state, view, n_allowed - len(orders))
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

    def _ask_for_missing(
        self, state: WaveState, view: FleetView, n_allowed: int
    ) -> list[MachineOrder]:
        """Return orders for machines that the lists have lacked long.

        Only the platform's answer tells that such a machine is gone. The order is
        carried out if it is not, so nothing is ordered that may end tasks: a machine
        with a registered worker waits until it is listed.
        """
        if view.registered is None:
            return []
        names = [
            name
            for name in state.open_machines
            if name not in view.registered
            and state.is_questionable(name, self._absences)
            and self._tracker.is_idle(name, view.at_ms)
        ]
        return [
            self._tracker.order(
                MachineOrder(name, wave=state.wave.number, why="missing"), view
            )
            for name in names[: max(0, n_allowed)]
        ]

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
