"""Order of service: which jobs go first when a pool cannot hold what waits."""

from apricotgap.jobs.effects import Effect
from apricotgap.jobs.feasible_set import CapacityForecast
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.job_work import JobWork, remaining_work, whole_work
from apricotgap.jobs.model import JobSpec
from apricotgap.jobs.ranking import Ranking
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.standing import Outlook, Place, SortKey, Standing
from apricotgap.jobs.standing_log import StandingLog
from apricotgap.jobs.team_shares import TeamShares

__all__ = ["Outlook", "ServiceOrder", "SortKey", "Standing"]

UPDATE_INTERVAL_MS = 100
# An update takes about 0.02 ms for each job. This keeps it below a twentieth of a core.
INTERVAL_MS_PER_JOB = 0.4
# Maximum number of jobs that are not accepted yet and keep a place.
MAX_HELD = 512


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
        self.shares = shares
        self._ranking = Ranking((), shares, None, 0, 0)
        self._updated_ms = -1_000_000
        self._n_cores = 0.0
        self._log = StandingLog()
        self._changes: list[Effect] = []
        # Places of jobs that are not accepted yet, and until when they last.
        self._held: dict[str, tuple[JobWork, int]] = {}

    def update(self, at_ms: int, forecast: CapacityForecast | None) -> list[Effect]:
        """Rank all open jobs anew, unless that was done just before.

        Parameters
        ----------
        at_ms : int
            Current time.
        forecast : CapacityForecast or None
            Capacity of the pool; while it is unknown no job is deferred.

        Returns
        -------
        list of Effect
            Log lines and counts for jobs whose standing has changed.
        """
        self.refresh(at_ms, forecast)
        changes, self._changes = self._changes, []
        return changes

    def refresh(self, at_ms: int, forecast: CapacityForecast | None) -> None:
        """Rank like `update`, which returns the changes when it is called next."""
        jobs = self._shard.open_jobs
        interval_ms = max(UPDATE_INTERVAL_MS, INTERVAL_MS_PER_JOB * len(jobs))
        if at_ms - self._updated_ms < interval_ms:
            return
        self._updated_ms = at_ms
        unix_ms = self._shard.unix_of(at_ms)
        self._n_cores = forecast.later_cores if forecast else 0.0
        works = [*self._open_works(unix_ms), *self._held_works(at_ms)]
        self._ranking = Ranking(works, self.shares, forecast, at_ms, unix_ms)
        self._changes += self._log.compare(jobs, self._ranking)

    def _open_works(self, unix_ms: int) -> list[JobWork]:
        works = []
        for job in self._shard.open_jobs.values():
            if job.spec.is_long_running:
                continue
            with self._shard.guard(job):
                work = remaining_work(job, unix_ms, self._n_cores)
                if work is not None:
                    works.append(work)
        return works

    def _held_works(self, at_ms: int) -> list[JobWork]:
        jobs = self._shard.jobs
        self._held = {
            job_id: held
            for job_id, held in self._held.items()
            if at_ms < held[1] and job_id not in jobs
        }
        return [work for work, _ in self._held.values()]

    def key(self, job: JobState) -> SortKey:
        """Return the sort key of a job; one that came after the update is ranked now.

        On time until the next update, it would go before those that wait already.
        """
        place = self.place(job)
        if place is None:
            unix_ms = self._shard.unix_of(self._updated_ms)
            work = remaining_work(job, unix_ms, self._n_cores)
            if work is None:
                return (Standing.ON_TIME, job.spec.priority, job.objective_ms)
            self._ranking.add(work, self._updated_ms)
            place = self._ranking.places[job.spec.job_id]
        return place.key

    def place(self, job: JobState) -> Place | None:
        """Return the place of a job as of the last update, None if it has none yet."""
        return self._ranking.places.get(job.spec.job_id)

    def standing(self, job: JobState) -> Standing:
        """Return the standing of a job; one that is not ranked yet is on time."""
        place = self.place(job)
        return place.standing if place else Standing.ON_TIME

    def would_stand(self, spec: JobSpec, at_ms: int) -> Outlook:
        """Return the place that a job would have if it were accepted now.

        The answer is for the load of the last update and what was held since.
        """
        return self._ranking.outlook(whole_work(spec, self._n_cores), at_ms)

    def hold(self, spec: JobSpec, at_ms: int, until_ms: int) -> None:
        """Count a job that is not accepted yet as an open one for a while.

        This covers a job while it is being stored, and one that was refused until its
        caller returns.
        """
        if spec.job_id not in self._held and len(self._held) >= MAX_HELD:
            return
        work = whole_work(spec, self._n_cores)
        if spec.job_id not in self._ranking.places:
            self._ranking.add(work, at_ms)
        self._held[spec.job_id] = (work, until_ms)

    def release(self, job_id: str) -> None:
        """Count a job that was held no longer, as of the next update."""
        self._held.pop(job_id, None)
