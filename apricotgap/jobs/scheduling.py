"""Scheduler: which waiting tasks start next, and on which workers."""

from operator import itemgetter

from apricotgap.jobs import limits
from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.effects import Effect, StartRun
from apricotgap.jobs.gang_room import GangRoom
from apricotgap.jobs.inherited_usage import inherited_usage
from apricotgap.jobs.job_state import JobState, StepKey
from apricotgap.jobs.model import Resources, StepSpec, TaskName
from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from apricotgap.jobs.placement_cost import PlacementCost, n_of_step
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.scheduling_pass import SchedulingPass
from apricotgap.jobs.service_order import ServiceOrder
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.start_window import StartWindow
from apricotgap.jobs.team_shares import TeamShares
from apricotgap.jobs.tickets import StepName
from apricotgap.jobs.workers import Worker

__all__ = ["Scheduler"]


class Scheduler:
    """Starts waiting tasks of a shard.

    Long-running jobs come first, by the priority of their queue and the time of
    submission, then finite jobs in the order of service if
    `starts_by_standing` is on, else those in time before late ones, by priority and
    objective.

    Parameters
    ----------
    shard : Shard
        State of the shard, updated by a pass.
    demand : Demand, optional
        Source of the pool's capacity; without it no job is deferred.
    overload : OverloadOptions, optional
        Which decisions under overload are taken.
    start_window : StartWindow, optional
        Limit on the starts without an answer, to which answers are reported; without it
        there is no such limit.
    """

    def __init__(
        self,
        shard: Shard,
        demand: Demand | None = None,
        overload: OverloadOptions = DEFAULT_OVERLOAD_OPTIONS,
        start_window: StartWindow | None = None,
    ) -> None:
        self._shard = shard
        self._demand = demand
        self._start_window = start_window
        self.shares = TeamShares()
        self.service_order = ServiceOrder(shard, self.shares)
        self._config: Configuration | None = None
        self._gang_room = GangRoom()
        self._cost = PlacementCost(shard, overload)
        self._starts_by_standing = overload.starts_by_standing
        self.is_team_blocked = False
        self.hit_start_limit = False
        self.awaits_fresh_answer = False

    def run(self, at_ms: int, lease_until_ms: int) -> list[Effect]:
        """Decide which tasks start now.

        Parameters
        ----------
        at_ms : int
            Current time.
        lease_until_ms : int
            End of the owner's permission; no task starts close to it.

        Returns
        -------
        list of Effect
            Starts and log lines; the shard already counts the runs as started.
        """
        shard = self._shard
        if self._start_window is not None:
            self._start_window.record_pass(0, is_blocking=False)
        shard.kept_workers = frozenset()
        shard.inherited_usage = inherited_usage(shard)
        if at_ms > lease_until_ms - limits.LEASE_MARGIN_MS:
            return []
        if shard.config is None:
            return []
        if not shard.knows_capacities(at_ms):
            return []
        workers = shard.accepting_workers(at_ms)
        if not workers:
            return []
        current = SchedulingPass(
            at_ms, shard.unix_of(at_ms), workers, [], self._max_starts()
        )
        self.is_team_blocked = False
        self.hit_start_limit = False
        self.awaits_fresh_answer = False
        self._gang_room.forget_others(shard.open_jobs)
        self._cost.begin_pass(workers)
        has_unverified_workers = shard.has_unverified_workers
        lacks_only_silent = shard.lacks_only_silent_workers(at_ms)
        may_start_long_running = shard.knows_reservations(at_ms)
        for job in self._order(current):
            if current.is_full:
                self.hit_start_limit = True
                break
            may_be_running = has_unverified_workers and job.is_inherited
            may_copy = lacks_only_silent and shard.may_copy_unknown_runs(job)
            if may_be_running and not may_copy:
                continue
            if job.spec.is_long_running and not may_start_long_running:
                continue
            with shard.guard(job):
                if job.may_start:
                    self._start_job(job, current, may_be_running)
                else:
                    self._request_first_save(job, current)
        self._record_starts(current)
        failures = shard.set_failed_aside(at_ms)
        return [*current.effects, *current.log_lines.values(), *failures]

    def _max_starts(self) -> int:
        """Return the most starts of a pass."""
        if self._start_window is None:
            return limits.MAX_STARTS_PER_PASS
        return min(limits.MAX_STARTS_PER_PASS, self._start_window.n_free)

    def _record_starts(self, current: SchedulingPass) -> None:
        if self._start_window is None:
            return
        is_blocking = (
            self.hit_start_limit and current.max_starts < limits.MAX_STARTS_PER_PASS
        )
        self._start_window.record_pass(current.n_starts, is_blocking)

    def _order(self, current: SchedulingPass) -> list[JobState]:
        all_suspect = all(
            worker.suspect_since_ms is not None for worker in current.workers
        )

        current.effects += self._update_service_order(current.at_ms)
        # A job that could not be ranked starts nothing in this pass either.
        current.effects += self._shard.set_failed_aside(current.at_ms)

        def rank(job: JobState) -> tuple[float, ...]:
            spec = job.spec
            # A job that has failed elsewhere tells little of a suspect worker, and may
            # be what made it suspect.
            is_inconclusive = all_suspect and bool(job.avoided_workers)
            if spec.is_long_running:
                return (is_inconclusive, False, False, spec.priority, spec.submitted_ms)
            if self._starts_by_standing:
                return (is_inconclusive, True, *self.service_order.key(job))
            is_late = job.is_late(current.unix_ms)
            return (is_inconclusive, True, is_late, spec.priority, job.objective_ms)

        ranked = []
        for job in self._shard.open_jobs.values():
            with self._shard.guard(job):
                if any(job.waiting.values()):
                    ranked.append((rank(job), job))
        ranked.sort(key=itemgetter(0))
        return [job for _, job in ranked]

    def _update_service_order(self, at_ms: int) -> list[Effect]:
        config = self._shard.config
        if config is not None and config is not self._config:
            self._config = config
            self.shares.set_configuration(config)
        forecast = self._demand.forecast(at_ms) if self._demand else None
        return self.service_order.update(at_ms, forecast)

    def _request_first_save(self, job: JobState, current: SchedulingPass) -> None:
        """Request the first save of a job once a worker has room for its first task."""
        for key in job.open_steps(current.unix_ms):
            step = job.spec.steps[key[1]]
            name = TaskName(job.spec.job_id, *key, min(job.waiting[key]))
            if self._choose_worker(job, name, step, current, {}) is not None:
                self._shard.request_first_save(job)
                return

    def _start_job(
        self, job: JobState, current: SchedulingPass, may_be_running: bool
    ) -> None:
        """Start tasks of a job; those that may be copied only, if `may_be_running`."""
        for key in job.open_steps(current.unix_ms):
            step = job.spec.steps[key[1]]
            if may_be_running and not step.may_be_copied:
                continue
            indices = job.startable(key)
            if step.is_gang and indices:
                self._start_gang(job, key, step, current)
                continue
            for index in indices:
                if current.is_full:
                    self.hit_start_limit = True
                    return
                name = TaskName(job.spec.job_id, *key, index)
                if job.has_unsaved_crash and job.is_suspect(name):
                    # If this owner ends with the worker, its successor must not begin
                    # to count anew.
                    continue
                worker = self._choose_worker(job, name, step, current, {})
                if worker is None:
                    if self._has_own_choice(job, name):
                        continue
                    # Tasks of a step are identical, so the others do not fit either.
                    break
                run_id = self._shard.next_run_id(job, [name])
                self._start(job, name, step, worker, run_id, current)

    @staticmethod
    def _has_own_choice(job: JobState, name: TaskName) -> bool:
        """Whether a task may have to wait where others of its step start."""
        if name in job.avoided_workers or job.needs_fresh_answer(name):
            return True
        return job.awaits_other_machine(name)

    def _start_gang(
        self, job: JobState, key: StepKey, step: StepSpec, current: SchedulingPass
    ) -> None:
        """Start all members of a gang, or none."""
        if len(job.waiting[key]) < step.n_tasks or job.has_unsaved_crash:
            return
        names = [
            TaskName(job.spec.job_id, *key, index) for index in range(step.n_tasks)
        ]
        racks: list[str | None] = [None]
        if step.same_rack:
            found = {worker.entry.rack for worker in current.workers}
            racks = [*sorted(found, key=lambda rack: rack != step.data_rack), None]
        for rack in racks:
            placements = self._place_gang(job, names, step, current, rack)
            if placements is None:
                continue
            run_id = self._shard.next_run_id(job, names)
            saved = max((job.record(name).checkpoint for name in names), default="")
            for name, worker in zip(names, placements, strict=True):
                job.record(name).checkpoint = saved
                self._start(job, name, step, worker, run_id, current)
            self._gang_room.started(job, key)
            return
        required = step.allocation.times(step.n_tasks)
        if self._shard.team_limits.may_allow(job.spec.team, required):
            self._keep_workers(job, key, current)

    def _keep_workers(
        self, job: JobState, key: StepKey, current: SchedulingPass
    ) -> None:
        """Leave workers to a gang that has no room, one gang in a pass."""
        if current.has_kept_workers:
            return
        step = StepName(job.spec.job_id, *key)
        tickets = self._shard.tickets
        allowed = [
            each for each in current.workers if not tickets.is_denied(step, each)
        ]
        kept = self._gang_room.choose(job, key, allowed, current.at_ms)
        current.has_kept_workers = bool(kept)
        current.exclude(kept)
        self._shard.kept_workers = frozenset(kept)

    def _place_gang(
        self,
        job: JobState,
        names: list[TaskName],
        step: StepSpec,
        current: SchedulingPass,
        rack: str | None,
    ) -> list[Worker] | None:
        placed: dict[str, list[TaskName]] = {}
        placements = []
        for name in names:
            worker = self._choose_worker(job, name, step, current, placed, rack)
            if worker is None:
                return None
            placed.setdefault(worker.worker_id, []).append(name)
            placements.append(worker)
        if not self._is_within_team_limit(job, step.allocation.times(len(names))):
            return None
        return placements

    def _choose_worker(
        self,
        job: JobState,
        name: TaskName,
        step: StepSpec,
        current: SchedulingPass,
        placed: dict[str, list[TaskName]],
        rack: str | None = None,
    ) -> Worker | None:
        allocation = step.allocation
        if current.is_too_large(step.required_label, allocation):
            return None
        if not self._is_within_team_limit(job, allocation):
            return None
        needs_ticket = self._shard.needs_ticket(job.spec.queue)
        has_room = False
        is_suspect = job.is_suspect(name)
        needs_fresh_answer = job.needs_fresh_answer(name)
        avoided = job.avoided_workers.get(name, ())
        crashed = job.machines_to_avoid(name)
        awaits_other = job.awaits_other_machine(name)
        used = {run.worker_id for run in job.runs.get(name, ())}
        awaits_better = False
        domain_costs = self._cost.domain_costs(job, name, step)
        best: Worker | None = None
        best_cost = float("inf")
        is_best_avoided = False
        for worker in current.workers:
            if not allocation.fits(worker.free):
                continue
            entry = worker.entry
            if step.required_label and step.required_label not in entry.labels:
                continue
            is_on_trial = worker.is_on_trial(current.at_ms)
            has_room |= not is_on_trial
            if entry.worker_id in used or (rack is not None and entry.rack != rack):
                continue
            lacks_ticket = needs_ticket and not self._ticket(name, worker, current)
            if lacks_ticket or not self._fits_step(name, step, worker, placed):
                continue
            is_avoided = entry.worker_id in avoided or (
                bool(crashed) and entry.machine_digest in crashed
            )
            if is_on_trial:
                awaits_better |= awaits_other and not is_avoided
                continue
            if needs_fresh_answer and not worker.has_just_answered(current.at_ms):
                self.awaits_fresh_answer = True
                awaits_better |= not is_avoided
                continue
            cost = self._cost.of(
                worker, name, step, current.at_ms, is_suspect, domain_costs
            )
            cost += 10 * is_avoided
            if cost < best_cost:
                best, best_cost, is_best_avoided = worker, cost, is_avoided
        if not has_room:
            current.too_large.setdefault(step.required_label, []).append(allocation)
        if awaits_better and is_best_avoided:
            return None
        return best

    def _fits_step(
        self,
        name: TaskName,
        step: StepSpec,
        worker: Worker,
        placed: dict[str, list[TaskName]],
    ) -> bool:
        """Whether a worker fits one more task beside the gang members placed on it."""
        n_placed = len(placed.get(worker.worker_id, ())) if placed else 0
        # A suspect worker takes several members too: they end together, as one trial.
        if n_placed and not step.allocation.times(n_placed + 1).fits(worker.free):
            return False
        if not step.max_per_worker:
            return True
        return n_of_step(worker, name) + n_placed < step.max_per_worker

    def _ticket(self, name: TaskName, worker: Worker, current: SchedulingPass) -> str:
        step = StepName.of(name)
        return self._shard.tickets.find(step, worker, current.at_ms) or ""

    def _is_within_team_limit(self, job: JobState, allocation: Resources) -> bool:
        if self._shard.is_within_team_limit(job.spec.team, allocation):
            return True
        self.is_team_blocked = True
        return False

    def _start(
        self,
        job: JobState,
        name: TaskName,
        step: StepSpec,
        worker: Worker,
        run_id: int,
        current: SchedulingPass,
    ) -> None:
        at_ms = current.at_ms
        record = job.progress.tasks.get(name)
        needs_ticket = self._shard.needs_ticket(job.spec.queue)
        run = Run(
            name,
            run_id,
            worker.worker_id,
            step,
            job.spec.team,
            RunPhase.STARTING,
            at_ms,
            at_ms + limits.START_WINDOW_MS + limits.RETRY_BACKOFF_MS,
            last_progress_ms=at_ms,
            checkpoint=record.checkpoint if record else "",
            is_on_trial=job.is_suspect(name) and not step.is_gang,
            clock_ms=worker.clock_now_ms(at_ms),
        )
        self._shard.add_run(job, worker, run)
        self._cost.record_start(job, worker, run.allocation.cpu)
        if not step.is_long_running:
            work = step.allocation.core_equivalents * step.estimated_ms
            self.shares.record_start(job.spec.team, work, at_ms)
        if worker.suspect_since_ms is not None:
            # It gets a single task.
            current.exclude({worker.worker_id})
        worker.record_start(at_ms)
        current.n_starts += 1
        current.effects.append(
            StartRun(
                worker.worker_id,
                worker.entry.address,
                worker.entry.born_ms,
                name,
                run_id,
                job.spec.content,
                run.clock_ms + limits.START_WINDOW_MS,
                run.checkpoint,
                self._ticket(name, worker, current) if needs_ticket else "",
            )
        )
        current.log_start(name, run_id, worker)
