"""Log line with the use of the teams beside their shares."""

import heapq

from apricotgap.jobs.effects import Effect, LogDecision
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.team_shares import TeamShares

__all__ = ["ShareLog"]

INTERVAL_MS = 1_000
# Teams in one line, those with the largest use.
MAX_TEAMS = 8


class ShareLog:
    """Logs what the teams use and what is their due, while tasks wait in the shard.

    Parameters
    ----------
    shard : Shard
        State of the shard.
    shares : TeamShares
        Use and shares of the teams.
    """

    def __init__(self, shard: Shard, shares: TeamShares) -> None:
        self._shard = shard
        self._shares = shares
        self._last_ms = -1_000_000

    def run(self, at_ms: int) -> list[Effect]:
        """Return the line, at most one a second.

        The due of a team is its part, by its share, of what all teams that use or wait
        for anything in this shard use over all shards.
        """
        if at_ms - self._last_ms < INTERVAL_MS or not self._shard.has_waiting_jobs:
            return []
        self._last_ms = at_ms
        shares = self._shares
        waiting = {
            job.spec.team
            for job in self._shard.open_jobs.values()
            if any(job.waiting.values())
        }
        teams = waiting | set(shares.uses(at_ms))
        cores = {team: shares.total_cores(team, at_ms) for team in teams}
        total = sum(cores.values())
        total_share = sum(map(shares.share, teams))
        rows = [
            {
                "team": team,
                "share": shares.share(team),
                "cores": round(cores[team], 1),
                "due_cores": round(total * shares.share(team) / total_share, 1),
                "here": round(shares.own_cores(team, at_ms), 1),
                "waits": team in waiting,
            }
            for team in heapq.nlargest(MAX_TEAMS, teams, key=cores.__getitem__)
        ]
        return [LogDecision("team_use", {"n_teams": len(teams), "teams": rows})]
