"""Workers of a shard: their polls and the runs that they list."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from apricotgap.jobs import limits
from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.effects import Effect, LogDecision, StopRun
from apricotgap.jobs.events import (
    PollAnswered,
    PollFailed,
    RunReport,
    WorkersListed,
)
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.latest_workers import LatestWorkers
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.shard_orders import ShardOrders
from apricotgap.jobs.workers import Worker

__all__ = ["ShardWorkers"]

_STOP_RETRY_MS = 500


class ShardWorkers(ShardOrders):
    """State of the workers of one service.

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
        # Time of which the list of workers shows the state.
        self.list_fresh_ms = -1_000_000
        self._latest_workers = LatestWorkers()

    def _workers_listed(self, event: WorkersListed) -> Iterable[Effect]:
        listed = {
            entry.worker_id: entry
            for entry in event.entries
            if entry.service == self.service
        }
        self._ended_incarnations &= {
            (entry.worker_id, entry.born_ms) for entry in listed.values()
        }
        services = self.config.service_by_name if self.config else {}
        self._latest_workers.record(event.entries, services)
        yield from self._end_replaced(event.at_ms)
        for worker_id, entry in listed.items():
            yield from self._found_successor(entry, event.at_ms)
            worker = self.workers.get(worker_id)
            if worker is None:
                if (worker_id, entry.born_ms) in self._ended_incarnations:
                    continue
                self._add_worker(entry, event.at_ms)
                yield LogDecision("worker_added", {"worker": worker_id})
                continue
            if worker.entry.born_ms != entry.born_ms:
                if entry.born_ms < worker.entry.born_ms:
                    continue
                yield from self._begin_incarnation(
                    worker,
                    entry,
                    event.at_ms,
                    lambda run: run.may_be_in_next_incarnation,
                )
                continue
            if entry.is_draining and not worker.entry.is_draining:
                yield LogDecision("worker_draining", {"worker": worker_id})
            worker.entry = entry
            worker.is_listed = True
            if entry.free != worker.total:
                yield LogDecision(
                    "worker_resized",
                    {
                        "worker": worker_id,
                        "cpu": entry.free.cpu,
                        "memory_mb": entry.free.memory_mb,
                        "used_cpu": worker.used.cpu,
                    },
                )
                worker.set_total(entry.free)
        for worker in list(self.workers.values()):
            if worker.worker_id not in listed:
                worker.is_listed = False
                yield from self._expire(worker, event.at_ms)

    def _end_replaced(self, at_ms: int) -> Iterable[Effect]:
        """Remove workers whose machines run a later worker, of any service.

        One that answers is left alone: the clock of its machine may have been set back.
        """
        for worker in list(self.workers.values()):
            later = self._latest_workers.successor_of(worker.entry)
            if later is None or worker.is_answering(at_ms):
                continue
            is_moved = later.service != self.service
            if is_moved or self._was_reported_ended(worker, at_ms):
                yield from self._mark_ordered_away(worker, at_ms)
            else:
                yield from self._mark_crashed(worker, at_ms, "machine restarted")
            self._remove(worker, at_ms)

    def _begin_incarnation(
        self,
        worker: Worker,
        entry: WorkerEntry,
        at_ms: int,
        is_possible: Callable[[Run], bool],
    ) -> Iterable[Effect]:
        """Replace a worker by its next incarnation under the same id.

        Starts and polls name the id only. Those that were meant for the incarnation
        that has ended may have reached the next one: runs for which that is possible
        are kept until a list of the next one disproves them, and its lease may already
        be as long as a lease can be. The starts of a previous owner may have reached it
        as well.
        """
        was_unverified = worker.is_unverified
        survivors = [run for run in worker.runs.values() if is_possible(run)]
        yield from self._mark_crashed(worker, at_ms, "restarted", survivors)
        self._remove(worker, at_ms)
        successor = self._add_worker(entry, at_ms)
        self._record_longest_lease(successor, at_ms)
        successor.is_unverified = was_unverified
        for run in survivors:
            # An answer of the last incarnation to a stop does not bind this one.
            run.is_stopped = False
            successor.add(run)

    def tick(self, at_ms: int) -> list[Effect]:
        """Expire the leases of silent workers and repeat unanswered stops."""
        effects = self.set_failed_aside(at_ms)
        effects.extend(self._end_replaced(at_ms))
        self._resume_failed(at_ms)
        self._forget_old_losses(at_ms)
        for worker in list(self.workers.values()):
            effects.extend(self._expire(worker, at_ms))
            for run in list(worker.runs.values()):
                is_due = at_ms - run.stop_sent_ms > _STOP_RETRY_MS
                if run.phase is RunPhase.STOPPING and is_due and not run.is_stopped:
                    effects.extend(self.stop(run, at_ms))
        return effects

    @property
    def has_admission_check(self) -> bool:
        """Whether the workers reject runs that exceed their capacity."""
        if self.config is None:
            return False
        spec = self.config.service_by_name.get(self.service)
        return spec is not None and spec.has_admission_check

    def _poll_answered(self, event: PollAnswered) -> Iterable[Effect]:
        """Apply a response, judged by the incarnation that it comes from."""
        worker = self.workers.get(event.worker_id)
        if worker is None:
            return
        if event.polled_born_ms != worker.entry.born_ms:
            # A late response to a poll of an earlier incarnation. Its lists prove
            # nothing; if this one sent them, it also took the lease.
            if event.born_ms == worker.entry.born_ms:
                self._record_longest_lease(worker, event.at_ms)
            return
        if event.born_ms and event.born_ms < worker.entry.born_ms:
            yield from self._poll_failed(
                PollFailed(
                    event.at_ms,
                    event.worker_id,
                    worker.entry.born_ms,
                    "response of an earlier incarnation",
                )
            )
            return
        if event.born_ms > worker.entry.born_ms:
            yield from self._answered_by_successor(worker, event)
            return
        yield from self._apply_lists(worker, event)

    def _apply_lists(self, worker: Worker, event: PollAnswered) -> Iterable[Effect]:
        """Renew the lease of a worker and apply its running runs and its ends."""
        if not worker.is_acquired:
            yield LogDecision(
                "worker_taken",
                {
                    "worker": worker.worker_id,
                    "epoch": self.epoch,
                    "n_running": len(event.running),
                },
            )
        if not worker.is_acquired and not worker.offered_until_ms:
            # The first poll offers no lease; one of a previous owner may be valid.
            worker.offered_until_ms = worker.lease_bound_ms(
                event.at_ms, self._inherited_lease_ms
            )
        self._resolve_lease_offer(worker, True)
        self._found_alive(worker)
        if worker.is_unverified:
            self._verify(worker, event)
        worker.is_acquired = True
        worker.answered_ms = event.at_ms
        worker.silent_since_ms = worker.answer_due_ms = None
        worker.may_be_cut_off = False
        worker.clock_ms = event.clock_ms
        worker.clock_at_ms = event.at_ms
        worker.record_listed_ends(event.at_ms, event.ends)
        for end in event.ends:
            if end.number > worker.last_applied:
                worker.last_applied = end.number
                yield from self._ended(worker, end, event.at_ms)
        listed = set()
        for report in event.running:
            listed.add((report.name, report.run_id))
            yield from self._listed(worker, report, event)
        has_all_ends = len(event.ends) < limits.MAX_LISTED_ENDS
        for key, run in list(worker.runs.items()):
            if key not in listed and run.visible_from_ms < event.sent_ms:
                yield from self._absent(worker, run, event.at_ms, has_all_ends)

    def _absent(
        self, worker: Worker, run: Run, at_ms: int, has_all_ends: bool
    ) -> Iterable[Effect]:
        """Drop a run that the worker no longer lists, unless it may be stopping it."""
        is_stop_open = run.phase is RunPhase.STOPPING and not run.is_stopped
        is_recent = at_ms - run.stop_sent_ms <= self.stop_listing_delay_ms
        if is_stop_open and (run.has_begun or is_recent):
            # The worker has given no answer to the stop, and may have carried it out
            # late. Until the end is listed, the run is in no list.
            run.is_stopped = True
            run.visible_from_ms = at_ms + self.stop_listing_delay_ms
            return
        if not has_all_ends:
            # Its end may come in a later list, once these ends are acknowledged.
            run.is_unlisted = True
            return
        self.keep_checkpoint(run)
        self._drop_run(run)
        yield LogDecision(
            "run_absent",
            {
                "task": str(run.name),
                "run": run.run_id,
                "worker": worker.worker_id,
                "was": run.phase.name,
            },
        )

    def _answered_by_successor(
        self, worker: Worker, event: PollAnswered
    ) -> Iterable[Effect]:
        """Apply the lists of an incarnation that the platform does not list yet.

        It gets no work before its entry is listed and recorded, but it is polled, so
        that what it runs keeps its lease.
        """
        listed = {(report.name, report.run_id) for report in event.running}
        listed.update((end.name, end.run_id) for end in event.ends)

        def is_possible(run: Run) -> bool:
            if (run.name, run.run_id) in listed:
                run.has_begun = run.is_in_next_incarnation = True
                return True
            is_provable = run.visible_from_ms < event.sent_ms
            return run.may_be_in_next_incarnation and not is_provable

        # The poll of the ended incarnation has failed: its crash shows only now.
        worker.record_failed_poll(event.at_ms)
        entry = replace(worker.entry, born_ms=event.born_ms)
        yield from self._begin_incarnation(worker, entry, event.at_ms, is_possible)
        self.workers[event.worker_id].is_listed = False
        yield from self._poll_answered(replace(event, polled_born_ms=event.born_ms))

    def _verify(self, worker: Worker, event: PollAnswered) -> None:
        """Verify a worker once the runs that a previous owner stopped have ended.

        They are in no list meanwhile. From its first response to this owner on, the
        worker rejects the stops of previous owners.
        """
        if worker.stops_until_ms is None:
            worker.stops_until_ms = event.at_ms + self.stop_listing_delay_ms
            self._wait_for_stops(worker, event.at_ms)
        worker.is_unverified = event.sent_ms < worker.stops_until_ms

    def _wait_for_stops(self, worker: Worker, at_ms: int) -> None:
        """Start nothing until runs of unknown size that are being stopped have ended.

        A worker that checks admission rejects what does not fit beside them.
        """
        if not self.has_admission_check:
            worker.block(at_ms + self.stop_listing_delay_ms)

    def _listed(
        self, worker: Worker, report: RunReport, event: PollAnswered
    ) -> Iterable[Effect]:
        run = worker.runs.get((report.name, report.run_id))
        if run is None:
            yield from self._adopt(worker, report, event.at_ms)
            return
        run.has_begun = True
        run.is_in_next_incarnation = False
        if event.at_ms - run.sent_ms >= limits.START_UP_MS and not run.is_started_up:
            run.is_started_up = True
            self._clear_unconfirmed(run.name)
        if run.phase in (RunPhase.STARTING, RunPhase.UNCONFIRMED):
            run.phase = RunPhase.RUNNING
            run.visible_from_ms = event.sent_ms
            run.started_ms = run.last_progress_ms = event.at_ms
        if not run.progress.has_begun and not run.is_partial:
            run.progress.begin(run.started_ms, 0)
        run.progress.record(event.at_ms, report.percent)
        if report.percent != run.percent:
            run.percent = report.percent
            run.last_progress_ms = event.at_ms
        if run.measured_from is None:
            run.measured_from = (event.at_ms, report.percent)
        run.usage = report.usage
        run.checkpoint = report.checkpoint or run.checkpoint

    def _adopt(self, worker: Worker, report: RunReport, at_ms: int) -> Iterable[Effect]:
        """Adopt a run of a previous owner, or stop one that must not exist."""
        job = self.jobs.get(report.name.job_id)
        step = job.step_of(report.name) if job else None
        is_numbered = 0 < report.run_id <= limits.MAX_ADOPTED_RUN_ID
        if job is None or step is None or not is_numbered:
            self._wait_for_stops(worker, at_ms)
            yield StopRun(
                worker.worker_id,
                worker.entry.address,
                worker.entry.born_ms,
                report.name,
                report.run_id,
            )
            return
        run = Run(
            report.name,
            report.run_id,
            worker.worker_id,
            step,
            job.spec.team,
            RunPhase.RUNNING,
            at_ms,
            at_ms,
            report.percent,
            at_ms,
            report.usage,
            report.checkpoint,
        )
        run.pace = None
        run.is_partial = True
        run.started_ms = at_ms
        run.measured_from = (at_ms, report.percent)
        run.has_begun = run.is_started_up = True
        record = job.progress.tasks.get(report.name)
        is_surplus = report.name in job.runs and not step.allows_duplicates
        self.add_run(job, worker, run)
        if job.is_final or (record and record.done) or is_surplus:
            yield from self.stop(run, at_ms)

    def _poll_failed(self, event: PollFailed) -> Iterable[Effect]:
        worker = self.workers.get(event.worker_id)
        if worker is None:
            return
        if worker.entry.born_ms != event.born_ms:
            if event.was_sent and not event.is_other_incarnation:
                self._record_longest_lease(worker, event.at_ms)
            return
        is_silent = event.has_timed_out or event.is_other_incarnation
        worker.record_failed_poll(event.at_ms, is_broken_off=not is_silent)
        self._resolve_lease_offer(worker, event.was_sent)
        if event.is_other_incarnation:
            yield from self._mark_crashed(worker, event.at_ms, event.reason)
            self._remove(worker, event.at_ms)
            return
        yield from self._expire(worker, event.at_ms)
