"""Workers of a shard whose machines the owner of the fleet empties and orders away."""

from collections.abc import Iterable

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.fleet_orders import ENDED_REPORT_MS
from apricotgap.jobs.shard_leases import ShardLeases
from apricotgap.jobs.workers import Worker

__all__ = ["ShardOrders"]


class ShardOrders(ShardLeases):
    """State of the reserved and of the ended workers of one service.

    Parameters
    ----------
    service, epoch, max_lease_ms, stop_ms, inherited_lease_ms
        As for `ShardLeases`.
    """

    def __init__(
        self,
        service: str,
        epoch: int,
        max_lease_ms: int,
        stop_ms: int,
        inherited_lease_ms: int | None = None,
    ) -> None:
        super().__init__(service, epoch, max_lease_ms, stop_ms, inherited_lease_ms)
        # Ended incarnations that the platform may still list, by worker and start.
        self._ended_incarnations: set[tuple[str, int]] = set()
        # When an incarnation has ended, by worker, or was last reported to have ended.
        self._ended_ms: dict[str, int] = {}
        # Ends of reservations. They hold for the machine, whatever runs there.
        self._reserved_until_ms: dict[str, int] = {}
        self.loaded_ms = -1_000_000
        self.reported_ms = -1_000_000

    def knows_reservations(self, at_ms: int) -> bool:
        """Whether the fleet owner has had time to reserve workers for its orders."""
        if self.reported_ms >= self.loaded_ms:
            return True
        return at_ms - self.loaded_ms > limits.FIRST_REPORT_TIMEOUT_MS

    def reserve(self, worker_ids: Iterable[str], at_ms: int) -> None:
        """Give these workers no new work; expires unless the caller repeats it.

        It holds for later incarnations of a worker too, and for one not listed yet.
        """
        self._reserved_until_ms = {
            worker_id: until_ms
            for worker_id, until_ms in self._reserved_until_ms.items()
            if until_ms > at_ms
        }
        until_ms = at_ms + limits.RESERVATION_MS
        for worker_id in worker_ids:
            self._reserved_until_ms[worker_id] = until_ms
            worker = self.workers.get(worker_id)
            if worker is not None:
                worker.reserved_until_ms = until_ms

    def end_workers(self, worker_ids: Iterable[str], at_ms: int) -> list[Effect]:
        """Remove workers whose machines were moved or taken down.

        A report names the id only and is repeated. Soon after an incarnation has ended,
        it means that one: it must not end the next, which may run tasks.
        """
        self._ended_ms = {
            worker_id: ended_ms
            for worker_id, ended_ms in self._ended_ms.items()
            if at_ms - ended_ms <= ENDED_REPORT_MS
        }
        effects: list[Effect] = []
        for worker_id in worker_ids:
            worker = self.workers.get(worker_id)
            if worker_id in self._ended_ms:
                self._ended_ms[worker_id] = at_ms
            elif worker is not None:
                effects.extend(self._mark_ordered_away(worker, at_ms))
                self._remove(worker, at_ms)
        return effects

    def _was_reported_ended(self, worker: Worker, at_ms: int) -> bool:
        """Whether a report may have meant this incarnation of a worker."""
        ended_ms = self._ended_ms.get(worker.worker_id)
        return ended_ms is not None and at_ms - ended_ms <= ENDED_REPORT_MS

    def _remove(self, worker: Worker, at_ms: int) -> None:
        """Remove an incarnation that has ended."""
        del self.workers[worker.worker_id]
        self._ended_incarnations.add((worker.worker_id, worker.entry.born_ms))
        self._ended_ms[worker.worker_id] = at_ms

    def _add_worker(self, entry: WorkerEntry, at_ms: int) -> Worker:
        worker = super()._add_worker(entry, at_ms)
        until_ms = self._reserved_until_ms.get(entry.worker_id)
        if until_ms is not None:
            worker.reserved_until_ms = until_ms
        return worker
