"""Admission of jobs: which ones a shard can still serve, and when to come back."""

import hashlib
from dataclasses import dataclass

from apricotgap.jobs.arrival_rates import ArrivalRates
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.feasible_set import CapacityForecast
from apricotgap.jobs.idle_capacity import has_idle_capacity
from apricotgap.jobs.job_work import USEFUL_FACTOR, JobWork, whole_work
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.refused_jobs import RefusedJobs
from apricotgap.jobs.service_order import ServiceOrder
from apricotgap.jobs.service_wait import ServiceWait, newcomers_ahead
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.standing import Outlook, Standing
from apricotgap.jobs.start_rate import StartRate, n_tasks_ahead

__all__ = ["CAPACITY", "STARTS", "Admission", "Refusal"]

# What a refused job would wait for: capacity of the pool, or starts of the owner.
CAPACITY = "capacity"
STARTS = "starts"
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 10_000
# Callers that are refused together return spread over this share of the delay.
RETRY_SPREAD = 0.25
# An accepted job counts for this long until the shard has it.
STORING_MS = 1_000
# Refused jobs that hold a place around the return of their callers at the same time.
MAX_RESERVED = 64


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job that cannot be served while it is of use, and why.

    `limit` is ``capacity`` if the pool is short of capacity, and `wait_ms` is then the
    time until it has done the `ahead_core_ms` of work of the jobs that go first. With
    ``starts``, `wait_ms` is the time that the owner takes to start the tasks that wait
    already. `team_cores` and `share` are the use and the weight of the team,
    `n_refusals` how often the job has been refused by now.
    """

    retry_after_ms: int
    team: str
    priority: int
    standing: str
    wait_ms: int
    ahead_core_ms: int
    cores: float
    team_cores: float
    share: float
    n_refusals: int
    limit: str = CAPACITY


class Admission:
    """Refuses jobs that would end too late to be of use.

    The order of service tells the work of the jobs that go first. A job behind them
    that could not end within the multiple of its objective after which it is of no use
    is refused at once, unless capacity is idle. Since teams that use more than their
    share come last, they are the first to have jobs refused.

    A job that the owner itself could not start in time is refused even if capacity is
    idle, since it would wait beside it.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    demand : Demand
        Capacity that the pool has and is expected to have.
    order : ServiceOrder
        Order in which the shard serves its jobs.
    start_rate : StartRate, optional
        Rate at which the owner starts tasks while it is short of starts; without it the
        owner counts as never short.
    """

    def __init__(
        self,
        shard: Shard,
        demand: Demand,
        order: ServiceOrder,
        start_rate: StartRate | None = None,
    ) -> None:
        self._shard = shard
        self._demand = demand
        self._order = order
        self._start_rate = start_rate or StartRate()
        self._refused = RefusedJobs()
        self._rates = ArrivalRates()
        # Reservations of refused jobs and when they end.
        self._reserved: dict[str, int] = {}
        # Accepted jobs that the shard may not have yet, and how long they count.
        self._being_stored: dict[str, tuple[JobSpec, int]] = {}

    def keep_place(self, spec: JobSpec) -> JobSpec:
        """Return a job with the time of its first refused submission.

        A caller that comes back keeps its place before those that came later.
        """
        return self._refused.keep_place(spec)

    def decide(self, spec: JobSpec, at_ms: int) -> Refusal | None:
        """Return a refusal, None if the job can be served.

        Long-running and scheduled jobs are never refused: they may wait for capacity.
        """
        if spec.is_long_running or spec.n_occurrences:
            return None
        self._order.refresh(at_ms, self._demand.forecast(at_ms))
        self._reserve_returning(at_ms)
        outlook = self._order.would_stand(spec, at_ms)
        useful_until_ms = spec.submitted_ms + USEFUL_FACTOR * spec.objective_span_ms
        left_ms = useful_until_ms - spec.critical_path_ms - self._shard.unix_of(at_ms)
        starts_ms = self._wait_for_starts_ms(spec.priority, at_ms)
        if 0 <= left_ms < starts_ms:
            return self._refuse(spec, outlook, at_ms, starts_ms, starts_ms, STARTS)
        if outlook.standing is Standing.ON_TIME:
            return None
        forecast = self._demand.planned_forecast(at_ms)
        if forecast is None:
            return None
        work = whole_work(spec, forecast.later_cores)
        wait = self._wait(work, outlook, forecast, at_ms)
        wait_ms, done_ms = wait.until(), wait.until(work.core_ms)
        if wait_ms is None or done_ms is None:
            return None
        end_ms = self._shard.unix_of(at_ms) + max(wait_ms + work.path_ms, done_ms)
        if end_ms <= useful_until_ms or self._has_idle_capacity(spec, at_ms):
            return None
        # Jobs of the team that were refused before and are still away go before it.
        away_core_ms = self._refused.away_core_ms(work)
        free_ms = wait.until(work.core_ms + away_core_ms) or done_ms
        return self._refuse(spec, outlook, at_ms, wait_ms, free_ms, CAPACITY)

    def _wait_for_starts_ms(self, priority: int, at_ms: int) -> int:
        """Return how long the owner takes to start the tasks that wait already."""
        starts_per_s = self._start_rate.per_s(at_ms)
        if starts_per_s is None:
            return 0
        n_tasks = n_tasks_ahead(self._shard, priority, at_ms)
        n_tasks += sum(
            step.n_tasks
            for spec in self._jobs_being_stored(at_ms)
            if spec.priority <= priority
            for step in spec.steps
            if not step.after
        )
        return int(1_000 * n_tasks / starts_per_s)

    def _jobs_being_stored(self, at_ms: int) -> list[JobSpec]:
        jobs = self._shard.jobs
        return [
            spec
            for job_id, (spec, until_ms) in self._being_stored.items()
            if at_ms < until_ms and job_id not in jobs
        ]

    def _refuse(
        self,
        spec: JobSpec,
        outlook: Outlook,
        at_ms: int,
        wait_ms: int,
        free_ms: int,
        limit: str,
    ) -> Refusal:
        """Record that a job is refused, and tell why and when there is room for it."""
        retry_after_ms = _retry_after_ms(spec.job_id, free_ms)
        self._record_refused(spec, at_ms, retry_after_ms)
        shares = self._order.shares
        forecast = self._demand.forecast(at_ms)
        return Refusal(
            retry_after_ms,
            spec.team,
            spec.priority,
            outlook.standing.name.lower(),
            wait_ms,
            int(outlook.ahead_core_ms),
            round(forecast.now_cores, 1) if forecast else 0.0,
            round(shares.total_cores(spec.team, at_ms), 1),
            shares.share(spec.team),
            self._refused.n_refusals(spec.job_id),
            limit,
        )

    def record_accepted(self, spec: JobSpec, at_ms: int) -> None:
        """Count a job from its acceptance on, while it is being stored."""
        self._refused.record_returned(spec.job_id)
        self._reserved.pop(spec.job_id, None)
        while self._being_stored:
            oldest, (_, until_ms) = next(iter(self._being_stored.items()))
            if at_ms < until_ms:
                break
            del self._being_stored[oldest]
        self._being_stored[spec.job_id] = (spec, at_ms + STORING_MS)
        self._order.hold(spec, at_ms, at_ms + STORING_MS)
        self._rates.record(whole_work(spec, 0.0), at_ms)

    def record_not_stored(self, job_id: str) -> None:
        """Count a job no longer that could not be stored."""
        self._being_stored.pop(job_id, None)
        self._order.release(job_id)

    def _wait(
        self, work: JobWork, outlook: Outlook, forecast: CapacityForecast, at_ms: int
    ) -> ServiceWait:
        ahead = outlook.ahead_core_ms
        if not self._refused.n_refusals(work.job_id):
            # A newcomer takes no place of those that were refused before it.
            ahead += self._refused.away_core_ms(work)
        newcomers = newcomers_ahead(
            self._shard,
            self._order.shares,
            self._rates,
            work,
            forecast.later_cores,
            at_ms,
        )
        return ServiceWait(forecast, ahead, newcomers)

    def _has_idle_capacity(self, spec: JobSpec, at_ms: int) -> bool:
        being_stored = self._jobs_being_stored(at_ms)
        return has_idle_capacity(self._shard, spec, being_stored, at_ms)

    def _record_refused(self, spec: JobSpec, at_ms: int, retry_after_ms: int) -> None:
        if self._reserved.pop(spec.job_id, None) is not None:
            self._order.release(spec.job_id)
        # Callers are told whole seconds.
        return_ms = at_ms - (-retry_after_ms // 1_000) * 1_000
        self._refused.record(spec, at_ms, return_ms)

    def _reserve_returning(self, at_ms: int) -> None:
        """Count the refused jobs whose callers are expected now, before newcomers."""
        self._reserved = {
            job_id: until_ms
            for job_id, until_ms in self._reserved.items()
            if at_ms < until_ms
        }
        for spec, until_ms in self._refused.take_returning(at_ms):
            if len(self._reserved) >= MAX_RESERVED:
                continue
            self._reserved[spec.job_id] = until_ms
            self._order.hold(spec, at_ms, until_ms)


def _retry_after_ms(job_id: str, free_ms: int) -> int:
    """Return when to come back for capacity that is free after a time."""
    longest_ms = int(MAX_RETRY_AFTER_MS / (1 + RETRY_SPREAD))
    digest = hashlib.blake2b(job_id.encode(), digest_size=2).digest()
    spread = 1 + RETRY_SPREAD * int.from_bytes(digest, "big") / 0xFFFF
    return int(max(MIN_RETRY_AFTER_MS, min(longest_ms, free_ms)) * spread)
