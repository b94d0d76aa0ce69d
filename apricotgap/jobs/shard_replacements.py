"""Workers of a shard whose machines run later workers."""

from collections.abc import Iterable

from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.effects import Effect
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.shard_orders import ShardOrders

__all__ = ["ShardReplacements"]


class ShardReplacements(ShardOrders):
    """State of the machines on which the workers of one service run.

    Parameters
    ----------
    service, epoch, max_lease_ms, stop_ms, inherited_lease_ms
        As for `ShardOrders`.
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
        self.config: Configuration | None = None
        # As of the last list: the latest worker of each machine, and starts by worker.
        self._latest_workers: dict[str, WorkerEntry] = {}
        self._listed_born_ms: dict[str, int] = {}

    def _record_entries(self, entries: Iterable[WorkerEntry]) -> None:
        """Record the latest worker of each machine, and when each worker started.

        An entry of a service that the configuration does not name may have been written
        by something that is no worker.
        """
        services = self.config.service_by_name if self.config else {}
        latest: dict[str, WorkerEntry] = {}
        self._listed_born_ms = {}
        for entry in entries:
            self._listed_born_ms[entry.worker_id] = entry.born_ms
            if not entry.machine or entry.service not in services:
                continue
            known = latest.get(entry.machine)
            if known is None or entry.born_ms > known.born_ms:
                latest[entry.machine] = entry
        self._latest_workers = latest

    def _end_replaced(self, at_ms: int) -> Iterable[Effect]:
        """Remove workers whose machines run a later worker, of any service.

        A machine runs one worker at a time, so that nothing runs on the earlier one,
        whatever is left of its lease. One that answers is left alone: the clock of its
        machine may have been set back. One whose id has a later incarnation is left to
        `_begin_incarnation`: starts under way name the id only and may reach that one.
        """
        for worker in list(self.workers.values()):
            later = self._latest_workers.get(worker.entry.machine)
            if later is None or later.worker_id == worker.worker_id:
                continue
            if later.born_ms <= worker.entry.born_ms or worker.is_answering(at_ms):
                continue
            listed_born_ms = self._listed_born_ms.get(worker.worker_id, 0)
            if listed_born_ms > worker.entry.born_ms:
                continue
            is_moved = later.service != self.service
            if is_moved or self._was_reported_ended(worker, at_ms):
                yield from self._mark_ordered_away(worker, at_ms)
            else:
                yield from self._mark_crashed(worker, at_ms, "machine restarted")
            self._remove(worker, at_ms)
