"""Shares of the teams: what each uses in proportion to its weight."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from apricotgap.jobs.configuration import Configuration

__all__ = ["TeamShares", "TeamUse"]

# Recent use counts for about this long.
MEMORY_MS = 10_000
# Use in other shards counts for this long after the fleet owner has reported it.
TOTAL_MAX_AGE_MS = 3_000
# A team that uses less than this mean is forgotten once it runs nothing.
MIN_CORES = 0.01


@dataclass(frozen=True, slots=True)
class TeamUse:
    """Cores that a team uses now in a shard.

    `found` are those of finite tasks that a previous owner has started.
    """

    finite: float = 0.0
    long_running: float = 0.0
    found: float = 0.0


_NO_USE = TeamUse()


class _Account:
    """Use of one team in this shard, in core-ms that decay.

    `started` is the estimated work of the tasks at their start, `run` what finite tasks
    have actually used. The greater one counts: the first tells at once what was given
    out, the second does not depend on estimates.
    """

    __slots__ = ("_at_ms", "_found", "_now", "_run", "_started")

    def __init__(self, at_ms: int) -> None:
        self._at_ms = at_ms
        self._started = 0.0
        self._run = 0.0
        self._found = 0.0
        self._now = _NO_USE

    def add_start(self, core_ms: float, at_ms: int) -> None:
        self._advance(at_ms)
        self._started += core_ms

    def set_running(self, use: TeamUse, at_ms: int) -> None:
        self._advance(at_ms)
        self._now = use
        if use.found > self._found:
            # What the team runs stands for what the previous owner has recorded.
            core_ms = (use.found - self._found) * MEMORY_MS
            self._started += core_ms
            self._run += core_ms
            self._found = use.found

    def cores(self, at_ms: int) -> float:
        """Return the mean of the cores used over the memory."""
        self._advance(at_ms)
        return max(self._started, self._run) / MEMORY_MS + self._now.long_running

    @property
    def is_running(self) -> bool:
        return self._now != _NO_USE

    def _advance(self, at_ms: int) -> None:
        if at_ms <= self._at_ms:
            return
        kept = exp((self._at_ms - at_ms) / MEMORY_MS)
        self._started *= kept
        self._run = self._run * kept + self._now.finite * MEMORY_MS * (1 - kept)
        self._at_ms = at_ms


class TeamShares:
    """Accounts the use of each team, for weighted fairness under overload.

    Use is the mean of the cores that a team has used over the last seconds. Tasks that
    are long-running, or that a new owner of the shard finds, count as if they had run
    throughout.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._accounts: dict[str, _Account] = {}
        # Cores in other shards, with the time of the report.
        self._totals: dict[str, tuple[float, int]] = {}

    def set_configuration(self, config: Configuration) -> None:
        """Set the shares of the teams."""
        self._shares = {team.name: team.share for team in config.teams}

    def share(self, team: str) -> float:
        """Return the weight of a team, 1 for one without an entry."""
        return self._shares.get(team) or 1.0

    def record_start(self, team: str, core_ms: float, at_ms: int) -> None:
        """Add the estimated work of a finite task that was started."""
        self._account(team, at_ms).add_start(core_ms, at_ms)

    def record_running(self, uses: Mapping[str, TeamUse], at_ms: int) -> None:
        """Set what the teams run now in this shard; other teams run nothing.

        Teams that neither run anything nor have done so recently are forgotten.
        """
        for team, use in uses.items():
            self._account(team, at_ms).set_running(use, at_ms)
        for team, account in list(self._accounts.items()):
            if team in uses:
                continue
            if account.is_running:
                account.set_running(_NO_USE, at_ms)
            if account.cores(at_ms) < MIN_CORES:
                del self._accounts[team]

    def record_total(self, team: str, cores: float, at_ms: int) -> None:
        """Set the use of a team in all other shards together."""
        self._totals[team] = (cores, at_ms)

    def record_totals(self, totals: Mapping[str, float], at_ms: int) -> None:
        """Set the use of all teams in the other shards; other teams use nothing."""
        self._totals = {team: (cores, at_ms) for team, cores in totals.items()}

    def tag(self, team: str, core_ms: float, at_ms: int) -> float:
        """Return the use of a team with some more work, in proportion to its share.

        Parameters
        ----------
        team : str
            Name of the team.
        core_ms : float
            Work that would be started.
        at_ms : int
            Current time.

        Returns
        -------
        float
            Core-ms by weight; the team with the least is served first.
        """
        used = self.total_cores(team, at_ms) * MEMORY_MS
        return (used + core_ms) / self.share(team)

    def own_cores(self, team: str, at_ms: int) -> float:
        """Return the mean use of a team in this shard."""
        account = self._accounts.get(team)
        return account.cores(at_ms) if account else 0.0

    def other_cores(self, team: str, at_ms: int) -> float:
        """Return the mean use of a team in other shards, 0 if that is not known."""
        cores, reported_ms = self._totals.get(team, (0.0, at_ms))
        return cores if at_ms - reported_ms <= TOTAL_MAX_AGE_MS else 0.0

    def total_cores(self, team: str, at_ms: int) -> float:
        """Return the mean use of a team in all shards."""
        return self.own_cores(team, at_ms) + self.other_cores(team, at_ms)

    def uses(self, at_ms: int) -> dict[str, float]:
        """Return the mean use in this shard of the teams that have any."""
        found = {team: each.cores(at_ms) for team, each in self._accounts.items()}
        return {team: cores for team, cores in found.items() if cores >= MIN_CORES}

    def _account(self, team: str, at_ms: int) -> _Account:
        account = self._accounts.get(team)
        if account is None:
            account = self._accounts[team] = _Account(at_ms)
        return account
