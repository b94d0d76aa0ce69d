"""Reducer of a shard: the jobs of one service and the workers that run them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from apricotgap.jobs import limits
from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.documents import Progress, encode_progress
from apricotgap.jobs.effects import Effect, LogDecision, StopRun
from apricotgap.jobs.events import (
    EndReport,
    PollAnswered,
    PollFailed,
    RunReport,
    StartAnswered,
    StopAnswered,
    WorkersListed,
)
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import (
    NO_RESOURCES,
    JobPhase,
    JobSpec,
    Resources,
    RunEnd,
    TaskName,
)
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.team_limits import TeamLimits
from apricotgap.jobs.tickets import StepName, Tickets
from apricotgap.jobs.workers import Worker

__all__ = ["SaveBatch", "Shard"]

_STOP_RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class SaveBatch:
    """Documents to store, as job id, data and revision to write over.

    `last_applied` holds, by worker id and incarnation, the number of the last end that
    the documents include.
    """

    documents: tuple[tuple[str, bytes, int], ...]
    phases: dict[str, JobPhase]
    last_applied: dict[tuple[str, int], int]


class Shard:
    """State of one service's jobs, runs and workers, and its transitions.

    Parameters
    ----------
    service : str
        Name of the service.
    epoch : int
        Fencing token of this owner, greater than that of any previous owner.
    max_lease_ms : int
        Maximum length of a worker's lease.
    stop_ms : int
        Maximum time that a worker takes to stop a run.
    """

    def __init__(
        self, service: str, epoch: int, max_lease_ms: int, stop_ms: int = 1_000
    ) -> None:
        self.service = service
        self.epoch = epoch
        self.max_lease_ms = max_lease_ms
        # While a worker stops a run, the run is in no list until its end is listed.
        self._stop_listing_delay_ms = int(stop_ms * 1.03) + limits.RETRY_BACKOFF_MS
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, JobState] = {}
        # Jobs that have not ended, a small part: ended ones are kept for much longer.
        self.open_jobs: dict[str, JobState] = {}
        self.config: Configuration | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.team_usage: dict[str, Resources] = {}
        self.team_limits = TeamLimits(service)
        self.tickets = Tickets()
        self._dirty: set[str] = set()
        self._pending_first_saves: set[str] = set()
        self._is_saving = False
        self._ended_workers: set[str] = set()
        self.unix_offset_ms = 0
        self.loaded_ms = -1_000_000
        self.reported_ms = -1_000_000
        self._handlers: dict[type, Callable[..., Iterable[Effect]]] = {
            WorkersListed: self._workers_listed,
            PollAnswered: self._poll_answered,
            PollFailed: self._poll_failed,
            StartAnswered: self._start_answered,
            StopAnswered: self._stop_answered,
        }

    def step(self, event: object) -> list[Effect]:
        """Apply an event and return its effects."""
        return list(self._handlers[type(event)](event))

    # Jobs

    def load(self, spec: JobSpec, progress: Progress | None, revision: int) -> JobState:
        """Add a job from the store; with stored progress it may have been started."""
        job = JobState(spec, progress, revision, is_inherited=revision > 0)
        self.jobs[spec.job_id] = job
        if not job.is_final:
            self.open_jobs[spec.job_id] = job
        return job

    def submit(self, spec: JobSpec, revision: int = 0) -> JobState:
        """Add a stored job that no owner has started.

        Parameters
        ----------
        spec : JobSpec
            Specification of the job.
        revision : int
            Store revision of its first progress, 0 when none is stored.
        """
        job = self.jobs.get(spec.job_id)
        if job is None:
            job = JobState(spec, None, revision)
            self.jobs[spec.job_id] = self.open_jobs[spec.job_id] = job
        return job

    def describe(self, spec: JobSpec) -> LogDecision:
        """Return the log line for an accepted job."""
        return LogDecision(
            "job_accepted",
            {
                "job": spec.job_id,
                "queue": spec.queue,
                "team": spec.team,
                "priority": spec.priority,
                "n_tasks": [step.n_tasks for step in spec.steps],
                "cpu": [step.resources.cpu for step in spec.steps],
                "estimated_ms": [step.estimated_ms for step in spec.steps],
                "lasts": spec.is_long_running,
            },
        )

    def cancel(self, job_id: str, unix_ms: int, at_ms: int) -> list[Effect]:
        """Cancel a job; a job that has ended is left unchanged."""
        job = self.jobs[job_id]
        if job.is_final:
            return []
        return self._finish(job, JobPhase.CANCELLED, unix_ms, at_ms)

    def forget(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)
        self._pending_first_saves.discard(job_id)
        self._dirty.discard(job_id)

    def _finish(
        self, job: JobState, phase: JobPhase, unix_ms: int, at_ms: int
    ) -> list[Effect]:
        job.finish(phase, unix_ms)
        self.open_jobs.pop(job.spec.job_id, None)
        self.tickets.forget_job(job.spec.job_id)
        self._dirty.add(job.spec.job_id)
        effects: list[Effect] = [
            LogDecision(
                "job_finished",
                {
                    "job": job.spec.job_id,
                    "phase": phase.value,
                    "latency_ms": unix_ms - job.spec.submitted_ms,
                },
            )
        ]
        for runs in list(job.runs.values()):
            for run in runs:
                effects.extend(self.stop(run, at_ms))
        return effects

    def team_demand(self, at_ms: int) -> dict[str, Resources]:
        """Return the resources that each team uses or could use now."""
        demand = dict(self.team_usage)
        unix_ms = self.unix_of(at_ms)
        for job in self.open_jobs.values():
            team = job.spec.team
            for key in job.open_steps(unix_ms):
                allocation = job.spec.steps[key[1]].allocation
                n_tasks = len(job.waiting[key])
                demand[team] = demand.get(team, NO_RESOURCES) + Resources(
                    allocation.cpu * n_tasks,
                    allocation.memory_mb * n_tasks,
                    allocation.gpus * n_tasks,
                )
        return demand

    def backlog_core_ms(self, unix_ms: int, priority: int) -> tuple[float, float]:
        """Return the estimated work left, in core-ms: in time, and of late jobs.

        Long-running jobs and those of less urgent queues do not count.
        """
        in_time = late = 0.0
        for job in self.open_jobs.values():
            if job.spec.priority > priority or job.spec.is_long_running:
                continue
            if job.is_late(unix_ms):
                late += job.remaining_core_ms()
            else:
                in_time += job.remaining_core_ms()
        return in_time, late

    # Progress

    @property
    def has_unsaved(self) -> bool:
        """Whether progress has changed since the last save began."""
        return bool(self._dirty)

    @property
    def is_stored(self) -> bool:
        """Whether all applied ends are stored, so that workers may forget them."""
        return not self._dirty and not self._is_saving

    @property
    def has_urgent_unsaved(self) -> bool:
        """Whether a save is awaited: a job has ended or cannot start before it."""
        return any(
            job.is_final or not job.may_start
            for job_id in self._dirty
            if (job := self.jobs.get(job_id)) is not None
        )

    @property
    def has_waiting_jobs(self) -> bool:
        """Whether any task waits to start."""
        return any(any(job.waiting.values()) for job in self.open_jobs.values())

    def request_first_save(self, job: JobState) -> None:
        """Include a job that is about to start in the next save.

        Does nothing while MAX_PENDING_FIRST_SAVES others wait for theirs.
        """
        if len(self._pending_first_saves) < limits.MAX_PENDING_FIRST_SAVES:
            self._pending_first_saves.add(job.spec.job_id)
            self._dirty.add(job.spec.job_id)

    def begin_save(self) -> SaveBatch:
        """Return the documents that changed since the last save."""
        documents = tuple(
            (job_id, encode_progress(job.progress), job.revision)
            for job_id in self._dirty
            if (job := self.jobs.get(job_id)) is not None
        )
        phases = {job_id: self.jobs[job_id].progress.phase for job_id, *_ in documents}
        self._dirty.clear()
        self._is_saving = True
        return SaveBatch(
            documents,
            phases,
            {
                (worker.worker_id, worker.entry.born_ms): worker.last_applied
                for worker in self.workers.values()
            },
        )

    def saved(self, batch: SaveBatch, revisions: dict[str, int]) -> None:
        """Apply the result of a save; a partial one acknowledges no ends."""
        self._pending_first_saves.difference_update(revisions)
        for job_id, revision in revisions.items():
            job = self.jobs.get(job_id)
            if job is not None:
                job.revision = revision
                job.saved_phase = batch.phases[job_id]
        self._is_saving = False
        if len(revisions) < len(batch.documents):
            return
        for (worker_id, born_ms), last_applied in batch.last_applied.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.entry.born_ms == born_ms:
                worker.acknowledged = max(worker.acknowledged, last_applied)

    def save_failed(self, job_ids: Iterable[str]) -> None:
        """Include these jobs in the next save."""
        self._dirty.update(job_ids)

    # Workers

    def add_inherited_worker(self, entry: WorkerEntry, at_ms: int) -> None:
        """Add a worker on which a previous owner may have started runs.

        It has to be assumed that its lease was renewed just now.
        """
        self._add_worker(entry, at_ms, lease_ms=int(self.max_lease_ms * 1.03) + 200)
        self.workers[entry.worker_id].is_listed = False
        self.workers[entry.worker_id].is_unverified = True

    def _add_worker(self, entry: WorkerEntry, at_ms: int, lease_ms: int = 0) -> Worker:
        worker = Worker(entry, entry.free, at_ms + lease_ms)
        self.workers[entry.worker_id] = worker
        return worker

    def _workers_listed(self, event: WorkersListed) -> Iterable[Effect]:
        listed = {
            entry.worker_id: entry
            for entry in event.entries
            if entry.service == self.service
        }
        for worker_id, entry in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                if worker_id in self._ended_workers:
                    continue
                self._add_worker(entry, event.at_ms)
                yield LogDecision("worker_added", {"worker": worker_id})
                continue
            if worker.entry.born_ms != entry.born_ms:
                if entry.born_ms < worker.entry.born_ms:
                    continue
                yield from self._mark_lost(worker, event.at_ms, "restarted")
                self._add_worker(entry, event.at_ms)
                continue
            if entry.is_draining and not worker.entry.is_draining:
                yield LogDecision("worker_draining", {"worker": worker_id})
            worker.entry = entry
            worker.is_listed = True
            if not entry.free.fits(worker.total):
                worker.set_total(worker.total.elementwise_max(entry.free))
        self._equalise_totals()
        for worker in list(self.workers.values()):
            if worker.worker_id not in listed:
                worker.is_listed = False
                yield from self._expire(worker, event.at_ms)

    def _equalise_totals(self) -> None:
        """Assume equal capacity for workers of one kind if they check admission.

        Should a worker have less, it rejects the start.
        """
        spec = self.config and self.config.service_by_name.get(self.service)
        if not spec or not spec.has_admission_check:
            return
        largest: dict[str, Resources] = {}
        for worker in self.workers.values():
            kind = worker.entry.kind
            largest[kind] = worker.total.elementwise_max(
                largest.get(kind, NO_RESOURCES)
            )
        for worker in self.workers.values():
            worker.set_total(largest[worker.entry.kind])

    def _expire(self, worker: Worker, at_ms: int) -> Iterable[Effect]:
        """Drop the runs of a worker whose lease must have ended.

        A worker that the platform no longer lists is removed as well.
        """
        if at_ms <= max(worker.lease_until_ms, worker.offered_until_ms):
            return
        if worker.runs:
            yield from self._mark_lost(worker, at_ms, "lease ended")
        worker.is_acquired = False
        worker.is_unverified = False
        if not worker.is_listed:
            self.workers.pop(worker.worker_id, None)
            yield LogDecision("worker_gone", {"worker": worker.worker_id})

    def tick(self, at_ms: int) -> list[Effect]:
        """Expire the leases of silent workers and repeat unanswered stops."""
        effects: list[Effect] = []
        for worker in list(self.workers.values()):
            effects.extend(self._expire(worker, at_ms))
            for run in list(worker.runs.values()):
                is_due = at_ms - run.stop_sent_ms > _STOP_RETRY_MS
                if run.phase is RunPhase.STOPPING and is_due and not run.is_stopped:
                    effects.extend(self.stop(run, at_ms))
        return effects

    def _mark_lost(self, worker: Worker, at_ms: int, why: str) -> Iterable[Effect]:
        n_runs = len(worker.runs)
        for run in list(worker.runs.values()):
            self._drop_run(run)
        worker.is_acquired = False
        worker.is_unverified = False
        yield LogDecision(
            "worker_lost",
            {
                "worker": worker.worker_id,
                "why": why,
                "n_runs": n_runs,
                "silent_ms": at_ms - worker.answered_ms,
            },
        )

    def end_workers(self, worker_ids: Iterable[str], at_ms: int) -> list[Effect]:
        """Remove workers whose machines were moved or taken down."""
        effects: list[Effect] = []
        for worker_id in worker_ids:
            worker = self.workers.get(worker_id)
            if worker is not None:
                effects.extend(
                    self._mark_lost(worker, at_ms, "machine moved or taken down")
                )
                del self.workers[worker_id]
                self._ended_workers.add(worker_id)
        return effects

    def knows_reservations(self, at_ms: int) -> bool:
        """Whether the fleet owner has had time to reserve workers for its orders."""
        if self.reported_ms >= self.loaded_ms:
            return True
        return at_ms - self.loaded_ms > limits.FIRST_REPORT_TIMEOUT_MS

    def reserve(self, worker_ids: Iterable[str], at_ms: int) -> None:
        """Give these workers no new work; expires unless the caller repeats it."""
        for worker_id in worker_ids:
            worker = self.workers.get(worker_id)
            if worker is not None:
                worker.reserved_until_ms = at_ms + limits.RESERVATION_MS

    def offer_lease(self, worker: Worker, at_ms: int, lease_until_ms: int) -> int:
        """Return the lease end to request, on the worker's clock, or 0 for none.

        Workers' leases end at most WORKER_LEASE_TAIL_MS after the owner's lease, which
        bounds how long the next owner waits for a worker that it cannot reach.
        """
        left_ms = lease_until_ms + limits.WORKER_LEASE_TAIL_MS - at_ms
        lease_ms = min(self.max_lease_ms, left_ms)
        if not worker.clock_at_ms or lease_ms <= 0:
            return 0
        # The 3 % more cover a worker whose clock runs slow by up to CLOCK_DRIFT.
        worker.offered_until_ms = at_ms + int(lease_ms * 1.03) + 100
        return worker.clock_now_ms(at_ms) + lease_ms

    @staticmethod
    def _resolve_lease_offer(worker: Worker, was_sent: bool) -> None:
        if was_sent:
            worker.lease_until_ms = max(worker.lease_until_ms, worker.offered_until_ms)
        worker.offered_until_ms = 0

    @property
    def has_unverified_workers(self) -> bool:
        """Whether runs of a previous owner may exist on workers not acquired yet."""
        return any(worker.is_unverified for worker in self.workers.values())

    def _poll_answered(self, event: PollAnswered) -> Iterable[Effect]:
        worker = self.workers.get(event.worker_id)
        if worker is None:
            return
        if event.born_ms and event.born_ms != worker.entry.born_ms:
            yield from self._poll_failed(
                PollFailed(
                    event.at_ms,
                    event.worker_id,
                    worker.entry.born_ms,
                    "restarted",
                    is_other_incarnation=True,
                )
            )
            return
        if not worker.is_acquired:
            yield LogDecision(
                "worker_taken",
                {
                    "worker": worker.worker_id,
                    "epoch": self.epoch,
                    "n_running": len(event.running),
                },
            )
        if not worker.offered_until_ms:
            # The first poll offers no lease; one of a previous owner may be valid.
            worker.offered_until_ms = event.at_ms + int(self.max_lease_ms * 1.03)
        self._resolve_lease_offer(worker, True)
        worker.is_acquired = True
        worker.is_unverified = False
        worker.answered_ms = event.at_ms
        worker.clock_ms = event.clock_ms
        worker.clock_at_ms = event.at_ms
        for end in event.ends:
            if end.number > worker.last_applied:
                worker.last_applied = end.number
                yield from self._ended(worker, end, event.at_ms)
        listed = set()
        for report in event.running:
            listed.add((report.name, report.run_id))
            yield from self._listed(worker, report, event)
        if len(event.ends) >= limits.MAX_LISTED_ENDS:
            return
        for key, run in list(worker.runs.items()):
            if key not in listed and run.visible_from_ms <= event.sent_ms:
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

    def _listed(
        self, worker: Worker, report: RunReport, event: PollAnswered
    ) -> Iterable[Effect]:
        run = worker.runs.get((report.name, report.run_id))
        if run is None:
            yield from self._adopt(worker, report, event.at_ms)
            return
        if run.phase in (RunPhase.STARTING, RunPhase.UNCONFIRMED):
            run.phase = RunPhase.RUNNING
            run.visible_from_ms = event.sent_ms
            run.started_ms = run.last_progress_ms = event.at_ms
        if report.percent != run.percent:
            run.percent = report.percent
            run.last_progress_ms = event.at_ms
        run.usage = report.usage
        run.checkpoint = report.checkpoint or run.checkpoint

    def _adopt(self, worker: Worker, report: RunReport, at_ms: int) -> Iterable[Effect]:
        """Adopt a run of a previous owner, or stop one that must not exist."""
        job = self.jobs.get(report.name.job_id)
        step = job.step_of(report.name) if job else None
        if job is None or step is None:
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
        run.started_ms = at_ms
        record = job.progress.tasks.get(report.name)
        is_surplus = report.name in job.runs and not step.allows_duplicates
        self.add_run(job, worker, run)
        if job.is_final or (record and record.done) or is_surplus:
            yield from self.stop(run, at_ms)

    def _poll_failed(self, event: PollFailed) -> Iterable[Effect]:
        worker = self.workers.get(event.worker_id)
        if worker is None or worker.entry.born_ms != event.born_ms:
            return
        self._resolve_lease_offer(worker, event.was_sent)
        if event.is_other_incarnation:
            yield from self._mark_lost(worker, event.at_ms, event.reason)
            self.workers.pop(worker.worker_id, None)
            return
        yield from self._expire(worker, event.at_ms)

    # Runs

    def add_run(self, job: JobState, worker: Worker, run: Run) -> None:
        """Add a run to its job, its worker and the usage of its team."""
        job.add_run(run)
        worker.add(run)
        self.team_usage[run.team] = (
            self.team_usage.get(run.team, NO_RESOURCES) + run.allocation
        )

    def _drop_run(self, run: Run) -> None:
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            if (run.name, run.run_id) not in worker.runs:
                return
            worker.remove(run)
        self.team_usage[run.team] = self.team_usage[run.team] - run.allocation
        job = self.jobs.get(run.name.job_id)
        if job is not None:
            job.remove_run(run)

    def stop(self, run: Run, at_ms: int) -> Iterable[Effect]:
        """Mark a run as stopping and return the stop to send."""
        worker = self.workers.get(run.worker_id)
        if worker is None:
            return
        run.phase = RunPhase.STOPPING
        run.stop_sent_ms = at_ms
        run.visible_from_ms = max(
            run.visible_from_ms, at_ms + self._stop_listing_delay_ms
        )
        yield StopRun(
            worker.worker_id,
            worker.entry.address,
            worker.entry.born_ms,
            run.name,
            run.run_id,
        )

    def _start_answered(self, event: StartAnswered) -> Iterable[Effect]:
        worker = self.workers.get(event.worker_id)
        if worker is None or worker.entry.born_ms != event.born_ms:
            return
        run = worker.runs.get((event.name, event.run_id))
        if run is None or run.phase is RunPhase.RUNNING:
            return
        kind = event.result.kind
        if kind == "ok":
            run.visible_from_ms = min(run.visible_from_ms, event.at_ms)
            if run.phase is not RunPhase.STOPPING:
                run.phase = RunPhase.RUNNING
                run.started_ms = run.last_progress_ms = event.at_ms
            return
        yield LogDecision(
            "start_refused",
            {
                "task": str(event.name),
                "run": event.run_id,
                "why": kind,
                "worker": worker.worker_id,
            },
        )
        if kind == "unknown":
            if run.phase is RunPhase.STARTING:
                # The stop prevents a start that is still in flight from taking effect.
                yield from self.stop(run, event.at_ms)
            worker.blocked_until_ms = event.at_ms + limits.RETRY_BACKOFF_MS * 3
            return
        self._drop_run(run)
        if kind == "busy":
            worker.blocked_until_ms = event.at_ms + limits.RETRY_BACKOFF_MS * 5
        elif kind == "room":
            worker.blocked_until_ms = event.at_ms + limits.RETRY_BACKOFF_MS
        elif kind == "ticket":
            self.tickets.discard_ticket(StepName.of(event.name), worker)

    def _stop_answered(self, event: StopAnswered) -> Iterable[Effect]:
        worker = self.workers.get(event.worker_id)
        if worker is None or worker.entry.born_ms != event.born_ms:
            return ()
        run = worker.runs.get((event.name, event.run_id))
        if run is not None and event.ok:
            run.is_stopped = True
            run.visible_from_ms = event.at_ms + self._stop_listing_delay_ms
        return ()

    def _ended(self, worker: Worker, end: EndReport, at_ms: int) -> Iterable[Effect]:
        run = worker.runs.get((end.name, end.run_id))
        job = self.jobs.get(end.name.job_id)
        if run is not None:
            self._drop_run(run)
        if job is None:
            return
        step = job.step_of(end.name)
        if step is None or job.is_final:
            return
        if worker.record_end(at_ms, end.name.job_id, end.end):
            yield LogDecision("worker_suspect", {"worker": worker.worker_id})
        if end.end is RunEnd.DONE and not step.is_long_running:
            if run is not None and run.started_ms:
                key = (end.name.occurrence, end.name.step)
                job.durations_ms.setdefault(key, []).append(at_ms - run.started_ms)
            yield from self._task_done(job, end, at_ms)
            return
        record = job.record(end.name)
        if end.checkpoint:
            record.checkpoint = end.checkpoint
        if end.end is not RunEnd.FAILED:
            self._dirty.add(job.spec.job_id)
            return
        job.avoided_workers.setdefault(end.name, set()).add(worker.worker_id)
        if step.is_long_running or end.run_id in record.failed_runs:
            return
        record.failed_runs.append(end.run_id)
        self._dirty.add(job.spec.job_id)
        yield LogDecision(
            "run_failed",
            {
                "task": str(end.name),
                "run": end.run_id,
                "worker": worker.worker_id,
                "n_failed": len(record.failed_runs),
            },
        )
        if len(record.failed_runs) >= job.spec.max_attempts:
            yield from self._finish(job, JobPhase.FAILED, self.unix_of(at_ms), at_ms)

    def _task_done(self, job: JobState, end: EndReport, at_ms: int) -> Iterable[Effect]:
        step = job.spec.steps[end.name.step]
        names = [end.name]
        if step.is_gang:
            # The end of one member applies to the whole gang.
            names = [end.name._replace(number=index) for index in range(step.n_tasks)]
        is_new = False
        for name in names:
            is_new |= job.mark_done(name)
            for other in list(job.runs.get(name, ())):
                if not step.is_gang:
                    yield from self.stop(other, at_ms)
        if not is_new:
            return
        self._dirty.add(job.spec.job_id)
        if job.is_complete:
            unix_ms = self.unix_of(at_ms)
            yield from self._finish(job, JobPhase.SUCCEEDED, unix_ms, at_ms)

    def unix_of(self, at_ms: int) -> int:
        """Return the Unix time in ms of a time on the clock of the instance."""
        return at_ms + self.unix_offset_ms

    def next_run_id(self, job: JobState, names: Iterable[TaskName]) -> int:
        """Return a run number above all that this or a previous owner has assigned."""
        base = (self.epoch - 1) * limits.RUNS_PER_EPOCH
        return max(base, *(job.last_run.get(name, 0) for name in names)) + 1
