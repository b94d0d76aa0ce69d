"""Shares of the teams: what each has used lately in proportion to its weight."""

from dataclasses import dataclass
from math import exp

from apricotgap.jobs.configuration import Configuration

__all__ = ["TeamShares"]

# Recent use counts for about this long.
MEMORY_MS = 10_000


@dataclass(slots=True)
class _Use:
    core_ms: float
    at_ms: int

    def decayed(self, at_ms: int) -> float:
        return self.core_ms * exp((self.at_ms - at_ms) / MEMORY_MS)


class TeamShares:
    """Accounts the use of each team, for weighted fairness under overload."""

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._uses: dict[str, _Use] = {}

    def set_configuration(self, config: Configuration) -> None:
        """Set the shares of the teams."""
        self._shares = {team.name: team.share for team in config.teams}

    def record_start(self, team: str, core_ms: float, at_ms: int) -> None:
        """Add the work of a task that was started."""
        use = self._uses.get(team)
        before = use.decayed(at_ms) if use else 0.0
        self._uses[team] = _Use(before + core_ms, at_ms)

    def tag(self, team: str, core_ms: float, at_ms: int) -> float:
        """Return the use of a team with some more work, in proportion to its share."""
        use = self._uses.get(team)
        used = use.decayed(at_ms) if use else 0.0
        return (used + core_ms) / (self._shares.get(team) or 1.0)
