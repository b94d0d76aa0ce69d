"""Planning of pool sizes: which machines move to which pool."""

from collections import Counter
from collections.abc import Mapping

from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import (
    JOIN_TIMEOUT_MS,
    MachineOrder,
    OrderTracker,
)
from apricotgap.jobs.fleet_view import FleetView
from apricotgap.jobs.maintenance_waves import MaintenanceWaves
from apricotgap.jobs.pool_shares import LATE_LEVEL, PoolShare, divide_by_level

__all__ = ["PoolSizes"]

# Demand that has lasted this long is expected to last as long again, twice what it
# takes to empty and move a machine. Peaks of 4 s do not reach it.
SUSTAINED_MS = 5_000


class PoolSizes:
    """Plans moves of machines between the pools and the spare pool.

    Parameters
    ----------
    tracker : OrderTracker
        Pending orders and reserved machines.
    waves : MaintenanceWaves
        Maintenance waves; machines that still need maintenance are moved last.
    """

    def __init__(self, tracker: OrderTracker, waves: MaintenanceWaves) -> None:
        self._tracker = tracker
        self._waves = waves
        self._wanted: dict[str, int] = {}
        # Number of machines planned for each pool.
        self.shares: dict[str, int] = {}
        self._empty_since_ms: dict[str, int] = {}
        # Since when a pool wants machines that less urgent jobs in time use elsewhere.
        self._outranks_since_ms: dict[str, int] = {}

    def plan(self, view: FleetView) -> list[MachineOrder]:
        """Return the moves to order now, and reserve surplus machines."""
        unassigned = [
            machine
            for machine in view.machines.values()
            if view.is_spare(machine.pool)
            and machine.state == "up"
            and self._tracker.is_unassigned(machine.name)
            and machine.data_centre not in view.evacuated
        ]
        spare = [
            machine
            for machine in unassigned
            if self._tracker.is_idle(machine.name, view.at_ms)
        ]
        waiting = self._waves.waiting()
        missing: dict[str, list[int]] = {}
        available = {pool: self._n_available(pool, view) for pool in view.reports}
        # Machines that must not be ordered yet are part of the plan: after a takeover
        # that is most of the spare pool for a while.
        divided = self._divide(available, len(unassigned), view)
        shares = self.shares = {pool: share.total for pool, share in divided.items()}
        is_short = any(shares[pool] > n for pool, n in available.items())
        for pool, report in sorted(view.reports.items()):
            if self._is_starting(pool, view):
                continue
            n_available = available[pool]
            n_missing = shares[pool] - n_available
            self._log_size_change(
                pool, report.wanted, shares[pool], n_available, len(spare), view
            )
            if n_missing > 0:
                n_kept = self._cancel_reservations(pool, n_missing, view)
                missing[pool] = list(divided[pool].levels_from(n_available + n_kept))
            if n_missing < 0 and view.spare_pool:
                self._reserve_surplus(pool, -n_missing, is_short, view)
            if view.spare_pool:
                self._reserve_excluded(pool, view)
        orders: list[MachineOrder] = []
        still_lacking: list[tuple[int, str]] = []
        for level, pool in _in_turn(missing):
            machine = self._choose_spare(pool, spare, waiting, view) if spare else None
            if machine is None:
                still_lacking.append((level, pool))
                continue
            spare.remove(machine)
            order = MachineOrder(machine.name, pool, why="demand", for_level=level)
            orders.append(self._tracker.order(order, view))
        self._redirect(still_lacking, view)
        return orders

    @property
    def is_draining(self) -> bool:
        """Whether machines are being emptied for a pool that lacks them."""
        return any(
            order.for_level is not None and name not in self._tracker.pending
            for name, order in self._tracker.reserved.items()
        )

    def urgent_workers(
        self, machines: Mapping[str, Machine]
    ) -> dict[str, dict[str, int]]:
        """Return the priority of the jobs for which workers' machines leave, by pool.

        Machines that leave for no other pool, or for late jobs only, are left out.
        """
        found: dict[str, dict[str, int]] = {}
        for name, order in self._tracker.reserved.items():
            machine = machines.get(name)
            level = order.for_level
            if machine is None or level is None or level >= LATE_LEVEL:
                continue
            found.setdefault(machine.pool, {})[machine.worker_id] = max(0, level)
        return found

    def _is_starting(self, pool: str, view: FleetView) -> bool:
        """Whether the owner of a pool is still about to acquire its workers.

        Until then the pool seems empty, and machines would be moved to it in vain.
        """
        machines = [
            machine
            for machine in view.machines.values()
            if machine.pool == pool and machine.state == "up"
        ]
        if not machines or any(map(view.is_serving, machines)):
            self._empty_since_ms.pop(pool, None)
            return False
        since_ms = self._empty_since_ms.setdefault(pool, view.at_ms)
        return view.at_ms - since_ms < JOIN_TIMEOUT_MS

    def _divide(
        self, available: dict[str, int], n_spare: int, view: FleetView
    ) -> dict[str, PoolShare]:
        """Divide the machines by what the pools want, the most urgent jobs first.

        Machines in use for jobs in time are taken only for demand that lasts: they
        would serve nobody for longer than a short peak gains by them.
        """
        n_leaving = sum(
            bool(order.pool) and not view.is_excluded(view.machines[name])
            for name, order in self._tracker.reserved.items()
            if name not in self._tracker.pending and name in view.machines
        )
        n_machines = n_spare + n_leaving + sum(available.values())
        wants = {pool: report.wants for pool, report in view.reports.items()}
        strict = divide_by_level(wants, n_machines)
        sparing = divide_by_level(
            {pool: each.with_busy_first for pool, each in wants.items()}, n_machines
        )
        self._outranks_since_ms = {
            pool: self._outranks_since_ms.get(pool, view.at_ms)
            for pool, share in strict.items()
            if share.total > sparing[pool].total
        }
        since_ms = min(self._outranks_since_ms.values(), default=view.at_ms)
        return strict if view.at_ms - since_ms >= SUSTAINED_MS else sparing

    def _log_size_change(
        self,
        pool: str,
        wanted: int,
        share: int,
        n_available: int,
        n_spare: int,
        view: FleetView,
    ) -> None:
        """Log the size of a pool when the number of workers it needs has changed."""
        if self._wanted.get(pool) == wanted:
            return
        self._wanted[pool] = wanted
        fields: dict[str, object] = {
            "pool": pool,
            "wanted": wanted,
            "share": share,
            "n_available": n_available,
            "n_spare": n_spare,
        }
        view.log_lines.append(LogDecision("pool_size", fields))

    def _redirect(self, lacking: list[tuple[int, str]], view: FleetView) -> None:
        """Send machines that leave a pool directly to a pool that lacks machines.

        A move by way of the spare pool would take two moves. The pools come in the
        order of their demand, and those that are first get what leaves soonest.
        """
        reserved = self._tracker.reserved
        leaving: list[str] = []
        for name, order in reserved.items():
            if not order.pool:
                continue
            is_excluded = view.is_excluded(view.machines[name])
            why = "excluded" if is_excluded else "surplus"
            reserved[name] = MachineOrder(name, view.spare_pool, why=why)
            if name not in self._tracker.pending and not is_excluded:
                leaving.append(name)
        leaving.sort(key=lambda name: view.drain_cost(view.machines[name]))
        for level, pool in lacking:
            kinds = self._tracker.kinds.get(pool)
            for name in leaving:
                if kinds is None or view.machines[name].kind in kinds:
                    leaving.remove(name)
                    reserved[name] = MachineOrder(
                        name, pool, why="demand", for_level=level
                    )
                    break

    def _reserve_excluded(self, pool: str, view: FleetView) -> None:
        """Reserve machines that cost money but get no work, to move them out.

        While most workers of a pool are suspect, they stay and may try other jobs:
        rather the jobs are at fault than so many workers.
        """
        in_pool = [
            machine
            for machine in view.machines.values()
            if machine.pool == pool and machine.state == "up"
        ]
        excluded = [machine for machine in in_pool if view.is_excluded(machine)]
        stay = set()
        if 2 * len(excluded) > len(in_pool):
            stay = {each.name for each in excluded if view.is_only_suspect(each)}
        for machine in excluded:
            name = machine.name
            if name in stay:
                self._cancel_move(name)
            elif self._tracker.is_idle(name, view.at_ms):
                self._tracker.reserved[name] = MachineOrder(name, view.spare_pool)

    def _cancel_move(self, name: str) -> None:
        """Cancel the reservation of a machine for a move that is not ordered yet."""
        order = self._tracker.reserved.get(name)
        if order is not None and order.pool and name not in self._tracker.pending:
            del self._tracker.reserved[name]

    def _choose_spare(
        self,
        pool: str,
        spare: list[Machine],
        waiting: set[str],
        view: FleetView,
    ) -> Machine | None:
        """Return the spare machine to move to a pool, None when there is none.

        Machines that need no maintenance come first, then those in racks that the pool
        uses least. Only hardware kinds that were observed in the pool are moved to it.
        """
        kinds = self._tracker.kinds.get(pool)
        racks: dict[str, int] = {}
        for name, machine in view.machines.items():
            pending = self._tracker.pending.get(name)
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

    def _n_available(self, pool: str, view: FleetView) -> int:
        present = sum(
            name not in self._tracker.reserved and name not in self._tracker.pending
            for name in view.usable(pool)
        )
        incoming = sum(
            (pending.order.pool or view.pool_of(name)) == pool
            for name, pending in self._tracker.pending.items()
        )
        return present + incoming

    def _cancel_reservations(self, pool: str, n: int, view: FleetView) -> int:
        """Cancel up to `n` reservations of machines that would leave the pool.

        Those that would take longest to empty come first. Returns the number of
        reservations cancelled.
        """
        names = [
            name
            for name, order in self._tracker.reserved.items()
            if order.pool
            and view.machines[name].pool == pool
            and not view.is_excluded(view.machines[name])
        ]
        names.sort(key=lambda name: view.drain_cost(view.machines[name]), reverse=True)
        for name in names[:n]:
            del self._tracker.reserved[name]
        return len(names[:n])

    def _reserve_surplus(
        self, pool: str, n: int, is_short: bool, view: FleetView
    ) -> None:
        """Reserve up to `n` machines that a pool does not need, soonest empty first.

        Those that have just moved in come last, and only if a pool lacks machines.
        """
        candidates = [
            view.machines[name]
            for name in view.usable(pool)
            if self._tracker.is_idle(name, view.at_ms)
        ]
        candidates = [
            machine for machine in candidates if not view.n_long_running(machine)
        ]
        moved = {
            machine.name
            for machine in candidates
            if self._tracker.has_just_moved(machine.name, view.at_ms)
        }
        if not is_short:
            candidates = [each for each in candidates if each.name not in moved]
        candidates.sort(key=lambda each: (each.name in moved, *view.drain_cost(each)))
        for machine in candidates[:n]:
            order = MachineOrder(machine.name, view.spare_pool, why="surplus")
            self._tracker.reserved[machine.name] = order


def _in_turn(missing: Mapping[str, list[int]]) -> list[tuple[int, str]]:
    """Return level and pool of each missing machine, the most urgent level first.

    Within a level the pools take turns.
    """
    turns: list[tuple[int, int, str]] = []
    for pool, levels in missing.items():
        for level, n in Counter(levels).items():
            turns.extend((level, turn, pool) for turn in range(n))
    return [(level, pool) for level, _, pool in sorted(turns)]
