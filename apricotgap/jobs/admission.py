"""Admission of jobs: which ones a shard can still serve, and when to come back."""

import hashlib
from dataclasses import dataclass

from apricotgap.jobs.arrival_rates import ArrivalRates
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.feasible_set import CapacityForecast
from apricotgap.jobs.idle_capacity import has_idle_capacity
from apricotgap.jobs.job_work import USEFUL_FACTOR, JobWork, whole_work
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.ranking import PACKING
from apricotgap.jobs.refused_jobs import RefusedJobs
from apricotgap.jobs.service_order import ServiceOrder
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.standing import Standing

__all__ = ["Admission", "Refusal"]

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 10_000
# Callers that are refused together return spread over this share of the delay.
RETRY_SPREAD = 0.25
# Part of the capacity that is left at least to a job behind those that arrive later, as
# the rate of these is measured over a few seconds only.
MIN_LEFT = 0.05
# An accepted job counts for this long until the shard has it.
STORING_MS = 1_000
# Refused jobs that hold a place around the return of their callers at the same time.
MAX_RESERVED = 64


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job that cannot be served while it is of use, and why.

    `wait_ms` is the time until the pool has done the `ahead_core_ms` of work of the
    jobs that go first. `team_cores` and `share` are the use and the weight of the team,
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


class Admission:
    """Refuses jobs that would end too late to be of use.

    The order of service tells the work of the jobs that go first. A job behind them
    that could not end within the multiple of its objective after which it is of no use
    is refused at once, unless capacity is idle. Since teams that use more than their
    share come last, they are the first to have jobs refused.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    demand : Demand
        Capacity that the pool has and is expected to have.
    order : ServiceOrder
        Order in which the shard serves its jobs.
    """

    def __init__(self, shard: Shard, demand: Demand, order: ServiceOrder) -> None:
        self._shard = shard
        self._demand = demand
        self._order = order
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
        self._order.update(at_ms, self._demand.forecast(at_ms))
        self._reserve_returning(at_ms)
        forecast = self._demand.planned_forecast(at_ms)
        if forecast is None:
            return None
        work = whole_work(spec)
        outlook = self._order.would_stand(spec, at_ms)
        ahead = outlook.ahead_core_ms
        wait_ms = forecast.time_for(ahead / PACKING)
        done_ms = forecast.time_for((ahead + work.core_ms) / PACKING)
        if wait_ms is None or done_ms is None:
            return None
        if outlook.standing is not Standing.ON_TIME:
            wait_ms = max(wait_ms, self._wait_behind_newcomers(work, ahead, at_ms))
        end_ms = self._shard.unix_of(at_ms) + max(wait_ms + work.path_ms, done_ms)
        useful_until_ms = spec.submitted_ms + USEFUL_FACTOR * spec.objective_span_ms
        if end_ms <= useful_until_ms or self._has_idle_capacity(spec, at_ms):
            return None
        retry_after_ms = self._retry_after_ms(spec, work, ahead, forecast)
        self._record_refused(spec, at_ms, retry_after_ms)
        shares = self._order.shares
        return Refusal(
            retry_after_ms,
            spec.team,
            spec.priority,
            outlook.standing.name.lower(),
            wait_ms,
            int(ahead),
            round(forecast.now_cores, 1),
            round(shares.total_cores(spec.team, at_ms), 1),
            shares.share(spec.team),
            self._refused.n_refusals(spec.job_id),
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
        self._rates.record(whole_work(spec), at_ms)

    def record_not_stored(self, job_id: str) -> None:
        """Count a job no longer that could not be stored."""
        self._being_stored.pop(job_id, None)
        self._order.release(job_id)

    def _wait_behind_newcomers(self, work: JobWork, ahead: float, at_ms: int) -> int:
        """Return the wait of a job that does not end by its objective.

        Jobs that arrive later go before it if their queue is more urgent or the tag of
        their team is lower. They do so only until the team of the job has got less than
        its share.
        """
        forecast = self._demand.planned_forecast(at_ms)
        cores = forecast.later_cores * PACKING if forecast else 0.0
        if cores <= 0:
            return 0
        shares = self._order.shares
        share = shares.share(work.team)
        tag = shares.tag(work.team, 0.0, at_ms)
        urgent = before = 0.0
        tags: dict[str, float] = {}
        for team, priority, arriving in self._rates.cores(at_ms):
            if team == work.team or priority > work.priority:
                continue
            tags[team] = shares.tag(team, 0.0, at_ms)
            if priority < work.priority:
                urgent += arriving
            elif tags[team] < tag:
                before += arriving
        left = max(MIN_LEFT * cores, cores - urgent - before)
        wait_ms = ahead / left
        other_share = sum(map(shares.share, tags))
        if other_share:
            mean_tag = sum(shares.share(team) * tags[team] for team in tags)
            excess = max(0.0, tag - mean_tag / other_share) * share
            own = self._queued_core_ms(work) + excess
            due = max(MIN_LEFT * cores, cores - urgent) * share / (share + other_share)
            wait_ms = min(wait_ms, own / due)
        return int(wait_ms)

    def _queued_core_ms(self, work: JobWork) -> float:
        """Return the work of the open jobs of a job's team and priority."""
        found = 0.0
        for job in self._shard.open_jobs.values():
            spec = job.spec
            is_same = spec.team == work.team and spec.priority == work.priority
            if is_same and not spec.is_long_running:
                with self._shard.guard(job):
                    found += job.remaining_core_ms()
        return found

    def _has_idle_capacity(self, spec: JobSpec, at_ms: int) -> bool:
        jobs = self._shard.jobs
        being_stored = [
            other
            for job_id, (other, until_ms) in self._being_stored.items()
            if at_ms < until_ms and job_id not in jobs
        ]
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

    def _retry_after_ms(
        self, spec: JobSpec, work: JobWork, ahead: float, forecast: CapacityForecast
    ) -> int:
        """Return when there is capacity for a job after what goes before it.

        Jobs of the team that were refused before it and are still away go before it.
        """
        ahead += self._refused.away_core_ms(spec)
        free_ms = forecast.time_for((ahead + work.core_ms) / PACKING)
        longest_ms = int(MAX_RETRY_AFTER_MS / (1 + RETRY_SPREAD))
        free_ms = longest_ms if free_ms is None else min(longest_ms, free_ms)
        digest = hashlib.blake2b(spec.job_id.encode(), digest_size=2).digest()
        spread = 1 + RETRY_SPREAD * int.from_bytes(digest, "big") / 0xFFFF
        return int(max(MIN_RETRY_AFTER_MS, free_ms) * spread)
