"""Log lines of jobs that change their standing."""

from apricotgap.jobs.effects import Count, Effect, LogDecision
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.ranking import Ranking
from apricotgap.jobs.standing import Standing

__all__ = ["StandingLog"]

# With ten updates a second this leaves most of the lines of an instance to others.
MAX_LINES_PER_UPDATE = 2


class StandingLog:
    """Logs each change of a job's standing; a new job is on time.

    Jobs that exceed the bound of an update are logged by later ones, as they stand
    then.
    """

    def __init__(self) -> None:
        # Standings as last counted and as last logged, of the jobs not on time.
        self._counted: dict[str, Standing] = {}
        self._logged: dict[str, Standing] = {}

    def compare(self, jobs: dict[str, JobState], ranking: Ranking) -> list[Effect]:
        """Return the log lines and counts for a new ranking of these jobs."""
        places = ranking.places
        effects: list[Effect] = []
        counted: dict[str, Standing] = {
            job_id: place.standing
            for job_id, place in places.items()
            if place.standing is not Standing.ON_TIME and job_id in jobs
        }
        n_deferred = sum(
            standing is Standing.DEFERRED
            and self._counted.get(job_id) is not Standing.DEFERRED
            for job_id, standing in counted.items()
        )
        self._counted = counted
        if n_deferred:
            effects.append(Count("jobs_deferred", n_deferred))
        logged = {
            job_id: standing
            for job_id, standing in self._logged.items()
            if job_id in places and job_id in jobs
        }
        n_lines = 0
        for job_id in {**logged, **counted}:
            standing = places[job_id].standing
            if standing is logged.get(job_id, Standing.ON_TIME):
                continue
            if n_lines == MAX_LINES_PER_UPDATE:
                break
            n_lines += 1
            logged[job_id] = standing
            effects.append(_line(jobs[job_id], ranking))
        self._logged = logged
        return effects


def _line(job: JobState, ranking: Ranking) -> LogDecision:
    place = ranking.places[job.spec.job_id]
    return LogDecision(
        "job_deferred",
        {
            "job": job.spec.job_id,
            "team": job.spec.team,
            "standing": place.standing.name.lower(),
            "slack_ms": place.slack_ms,
            "team_tag": round(place.team_tag),
            "ahead_core_ms": round(ranking.ahead_core_ms(place.key)),
        },
    )
