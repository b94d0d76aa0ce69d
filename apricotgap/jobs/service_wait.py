"""Time until a pool gets to a job, behind the work of now and of jobs yet to come."""

from dataclasses import dataclass

from apricotgap.jobs.arrival_rates import ArrivalRates
from apricotgap.jobs.feasible_set import CapacityForecast
from apricotgap.jobs.job_work import JobWork
from apricotgap.jobs.ranking import PACKING
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.team_shares import TeamShares

__all__ = ["NewcomersAhead", "ServiceWait", "newcomers_ahead"]

# Part of the capacity that is left at least to a job behind those that arrive later, as
# the rate of these is measured over a few seconds only.
MIN_LEFT = 0.05


@dataclass(frozen=True, slots=True)
class NewcomersAhead:
    """What jobs that arrive later leave to a job.

    `left_cores` are the cores beside all of them. Until its team has got its share, the
    job waits for `own_core_ms` of its team at `due_cores` at most.
    """

    left_cores: float
    own_core_ms: float
    due_cores: float


@dataclass(frozen=True, slots=True)
class ServiceWait:
    """Wait behind some work, and behind newcomers if the job goes after these."""

    forecast: CapacityForecast
    ahead_core_ms: float
    newcomers: NewcomersAhead | None = None

    def until(self, more_core_ms: float = 0.0) -> int | None:
        """Return the time until what goes before and some more work is done.

        None if there is no capacity.
        """
        core_ms = self.ahead_core_ms + more_core_ms
        wait_ms = self.forecast.time_for(core_ms / PACKING)
        if wait_ms is None or self.newcomers is None:
            return wait_ms
        left_ms = core_ms / self.newcomers.left_cores
        own_core_ms = self.newcomers.own_core_ms + more_core_ms
        return max(wait_ms, int(min(left_ms, own_core_ms / self.newcomers.due_cores)))


def newcomers_ahead(
    shard: Shard,
    shares: TeamShares,
    rates: ArrivalRates,
    work: JobWork,
    cores: float,
    at_ms: int,
) -> NewcomersAhead | None:
    """Return what later jobs leave to one that does not end by its objective.

    Those of more urgent queues and of teams with a lower tag go before it.

    Parameters
    ----------
    shard, shares, rates
        State of the shard, use of the teams and what has arrived lately.
    work : JobWork
        Work of the job.
    cores : float
        Capacity of the pool.
    at_ms : int
        Current time.
    """
    cores *= PACKING
    if cores <= 0:
        return None
    share = shares.share(work.team)
    tag = shares.tag(work.team, 0.0, at_ms)
    urgent = before = other_share = other_use = 0.0
    seen: set[str] = set()
    for team, priority, arriving in rates.cores(at_ms):
        is_own = team == work.team
        if priority > work.priority or (is_own and priority == work.priority):
            continue
        other_tag = shares.tag(team, 0.0, at_ms)
        if priority < work.priority:
            urgent += arriving
        elif other_tag < tag:
            before += arriving
        if not is_own and team not in seen:
            seen.add(team)
            other_share += shares.share(team)
            other_use += shares.share(team) * other_tag
    # What the team has used beyond its share is made up for first.
    mean_tag = other_use / other_share if other_share else tag
    excess = max(0.0, tag - mean_tag) * share
    least = MIN_LEFT * cores
    return NewcomersAhead(
        max(least, cores - urgent - before),
        _queued_core_ms(shard, work) + excess,
        max(least, cores - urgent) * share / (share + other_share),
    )


def _queued_core_ms(shard: Shard, work: JobWork) -> float:
    """Return the work of the open jobs of a job's team and priority."""
    found = 0.0
    for job in shard.open_jobs.values():
        spec = job.spec
        is_same = spec.team == work.team and spec.priority == work.priority
        if is_same and not spec.is_long_running:
            with shard.guard(job):
                found += job.remaining_core_ms()
    return found
