"""Shares of the teams: what each uses in proportion to its weight."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp
from operator import itemgetter

from apricotgap.jobs.configuration import Configuration

__all__ = ["TeamShares", "TeamUse"]

# Recent use counts for about this long.
MEMORY_MS = 10_000
# Use in other shards counts for this long after the fleet owner has reported it.
TOTAL_MAX_AGE_MS = 3_000
# A team that uses less than this mean is forgotten once it runs nothing.
MIN_CORES = 0.01
# Charges are forgiven in steps of this time, to keep the cost of a tag low.
ADVANCE_INTERVAL_MS = 100


@dataclass(frozen=True, slots=True)
class TeamUse:
    """Cores that a team uses now in a shard.

    `found` are those of finite tasks that a previous owner has started, `next_core_ms`
    is the work of the team's first waiting job, 0 without one.
    """

    finite: float = 0.0
    long_running: float = 0.0
    found: float = 0.0
    next_core_ms: float = 0.0


_NO_USE = TeamUse()


class _Account:
    """Use of one team in this shard, in core-ms.

    `charged` is the estimated work of started tasks that is not forgiven yet. `started`
    and `run` decay: the estimated work of the tasks since their start, and what finite
    tasks have actually used.
    """

    __slots__ = ("charged", "found", "now", "run", "started")

    def __init__(self) -> None:
        self.charged = 0.0
        self.started = 0.0
        self.run = 0.0
        self.found = 0.0
        self.now = _NO_USE

    def add(self, core_ms: float) -> None:
        self.charged += core_ms
        self.started += core_ms

    def set_now(self, use: TeamUse) -> None:
        self.now = use
        self.charged = max(self.charged, self.floor)
        if use.found > self.found:
            # What the team runs stands for what the previous owner has recorded.
            core_ms = (use.found - self.found) * MEMORY_MS
            self.add(core_ms)
            self.run += core_ms
            self.found = use.found

    def decay(self, kept: float) -> None:
        self.started *= kept
        self.run = self.run * kept + self.now.finite * MEMORY_MS * (1 - kept)

    @property
    def floor(self) -> float:
        """Least charge: a team that waits is owed its next job at most."""
        return -self.now.next_core_ms

    @property
    def mean_cores(self) -> float:
        return max(self.started, self.run) / MEMORY_MS + self.now.long_running

    @property
    def used_core_ms(self) -> float:
        """Use by which the team is compared with others.

        Tasks that outlast their estimates count by what they have used.
        """
        excess = max(0.0, self.run - self.started)
        return self.charged + excess + self.now.long_running * MEMORY_MS


class TeamShares:
    """Accounts the use of each team, for weighted fairness under overload.

    Charges for started tasks are forgiven in total at the rate at which use decays, but
    to each team in proportion to its share. With a decay of each charge by itself, a
    team that waits for a large job would lose a part of its claim with time. Tasks
    that are long-running, or that a new owner of the shard finds, count as if they had
    run throughout.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._accounts: dict[str, _Account] = {}
        self._advanced_ms = -1_000_000
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
        self._advance(at_ms)
        self._account(team).add(core_ms)

    def record_running(self, uses: Mapping[str, TeamUse], at_ms: int) -> None:
        """Set what the teams run now in this shard; other teams run nothing.

        Teams that neither run or wait for anything nor have used much recently are
        forgotten.
        """
        self._advance(at_ms)
        for team, use in uses.items():
            self._account(team).set_now(use)
        for team, account in list(self._accounts.items()):
            if team in uses:
                continue
            account.set_now(_NO_USE)
            is_charged = account.charged >= MIN_CORES * MEMORY_MS
            if not is_charged and account.mean_cores < MIN_CORES:
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
        self._advance(at_ms)
        account = self._accounts.get(team)
        used = account.used_core_ms if account else 0.0
        used += self.other_cores(team, at_ms) * MEMORY_MS
        return (used + core_ms) / self.share(team)

    def own_cores(self, team: str, at_ms: int) -> float:
        """Return the mean use of a team in this shard."""
        self._advance(at_ms)
        account = self._accounts.get(team)
        return account.mean_cores if account else 0.0

    def other_cores(self, team: str, at_ms: int) -> float:
        """Return the mean use of a team in other shards, 0 if that is not known."""
        cores, reported_ms = self._totals.get(team, (0.0, at_ms))
        return cores if at_ms - reported_ms <= TOTAL_MAX_AGE_MS else 0.0

    def total_cores(self, team: str, at_ms: int) -> float:
        """Return the mean use of a team in all shards."""
        return self.own_cores(team, at_ms) + self.other_cores(team, at_ms)

    def uses(self, at_ms: int) -> dict[str, float]:
        """Return the mean use in this shard of the teams that have any."""
        self._advance(at_ms)
        found = {team: each.mean_cores for team, each in self._accounts.items()}
        return {team: cores for team, cores in found.items() if cores >= MIN_CORES}

    def _account(self, team: str) -> _Account:
        return self._accounts.setdefault(team, _Account())

    def _advance(self, at_ms: int) -> None:
        elapsed_ms = at_ms - self._advanced_ms
        if elapsed_ms < ADVANCE_INTERVAL_MS:
            return
        self._advanced_ms = at_ms
        kept = exp(-elapsed_ms / MEMORY_MS)
        charged = sum(max(0.0, each.charged) for each in self._accounts.values())
        self._forgive(charged * (1 - kept))
        for account in self._accounts.values():
            account.decay(kept)

    def _forgive(self, core_ms: float) -> None:
        """Lower the charges by a total, each in proportion to the team's share.

        What would take a charge below its least value goes to the other teams.
        """
        if core_ms <= 0:
            return
        rows = [
            ((account.charged - account.floor) / share, share, account)
            for team, account in self._accounts.items()
            if account.charged > account.floor
            for share in (self.share(team),)
        ]
        rows.sort(key=itemgetter(0))
        total_share = sum(share for _, share, _ in rows)
        for most, share, account in rows:
            forgiven = min(most * share, core_ms * share / total_share)
            account.charged -= forgiven
            core_ms -= forgiven
            total_share -= share
