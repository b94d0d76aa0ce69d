"""A waiting step at one moment, and the shape of the reasons for its wait."""

from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass
from functools import cached_property
from typing import Any, ClassVar

from apricotgap.jobs import limits
from apricotgap.jobs.job_state import JobState, StepKey
from apricotgap.jobs.model import Resources, StepSpec, TaskName
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["Wait", "WaitCase", "WaitReason"]


@dataclass(frozen=True, slots=True)
class Wait:
    """Why a step waits, until when at most the scheduler looks again, and the inputs.

    An expected wait is part of the job's specification.
    """

    reason: str
    next_look_ms: int
    inputs: dict[str, Any]
    is_expected: bool


@dataclass(frozen=True)
class WaitCase:
    """A step with waiting tasks at one moment."""

    shard: Shard
    job: JobState
    key: StepKey
    at_ms: int
    lease_until_ms: int

    @property
    def step(self) -> StepSpec:
        """Specification of the step."""
        return self.job.spec.steps[self.key[1]]

    @property
    def names(self) -> list[TaskName]:
        """Names of the waiting tasks."""
        job_id = self.job.spec.job_id
        return [
            TaskName(job_id, *self.key, number)
            for number in sorted(self.job.waiting[self.key])
        ]

    @property
    def required(self) -> Resources:
        """Resources that the next start takes: of one task, or of a whole gang."""
        n_tasks = self.step.n_tasks if self.step.is_gang else 1
        return self.step.allocation.times(n_tasks)

    @cached_property
    def accepting(self) -> list[Worker]:
        """Workers that may be given new work."""
        return self.shard.accepting_workers(self.at_ms)

    @cached_property
    def roomy(self) -> list[Worker]:
        """Accepting workers with room for a task of the step."""
        allocation = self.step.allocation
        return [worker for worker in self.accepting if allocation.fits(worker.free)]

    @cached_property
    def candidates(self) -> list[Worker]:
        """Workers with room for a task that have the required label."""
        label = self.step.required_label
        return [w for w in self.roomy if not label or label in w.entry.labels]

    def obstacles(self) -> dict[str, int]:
        """Return the number of workers that take no work, by cause."""
        counts: Counter[str] = Counter()
        for worker in self.shard.workers.values():
            obstacle = worker.obstacle(self.at_ms)
            if obstacle is not None:
                counts[obstacle.value] += 1
            elif worker.entry.data_centre in self.shard.evacuated:
                counts["evacuated"] += 1
        return dict(counts)


class WaitReason(ABC):
    """One reason for which the tasks of a step wait.

    A subclass declares its `name` and returns from `inputs` what the decision rests on,
    or None where the reason does not apply. It may rely on all reasons before it in
    `REASONS` not to apply. It must not change the shard.
    """

    name: ClassVar[str]
    is_expected: ClassVar[bool] = False

    @abstractmethod
    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        """Return the inputs of the decision to wait, None if it has another reason."""

    def next_look_ms(self, case: WaitCase) -> int:
        """Return the time of the next look, by default that of the next tick."""
        return case.at_ms + limits.TICK_INTERVAL_MS
