"""Load patterns: kinds of jobs, and queues whose demand rises in turns."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import log, sqrt
from random import Random

from apricotgap.jobs.model import JobSpec, Resources, StepSpec

__all__ = ["ARRIVALS", "ArrivalPattern", "JobKind", "SimulatedJob", "jobs_of"]


@dataclass(frozen=True, slots=True)
class JobKind:
    """Distribution of the jobs of one queue; spreads are coefficients of variation.

    `estimate_error` is the spread of the ratio of the declared to the real duration.
    """

    queue: str
    service: str
    jobs_per_s: float
    n_steps: float
    n_tasks: float
    cpu: int
    duration_ms: int
    priority: int = 0
    spread: float = 0.5
    estimate_error: float = 0.5
    memory_mb: int = 1_000
    slack_factor: float = 1.6
    target_latency_ms: int = 600
    checkpoints: bool = False


@dataclass(frozen=True, slots=True)
class SimulatedJob:
    """A job, when it is submitted, and how long the tasks of each step really take."""

    spec: JobSpec
    at_ms: int
    durations_ms: tuple[int, ...]

    @property
    def work(self) -> float:
        """Core-milliseconds of all tasks."""
        return sum(
            step.n_tasks * step.resources.core_equivalents * duration
            for step, duration in zip(self.spec.steps, self.durations_ms, strict=True)
        )

    @property
    def objective_ms(self) -> int:
        """Latency by which the job should succeed, from its real durations."""
        chain_ms = sum(self.durations_ms)
        return int(self.spec.slack_factor * chain_ms) + self.spec.target_latency_ms


class ArrivalPattern:
    """How the rate of a queue changes over time."""

    name = ""

    def factor(self, index: int, n_queues: int, at_ms: int, length_ms: int) -> float:
        """Return the ratio of the rate of queue `index` to its mean rate."""
        raise NotImplementedError


class Steady(ArrivalPattern):
    """The mean rate at all times."""

    name = "steady"

    def factor(self, index: int, n_queues: int, at_ms: int, length_ms: int) -> float:
        """Return 1."""
        return 1.0


class Turns(ArrivalPattern):
    """Each queue in turn has most of its jobs in its part of the time."""

    name = "turns"
    QUIET_FACTOR = 0.05

    def factor(self, index: int, n_queues: int, at_ms: int, length_ms: int) -> float:
        """Return the quiet factor, or what makes up for it during the turn."""
        turn = at_ms * n_queues // max(1, length_ms)
        if turn % n_queues != index:
            return self.QUIET_FACTOR
        return n_queues - (n_queues - 1) * self.QUIET_FACTOR


class Peaks(ArrivalPattern):
    """Each queue in turn peaks for 4 s, again and again."""

    name = "peaks"
    PEAK_MS = 4_000
    QUIET_FACTOR = 0.05

    def factor(self, index: int, n_queues: int, at_ms: int, length_ms: int) -> float:
        """Return the quiet factor, or what makes up for it during a peak."""
        if at_ms // self.PEAK_MS % n_queues != index:
            return self.QUIET_FACTOR
        return n_queues - (n_queues - 1) * self.QUIET_FACTOR


class Surge(ArrivalPattern):
    """All queues exceed their mean rate at the same time, for a quarter of it."""

    name = "surge"
    FACTOR = 3.0

    def factor(self, index: int, n_queues: int, at_ms: int, length_ms: int) -> float:
        """Return the factor of the surge in the second quarter, else less than 1."""
        is_surge = length_ms // 4 <= at_ms < length_ms // 2
        return self.FACTOR if is_surge else (4 - self.FACTOR) / 3


ARRIVALS: dict[str, ArrivalPattern] = {
    pattern.name: pattern() for pattern in (Steady, Turns, Peaks, Surge)
}


def _lognormal(random: Random, mean: float, spread: float) -> float:
    sigma = sqrt(log(1 + spread**2))
    return mean * random.lognormvariate(-(sigma**2) / 2, sigma)


def _job(kind: JobKind, number: int, at_ms: int, random: Random) -> SimulatedJob:
    n_steps = max(1, round(_lognormal(random, kind.n_steps, 0.4)))
    steps, durations = [], []
    for index in range(n_steps):
        duration = max(20, int(_lognormal(random, kind.duration_ms, kind.spread)))
        estimate = max(20, int(_lognormal(random, duration, kind.estimate_error)))
        cpu = int(_lognormal(random, kind.cpu, kind.spread))
        steps.append(
            StepSpec(
                max(1, round(_lognormal(random, kind.n_tasks, kind.spread))),
                Resources(max(100, min(3 * kind.cpu, cpu)), kind.memory_mb),
                estimate,
                (index - 1,) if index else (),
                kind.checkpoints,
            )
        )
        durations.append(duration)
    job_id = f"{kind.queue}-{number}"
    spec = JobSpec(
        job_id,
        kind.queue,
        kind.service,
        f"team-{number % 6}",
        "x",
        tuple(steps),
        at_ms,
        priority=kind.priority,
        slack_factor=kind.slack_factor,
        target_latency_ms=kind.target_latency_ms,
    )
    return SimulatedJob(spec, at_ms, tuple(durations))


def jobs_of(
    kinds: tuple[JobKind, ...], pattern: ArrivalPattern, length_ms: int, seed: int
) -> Iterator[SimulatedJob]:
    """Yield the jobs of all kinds, kind by kind, for `length_ms` of arrivals."""
    random = Random(seed)
    for index, kind in enumerate(kinds):
        at_ms, number = 0.0, 0
        while at_ms < length_ms:
            factor = pattern.factor(index, len(kinds), int(at_ms), length_ms)
            gap_ms = random.expovariate(kind.jobs_per_s * factor / 1000)
            # A long gap at a low rate must not skip the part with the high one.
            at_ms += min(gap_ms, length_ms / 40)
            if gap_ms <= length_ms / 40 and at_ms < length_ms:
                yield _job(kind, number, int(at_ms), random)
                number += 1
