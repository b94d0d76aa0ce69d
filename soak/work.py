"""Jobs of the soak: their shapes, and what each of their tasks needs."""

import math
from dataclasses import dataclass, field
from random import Random
from typing import Any

from standins.gangs import GangRuns

__all__ = [
    "JobPlan",
    "StepPlan",
    "WorkCatalogue",
    "finite_job",
    "gang_job",
    "lasting_job",
]

_MAX_OCCURRENCES = 3
_SHARE_TIMED = 0.15
_SHARE_GANGS = 0.1


@dataclass(frozen=True)
class StepPlan:
    """A step; `duration_ms` is infinite for long-running tasks."""

    n_tasks: int
    cpu: int
    duration_ms: float
    after: tuple[int, ...] = ()
    max_per_worker: int = 0
    max_unavailable: int = 0
    is_gang: bool = False

    @property
    def n_members(self) -> int:
        """Number of tasks of a gang, 0 if the tasks work by themselves."""
        return self.n_tasks if self.is_gang else 0

    @property
    def is_lasting(self) -> bool:
        """Whether the tasks run until the job is cancelled."""
        return math.isinf(self.duration_ms)

    def document(self) -> dict[str, Any]:
        """Return the step in the platform's form."""
        document: dict[str, Any] = {
            "count": self.n_tasks,
            "cpu": self.cpu,
            "memMb": 100,
            "estimatedMs": 700 if self.is_lasting else int(self.duration_ms),
        }
        if self.after:
            document["after"] = list(self.after)
        if self.max_per_worker:
            document["antiAffinity"] = self.max_per_worker
        if self.is_gang:
            document["gang"] = True
        if self.is_lasting:
            document |= {"longRunning": True, "mayMiss": self.max_unavailable}
        return document


@dataclass(frozen=True)
class JobPlan:
    """A job; `delay_ms` is the time from its submission to its first occurrence."""

    steps: tuple[StepPlan, ...]
    n_occurrences: int = 0
    delay_ms: int = 0
    interval_ms: int = 0

    @property
    def is_lasting(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)

    @property
    def length_ms(self) -> float:
        """Time from submission to the last end when nothing has to wait."""
        work_ms = sum(step.duration_ms for step in self.steps)
        return self.delay_ms + self.n_occurrences * self.interval_ms + work_ms

    def document(self, now_ms: int) -> dict[str, Any]:
        """Return the body of a submission at a Unix time."""
        document: dict[str, Any] = {
            "spec": "x",
            "steps": [step.document() for step in self.steps],
        }
        if self.n_occurrences:
            document |= {
                "repeatCount": self.n_occurrences,
                "startTimeMs": now_ms + self.delay_ms,
                "intervalMs": self.interval_ms,
            }
        return document

    def tasks(self, job_id: str) -> list[str]:
        """Return the names of all tasks."""
        return [
            f"{job_id}.{occurrence}.{number}.{index}"
            for occurrence in range(max(1, self.n_occurrences))
            for number, step in enumerate(self.steps)
            for index in range(step.n_tasks)
        ]


@dataclass
class WorkCatalogue:
    """Plans of all submitted jobs, from which workers know what a task needs."""

    plans: dict[str, JobPlan] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.gangs = GangRuns(self.n_members)

    def step(self, task: str) -> StepPlan:
        """Return the step of a task."""
        job_id, _, number, _ = task.split(".")
        return self.plans[job_id].steps[int(number)]

    def duration_ms(self, task: str) -> float:
        """Return how long a task works, infinity for a long-running one."""
        return self.step(task).duration_ms

    def n_members(self, task: str) -> int:
        """Return the number of tasks of the task's gang, 0 if it has none."""
        return self.step(task).n_members

    def cpu(self, task: str) -> int:
        """Return what a task takes in thousandths of a core."""
        return self.step(task).cpu


def finite_job(random: Random) -> JobPlan:
    """Return a job of one to three steps, at times a gang or a timed one."""
    if random.random() < _SHARE_GANGS:
        return gang_job(random)
    steps = tuple(
        StepPlan(
            random.randint(1, 6),
            random.choice((500, 1_000, 1_900)),
            random.uniform(200, 1_200),
            (number - 1,) if number else (),
        )
        for number in range(random.randint(1, 3))
    )
    if random.random() >= _SHARE_TIMED:
        return JobPlan(steps)
    n_occurrences = random.randint(1, _MAX_OCCURRENCES)
    return JobPlan(
        steps[:1], n_occurrences, random.randint(0, 3_000), random.randint(500, 2_000)
    )


def gang_job(random: Random) -> JobPlan:
    """Return a job whose tasks work only together."""
    duration_ms = random.uniform(400, 1_600)
    step = StepPlan(random.randint(2, 4), 1_000, duration_ms, is_gang=True)
    return JobPlan((step,))


def lasting_job(n_tasks: int) -> JobPlan:
    """Return a job whose tasks last and of which a tenth may be away."""
    step = StepPlan(
        n_tasks, 2_000, math.inf, max_per_worker=1, max_unavailable=1 + n_tasks // 10
    )
    return JobPlan((step,))
