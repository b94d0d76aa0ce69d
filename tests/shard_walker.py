"""Walker over the tasks of a shard's world: each one goes on, or waits for a reason."""

from apricotgap.jobs.limits import (
    FIRST_REPORT_TIMEOUT_MS,
    RESERVATION_MS,
    START_WINDOW_MS,
)
from apricotgap.jobs.model import NO_RESOURCES, Resources, TaskName
from apricotgap.jobs.runs import RunPhase
from apricotgap.jobs.waiting import WaitCase, explain_wait
from tests.jobs_harness import MAX_LEASE_MS

# A run starts or stops for no longer than the lease of a worker that is gone, with
# what its clock may lag and the time that its successor takes to be listed.
MAX_TRANSITION_MS = 2 * MAX_LEASE_MS
# Longest time to the next look, by reason; that of others is the next tick.
TICK_MS = 100
MAX_NEXT_LOOK_MS = {
    "previous_owner": int(MAX_LEASE_MS * 1.03) + START_WINDOW_MS + 200,
    "reservations_unknown": FIRST_REPORT_TIMEOUT_MS + 1,
    "no_worker_accepts": RESERVATION_MS,
}
# A task that nothing keeps from a start starts within this time.
MAX_START_DELAY_MS = 1_000
# With room for it twice over, work has nothing running for no longer than this. A task
# that lasts is back at work by the second one.
MAX_WAIT_MS = 3_000
MAX_LASTING_WAIT_MS = 6_000
CALM_MS = 4_000


class Walker:
    """Checks all accepted work of a world; adds what it finds to its `broken`.

    Parameters
    ----------
    world : LivingWorld
        World to walk through.
    """

    def __init__(self, world):
        self._world = world
        self._startable_since = {}
        self._idle_since = {}
        self._phases = {}
        self._blocked_since_ms = None
        self._reported = set()

    @staticmethod
    def tasks_of(job):
        """Return the names of all tasks of a job."""
        return [
            TaskName(job.spec.job_id, occurrence, index, number)
            for occurrence in job.spec.occurrences
            for index, step in enumerate(job.spec.steps)
            for number in range(step.n_tasks)
        ]

    def check(self):
        """Check each accepted, unfinished task."""
        startable_since, self._startable_since = self._startable_since, {}
        for job in list(self._world.shard.open_jobs.values()):
            self._check_accounts(job)
            self._check_waits(job, startable_since)
        self._check_transitions()
        self._check_idle()
        self._check_other_shard()

    def _break(self, kind, what, detail):
        if (kind, what) not in self._reported:
            self._reported.add((kind, what))
            self._world.broken.append(f"{kind} {self._world.now} {what} {detail}")

    def _check_accounts(self, job):
        """Each task is done, given up, has a run or waits."""
        for name in self.tasks_of(job):
            record = job.progress.tasks.get(name)
            waits = name.number in job.waiting[name.occurrence, name.step]
            is_settled = (record and record.done) or job.is_given_up(name)
            if not (waits or is_settled or job.runs.get(name)):
                self._break("FORGOTTEN", name, "has no run and does not wait")

    def _check_transitions(self):
        """A start or a stop ends within a bound."""
        now = self._world.now
        phases = {}
        for worker in self._world.shard.workers.values():
            for run in worker.runs.values():
                if run.phase is RunPhase.RUNNING:
                    continue
                key = (self._world.shard.epoch, run.name, run.run_id, run.phase)
                since = phases[key] = self._phases.get(key, now)
                if now - since > MAX_TRANSITION_MS:
                    self._break("STUCK", (run.name, run.run_id), run.phase)
        self._phases = phases

    def _check_waits(self, job, startable_since):
        """Each open step that waits has a reason and a time of the next look."""
        world = self._world
        unix_ms = world.shard.unix_of(world.now)
        for key in job.open_steps(unix_ms):
            case = WaitCase(world.shard, job, key, world.now, world.owner_until_ms)
            wait = explain_wait(case)
            next_look_in_ms = wait.next_look_ms - world.now
            if next_look_in_ms > MAX_NEXT_LOOK_MS.get(wait.reason, TICK_MS):
                detail = f"{wait.reason} for {next_look_in_ms} ms"
                self._break("LATE LOOK", (job.spec.job_id, key), detail)
            if wait.reason != "next_pass":
                continue
            unit = (world.shard.epoch, job.spec.job_id, key)
            since = startable_since.get(unit, world.now)
            self._startable_since[unit] = since
            if world.now - since > MAX_START_DELAY_MS:
                self._break("NOT STARTED", (job.spec.job_id, key), wait.inputs)

    # What the world itself shows, whatever the owner believes

    def _check_idle(self):
        """No work has nothing running while there is room for it twice over."""
        world = self._world
        is_calm = world.is_store_up and not world.has_late_calls
        if not is_calm or world.now - world.troubled_ms < CALM_MS:
            self._idle_since.clear()
            return
        running = self._running()
        idle = {}
        for job in world.shard.open_jobs.values():
            spec = job.spec
            if spec.job_id in world.hopeless:
                continue
            unix_ms = world.shard.unix_of(world.now)
            tasks = [
                name
                for name in self.tasks_of(job)
                if job.is_open((name.occurrence, name.step), unix_ms)
                and not job.is_given_up(name)
                and not (job.progress.tasks.get(name) and job.record(name).done)
            ]
            if spec.is_long_running:
                units = dict.fromkeys(tasks, MAX_LASTING_WAIT_MS)
                units = {n: ms for n, ms in units.items() if n not in running}
            elif any(name.job_id == spec.job_id for name in running) or not tasks:
                continue
            else:
                units = {spec.job_id: MAX_WAIT_MS}
            n_needed = spec.steps[0].n_tasks if spec.steps[0].is_gang else 1
            if not self._has_room(2 * n_needed):
                continue
            for unit, max_ms in units.items():
                since = idle[unit] = self._idle_since.get(unit, world.now)
                if world.now - since > max_ms:
                    self._break("IDLE", unit, self._why(job))
        self._idle_since = idle

    def _check_other_shard(self):
        """The other shard gets what it wants while the team runs less than half."""
        world = self._world
        allowed = world.other_limits.allowed("bakers")
        is_calm = world.now - world.troubled_ms >= CALM_MS and world.is_store_up
        wanted = Resources(world.other_cpu)
        usage = world.shard.team_usage.get("bakers", NO_RESOURCES) + wanted
        is_owed = allowed is not None and 2 * usage.cpu < world.limit_cpu
        if not is_calm or not is_owed or wanted.fits(allowed):
            self._blocked_since_ms = None
        elif self._blocked_since_ms is None:
            self._blocked_since_ms = world.now
        elif world.now - self._blocked_since_ms > MAX_WAIT_MS:
            self._break("BLOCKED", "other shard", f"{allowed.cpu} of {wanted.cpu}")

    def _why(self, job):
        world = self._world
        cases = [
            WaitCase(world.shard, job, key, world.now, world.owner_until_ms)
            for key in job.open_steps(world.shard.unix_of(world.now))
        ]
        found = [explain_wait(case) for case in cases]
        return [(wait.reason, wait.inputs) for wait in found] or job.runs

    def _running(self):
        found = set()
        for worker in self._world.workers.values():
            if worker.is_up:
                found.update(name for name, _ in worker.running)
                found.update(name for name, _ in worker.stopping)
        return found

    def _has_room(self, n_tasks):
        """Whether pool and team are less than half in use and `n_tasks` fit."""
        world = self._world
        places = used = free = 0
        for worker_id, listed in world.entries.items():
            worker = world.workers[worker_id]
            if not worker.is_up or listed.is_draining:
                continue
            n_runs = len(worker.running) + len(worker.stopping)
            places += world.places[worker_id]
            used += n_runs
            free += max(0, world.places[worker_id] - n_runs)
        if free < n_tasks or 2 * used >= places:
            return False
        used_cpu = 1000 * used + world.other_cpu
        return not world.limit_cpu or 2 * used_cpu < world.limit_cpu
