"""Ranking: the places of all jobs of a shard at one time."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

from apricotgap.jobs.feasible_set import CapacityForecast, FeasibleSet
from apricotgap.jobs.job_work import JobWork
from apricotgap.jobs.standing import Outlook, Place, SortKey, Standing
from apricotgap.jobs.team_shares import TeamShares

__all__ = ["Ranking"]

# Share of the cores that tasks of different sizes fill.
PACKING = 0.9

_Rank = tuple[int, bool, float]


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A job that could still end by its objective, in the order of acceptance."""

    rank: _Rank
    queue: str
    core_ms: float
    due_in_ms: int
    is_accepted: bool


class Ranking:
    """Places of jobs, from their work, the teams' shares and the pool's capacity.

    Jobs are accepted into a feasible set by priority, started ones first, then by the
    tags of their teams. Within a queue a job does not pass a larger one that is left
    out only for its size; otherwise small jobs would take each gap, and large ones
    would starve.

    Parameters
    ----------
    works : iterable of JobWork
        Work left of all jobs.
    shares : TeamShares
        What the teams have used in proportion to their shares.
    forecast : CapacityForecast or None
        Capacity of the pool; while it is unknown no job is deferred.
    at_ms, unix_ms : int
        Current time on the clock of the instance, and as Unix time.
    """

    def __init__(
        self,
        works: Iterable[JobWork],
        shares: TeamShares,
        forecast: CapacityForecast | None,
        at_ms: int,
        unix_ms: int,
    ) -> None:
        self._shares = shares
        self._forecast = forecast
        self._unix_ms = unix_ms
        self.places: dict[str, Place] = {}
        self._candidates: list[_Candidate] = []
        self._queued: dict[tuple[str, int], float] = {}
        # Keys and work of the jobs, as long as they are not sorted.
        self._added: list[tuple[SortKey, float]] = []
        works = sorted(works, key=lambda work: (not work.has_begun, work.objective_ms))
        in_time: list[tuple[_Rank, JobWork]] = []
        # Runs of late jobs go on, whatever waits.
        self._late_running = 0.0
        for work in works:
            if work.is_late(unix_ms):
                self._late_running += work.running_core_ms
                self._place(work, self._late_place(work))
                continue
            in_time.append((self._rank(work, at_ms), work))
            self._queue(work)
        in_time.sort(key=lambda each: each[0])
        self._accept(in_time)
        self._added.sort()
        self._keys = [key for key, _ in self._added]
        self._until = [0.0, *accumulate(core_ms for _, core_ms in self._added)]
        self._added = []

    def _queue(self, work: JobWork) -> None:
        group = (work.team, work.priority)
        self._queued[group] = self._queued.get(group, 0.0) + work.core_ms

    def _rank(self, work: JobWork, at_ms: int) -> _Rank:
        ahead = self._queued.get((work.team, work.priority), 0.0)
        tag = self._shares.tag(work.team, ahead + work.core_ms, at_ms)
        # What a started job has used would be lost to its caller.
        return (work.priority, not work.has_begun, tag)

    def _accept(self, in_time: list[tuple[_Rank, JobWork]]) -> None:
        feasible = None
        if self._forecast is not None:
            last_ms = max((work.objective_ms for _, work in in_time), default=0)
            feasible = FeasibleSet(self._forecast, last_ms - self._unix_ms)
            feasible.reserve(self._late_running, 0)
        left_out: dict[str, float] = {}
        for rank, work in in_time:
            due_in_ms = work.objective_ms - self._unix_ms
            core_ms = work.core_ms / PACKING
            is_accepted = feasible is None or self._adds(
                feasible, work, core_ms, due_in_ms, left_out
            )
            self._record(work, rank, due_in_ms, is_accepted)

    def _adds(
        self,
        feasible: FeasibleSet,
        work: JobWork,
        core_ms: float,
        due_in_ms: int,
        left_out: dict[str, float],
    ) -> bool:
        """Add work to the set unless it does not fit or would pass a larger job.

        `left_out` has the work of the largest job left out, by queue.
        """
        required = max(core_ms, left_out.get(work.queue, 0.0))
        if feasible.has_room(required, due_in_ms):
            feasible.reserve(core_ms, due_in_ms)
            return True
        if self._could_ever_fit(core_ms, due_in_ms):
            left_out[work.queue] = required
        return False

    def _could_ever_fit(self, core_ms: float, due_in_ms: int) -> bool:
        """Whether the empty pool could do some work in time."""
        forecast = self._forecast
        return forecast is None or core_ms <= forecast.core_ms_until(due_in_ms)

    def _record(
        self, work: JobWork, rank: _Rank, due_in_ms: int, is_accepted: bool
    ) -> None:
        self._candidates.append(
            _Candidate(rank, work.queue, work.core_ms, due_in_ms, is_accepted)
        )
        self._place(work, self._candidate_place(work, rank, is_accepted))

    def _candidate_place(self, work: JobWork, rank: _Rank, is_accepted: bool) -> Place:
        slack_ms = work.objective_ms - self._unix_ms - work.path_ms
        tag = rank[-1]
        if is_accepted:
            key: SortKey = (Standing.ON_TIME, work.priority, work.objective_ms)
            return Place(Standing.ON_TIME, key, slack_ms, tag)
        key = (Standing.DEFERRED, work.priority, tag)
        return Place(Standing.DEFERRED, key, slack_ms, tag)

    def _late_place(self, work: JobWork) -> Place:
        is_expired = work.is_expired(self._unix_ms)
        standing = Standing.EXPIRED if is_expired else Standing.LATE
        # Among late jobs the shortest first: it keeps the fewest callers waiting.
        key = (standing, work.priority, work.core_ms)
        slack_ms = work.objective_ms - self._unix_ms - work.path_ms
        return Place(standing, key, slack_ms, 0.0)

    def _place(self, work: JobWork, place: Place) -> None:
        self.places[work.job_id] = place
        self._added.append((place.key, work.core_ms))

    def ahead_core_ms(self, key: SortKey) -> float:
        """Return the work that is done before that of a job with this key."""
        ahead = self._until[bisect_left(self._keys, key)]
        ahead += sum(core_ms for other, core_ms in self._added if other < key)
        if key[0] < Standing.LATE:
            ahead += self._late_running
        return ahead

    def outlook(self, work: JobWork, at_ms: int) -> Outlook:
        """Return the place that a job has, or that it would have as a further one."""
        place = self.places.get(work.job_id)
        if place is None:
            place = self._place_of_new(work, at_ms)[0]
        ahead = self.ahead_core_ms(place.key)
        capacity_in_ms = None
        if self._forecast is not None:
            capacity_in_ms = self._forecast.time_for(ahead / PACKING)
        return Outlook(place.standing, place.key, capacity_in_ms, ahead)

    def add(self, work: JobWork, at_ms: int) -> None:
        """Give a place to further work; all others keep theirs."""
        place, candidate = self._place_of_new(work, at_ms)
        if candidate is not None:
            self._candidates.append(candidate)
            self._queue(work)
        self._place(work, place)

    def _place_of_new(
        self, work: JobWork, at_ms: int
    ) -> tuple[Place, _Candidate | None]:
        if work.is_late(self._unix_ms):
            return self._late_place(work), None
        rank = self._rank(work, at_ms)
        due_in_ms = work.objective_ms - self._unix_ms
        is_accepted = self._forecast is None or self._fits(work, rank, self._forecast)
        candidate = _Candidate(rank, work.queue, work.core_ms, due_in_ms, is_accepted)
        return self._candidate_place(work, rank, is_accepted), candidate

    def _fits(self, work: JobWork, rank: _Rank, forecast: CapacityForecast) -> bool:
        """Whether work is accepted in its turn, after that of a lower rank."""
        reserved = [(self._late_running, 0)]
        required = work.core_ms
        due_in_ms = work.objective_ms - self._unix_ms
        last_ms = due_in_ms
        for each in self._candidates:
            if each.rank > rank:
                continue
            if each.is_accepted:
                reserved.append((each.core_ms / PACKING, each.due_in_ms))
                last_ms = max(last_ms, each.due_in_ms)
            elif each.queue == work.queue and self._could_ever_fit(
                each.core_ms / PACKING, each.due_in_ms
            ):
                required = max(required, each.core_ms)
        feasible = FeasibleSet(forecast, last_ms, reserved)
        return feasible.has_room(required / PACKING, due_in_ms)
