"""Moves of machines between pools and waves of upkeep: what to order next."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil

from apricotgap.jobs.configuration import Configuration, Wave
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_view import FleetView, PoolReport

__all__ = [
    "FleetPlanner",
    "MachineOrder",
    "OrderResult",
]

# An order without an answer is repeated after this time.
ORDER_RETRY_MS = 600
# Time from reserving a worker until its upkeep can be over, for pacing a wave.
UPKEEP_CYCLE_MS = 4_500
# A worker that joined a pool counts as on its way for this long.
TAKE_TIME_MS = 3_000
# Shards are told for this long that an order has ended a worker.
ENDED_REPORT_MS = 6_000
# A machine that an order found busy is left alone for this long.
BUSY_BACKOFF_MS = 1_500
# A wave should be over this much before its end.
WAVE_MARGIN_MS = 3_000


@dataclass(frozen=True, slots=True)
class MachineOrder:
    """Move a machine to a pool, or with `wave` above 0 take it down for upkeep."""

    machine: str
    pool: str = ""
    wave: int = 0


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Outcome of an order: ``ok``, ``busy``, ``gone``, ``wave``, ``unknown``."""

    order: MachineOrder
    kind: str
    at_ms: int


@dataclass(slots=True)
class _Pending:
    order: MachineOrder
    sent_ms: int
    worker_id: str
    is_in_flight: bool = True
    done_ms: int = 0
    is_back: bool = False


@dataclass(slots=True)
class _WaveState:
    wave: Wave
    seen_ms: int
    done: set[str] = field(default_factory=set)
    gone: set[str] = field(default_factory=set)
    is_finished: bool = False


class FleetPlanner:
    """Decides moves and upkeep from the machines and the pools' reports.

    Parameters
    ----------
    move_ms, upkeep_ms : int
        How long a machine is away.
    """

    def __init__(self, move_ms: int, upkeep_ms: int) -> None:
        self._move_ms = move_ms
        self._upkeep_ms = upkeep_ms
        self._pending: dict[str, _Pending] = {}
        self._reserved: dict[str, MachineOrder] = {}
        self._avoid_until: dict[str, int] = {}
        self._inherited: frozenset[str] = frozenset()
        self._inherited_until_ms = 0
        self._ended: dict[str, int] = {}
        self._kinds: dict[str, set[str]] = {}
        self._wanted: dict[str, int] = {}
        self.waves: dict[int, _WaveState] = {}

    def inherit(self, machines: Iterable[str], until_ms: int) -> None:
        """Leave machines alone that an earlier owner has ordered away just now.

        Parameters
        ----------
        machines : iterable of str
            Their names; those of a wave count as down.
        until_ms : int
            From when on they may be ordered again.
        """
        self._inherited = frozenset(machines)
        self._inherited_until_ms = until_ms
        for name in self._inherited:
            self._avoid_until[name] = until_ms

    @property
    def is_busy(self) -> bool:
        """Whether machines are on their way or about to leave."""
        return bool(self._pending or self._reserved)

    def ended_workers(self, at_ms: int) -> list[str]:
        """Ids of workers that recent orders have ended."""
        for worker_id, ended_ms in list(self._ended.items()):
            if at_ms - ended_ms > ENDED_REPORT_MS:
                del self._ended[worker_id]
        return list(self._ended)

    def reserved_workers(self, machines: Mapping[str, Machine]) -> dict[str, list[str]]:
        """Ids of the workers that get no new work, by pool."""
        found: dict[str, list[str]] = {}
        for name in self._reserved:
            machine = machines.get(name)
            if machine is not None and machine.worker_id:
                found.setdefault(machine.pool, []).append(machine.worker_id)
        return found

    def set_waves(
        self, waves: Iterable[Wave], done: Mapping[int, Iterable[str]], at_ms: int
    ) -> None:
        """Take over the operators' waves and what is stored of them."""
        wanted = {wave.number: wave for wave in waves}
        for number in set(self.waves) - set(wanted):
            del self.waves[number]
        for number, wave in wanted.items():
            state = self.waves.setdefault(number, _WaveState(wave, at_ms))
            state.wave = wave
            state.done.update(done.get(number, ()))

    def finished(self) -> list[int]:
        """Return waves that are over and were not reported so before."""
        over = []
        for number, state in self.waves.items():
            left = set(state.wave.machines) - state.done - state.gone
            if not left and not state.is_finished:
                state.is_finished = True
                over.append(number)
        return over

    def answered(self, result: OrderResult) -> None:
        """Take note of the outcome of an order."""
        order = result.order
        pending = self._pending.get(order.machine)
        if pending is None or pending.order != order:
            return
        pending.is_in_flight = False
        wave = self.waves.get(order.wave)
        if result.kind == "ok":
            pending.done_ms = result.at_ms
            if pending.worker_id:
                self._ended[pending.worker_id] = result.at_ms
            if wave is not None:
                wave.done.add(order.machine)
            self._reserved.pop(order.machine, None)
            return
        if result.kind == "unknown":
            return
        del self._pending[order.machine]
        if result.kind in ("gone", "wave") and wave is not None:
            wave.gone.add(order.machine)
            self._reserved.pop(order.machine, None)
        self._avoid_until[order.machine] = result.at_ms + BUSY_BACKOFF_MS

    def plan(
        self,
        at_ms: int,
        listed_ms: int,
        config: Configuration,
        machines: Mapping[str, Machine],
        reports: Mapping[str, PoolReport],
        evacuated: frozenset[str],
    ) -> tuple[list[MachineOrder], list[LogDecision]]:
        """Return the orders to send now.

        Parameters
        ----------
        at_ms : int
            Now.
        listed_ms : int
            When the list of machines was asked for.
        config : Configuration
            Names the pools.
        machines : mapping of str to Machine
            The list.
        reports : mapping of str to PoolReport
            Reports by pool; a pool without one is left alone.
        evacuated : frozenset of str
            Data centres whose machines serve nothing now.
        """
        current = FleetView(at_ms, config, machines, reports, evacuated)
        self._settle(listed_ms, current)
        orders = self._retries(at_ms)
        orders += self._plan_waves(current)
        orders += self._plan_sizes(current)
        orders += self._plan_reserved(current)
        for order in orders:
            current.lines.append(
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
        return orders, current.lines

    def _settle(self, listed_ms: int, current: FleetView) -> None:
        """Forget orders whose machine serves again, and reservations that are over."""
        machines = current.machines
        for machine in machines.values():
            self._kinds.setdefault(machine.pool, set()).add(machine.kind)
        for name, pending in list(self._pending.items()):
            if not pending.done_ms:
                continue
            away_ms = self._upkeep_ms if pending.order.wave else self._move_ms
            listed = machines.get(name)
            if listed is None or listed.state == "down":
                del self._pending[name]
                continue
            is_new = listed_ms > pending.done_ms + away_ms // 2
            pending.is_back = pending.is_back or (is_new and listed.state == "up")
            if not pending.is_back:
                continue
            # The shard needs a moment to find and take the new worker.
            is_overdue = current.at_ms > pending.done_ms + away_ms + TAKE_TIME_MS
            if current.serves(listed) or is_overdue:
                del self._pending[name]
        for name, order in list(self._reserved.items()):
            listed = machines.get(name)
            wave = self.waves.get(order.wave)
            is_over = order.wave and (wave is None or name in wave.done)
            if listed is None or listed.state != "up" or is_over:
                del self._reserved[name]

    def _retries(self, at_ms: int) -> list[MachineOrder]:
        orders = []
        for pending in self._pending.values():
            if pending.is_in_flight or pending.done_ms:
                continue
            if at_ms - pending.sent_ms > ORDER_RETRY_MS:
                pending.sent_ms = at_ms
                pending.is_in_flight = True
                orders.append(pending.order)
        return orders

    def _order(self, order: MachineOrder, current: FleetView) -> MachineOrder:
        """Take note of an order at once, so that the same pass counts it."""
        worker_id = current.machines[order.machine].worker_id
        self._pending[order.machine] = _Pending(order, current.at_ms, worker_id)
        return order

    def _is_idle(self, name: str, at_ms: int) -> bool:
        if name in self._pending or name in self._reserved:
            return False
        return self._avoid_until.get(name, 0) <= at_ms

    # Waves

    def _plan_waves(self, current: FleetView) -> list[MachineOrder]:
        orders: list[MachineOrder] = []
        for number, state in self.waves.items():
            if not state.is_finished:
                orders += self._plan_wave(number, state, current)
        return orders

    def _plan_wave(
        self, number: int, state: _WaveState, current: FleetView
    ) -> list[MachineOrder]:
        left = self._left_of(state, current)
        ready = [
            machine
            for machine in left
            if machine.state == "up" and self._is_idle(machine.name, current.at_ms)
        ]
        room = state.wave.max_down - self._n_down(number, state, current)
        empty = [machine for machine in ready if current.is_empty(machine)]
        orders = [
            self._order(MachineOrder(machine.name, wave=number), current)
            for machine in empty[: max(0, room)]
        ]
        busy = [machine for machine in ready if not current.is_empty(machine)]
        self._vacate(number, state, len(left), busy, current)
        return orders

    def _left_of(self, state: _WaveState, current: FleetView) -> list[Machine]:
        """Return the machines of a wave that still need their upkeep."""
        left = []
        for name in state.wave.machines:
            if name in state.done or name in state.gone:
                continue
            machine = current.machines.get(name)
            if machine is not None:
                left.append(machine)
            elif current.at_ms - state.seen_ms > WAVE_MARGIN_MS:
                # A machine that left needs no upkeep; the list may only be late.
                state.gone.add(name)
        return left

    def _vacate(
        self,
        number: int,
        state: _WaveState,
        n_left: int,
        candidates: list[Machine],
        current: FleetView,
    ) -> None:
        """Reserve as many machines of pools as the wave's end calls for."""
        end_ms = state.seen_ms + state.wave.duration_ms - WAVE_MARGIN_MS
        n_cycles = max(1, (end_ms - current.at_ms) // UPKEEP_CYCLE_MS)
        n_parallel = min(state.wave.max_down, ceil(n_left / n_cycles) + 1)
        by_pool: dict[str, int] = {}
        for name, order in self._reserved.items():
            if order.wave == number:
                pool = current.pool_of(name)
                by_pool[pool] = by_pool.get(pool, 0) + 1
        n_vacating = sum(by_pool.values())
        for machine in sorted(candidates, key=current.load):
            if n_vacating >= n_parallel:
                return
            most = max(1, len(current.usable(machine.pool)) // 3)
            n_of_pool = by_pool.get(machine.pool, 0)
            if machine.pool not in current.reports or n_of_pool >= most:
                continue
            by_pool[machine.pool] = n_of_pool + 1
            n_vacating += 1
            self._reserved[machine.name] = MachineOrder(machine.name, wave=number)

    def _n_down(self, number: int, state: _WaveState, current: FleetView) -> int:
        down = {
            name
            for name, pending in self._pending.items()
            if pending.order.wave == number and not pending.is_back
        }
        down.update(
            name
            for name in state.wave.machines
            if name in current.machines and current.machines[name].state == "upkeep"
        )
        if current.at_ms < self._inherited_until_ms:
            down.update(self._inherited & (set(state.wave.machines) - state.done))
        return len(down)

    # Sizes

    def _plan_sizes(self, current: FleetView) -> list[MachineOrder]:
        spare = [
            machine
            for machine in current.machines.values()
            if current.is_spare(machine.pool)
            and machine.state == "up"
            and self._is_idle(machine.name, current.at_ms)
            and machine.data_centre not in current.evacuated
        ]
        waiting = {
            name
            for state in self.waves.values()
            if not state.is_finished
            for name in set(state.wave.machines) - state.done - state.gone
        }
        orders: list[MachineOrder] = []
        missing_by_pool: dict[str, int] = {}
        for pool, report in sorted(current.reports.items()):
            n_available = self._n_available(pool, current)
            missing = report.wanted - n_available
            self._note_size(pool, report.wanted, n_available, len(spare), current)
            if missing > 0:
                missing -= self._release(pool, missing, current)
            while missing > 0:
                machine = self._choose_spare(pool, spare, waiting, current)
                if machine is None:
                    break
                missing -= 1
                spare.remove(machine)
                order = MachineOrder(machine.name, pool)
                orders.append(self._order(order, current))
            if missing > 0:
                missing_by_pool[pool] = missing
            if missing < 0 and current.spare_pool:
                self._reserve_surplus(pool, -missing, current)
            if current.spare_pool:
                self._reserve_useless(pool, current)
        self._redirect(missing_by_pool, current)
        return orders

    def _note_size(
        self, pool: str, wanted: int, n_available: int, n_spare: int, current: FleetView
    ) -> None:
        """Write a line when what a pool wants has changed."""
        if self._wanted.get(pool) == wanted:
            return
        self._wanted[pool] = wanted
        fields: dict[str, object] = {
            "pool": pool,
            "wanted": wanted,
            "n_available": n_available,
            "n_spare": n_spare,
        }
        current.lines.append(LogDecision("pool_size", fields))

    def _redirect(self, missing_by_pool: dict[str, int], current: FleetView) -> None:
        """Send machines that leave a pool straight to one that lacks some.

        The way through the pool that is off takes two moves.
        """
        for name, order in self._reserved.items():
            if order.pool:
                self._reserved[name] = MachineOrder(name, current.spare_pool)
        for pool, n_missing in missing_by_pool.items():
            kinds = self._kinds.get(pool)
            leaving = [
                name
                for name, order in self._reserved.items()
                if order.pool == current.spare_pool
                and name not in self._pending
                and not current.is_useless(current.machines[name])
                and (kinds is None or current.machines[name].kind in kinds)
            ]
            leaving.sort(key=lambda name: current.load(current.machines[name]))
            for name in leaving[:n_missing]:
                self._reserved[name] = MachineOrder(name, pool)

    def _reserve_useless(self, pool: str, current: FleetView) -> None:
        """Empty machines that are paid for and get no work."""
        for name, machine in current.machines.items():
            if machine.pool != pool or not current.is_useless(machine):
                continue
            if self._is_idle(name, current.at_ms):
                self._reserved[name] = MachineOrder(name, current.spare_pool)

    def _choose_spare(
        self,
        pool: str,
        spare: list[Machine],
        waiting: set[str],
        current: FleetView,
    ) -> Machine | None:
        """Prefer machines whose upkeep is over, in racks that the pool uses least.

        A pool takes machines of the kinds that were seen in it.
        """
        kinds = self._kinds.get(pool)
        racks: dict[str, int] = {}
        for name, machine in current.machines.items():
            pending = self._pending.get(name)
            if machine.pool == pool or (pending and pending.order.pool == pool):
                racks[machine.rack] = racks.get(machine.rack, 0) + 1
        return min(
            (each for each in spare if kinds is None or each.kind in kinds),
            key=lambda each: (
                each.name in waiting,
                racks.get(each.rack, 0),
                each.name,
            ),
            default=None,
        )

    def _n_available(self, pool: str, current: FleetView) -> int:
        here = sum(
            name not in self._reserved and name not in self._pending
            for name in current.usable(pool)
        )
        coming = sum(
            (pending.order.pool or current.pool_of(name)) == pool
            for name, pending in self._pending.items()
        )
        return here + coming

    def _release(self, pool: str, n: int, current: FleetView) -> int:
        """Keep machines that were about to leave a pool that needs them again."""
        names = [
            name
            for name, order in self._reserved.items()
            if order.pool
            and current.machines[name].pool == pool
            and not current.is_useless(current.machines[name])
        ][:n]
        for name in names:
            del self._reserved[name]
        return len(names)

    def _reserve_surplus(self, pool: str, n: int, current: FleetView) -> None:
        candidates = [
            current.machines[name]
            for name in current.usable(pool)
            if self._is_idle(name, current.at_ms)
        ]
        candidates = [
            machine for machine in candidates if not current.n_lasting(machine)
        ]
        for machine in sorted(candidates, key=current.load)[:n]:
            order = MachineOrder(machine.name, current.spare_pool)
            self._reserved[machine.name] = order

    def _plan_reserved(self, current: FleetView) -> list[MachineOrder]:
        """Send the orders of reserved machines on which nothing runs any more."""
        orders = []
        for name, order in self._reserved.items():
            machine = current.machines[name]
            worker = current.worker(machine)
            if name in self._pending or worker is None:
                continue
            if self._avoid_until.get(name, 0) > current.at_ms:
                continue
            if worker.n_runs or not worker.is_reserved:
                continue
            if order.wave:
                state = self.waves[order.wave]
                if self._n_down(order.wave, state, current) >= state.wave.max_down:
                    continue
            orders.append(self._order(order, current))
        return orders
