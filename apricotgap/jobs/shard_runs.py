"""Runs of a shard: starts, stops and ends of its tasks."""

from collections.abc import Iterable

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision, StopRun
from apricotgap.jobs.events import EndReport, StartAnswered, StopAnswered
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import NO_RESOURCES, JobPhase, RunEnd, TaskName
from apricotgap.jobs.run_times import RunTimes
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.shard_jobs import ShardJobs
from apricotgap.jobs.tickets import StepName, Tickets
from apricotgap.jobs.workers import Worker

__all__ = ["ShardRuns"]


class ShardRuns(ShardJobs):
    """State of the runs of one service's tasks.

    Parameters
    ----------
    service : str
        Name of the service.
    epoch : int
        Fencing token of this owner, greater than that of any previous owner.
    stop_ms : int
        Maximum time that a worker takes to stop a run.
    """

    def __init__(self, service: str, epoch: int, stop_ms: int) -> None:
        super().__init__(service)
        self.epoch = epoch
        # While a worker stops a run, the run is in no list until its end is listed.
        self.stop_listing_delay_ms = int(stop_ms * 1.03) + limits.RETRY_BACKOFF_MS
        self.tickets = Tickets()
        self.run_times = RunTimes()

    def cancel(self, job_id: str, unix_ms: int, at_ms: int) -> list[Effect]:
        """Cancel a job; a job that has ended is left unchanged."""
        job = self.jobs[job_id]
        if job.is_final:
            return []
        return self._finish(job, JobPhase.CANCELLED, unix_ms, at_ms)

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

    def keep_checkpoint(self, run: Run) -> None:
        """Let the next run of a task resume from the checkpoint that a list has shown.

        A run that is lost with its worker has no end that would name it. Members of a
        gang save together, and the ends of the others name what they saved.
        """
        job = self.open_jobs.get(run.name.job_id)
        if job is None or not run.checkpoint or run.step.is_gang:
            return
        record = job.record(run.name)
        if record.checkpoint and len(job.runs.get(run.name, ())) > 1:
            # Another run may have saved more.
            return
        if not record.done and record.checkpoint != run.checkpoint:
            record.checkpoint = run.checkpoint
            self._dirty.add(job.spec.job_id)

    def stop(self, run: Run, at_ms: int) -> Iterable[Effect]:
        """Mark a run as stopping and return the stop to send."""
        worker = self.workers.get(run.worker_id)
        if worker is None:
            return
        if run.phase is not RunPhase.STOPPING:
            # A repeated stop must not put off the list that proves the run gone.
            run.phase = RunPhase.STOPPING
            visible_from_ms = at_ms + self.stop_listing_delay_ms
            run.visible_from_ms = max(run.visible_from_ms, visible_from_ms)
        run.stop_sent_ms = at_ms
        yield StopRun(
            worker.worker_id,
            worker.entry.address,
            worker.entry.born_ms,
            run.name,
            run.run_id,
        )

    def _start_answered(self, event: StartAnswered) -> Iterable[Effect]:
        worker = self.workers.get(event.worker_id)
        if worker is None:
            return
        kind = event.result.kind
        run = worker.runs.get((event.name, event.run_id))
        if worker.entry.born_ms != event.born_ms:
            if kind == "unknown" and run is not None and run.phase is RunPhase.STARTING:
                # The window of a start binds only the incarnation it was sent to. A
                # stop prevents it from taking effect later in this one.
                yield from self.stop(run, event.at_ms)
            return
        worker.record_clock(event.at_ms, event.result.clock_ms)
        if run is None or run.phase is RunPhase.RUNNING:
            return
        if kind == "ok":
            self._start_confirmed(worker, run, event)
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
        if kind in ("unknown", "busy"):
            worker.record_failed_start(event.at_ms)
        if kind == "unknown":
            if run.phase is RunPhase.STARTING:
                # The stop prevents a start that is still in flight from taking effect.
                yield from self.stop(run, event.at_ms)
            worker.record_unanswered_start(event.at_ms)
            self._avoid(event.name, worker)
            return
        self._drop_run(run)
        if kind == "busy":
            worker.block(event.at_ms + limits.RETRY_BACKOFF_MS * 5)
        elif kind == "ticket":
            self.tickets.discard_ticket(StepName.of(event.name), worker)
        elif kind == "old":
            # A run with a higher number has ended there; other workers know of none.
            self._avoid(event.name, worker)
        else:
            worker.block(event.at_ms + limits.RETRY_BACKOFF_MS)

    @staticmethod
    def _start_confirmed(worker: Worker, run: Run, event: StartAnswered) -> None:
        run.has_begun = True
        worker.record_answered_start()
        if 0 < event.result.clock_ms < run.clock_ms - limits.CLOCK_SLACK_MS:
            run.is_in_next_incarnation = True
            worker.record_failed_poll(event.at_ms)
        if run.phase is not RunPhase.STOPPING:
            run.visible_from_ms = min(run.visible_from_ms, event.at_ms)
            run.phase = RunPhase.RUNNING
            run.started_ms = run.last_progress_ms = event.at_ms
            if not run.checkpoint:
                run.measured_from = (event.at_ms, 0.0)

    def _avoid(self, name: TaskName, worker: Worker) -> None:
        """Start a task on another worker next time, if one has room."""
        job = self.jobs.get(name.job_id)
        if job is not None:
            job.avoided_workers.setdefault(name, set()).add(worker.worker_id)

    def _stop_answered(self, event: StopAnswered) -> Iterable[Effect]:
        worker = self.workers.get(event.worker_id)
        if worker is None or worker.entry.born_ms != event.born_ms:
            return ()
        run = worker.runs.get((event.name, event.run_id))
        if run is not None and event.ok:
            run.is_stopped = True
            run.visible_from_ms = event.at_ms + self.stop_listing_delay_ms
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
        job.record_begun()
        if worker.record_end(at_ms, end.name.job_id, end.end):
            yield LogDecision("worker_suspect", {"worker": worker.worker_id})
        if end.end is RunEnd.DONE and not step.is_long_running:
            if run is not None and run.started_ms:
                self._record_duration(job, worker, run, at_ms)
            yield from self._task_done(job, end, at_ms)
            return
        record = job.record(end.name)
        if end.checkpoint:
            record.checkpoint = end.checkpoint
        if end.end is not RunEnd.FAILED:
            self._dirty.add(job.spec.job_id)
            return
        self._avoid(end.name, worker)
        if step.is_long_running or end.run_id in record.failed_runs:
            return
        probe = job.probe
        job.record_failure(end.name, end.run_id, worker.worker_id)
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
        is_last = len(record.failed_runs) >= job.spec.max_attempts
        if job.probe is not None and job.probe != probe and not is_last:
            yield LogDecision(
                "job_probed",
                {
                    "job": job.spec.job_id,
                    "task": str(job.probe),
                    "n_failed": len(job.record(job.probe).failed_runs),
                    "n_waiting": sum(map(len, job.waiting.values())),
                },
            )
        if is_last:
            yield from self._finish(job, JobPhase.FAILED, self.unix_of(at_ms), at_ms)

    def _record_duration(
        self, job: JobState, worker: Worker, run: Run, at_ms: int
    ) -> None:
        """Record how long a run took that is done."""
        if run.is_partial:
            return
        key = (run.name.occurrence, run.name.step)
        duration_ms = at_ms - run.started_ms
        if duration_ms <= self.run_times.late_in_job_ms(job, key):
            worker.normal_end_ms = at_ms
        job.durations_ms.setdefault(key, []).append(duration_ms)
        self.run_times.record(job.spec.queue, run.step, duration_ms)

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

    def next_run_id(self, job: JobState, names: Iterable[TaskName]) -> int:
        """Return a run number above all that this or a previous owner has assigned."""
        base = (self.epoch - 1) * limits.RUNS_PER_EPOCH
        return max(base, *(job.last_run.get(name, 0) for name in names)) + 1
