"""Watchers that run beside clients and faults."""

from collections import Counter
from dataclasses import dataclass

import trio

from soak.state import JobRecord, SoakState
from soak.timeline import Scope, now_ms
from standins.task_worker import TaskWorker

__all__ = ["LagMonitor", "ProcessMonitor", "StalledTaskMonitor", "TaskOutage"]

_INTERVAL_S = 0.25
_MAX_LAG_MS = 200
_RESTART_S = 0.3
# A long-running task may be away this long, and must then be at work within the rest.
_RECOVERY_MS = 6_000
_STALL_MS = 3_000
_CALM_MS = 4_000


class LagMonitor:
    """Marks the times in which the soak itself was too slow to judge others."""

    def __init__(self, state: SoakState) -> None:
        self._state = state
        self.max_ms = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            before_ms = now_ms()
            await trio.sleep(0.05)
            lag_ms = now_ms() - before_ms - 50
            self.max_ms = max(self.max_ms, lag_ms)
            if lag_ms > _MAX_LAG_MS:
                with self._state.timeline.span("lag", Scope.SOAK, False) as span:
                    span.start_ms = before_ms


class ProcessMonitor:
    """Notes processes that end by themselves, and starts them again."""

    def __init__(self, state: SoakState) -> None:
        self._state = state

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await trio.sleep(_INTERVAL_S)
            for instance in self._state.instances:
                if instance.is_wanted and not instance.is_running:
                    code = instance.wait(0)
                    self._state.seen.append(
                        f"EXIT: {instance.name} ended by itself with {code} at"
                        f" {now_ms()}, {instance.age_s:.1f} s after its start"
                    )
                    instance.is_wanted = False
                    with self._state.timeline.span(
                        "exit", Scope.INSTANCE, False, instance.name
                    ):
                        await trio.sleep(_RESTART_S)
                        instance.start()


@dataclass
class TaskOutage:
    """A task that should run and does not.

    `away_ms` is when it was last at work, `hindered_ms` when it last could not run.
    """

    away_ms: int
    hindered_ms: int
    is_reported: bool = False


class StalledTaskMonitor:
    """Finds long-running tasks, and jobs without a running task, that wait in vain."""

    def __init__(self, state: SoakState) -> None:
        self._state = state
        self._outages: dict[str, TaskOutage] = {}
        self.longest_ms = 0
        # Without the time in which the task could not run.
        self.longest_unhindered_ms = 0
        # The task of that time and when it ended.
        self.longest_unhindered = ""

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await trio.sleep(_INTERVAL_S)
            self._look()

    def _look(self) -> None:
        state = self._state
        machines = state.cluster.platform.machines.machines.values()
        room = {service: _Room(state) for service in state.layout.services}
        for machine in machines:
            if machine.pool in room:
                room[machine.pool].add(machine.worker, machine.state)
        running = {
            run.task for worker in state.cluster.workers for run in worker.running
        }
        usage: Counter[int] = Counter()
        for task in running:
            usage[state.jobs[task[:16]].team] += state.work.cpu(task)
        for job in state.owed():
            if job.plan.is_lasting:
                for task in job.plan.tasks(job.job_id):
                    self._check(job, task, running, room[job.queue.service], usage)
        if state.must_be_finished(now_ms()):
            self._check_finite(running, room, usage)

    def _check_finite(
        self, running: set[str], room: dict[str, "_Room"], usage: Counter[int]
    ) -> None:
        """Check jobs that end: some task of each must be at work."""
        finished = self._state.cluster.finished_tasks()
        given_up = self._state.cluster.given_up_jobs()
        busy = {task[:16] for task in running}
        for job in self._state.owed():
            if job.plan.is_lasting or job.is_finished or job.job_id in given_up:
                continue
            tasks = [
                task for task in job.plan.tasks(job.job_id) if task not in finished
            ]
            if tasks:
                at_work = set(tasks) if job.job_id in busy else set()
                self._check(job, tasks[0], at_work, room[job.queue.service], usage)

    def _check(
        self,
        job: JobRecord,
        task: str,
        running: set[str],
        room: "_Room",
        usage: Counter[int],
    ) -> None:
        now = now_ms()
        outage = self._outages.setdefault(task, TaskOutage(now, now))
        if task in running:
            self._outages[task] = TaskOutage(now, now)
            return
        if not self._may_run(job, task, room, usage):
            outage.hindered_ms = now
        unhindered_ms = now - max(outage.away_ms, outage.hindered_ms)
        self.longest_ms = max(self.longest_ms, now - outage.away_ms)
        if unhindered_ms > self.longest_unhindered_ms:
            self.longest_unhindered_ms = unhindered_ms
            self.longest_unhindered = f"{task} at {now}"
        recovery_ms = _RECOVERY_MS if job.plan.is_lasting else 0
        is_overdue = now - outage.away_ms >= recovery_ms + _STALL_MS
        is_stalled = now - outage.hindered_ms >= _STALL_MS
        if outage.is_reported or not (is_overdue and is_stalled):
            return
        since_ms = now - _STALL_MS - _CALM_MS
        if self._state.timeline.unplanned(since_ms, now):
            return
        outage.is_reported = True
        spans = self._state.timeline.during(since_ms, now)
        beside = sorted({span.name for span in spans}) or "nothing"
        self._state.seen.append(
            f"LOST 3: {task} of {job.queue.service} is away for"
            f" {now - outage.away_ms} ms, at {now}, beside {beside}"
        )

    def _may_run(
        self, job: JobRecord, task: str, room: "_Room", usage: Counter[int]
    ) -> bool:
        # A queue that was taken away may still run what it accepted.
        state, step = self._state, self._state.work.step(task)
        n_starts = step.n_members or 1
        now = now_ms()
        for document in state.operator.in_force(now - _STALL_MS, now):
            limit = document["tenants"][job.team]["maxCount"]["cpu"]
            if 2 * (usage[job.team] + n_starts * step.cpu) > limit:
                return False
        return room.n_free(task, step.cpu) >= 2 * n_starts


class _Room:
    """Workers of a service that could take a task."""

    def __init__(self, state: SoakState) -> None:
        evacuated = [
            key.rpartition("/")[2]
            for key in state.cluster.store.items
            if key.startswith("op/evacuate/")
        ]
        self._evacuated = set(evacuated)
        self._workers: list[TaskWorker] = []

    def add(self, worker: TaskWorker, machine_state: str) -> None:
        """Add a worker if it takes work."""
        is_up = machine_state == "up" and worker.state == "ready"
        if is_up and worker.zone not in self._evacuated and not worker.is_unanswering:
            self._workers.append(worker)

    def n_free(self, task: str, cpu: int) -> int:
        """Return how many workers have room and run no other task of the step."""
        step = task.rpartition(".")[0]
        return sum(
            worker.free_cpu >= cpu
            and not any(run.task.startswith(f"{step}.") for run in worker.running)
            for worker in self._workers
        )
