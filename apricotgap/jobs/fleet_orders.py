"""Orders for machines that are under way, and machines that are to be emptied."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_view import FleetView

__all__ = ["MachineOrder", "OrderTracker", "OrderResult"]

# An order without an answer is repeated after this time.
ORDER_RETRY_MS = 600
# A worker that joined a pool counts as on its way for this long.
JOIN_TIMEOUT_MS = 3_000
# Shards are told for this long that an order has ended a worker.
ENDED_REPORT_MS = 6_000
# A machine that an order found busy is left alone for this long.
BUSY_BACKOFF_MS = 1_500


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
class PendingOrder:
    """An order that was sent; `done_ms` is when it is known to be carried out."""

    order: MachineOrder
    sent_ms: int
    worker_id: str
    is_in_flight: bool = True
    done_ms: int = 0
    is_back: bool = False


class OrderTracker:
    """What was ordered of which machine, and which machines get no new work.

    Parameters
    ----------
    move_ms, upkeep_ms : int
        How long a machine is away.
    """

    def __init__(self, move_ms: int, upkeep_ms: int) -> None:
        self._move_ms = move_ms
        self._upkeep_ms = upkeep_ms
        self._backoff_until_ms: dict[str, int] = {}
        self._inherited_machines: frozenset[str] = frozenset()
        self._inherited_until_ms = 0
        self._ended: dict[str, int] = {}
        self.pending: dict[str, PendingOrder] = {}
        self.reserved: dict[str, MachineOrder] = {}
        self.kinds: dict[str, set[str]] = {}

    def inherit(self, machines: Iterable[str], until_ms: int) -> None:
        """Leave machines alone that an earlier owner has ordered away just now.

        Parameters
        ----------
        machines : iterable of str
            Their names; those of a wave count as down.
        until_ms : int
            From when on they may be ordered again.
        """
        self._inherited_machines = frozenset(machines)
        self._inherited_until_ms = until_ms
        for name in self._inherited_machines:
            self._backoff_until_ms[name] = until_ms

    def inherited(self, at_ms: int) -> frozenset[str]:
        """Return the machines that an earlier owner may have taken down."""
        return (
            self._inherited_machines
            if at_ms < self._inherited_until_ms
            else frozenset()
        )

    @property
    def is_busy(self) -> bool:
        """Whether machines are on their way or about to leave."""
        return bool(self.pending or self.reserved)

    def ended_workers(self, at_ms: int) -> list[str]:
        """Ids of workers that recent orders have ended."""
        for worker_id, ended_ms in list(self._ended.items()):
            if at_ms - ended_ms > ENDED_REPORT_MS:
                del self._ended[worker_id]
        return list(self._ended)

    def reserved_workers(self, machines: Mapping[str, Machine]) -> dict[str, list[str]]:
        """Ids of the workers that get no new work, by pool."""
        found: dict[str, list[str]] = {}
        for name in self.reserved:
            machine = machines.get(name)
            if machine is not None and machine.worker_id:
                found.setdefault(machine.pool, []).append(machine.worker_id)
        return found

    def handle_answer(self, result: OrderResult) -> bool:
        """Take note of the outcome of an order; False when none is under way."""
        order = result.order
        pending = self.pending.get(order.machine)
        if pending is None or pending.order != order:
            return False
        pending.is_in_flight = False
        if result.kind == "unknown":
            return True
        if result.kind == "ok":
            pending.done_ms = result.at_ms
            if pending.worker_id:
                self._ended[pending.worker_id] = result.at_ms
            self.reserved.pop(order.machine, None)
            return True
        del self.pending[order.machine]
        if result.kind in ("gone", "wave") and order.wave:
            self.reserved.pop(order.machine, None)
        self._backoff_until_ms[order.machine] = result.at_ms + BUSY_BACKOFF_MS
        return True

    def prune(
        self,
        listed_ms: int,
        current: FleetView,
        is_over: Callable[[str, MachineOrder], bool],
    ) -> None:
        """Forget orders whose machine serves again, and reservations that are over."""
        machines = current.machines
        for machine in machines.values():
            self.kinds.setdefault(machine.pool, set()).add(machine.kind)
        for name, pending in list(self.pending.items()):
            if not pending.done_ms:
                continue
            away_ms = self._upkeep_ms if pending.order.wave else self._move_ms
            listed = machines.get(name)
            if listed is None or listed.state == "down":
                del self.pending[name]
                continue
            is_new = listed_ms > pending.done_ms + away_ms // 2
            pending.is_back = pending.is_back or (is_new and listed.state == "up")
            if not pending.is_back:
                continue
            # The shard needs a moment to find and take the new worker.
            is_overdue = current.at_ms > pending.done_ms + away_ms + JOIN_TIMEOUT_MS
            if current.is_serving(listed) or is_overdue:
                del self.pending[name]
        for name, order in list(self.reserved.items()):
            listed = machines.get(name)
            if listed is None or listed.state != "up" or is_over(name, order):
                del self.reserved[name]

    def retries(self, at_ms: int) -> list[MachineOrder]:
        """Return the orders without an answer that are to be sent again."""
        orders = []
        for pending in self.pending.values():
            if pending.is_in_flight or pending.done_ms:
                continue
            if at_ms - pending.sent_ms > ORDER_RETRY_MS:
                pending.sent_ms = at_ms
                pending.is_in_flight = True
                orders.append(pending.order)
        return orders

    def order(self, order: MachineOrder, current: FleetView) -> MachineOrder:
        """Take note of an order at once, so that the same pass counts it."""
        worker_id = current.machines[order.machine].worker_id
        self.pending[order.machine] = PendingOrder(order, current.at_ms, worker_id)
        return order

    def is_backing_off(self, name: str, at_ms: int) -> bool:
        """Whether a machine gets no order for a while."""
        return self._backoff_until_ms.get(name, 0) > at_ms

    def is_idle(self, name: str, at_ms: int) -> bool:
        """Whether a machine may be ordered or reserved."""
        if name in self.pending or name in self.reserved:
            return False
        return not self.is_backing_off(name, at_ms)
