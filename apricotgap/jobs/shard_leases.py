"""Leases of a shard's workers: what this owner offers and what earlier ones gave."""

from collections.abc import Iterable

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.events import StartAnswered
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.shard_crashes import ShardCrashes
from apricotgap.jobs.workers import Worker

__all__ = ["ShardLeases"]


class ShardLeases(ShardCrashes):
    """State of the leases of one service's workers.

    Parameters
    ----------
    service, epoch, stop_ms
        As for `ShardCrashes`.
    max_lease_ms : int
        Maximum length of a worker's lease.
    inherited_lease_ms : int or None
        Maximum time for which leases last that previous owners gave, None for
        `max_lease_ms`.
    """

    def __init__(
        self,
        service: str,
        epoch: int,
        max_lease_ms: int,
        stop_ms: int,
        inherited_lease_ms: int | None = None,
    ) -> None:
        super().__init__(service, epoch, stop_ms)
        self.max_lease_ms = max_lease_ms
        if inherited_lease_ms is None:
            inherited_lease_ms = max_lease_ms
        self._inherited_lease_ms = min(max_lease_ms, inherited_lease_ms)

    def add_inherited_worker(
        self, entry: WorkerEntry, at_ms: int, is_settled: bool = False
    ) -> None:
        """Add a worker on which a previous owner may have started runs.

        One that the previous owner did not know as settled may hold a lease as long as
        a lease can be.
        """
        worker = self._add_worker(entry, at_ms)
        lease_ms = self._inherited_lease_ms if is_settled else self.max_lease_ms
        worker.lease_until_ms = worker.lease_bound_ms(at_ms, lease_ms)
        if not is_settled:
            worker.longest_lease_until_ms = worker.lease_until_ms
        worker.is_listed = False
        worker.is_unverified = True

    def _add_worker(self, entry: WorkerEntry, at_ms: int) -> Worker:
        worker = Worker(entry, entry.free, at_ms)
        self.workers[entry.worker_id] = worker
        return worker

    def _record_longest_lease(self, worker: Worker, at_ms: int) -> None:
        """Record that a call for the last incarnation may have reached this one.

        An end on the clock of that one may be far ahead on the clock of this one, which
        cuts the lease to the maximum from the arrival of the call on.
        """
        until_ms = worker.lease_bound_ms(at_ms, self.max_lease_ms)
        worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        worker.longest_lease_until_ms = worker.lease_until_ms

    def _start_answered(self, event: StartAnswered) -> Iterable[Effect]:
        yield from super()._start_answered(event)
        worker = self.workers.get(event.worker_id)
        if worker is None or not event.result.may_extend_lease:
            return
        run = worker.runs.get((event.name, event.run_id))
        is_later = run is not None and run.is_in_next_incarnation
        if is_later or worker.entry.born_ms != event.born_ms:
            self._record_longest_lease(worker, event.at_ms)

    def offer_lease(self, worker: Worker, at_ms: int, lease_until_ms: int) -> int:
        """Return the lease end to request, on the worker's clock, or 0 for none.

        Workers' leases end at most WORKER_LEASE_TAIL_MS after the owner's lease, which
        bounds how long the next owner waits for a worker that it cannot reach.

        A silent worker is offered none: it may take each poll although none of its
        answers arrives, and its runs would then be away for good.
        """
        if worker.silent_since_ms is not None:
            return 0
        left_ms = lease_until_ms + limits.WORKER_LEASE_TAIL_MS - at_ms
        lease_ms = min(self.max_lease_ms, left_ms)
        if not worker.clock_at_ms or lease_ms <= 0:
            return 0
        worker.offered_until_ms = worker.lease_bound_ms(at_ms, lease_ms)
        return worker.clock_now_ms(at_ms) + lease_ms

    @staticmethod
    def poll_wait_ms(worker: Worker, at_ms: int) -> int:
        """Return how long a worker may delay its response to a poll sent now.

        A worker whose lease is about to end must be polled again before: the owner may
        have renewed its own lease meanwhile, and can then offer a longer one. One that
        is stopping runs of a previous owner is polled again when they have ended. One
        whose runs may be copied is polled more often, so that its silence shows soon,
        and one on which a long-running task is about to be at work.
        """
        if not worker.is_acquired or not worker.clock_at_ms:
            return 0
        lease_ms = max(0, worker.offered_until_ms - at_ms)
        wait_ms = int(lease_ms * limits.POLL_WAIT_LEASE_FRACTION)
        longest_ms = limits.POLL_WAIT_MS
        if worker.n_copyable:
            longest_ms = limits.COPYABLE_POLL_WAIT_MS
        if worker.has_starting_long_running:
            longest_ms = limits.STARTING_POLL_WAIT_MS
        wait_ms = max(limits.MIN_POLL_WAIT_MS, min(longest_ms, wait_ms))
        if worker.is_unverified and worker.stops_until_ms is not None:
            return min(wait_ms, max(0, worker.stops_until_ms - at_ms))
        return wait_ms

    @staticmethod
    def _resolve_lease_offer(worker: Worker, was_sent: bool) -> None:
        if was_sent:
            worker.lease_until_ms = max(worker.lease_until_ms, worker.offered_until_ms)
        worker.offered_until_ms = 0

    @property
    def has_unverified_workers(self) -> bool:
        """Whether runs of a previous owner may exist on workers not acquired yet."""
        return any(worker.is_unverified for worker in self.workers.values())

    @property
    def awaits_leases(self) -> bool:
        """Whether a successor would begin anew to wait for the lease of a worker."""
        return self.has_unverified_workers or any(
            worker.silent_since_ms is not None and worker.runs
            for worker in self.workers.values()
        )

    def _expire(self, worker: Worker, at_ms: int) -> Iterable[Effect]:
        """Drop the runs of a worker whose lease must have ended.

        A worker that the platform no longer lists is removed as well.
        """
        if at_ms <= max(worker.lease_until_ms, worker.offered_until_ms):
            return
        if worker.runs:
            yield from self._mark_silent(worker, at_ms)
        worker.is_acquired = False
        worker.is_unverified = False
        if not worker.is_listed:
            self.workers.pop(worker.worker_id, None)
            yield LogDecision("worker_gone", {"worker": worker.worker_id})
