"""Choice of the machines that are reserved to be emptied for a maintenance wave."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from math import ceil

from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_view import FleetView

__all__ = ["WaveReservations"]


class WaveReservations:
    """Chooses machines of pools so that a wave is complete in time.

    Machines with long-running tasks, *hosts*, take longest: their tasks leave one after
    the other, within the availability budgets of their steps. They are reserved early
    and several at once, and have places of their own next to the other machines.

    Parameters
    ----------
    reserved : sequence of Machine
        Machines that are reserved for the wave.
    n_reserved_of : mapping of str to int
        Number of machines of each pool that are reserved for any order.
    left : sequence of Machine
        Machines that still need its maintenance, with the reserved ones.
    max_down : int
        Most machines that may be down at once.
    n_cycles : int
        How often machines can be emptied and maintained before the planned end. With 0,
        the wave takes precedence over the needs of the pools.
    view : FleetView
        Machines and reports of this pass.
    """

    def __init__(
        self,
        reserved: Sequence[Machine],
        n_reserved_of: Mapping[str, int],
        left: Sequence[Machine],
        max_down: int,
        n_cycles: int,
        view: FleetView,
    ) -> None:
        self._view = view
        self._max_down = max_down
        self._n_cycles = max(1, n_cycles)
        self._is_near_end = n_cycles == 0
        self._n_left = len(left)
        self._n_hosts_left_of = Counter(
            machine.pool for machine in left if view.n_long_running(machine)
        )
        self._n_spared_of: dict[str, int] = {}
        self._n_reserved_of = Counter(n_reserved_of)
        self._n_hosts_of = Counter(
            machine.pool for machine in reserved if view.n_long_running(machine)
        )
        self._n_others = len(reserved) - self._n_hosts_of.total()

    def choose(self, candidates: Iterable[Machine]) -> list[Machine]:
        """Return the machines to reserve now."""
        hosts: list[Machine] = []
        others: list[Machine] = []
        for machine in candidates:
            is_host = self._view.n_long_running(machine) > 0
            (hosts if is_host else others).append(machine)
        # Those that take longest first.
        hosts.sort(key=lambda each: (-self._view.n_long_running(each), each.name))
        others.sort(key=self._view.drain_cost)
        return self._choose_hosts(hosts) + self._choose_others(others)

    def _choose_hosts(self, hosts: list[Machine]) -> list[Machine]:
        chosen = []
        n_free = self._max_down - self._n_hosts_of.total()
        for machine in hosts:
            pool = machine.pool
            n_due = ceil(self._n_hosts_left_of[pool] / self._n_cycles)
            n_most = max(n_due, ceil(self._n_spared(pool) / 2))
            if n_free <= 0 or self._n_hosts_of[pool] >= n_most:
                continue
            if not self._has_place(pool):
                continue
            n_free -= 1
            self._n_hosts_of[pool] += 1
            self._n_reserved_of[pool] += 1
            chosen.append(machine)
        return chosen

    def _choose_others(self, others: list[Machine]) -> list[Machine]:
        chosen = []
        n_due = ceil(self._n_left / self._n_cycles) + 1
        n_free = min(self._max_down, n_due) - self._n_others
        for machine in others:
            if n_free <= 0:
                break
            if not self._has_place(machine.pool):
                continue
            n_free -= 1
            self._n_reserved_of[machine.pool] += 1
            chosen.append(machine)
        return chosen

    def _has_place(self, pool: str) -> bool:
        """Whether a pool can spare one more machine, or the wave is about to end."""
        return self._is_near_end or self._n_reserved_of[pool] < self._n_spared(pool)

    def _n_spared(self, pool: str) -> int:
        """Return how many machines a pool can spare at once.

        It is a third of a pool in need, and all that a pool does not need.
        """
        if pool not in self._n_spared_of:
            n_usable = len(self._view.usable(pool))
            n_surplus = n_usable - self._view.reports[pool].wanted
            self._n_spared_of[pool] = max(1, n_usable // 3, n_surplus)
        return self._n_spared_of[pool]
