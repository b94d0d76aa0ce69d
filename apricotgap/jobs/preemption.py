"""Preemption: stops of runs that keep jobs from ending in time."""

from collections.abc import Iterator

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import NO_RESOURCES, Resources, StepSpec, TaskName
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.service_order import ServiceOrder
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.standing import Standing
from apricotgap.jobs.workers import Worker

__all__ = ["Preemptor"]

# A job may wait for runs to end by themselves until it has this much time to spare
# beyond a stop. A look at the waiting jobs comes each 100 ms, and two may be late.
SPARE_MS = 300
# A run that is resumed needs up to 600 ms to start up. A younger run is not stopped, so
# that each makes progress.
MIN_RUN_MS = 1_000
MAX_STOPS_PER_RUN = 32


class _Room:
    """Room on the workers once the stops under way and the next ends are done."""

    def __init__(self, workers: list[Worker], stop_ms: int, at_ms: int) -> None:
        self.workers = workers
        self.free: dict[str, Resources] = {}
        for worker in workers:
            free = worker.free
            for run in worker.runs.values():
                if _ends_within(run, worker, stop_ms, at_ms):
                    free = free + run.allocation
            self.free[worker.worker_id] = free

    def take(self, worker: Worker, allocation: Resources) -> None:
        """Use room of a worker."""
        self.free[worker.worker_id] = self.free[worker.worker_id] - allocation


class Preemptor:
    """Stops runs of jobs that stand behind a job which would otherwise end late.

    One run is stopped for a task, on a worker where the task then fits: parts of the
    room on a worker that come free one by one would be taken by smaller tasks. Only
    runs of steps with checkpoints are stopped, none of gangs, and none of a more
    urgent queue.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    order : ServiceOrder
        Standing of the jobs.
    """

    def __init__(self, shard: Shard, order: ServiceOrder) -> None:
        self._shard = shard
        self._order = order

    def run(self, at_ms: int) -> list[Effect]:
        """Return the stops that are due now."""
        shard = self._shard
        if (
            shard.has_unverified_workers
            or at_ms - shard.loaded_ms < limits.MIGRATION_DELAY_MS
        ):
            # Stops sent by a previous owner may still be in flight.
            return []
        waiting = self._waiting_jobs()
        if not waiting:
            return []
        stop_ms = shard.stop_listing_delay_ms
        room = _Room(shard.accepting_workers(at_ms), stop_ms, at_ms)
        effects: list[Effect] = []
        n_stops = 0
        for job in waiting:
            with shard.guard(job):
                for name, step in self._waiting_tasks(job, at_ms):
                    if n_stops >= MAX_STOPS_PER_RUN:
                        return effects
                    if self._has_room(job, name, step, room):
                        continue
                    run = self._victim(job, name, step, room, at_ms)
                    if run is None:
                        # Tasks of a step are identical.
                        break
                    n_stops += 1
                    effects += self._preempt(run, job, at_ms)
        return effects

    def _waiting_jobs(self) -> list[JobState]:
        """Return the jobs on time with waiting tasks, in the order of service.

        There are none while nothing urgent waits: all may wait for runs to end.
        """
        order = self._order
        waiting = []
        has_urgent = False
        for job in self._shard.open_jobs.values():
            place = order.place(job)
            if place is None or place.standing is not Standing.ON_TIME:
                continue
            if any(job.waiting.values()):
                waiting.append(job)
                has_urgent |= self._is_urgent(job)
        return sorted(waiting, key=order.key) if has_urgent else []

    def _is_urgent(self, job: JobState) -> bool:
        """Whether a stop now helps the job, and one later may come too late."""
        place = self._order.place(job)
        if place is None:
            return False
        stop_ms = self._shard.stop_listing_delay_ms
        return place.slack_ms >= stop_ms and place.spare_ms <= stop_ms + SPARE_MS

    def _waiting_tasks(
        self, job: JobState, at_ms: int
    ) -> Iterator[tuple[TaskName, StepSpec]]:
        """Yield the tasks that start as soon as there is room."""
        if self._shard.needs_ticket(job.spec.queue):
            return
        planned = NO_RESOURCES
        for key in job.open_steps(self._shard.unix_of(at_ms)):
            step = job.spec.steps[key[1]]
            if step.is_gang:
                continue
            for number in sorted(job.waiting[key]):
                name = TaskName(job.spec.job_id, *key, number)
                if job.is_suspect(name) or job.needs_fresh_answer(name):
                    continue
                planned = planned + step.allocation
                if not self._shard.is_within_team_limit(job.spec.team, planned):
                    return
                yield name, step

    def _has_room(
        self, job: JobState, name: TaskName, step: StepSpec, room: _Room
    ) -> bool:
        """Take room for a task if there is any without a further stop."""
        for worker in room.workers:
            fits = step.allocation.fits(room.free[worker.worker_id])
            if fits and _may_start(job, name, step, worker):
                room.take(worker, step.allocation)
                return True
        return False

    def _victim(
        self, job: JobState, name: TaskName, step: StepSpec, room: _Room, at_ms: int
    ) -> Run | None:
        """Return the newest run whose end lets a task start, and take its room."""
        if not self._is_urgent(job):
            return None
        newest: Run | None = None
        for worker in room.workers:
            if not _may_start(job, name, step, worker):
                continue
            free = room.free[worker.worker_id]
            for run in worker.runs.values():
                if newest is not None and run.started_ms <= newest.started_ms:
                    continue
                fits = step.allocation.fits(free + run.allocation)
                if fits and self._may_stop(run, worker, job, at_ms):
                    newest = run
        if newest is not None:
            worker = self._shard.workers[newest.worker_id]
            room.take(worker, step.allocation - newest.allocation)
        return newest

    def _may_stop(self, run: Run, worker: Worker, job: JobState, at_ms: int) -> bool:
        step = run.step
        if not step.checkpoints or step.is_long_running or step.is_gang:
            return False
        if run.phase is not RunPhase.RUNNING or at_ms - run.started_ms < MIN_RUN_MS:
            return False
        other = self._shard.jobs.get(run.name.job_id)
        if other is None or other.is_final or not self._is_behind(other, job):
            return False
        return not _ends_within(run, worker, self._shard.stop_listing_delay_ms, at_ms)

    def _is_behind(self, other: JobState, job: JobState) -> bool:
        """Whether a job is less urgent than another, or as urgent and not on time."""
        if other.spec.priority != job.spec.priority:
            return other.spec.priority > job.spec.priority
        return self._order.standing(other) > Standing.ON_TIME

    def _preempt(self, run: Run, job: JobState, at_ms: int) -> Iterator[Effect]:
        if not job.may_start:
            # The stop takes longer than the save. Without it other tasks would take
            # the room first.
            self._shard.request_first_save(job)
        line: dict[str, object] = {
            "task": str(run.name),
            "worker": run.worker_id,
            "for_job": job.spec.job_id,
            "saved": bool(run.checkpoint),
            "percent": run.percent,
        }
        yield LogDecision("run_preempted", line)
        yield from self._shard.stop(run, at_ms)


def _may_start(job: JobState, name: TaskName, step: StepSpec, worker: Worker) -> bool:
    """Whether a task may start on a worker once there is room."""
    if step.required_label and step.required_label not in worker.entry.labels:
        return False
    if worker.worker_id in job.avoided_workers.get(name, ()):
        return False
    if not step.max_per_worker:
        return True
    n_there = sum(key[0][:3] == name[:3] for key in worker.runs)
    return n_there < step.max_per_worker


def _ends_within(run: Run, worker: Worker, span_ms: int, at_ms: int) -> bool:
    """Whether a run is being stopped, or ends by itself within a time.

    The percentage is as old as the last answer of the worker. A run that was resumed
    seems faster than it is, so that it is rather left alone.
    """
    if run.phase is RunPhase.STOPPING:
        return True
    if run.phase is not RunPhase.RUNNING or run.step.is_long_running:
        return False
    age_ms = worker.answered_ms - run.started_ms
    left_ms = run.step.estimated_ms - age_ms
    if run.percent > 0 and age_ms > 0:
        left_ms = int(age_ms * (100 - run.percent) / run.percent)
    return worker.answered_ms + left_ms <= at_ms + span_ms
