"""Admission of jobs: which ones a shard can still serve, and when to come back."""

import hashlib
from dataclasses import dataclass, replace

from apricotgap.jobs.demand import Demand
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.shard import Shard

__all__ = ["Admission", "Refusal"]

# A job is of no use to its caller after this multiple of its objective.
USEFUL_FACTOR = 3.0
# The load is determined again after this time.
LOAD_INTERVAL_MS = 100
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 10_000
# Refused jobs whose first submission is remembered, and for how long.
MAX_REFUSED = 4_096
REFUSED_MEMORY_MS = 60_000
# Callers that are refused together return spread over this share of the delay.
RETRY_SPREAD = 0.5


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job that cannot be served in time, and what the decision is based on.

    `wait_ms` is the estimated time until the job's first task could start.
    """

    retry_after_ms: int
    wait_ms: int
    backlog_core_ms: int
    cores: float


@dataclass(slots=True)
class _Load:
    """Cores for finite jobs, and work before a new one: in time, and late ones."""

    at_ms: int
    cores: float | None
    in_time: float
    late: float


class Admission:
    """Refuses jobs that would end too late to be of use.

    The estimate is the work of the jobs that come first, divided by the cores that
    the pool has or is about to get.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    demand : Demand
        Capacity that the pool is expected to have.
    """

    def __init__(self, shard: Shard, demand: Demand) -> None:
        self._shard = shard
        self._demand = demand
        # In the order of the first refusal.
        self._first_refused_ms: dict[str, int] = {}
        self._loads: dict[int, _Load] = {}

    def keep_place(self, spec: JobSpec) -> JobSpec:
        """Return a job with the time of its first refused submission.

        A caller that comes back keeps its place before those that came later.
        """
        first_ms = self._first_refused_ms.get(spec.job_id)
        return spec if first_ms is None else replace(spec, submitted_ms=first_ms)

    def _record_refused(self, spec: JobSpec, unix_ms: int) -> None:
        refused = self._first_refused_ms
        while refused and (
            len(refused) >= MAX_REFUSED
            or next(iter(refused.values())) < unix_ms - REFUSED_MEMORY_MS
        ):
            refused.pop(next(iter(refused)))
        refused.setdefault(spec.job_id, spec.submitted_ms)

    def decide(self, spec: JobSpec, at_ms: int) -> Refusal | None:
        """Return a refusal, None if the job can be served.

        Long-running and scheduled jobs are never refused: they may wait for capacity.
        """
        if spec.is_long_running or spec.n_occurrences:
            return None
        unix_ms = self._shard.unix_of(at_ms)
        load = self._load(spec.priority, at_ms)
        cores = load.cores
        if cores is None or cores <= 0:
            return None
        path_ms = spec.critical_path_ms
        in_time, late = load.in_time, load.late
        wait_ms = int(in_time / cores)
        if unix_ms + wait_ms + path_ms <= spec.submitted_ms + spec.objective_span_ms:
            return None
        # It would wait behind all others, since it can only end late.
        backlog = in_time + late
        wait_ms = int(backlog / cores)
        useful_until_ms = spec.submitted_ms + int(
            USEFUL_FACTOR * spec.objective_span_ms
        )
        excess_ms = unix_ms + wait_ms + path_ms - useful_until_ms
        if excess_ms <= 0:
            return None
        self._record_refused(spec, unix_ms)
        return Refusal(
            self._retry_after_ms(spec.job_id, excess_ms), wait_ms, int(backlog), cores
        )

    def record_accepted(self, spec: JobSpec) -> None:
        """Add a job to the load, until that is determined anew."""
        work = sum(
            step.n_tasks * step.estimated_ms * step.allocation.core_equivalents
            for step in spec.steps
            if not step.is_long_running
        )
        for priority, load in self._loads.items():
            if spec.priority <= priority:
                load.in_time += work

    def _load(self, priority: int, at_ms: int) -> _Load:
        load = self._loads.get(priority)
        if load is None or at_ms - load.at_ms > LOAD_INTERVAL_MS:
            unix_ms = self._shard.unix_of(at_ms)
            in_time, late = self._shard.backlog_core_ms(unix_ms, priority)
            cores = self._demand.expected_cores(at_ms)
            load = self._loads[priority] = _Load(at_ms, cores, in_time, late)
        return load

    @staticmethod
    def _retry_after_ms(job_id: str, excess_ms: int) -> int:
        """Return when the backlog should have shrunk enough, spread by job."""
        digest = hashlib.blake2b(job_id.encode(), digest_size=2).digest()
        spread = 1 + RETRY_SPREAD * int.from_bytes(digest, "big") / 0xFFFF
        longest_ms = MAX_RETRY_AFTER_MS / (1 + RETRY_SPREAD)
        return int(min(longest_ms, max(MIN_RETRY_AFTER_MS, excess_ms)) * spread)
