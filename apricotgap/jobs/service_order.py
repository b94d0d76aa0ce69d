"""Order of service: which jobs go first when a pool cannot hold what waits."""

from dataclasses import dataclass
from enum import IntEnum

from apricotgap.jobs.feasible_set import CapacityForecast, FeasibleSet
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.team_shares import TeamShares

__all__ = ["ServiceOrder", "SortKey", "Standing"]

UPDATE_INTERVAL_MS = 100
# A job is of no use to its caller after this multiple of its objective.
USEFUL_FACTOR = 3.0
# Share of the cores that tasks of different sizes fill.
PACKING = 0.9

SortKey = tuple[float, ...]


class Standing(IntEnum):
    """Standing of a job; jobs with a lower value are served first.

    ON_TIME: it can end by its objective, beside all that go first. DEFERRED: it could
    end by its objective only if others did not. LATE: it can end while it is still of
    use. EXPIRED: it cannot.
    """

    ON_TIME = 0
    DEFERRED = 1
    LATE = 2
    EXPIRED = 3


@dataclass(frozen=True, slots=True)
class _Place:
    standing: Standing
    key: SortKey


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A job that could still end by its objective, and its place among them."""

    rank: tuple[int, bool, float]
    core_ms: float
    job: JobState


class ServiceOrder:
    """Ranks the finite jobs of a shard.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    shares : TeamShares
        What the teams have used in proportion to their shares.
    """

    def __init__(self, shard: Shard, shares: TeamShares) -> None:
        self._shard = shard
        self._shares = shares
        self._places: dict[str, _Place] = {}
        self._updated_ms = -1_000_000

    def update(self, at_ms: int, forecast: CapacityForecast | None) -> None:
        """Rank all open jobs anew, unless that was done just before.

        Parameters
        ----------
        at_ms : int
            Current time.
        forecast : CapacityForecast or None
            Capacity of the pool; while it is unknown no job is deferred.
        """
        if at_ms - self._updated_ms < UPDATE_INTERVAL_MS:
            return
        self._updated_ms = at_ms
        unix_ms = self._shard.unix_of(at_ms)
        places: dict[str, _Place] = {}
        candidates, late = self._split(at_ms, unix_ms)
        feasible = FeasibleSet(forecast) if forecast else None
        if feasible is not None:
            for job in late:
                feasible.reserve(_running_core_ms(job), 0)
        for candidate in candidates:
            job = candidate.job
            due_in_ms = job.objective_ms - unix_ms
            core_ms = candidate.core_ms / PACKING
            if feasible is None or feasible.add(core_ms, due_in_ms):
                places[job.spec.job_id] = self._default_place(job)
                continue
            key = (Standing.DEFERRED, job.spec.priority, candidate.rank[-1])
            places[job.spec.job_id] = _Place(Standing.DEFERRED, key)
        for job in late:
            with self._shard.guard(job):
                places[job.spec.job_id] = _late_place(job, unix_ms)
        self._places = places

    def _split(
        self, at_ms: int, unix_ms: int
    ) -> tuple[list[_Candidate], list[JobState]]:
        """Return the jobs that could end in time, in their order, and the others."""
        candidates: list[_Candidate] = []
        late: list[JobState] = []
        queued: dict[tuple[str, int], float] = {}
        jobs = [
            job
            for job in self._shard.open_jobs.values()
            if not job.spec.is_long_running
        ]
        jobs.sort(key=lambda job: (not job.has_begun, job.objective_ms))
        for job in jobs:
            with self._shard.guard(job):
                if job.is_late(unix_ms):
                    late.append(job)
                    continue
                team, priority = job.spec.team, job.spec.priority
                core_ms = job.remaining_core_ms()
                ahead = queued.get((team, priority), 0.0) + core_ms
                queued[team, priority] = ahead
                tag = self._shares.tag(team, ahead, at_ms)
                # What a started job has used would be lost to its caller.
                rank = (priority, not job.has_begun, tag)
                candidates.append(_Candidate(rank, core_ms, job))
        candidates.sort(key=lambda candidate: candidate.rank)
        return candidates, late

    @staticmethod
    def _default_place(job: JobState) -> _Place:
        key = (Standing.ON_TIME, job.spec.priority, job.objective_ms)
        return _Place(Standing.ON_TIME, key)

    def key(self, job: JobState) -> SortKey:
        """Return the sort key of a job; one that is not ranked yet is on time."""
        place = self._places.get(job.spec.job_id) or self._default_place(job)
        return place.key

    def standing(self, job: JobState) -> Standing:
        """Return the standing of a job."""
        place = self._places.get(job.spec.job_id)
        return place.standing if place else Standing.ON_TIME


def _running_core_ms(job: JobState) -> float:
    """Return the work left of a job's runs, each of which counts as half done."""
    return sum(
        run.allocation.core_equivalents * run.step.estimated_ms / 2
        for runs in job.runs.values()
        for run in runs
    )


def _late_place(job: JobState, unix_ms: int) -> _Place:
    spec = job.spec
    useful_until_ms = spec.submitted_ms + USEFUL_FACTOR * spec.objective_span_ms
    is_expired = unix_ms + job.critical_path_ms() > useful_until_ms
    standing = Standing.EXPIRED if is_expired else Standing.LATE
    # Among late jobs the shortest first: it keeps the fewest callers waiting.
    return _Place(standing, (standing, spec.priority, job.remaining_core_ms()))
