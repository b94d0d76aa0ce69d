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
    """Room on the workers once the stops under way and the next ends are done.

    Parameters
    ----------
    workers : list of Worker
        Workers that may be given new work.
    stop_ms : int
        Time that a stop takes.
    at_ms : int
        Current time.
    """

    def __init__(self, workers: list[Worker], stop_ms: int, at_ms: int) -> None:
        self.workers = workers
        self.free: dict[str, Resources] = {}
        self.stoppable: list[tuple[Run, Worker]] = []
        # Sizes of tasks for which no worker had room.
        self._too_large: dict[str, list[Resources]] = {}
        for worker in workers:
            free = worker.free
            for run in worker.runs.values():
                if _ends_within(run, worker, stop_ms, at_ms):
                    free = free + run.allocation
                elif _is_stoppable(run, at_ms):
                    self.stoppable.append((run, worker))
            self.free[worker.worker_id] = free
        self.stoppable.sort(key=lambda each: -each[0].started_ms)

    def take(self, job: JobState, name: TaskName, step: StepSpec) -> bool:
        """Take room for a task, if there is any without a further stop."""
        allocation = step.allocation
        too_large = self._too_large.setdefault(step.required_label, [])
        if any(other.fits(allocation) for other in too_large):
            return False
        has_room = False
        for worker in self.workers:
            free = self.free[worker.worker_id]
            if not allocation.fits(free):
                continue
            has_room = True
            if _may_start(job, name, step, worker):
                self.free[worker.worker_id] = free - allocation
                return True
        if not has_room:
            too_large.append(allocation)
        return False

    def stop(self, number: int, allocation: Resources) -> Run:
        """Stop a run, and take the room for a task from what it leaves."""
        run, worker = self.stoppable.pop(number)
        free = self.free[worker.worker_id] + run.allocation
        self.free[worker.worker_id] = free - allocation
        self._too_large.clear()
        return run


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
                    if room.take(job, name, step):
                        continue
                    run = self._stop_for(job, name, step, room)
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

    def _stop_for(
        self, job: JobState, name: TaskName, step: StepSpec, room: _Room
    ) -> Run | None:
        """Return the newest run whose end lets a task start, None if there is none."""
        if not room.stoppable or not self._is_urgent(job):
            return None
        for number, (run, worker) in enumerate(room.stoppable):
            other = self._shard.jobs.get(run.name.job_id)
            if other is None or other.is_final or not self._is_behind(other, job):
                continue
            free = room.free[worker.worker_id] + run.allocation
            if step.allocation.fits(free) and _may_start(job, name, step, worker):
                return room.stop(number, step.allocation)
        return None

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


def _is_stoppable(run: Run, at_ms: int) -> bool:
    """Whether a run may be stopped without loss of its work."""
    step = run.step
    if not step.checkpoints or step.is_long_running or step.is_gang:
        return False
    return run.phase is RunPhase.RUNNING and at_ms - run.started_ms >= MIN_RUN_MS


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
