"""A pool of single cores that serves a load in an order, in virtual time."""

from dataclasses import dataclass
from random import Random

from apricotgap.jobs.configuration import Configuration, Team
from apricotgap.jobs.feasible_set import CapacityForecast
from apricotgap.jobs.model import JobSpec, Resources, StepSpec, TaskName
from apricotgap.jobs.runs import Run, RunPhase
from apricotgap.jobs.service_order import ServiceOrder
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.team_shares import TeamShares

STEP_MS = 20
# Real run times are off the estimate by up to this part.
ERROR = 0.4


def spec(job_id, at_ms, n_tasks=8, task_ms=750, team="a", **changes):
    """Return a job of one step whose objective is 2.7 s, as in the queues that peak."""
    steps = (StepSpec(n_tasks, Resources(1000, 100), task_ms),)
    fields = {"slack_factor": 2.0, "target_latency_ms": 2_700 - 2 * task_ms} | changes
    return JobSpec(job_id, "q", "s", team, "", steps, at_ms, **fields)


def earliest_objective_first(_order, job, at_ms):
    """Return the sort key of the order that the feasible set has replaced."""
    return (job.is_late(at_ms), job.spec.priority, job.objective_ms)


def by_service_order(order, job, _at_ms):
    """Return the sort key of the product."""
    return order.key(job)


@dataclass
class Pool:
    """A pool with the given number of cores, each of which runs one task."""

    n_cores: int
    key: object = by_service_order
    seed: int = 1

    def __post_init__(self):
        self.shard = Shard("s", 1, 6_000)
        self.shares = TeamShares()
        self.shares.set_configuration(
            Configuration(
                1,
                (),
                (),
                tuple(Team(n, frozenset(), 1.0, Resources()) for n in "abc"),
            )
        )
        self.order = ServiceOrder(self.shard, self.shares)
        self.rng = Random(self.seed)
        self.running = []
        self.ended_ms = {}

    def play(self, specs, until_ms):
        """Serve jobs as they arrive; returns those that ended by their objective."""
        due = sorted(specs, key=lambda each: each.submitted_ms)
        forecast = CapacityForecast(self.n_cores, self.n_cores, 0)
        for at_ms in range(0, until_ms, STEP_MS):
            self._end_runs(at_ms)
            while due and due[0].submitted_ms <= at_ms:
                self.shard.submit(due.pop(0), revision=1)
            self.order.update(at_ms, forecast)
            self._start_runs(at_ms)
        return {
            each.job_id
            for each in specs
            if self.ended_ms.get(each.job_id, until_ms)
            <= each.submitted_ms + each.objective_span_ms
        }

    def _end_runs(self, at_ms):
        left = []
        for end_ms, job, run in self.running:
            if end_ms > at_ms:
                left.append((end_ms, job, run))
                continue
            job.mark_done(run.name)
            job.remove_run(run)
            if job.is_complete:
                self.ended_ms[job.spec.job_id] = at_ms
                del self.shard.open_jobs[job.spec.job_id]
        self.running = left

    def _start_runs(self, at_ms):
        jobs = sorted(
            self.shard.open_jobs.values(),
            key=lambda job: self.key(self.order, job, at_ms),
        )
        for job in jobs:
            for key in job.open_steps(at_ms):
                for number in sorted(job.waiting[key]):
                    if len(self.running) == self.n_cores:
                        return
                    self._start(job, key, number, at_ms)

    def _start(self, job, key, number, at_ms):
        step = job.spec.steps[key[1]]
        name = TaskName(job.spec.job_id, *key, number)
        run = Run(name, 1, "w", step, job.spec.team, RunPhase.RUNNING, at_ms, at_ms)
        run.has_begun = True
        job.add_run(run)
        self.shares.record_start(job.spec.team, step.estimated_ms, at_ms)
        factor = 1 + self.rng.uniform(-ERROR, ERROR)
        self.running.append((at_ms + factor * step.estimated_ms, job, run))
