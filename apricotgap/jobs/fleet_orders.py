"""Pending machine orders, and machines reserved to be emptied for one."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_view import FleetView
from apricotgap.jobs.machine_absence import AbsenceTracker

__all__ = ["MachineOrder", "OrderTracker", "OrderResult"]

# An order without a response is sent again after this time.
ORDER_RETRY_MS = 600
# A machine in its new pool counts as on its way for at most this long, while its shard
# discovers and acquires the worker.
JOIN_TIMEOUT_MS = 3_000
# A machine stays in its new pool for at least this long, unless another pool lacks
# machines: a shorter stay costs more than it serves. It is what a move takes.
MIN_STAY_MS = 1_500
# Workers ended by an order are reported to the shards for this long.
ENDED_REPORT_MS = 6_000
# No new order for this long after the platform did not carry one out.
BUSY_BACKOFF_MS = 1_500
# An order that the platform refuses again and again waits twice as long each time, up
# to this many times.
MAX_DOUBLINGS = 4
# Results that say only that this order was not carried out, not that none was.
_NOT_DONE = frozenset({"busy", "unavailable"})


@dataclass(frozen=True, slots=True)
class MachineOrder:
    """Move a machine to `pool` or, if `wave` is not 0, take it down for maintenance.

    `why` is the reason that is logged. `for_level` is the level of the demand that a
    move serves, None for other moves. Neither takes part in comparisons: an order to
    the same pool is the same order.
    """

    machine: str
    pool: str = ""
    wave: int = 0
    why: str = field(default="", compare=False)
    for_level: int | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Result of an order: ``ok``, ``busy``, ``gone``, ``wave``, ``unknown``, ...

    After ``unknown`` the order may have been carried out.
    """

    order: MachineOrder
    kind: str
    at_ms: int


@dataclass(slots=True)
class PendingOrder:
    """An order that was sent; `done_ms` is when it was confirmed, 0 until then.

    `may_be_done` is set once it got no answer. What a repetition did not do tells
    nothing of it then.
    """

    order: MachineOrder
    sent_ms: int
    worker_id: str
    is_in_flight: bool = True
    done_ms: int = 0
    is_up_again: bool = False
    may_be_done: bool = False


class OrderTracker:
    """Tracks pending orders and the machines reserved for an order.

    Workers on reserved machines get no new work.

    Parameters
    ----------
    move_ms, maintenance_ms : int
        How long a machine is unavailable during a move and during maintenance.
    absences : AbsenceTracker
        Machines that the lists lack.
    """

    def __init__(
        self, move_ms: int, maintenance_ms: int, absences: AbsenceTracker
    ) -> None:
        self._absences = absences
        self._move_ms = move_ms
        self._maintenance_ms = maintenance_ms
        self._backoff_until_ms: dict[str, int] = {}
        self._n_refusals: Counter[str] = Counter()
        self._inherited_machines: frozenset[str] = frozenset()
        self._inherited_until_ms = 0
        self._ended: dict[str, int] = {}
        self.pending: dict[str, PendingOrder] = {}
        self.reserved: dict[str, MachineOrder] = {}
        self.kinds: dict[str, set[str]] = {}
        # When machines were last ordered to another pool.
        self._moved_ms: dict[str, int] = {}

    def inherit(self, machines: Iterable[str], until_ms: int) -> None:
        """Order nothing for machines with recent orders of a previous owner.

        Parameters
        ----------
        machines : iterable of str
            Names of the machines; those in a wave count as down.
        until_ms : int
            Time from which they may be ordered again.
        """
        self._inherited_machines = frozenset(machines)
        self._inherited_until_ms = until_ms
        for name in self._inherited_machines:
            self._backoff_until_ms[name] = until_ms

    def inherited(self, view: FleetView) -> frozenset[str]:
        """Return the machines that a previous owner may have taken down.

        A list from before its last order may still show them up.
        """
        return (
            self._inherited_machines
            if view.listed_ms < self._inherited_until_ms
            else frozenset()
        )

    @property
    def is_busy(self) -> bool:
        """Whether orders are pending or machines reserved."""
        return bool(self.pending or self.reserved)

    def ended_workers(self, at_ms: int) -> list[str]:
        """Return the ids of workers that recent orders have ended."""
        for worker_id, ended_ms in list(self._ended.items()):
            if at_ms - ended_ms > ENDED_REPORT_MS:
                del self._ended[worker_id]
        return list(self._ended)

    def reserved_workers(self, machines: Mapping[str, Machine]) -> dict[str, list[str]]:
        """Return the ids of workers on reserved machines, by pool.

        Those of machines whose order has no result yet are among them.
        """
        unresolved = (
            name for name, pending in self.pending.items() if not pending.done_ms
        )
        found: dict[str, list[str]] = {}
        for name in dict.fromkeys((*self.reserved, *unresolved)):
            machine = machines.get(name)
            if machine is not None and machine.worker_id:
                found.setdefault(machine.pool, []).append(machine.worker_id)
        return found

    def handle_response(self, result: OrderResult) -> bool:
        """Apply the result of an order; returns False when it is not pending."""
        order = result.order
        pending = self.pending.get(order.machine)
        if pending is None or pending.order != order:
            return False
        pending.is_in_flight = False
        if result.kind == "unknown":
            pending.may_be_done = True
            return True
        if pending.may_be_done and result.kind in _NOT_DONE:
            return True
        if result.kind == "ok":
            pending.done_ms = result.at_ms
            self.reserved.pop(order.machine, None)
            self._n_refusals.pop(order.machine, None)
            return True
        del self.pending[order.machine]
        backoff_ms = BUSY_BACKOFF_MS
        if result.kind in ("gone", "wave") and order.wave:
            self.reserved.pop(order.machine, None)
            backoff_ms <<= min(self._n_refusals[order.machine], MAX_DOUBLINGS)
            self._n_refusals[order.machine] += 1
        self._backoff_until_ms[order.machine] = result.at_ms + backoff_ms
        return True

    def prune(
        self, view: FleetView, is_obsolete: Callable[[str, MachineOrder], bool]
    ) -> None:
        """Drop orders whose machine is in service again, and obsolete reservations.

        A machine counts as back only when it is up in a list requested at least half
        its unavailable time after the order was confirmed: an older list may still show
        it up from before. A list that lacks the machine ends no order; all lists of a
        while do.
        """
        machines = view.machines
        self._moved_ms = {n: ms for n, ms in self._moved_ms.items() if n in machines}
        for machine in machines.values():
            self.kinds.setdefault(machine.pool, set()).add(machine.kind)
        for name, pending in list(self.pending.items()):
            listed = machines.get(name)
            if listed is None:
                self._end_if_missing(name, pending, view)
                continue
            if not pending.done_ms:
                is_down = listed.state == "down"
                if pending.may_be_done and is_down and view.listed_ms > pending.sent_ms:
                    del self.pending[name]
                continue
            unavailable_ms = (
                self._maintenance_ms if pending.order.wave else self._move_ms
            )
            self._record_end(pending.worker_id, listed, view.at_ms)
            if listed.state == "down":
                del self.pending[name]
                continue
            is_new = view.listed_ms > pending.done_ms + unavailable_ms // 2
            pending.is_up_again = pending.is_up_again or (
                is_new and listed.state == "up"
            )
            if not pending.is_up_again:
                continue
            # The shard needs time to discover and acquire the new worker.
            is_overdue = view.at_ms > pending.done_ms + unavailable_ms + JOIN_TIMEOUT_MS
            if view.is_serving(listed) or is_overdue:
                del self.pending[name]
        for name, order in list(self.reserved.items()):
            listed = machines.get(name)
            if listed is None or listed.state != "up" or is_obsolete(name, order):
                del self.reserved[name]

    def _end_if_missing(
        self, name: str, pending: PendingOrder, view: FleetView
    ) -> None:
        """Drop an order whose machine the lists have lacked long since."""
        if not pending.done_ms and not pending.may_be_done:
            return
        if not self._absences.is_missing(name, pending.done_ms or pending.sent_ms):
            return
        if pending.done_ms:
            self._record_end(pending.worker_id, None, view.at_ms)
        del self.pending[name]

    def _record_end(self, worker_id: str, listed: Machine | None, at_ms: int) -> None:
        """Record the end of the worker of an order, once the list shows it.

        The platform also confirms an order that an earlier owner of the fleet has had
        carried out. The worker is then the one that came afterwards.
        """
        if not worker_id:
            return
        running_id = listed.worker_id if listed and listed.state == "up" else ""
        if running_id == worker_id:
            self._ended.pop(worker_id, None)
        else:
            self._ended[worker_id] = at_ms

    def retries(self, view: FleetView) -> list[MachineOrder]:
        """Return the orders without a response that are due to be sent again."""
        orders = []
        for pending in self.pending.values():
            if pending.is_in_flight or pending.done_ms:
                continue
            is_due = view.at_ms - pending.sent_ms > ORDER_RETRY_MS
            if is_due and not self._may_interrupt(pending, view):
                pending.sent_ms = view.at_ms
                pending.is_in_flight = True
                orders.append(pending.order)
        return orders

    @staticmethod
    def _may_interrupt(pending: PendingOrder, view: FleetView) -> bool:
        """Whether an order that is sent again may end tasks.

        Its worker may have taken up work if the reports that reserve it were lost, or a
        list lacked its machine. One that is not the worker of the order is safe: the
        order has been carried out.
        """
        machine = view.machines.get(pending.order.machine)
        if machine is None:
            name = pending.order.machine
            return view.registered is None or name in view.registered
        if machine.state != "up" or view.has_no_shard(machine):
            return False
        if machine.worker_id != pending.worker_id:
            return False
        if machine.pool not in view.reports:
            return True
        worker = view.worker(machine)
        return worker is not None and (worker.n_runs > 0 or not worker.is_reserved)

    def order(self, order: MachineOrder, view: FleetView) -> MachineOrder:
        """Add an order as pending at once, so that this pass already counts it."""
        machine = view.machines.get(order.machine)
        worker_id = machine.worker_id if machine else ""
        if order.pool:
            self._moved_ms[order.machine] = view.at_ms
        self.pending[order.machine] = PendingOrder(order, view.at_ms, worker_id)
        return order

    def has_just_moved(self, name: str, at_ms: int) -> bool:
        """Whether a machine has hardly served since it was ordered to its pool."""
        moved_ms = self._moved_ms.get(name)
        return moved_ms is not None and at_ms - moved_ms < self._move_ms + MIN_STAY_MS

    def is_backing_off(self, name: str, at_ms: int) -> bool:
        """Whether a machine must not be ordered yet after an earlier order."""
        return self._backoff_until_ms.get(name, 0) > at_ms

    def is_idle(self, name: str, at_ms: int) -> bool:
        """Whether a machine may be ordered or reserved."""
        return self.is_unassigned(name) and not self.is_backing_off(name, at_ms)

    def is_unassigned(self, name: str) -> bool:
        """Whether a machine has no order and is not reserved for one."""
        return name not in self.pending and name not in self.reserved
