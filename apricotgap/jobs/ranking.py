"""Ranking: the places of all jobs of a shard at one time."""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate
from typing import NamedTuple

from apricotgap.jobs.feasible_set import CapacityForecast, FeasibleSet
from apricotgap.jobs.job_work import JobWork
from apricotgap.jobs.standing import Outlook, Place, SortKey, Standing
from apricotgap.jobs.team_shares import TeamShares

__all__ = ["Ranking"]

# Share of the cores that tasks of different sizes fill.
PACKING = 0.9


class _Rank(NamedTuple):
    """Rank in the order of acceptance."""

    priority: int
    lacks_margin: bool
    # What a started job has used would be lost to its caller.
    is_new: bool
    tag: float
    latest_start_ms: float


class _Candidate(NamedTuple):
    """A job that could still end by its objective, in the order of acceptance."""

    rank: _Rank
    work: JobWork
    due_in_ms: int
    is_accepted: bool


class Ranking:
    """Places of jobs, from their work, the teams' shares and the pool's capacity.

    Jobs are accepted into a feasible set by priority, started ones first, then by the
    tags of their teams. A job that has not begun is left out once it has no margin: it
    would take capacity and end late more often than not.

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
        self._n_cores = forecast.later_cores if forecast else 0.0
        self._unix_ms = unix_ms
        self.places: dict[str, Place] = {}
        self._candidates: list[_Candidate] = []
        # Keys and work of the jobs, as long as they are not sorted.
        self._added: list[tuple[SortKey, float]] = []
        ahead: dict[tuple[str, int], float] = {}
        in_time: list[tuple[_Rank, JobWork]] = []
        # Runs of late jobs that go on, whatever waits.
        self._held_cores = self._held_core_ms = 0.0
        for work in sorted(works, key=self._turn):
            if work.is_late(unix_ms):
                self._held_cores += work.held_cores
                self._held_core_ms += work.held_core_ms
                self._place(work, self._late_place(work))
                continue
            group = (work.team, work.priority)
            in_time.append((self._rank(work, ahead.get(group, 0.0), at_ms), work))
            ahead[group] = ahead.get(group, 0.0) + work.core_ms
        in_time.sort(key=lambda each: each[0])
        self._accept(in_time)
        self._added.sort()
        self._keys = [key for key, _ in self._added]
        self._until = [0.0, *accumulate(core_ms for _, core_ms in self._added)]
        self._added = []

    def _rank(self, work: JobWork, ahead_core_ms: float, at_ms: int) -> _Rank:
        """Return the rank of a job behind other work of its team and priority."""
        return _Rank(
            work.priority,
            self._lacks_margin(work),
            not work.has_begun,
            # Without the job's own work: large jobs of a queue would come last.
            self._shares.tag(work.team, ahead_core_ms, at_ms),
            work.latest_start_ms,
        )

    def _turn(self, work: JobWork) -> tuple[bool, bool, float]:
        """Return the sort key of a job among those of its team."""
        return (
            self._lacks_margin(work),
            not work.has_begun,
            work.latest_start_ms,
        )

    def _lacks_margin(self, work: JobWork) -> bool:
        if work.has_begun:
            return False
        return self._unix_ms > work.latest_start_ms

    def _accept(self, in_time: list[tuple[_Rank, JobWork]]) -> None:
        feasible = None
        if self._forecast is not None:
            last_ms = max((work.objective_ms for _, work in in_time), default=0)
            feasible = FeasibleSet(self._forecast, last_ms - self._unix_ms)
            feasible.occupy(self._held_cores, self._held_core_ms)
        # Work of the largest job that was left out, by queue.
        left_out: dict[str, float] = {}
        for rank, work in in_time:
            due_in_ms = self._due_in_ms(work)
            is_accepted = feasible is None
            if feasible is not None and not rank.lacks_margin:
                required = _required_core_ms(work, left_out.get(work.queue, 0.0))
                is_accepted = feasible.has_room(required / PACKING, due_in_ms)
                if is_accepted:
                    feasible.reserve(work.core_ms / PACKING, due_in_ms)
            candidate = _Candidate(rank, work, due_in_ms, is_accepted)
            if self._needs_room(candidate):
                largest = max(work.core_ms, left_out.get(work.queue, 0.0))
                left_out[work.queue] = largest
            self._candidates.append(candidate)
            self._place(work, self._candidate_place(candidate))

    def _needs_room(self, candidate: _Candidate) -> bool:
        """Whether a job is left out that the empty pool could do in time."""
        if candidate.is_accepted or candidate.rank.lacks_margin:
            return False
        forecast = self._forecast
        if forecast is None:
            return False
        most_core_ms = PACKING * forecast.core_ms_until(candidate.due_in_ms)
        return candidate.work.core_ms <= most_core_ms

    def _due_in_ms(self, work: JobWork) -> int:
        """Return the time within which the pool has to get to a job's last task.

        Tasks are not divided: one that starts as the work before it is done still takes
        its whole time.
        """
        if work.has_begun:
            return work.objective_ms - self._unix_ms
        width_ms = work.core_ms / self._n_cores if self._n_cores else 0
        return int(work.latest_start_ms + width_ms) - self._unix_ms

    def _candidate_place(self, candidate: _Candidate) -> Place:
        rank, work = candidate.rank, candidate.work
        if not candidate.is_accepted:
            key: SortKey = (
                Standing.DEFERRED,
                work.priority,
                rank.lacks_margin,
                rank.tag,
            )
            return self._place_at(work, Standing.DEFERRED, key, rank.tag)
        # The tasks of a wide job take longer to start.
        width_ms = work.core_ms / self._n_cores if self._n_cores else 0.0
        key = (Standing.ON_TIME, work.priority, work.objective_ms - width_ms)
        return self._place_at(work, Standing.ON_TIME, key, rank.tag)

    def _late_place(self, work: JobWork) -> Place:
        is_expired = work.is_expired(self._unix_ms)
        standing = Standing.EXPIRED if is_expired else Standing.LATE
        # The oldest first: by size, the large jobs of a queue would starve.
        key = (standing, work.priority, not work.has_begun, work.objective_ms)
        return self._place_at(work, standing, key, 0.0)

    def _place_at(
        self, work: JobWork, standing: Standing, key: SortKey, tag: float
    ) -> Place:
        slack_ms = work.objective_ms - work.path_ms - self._unix_ms
        spare_ms = int(work.latest_start_ms) - self._unix_ms
        return Place(standing, key, slack_ms, spare_ms, tag)

    def _place(self, work: JobWork, place: Place) -> None:
        self.places[work.job_id] = place
        self._added.append((place.key, work.core_ms))

    def ahead_core_ms(self, key: SortKey) -> float:
        """Return the work that is done before that of a job with this key."""
        ahead = self._until[bisect_left(self._keys, key)]
        ahead += sum(core_ms for other, core_ms in self._added if other < key)
        if key[0] < Standing.LATE:
            ahead += self._held_core_ms
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
        self._place(work, place)

    def _place_of_new(
        self, work: JobWork, at_ms: int
    ) -> tuple[Place, _Candidate | None]:
        if work.is_late(self._unix_ms):
            return self._late_place(work), None
        turn = self._turn(work)
        ahead_core_ms = sum(
            each.work.core_ms
            for each in self._candidates
            if each.work.team == work.team
            and each.work.priority == work.priority
            and self._turn(each.work) <= turn
        )
        rank = self._rank(work, ahead_core_ms, at_ms)
        due_in_ms = self._due_in_ms(work)
        is_accepted = self._forecast is None or (
            not rank.lacks_margin and self._fits(work, rank, due_in_ms, self._forecast)
        )
        candidate = _Candidate(rank, work, due_in_ms, is_accepted)
        return self._candidate_place(candidate), candidate

    def _fits(
        self, work: JobWork, rank: _Rank, due_in_ms: int, forecast: CapacityForecast
    ) -> bool:
        """Whether work is accepted in its turn, after that of a lower rank."""
        reserved = []
        last_ms = due_in_ms
        left_out = 0.0
        for each in self._candidates:
            if each.rank > rank:
                continue
            if each.is_accepted:
                reserved.append((each.work.core_ms / PACKING, each.due_in_ms))
                last_ms = max(last_ms, each.due_in_ms)
            elif each.work.queue == work.queue and self._needs_room(each):
                left_out = max(left_out, each.work.core_ms)
        feasible = FeasibleSet(forecast, last_ms, reserved)
        feasible.occupy(self._held_cores, self._held_core_ms)
        return feasible.has_room(_required_core_ms(work, left_out) / PACKING, due_in_ms)


def _required_core_ms(work: JobWork, left_out: float) -> float:
    """Return the work that has to fit for a job to be accepted.

    `left_out` is the work of the largest job of its queue that was left out before it.
    A smaller one may pass it only where it would fit as well. Otherwise small jobs
    would take each gap, and the large ones would be served less than half as often.
    """
    if work.has_begun:
        return work.core_ms
    return max(work.core_ms, left_out)
