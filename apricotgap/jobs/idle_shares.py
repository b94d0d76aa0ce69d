"""Parts of the teams' limits that a shard keeps without work, and who needs them."""

from apricotgap.jobs.model import Resources

__all__ = ["IDLE_READ_MS", "MAX_IDLE_READS", "SHORT_AFTER_MS", "IdleShares", "Shortage"]

# A shard says that it lacks a part of a limit once its use has not changed for this
# long. Before the first release of `BlockedDemand`, so that others see the full split.
SHORT_AFTER_MS = 1_000
# While another shard lacks a part, the split is read in this interval, which doubles
# with each read that has found the limit not used up.
IDLE_READ_MS = 1_000
MAX_DOUBLINGS = 3
# Most splits that one pass may add to those that are read.
MAX_IDLE_READS = 4


class Shortage:
    """Teams that have waited in this shard for more than the others leave."""

    def __init__(self) -> None:
        self._since: dict[str, tuple[Resources, int]] = {}

    def clear(self, team: str) -> None:
        """Record that a team's demand can be met."""
        self._since.pop(team, None)

    def record(self, team: str, used: Resources, at_ms: int) -> None:
        """Record a demand that cannot be met.

        Parameters
        ----------
        team : str
            The team.
        used : Resources
            What the team uses in this shard. While it changes, work goes on.
        at_ms : int
            Current time.
        """
        known = self._since.get(team)
        if known is None or known[0] != used:
            self._since[team] = (used, at_ms)

    def teams(self, at_ms: int) -> frozenset[str]:
        """Return the teams that lack a part of their limit for a while.

        Parameters
        ----------
        at_ms : int
            Current time.
        """
        return frozenset(
            team
            for team, (_, since_ms) in self._since.items()
            if at_ms - since_ms >= SHORT_AFTER_MS
        )


class IdleShares:
    """Tells which teams' idle parts to give up, and which splits to read for that.

    An idle part is given up once another shard lacks it and the split shows that the
    limit is used up. It is taken again only with demand and with room, so that parts
    do not move to and fro.
    """

    def __init__(self) -> None:
        self._lacking: frozenset[str] | None = None
        self._given_up: set[str] = set()
        self._due: set[str] = set()
        # Time of the last read that was asked for, and the number of reads, by team.
        self._reads: dict[str, tuple[int, int]] = {}

    @property
    def due(self) -> frozenset[str]:
        """Teams whose splits are to be read."""
        return frozenset(self._due)

    def set_lacking(self, teams: frozenset[str]) -> None:
        """Set the teams that lack a part of their limit in another shard.

        Without this any team may lack one.
        """
        self._lacking = teams
        self._due &= teams
        for team in self._reads.keys() - teams:
            del self._reads[team]

    def is_given_up(self, team: str) -> bool:
        """Whether the shard keeps no part for a team without work."""
        return team in self._given_up

    def take(self, team: str) -> None:
        """Record that there is room for an idle part again."""
        self._given_up.discard(team)

    def record_held(self, team: str, at_ms: int) -> None:
        """Record that a shard holds an idle part; have the split read if needed.

        Parameters
        ----------
        team : str
            The team.
        at_ms : int
            Current time.
        """
        if team in self._given_up or not self._may_lack(team):
            return
        read_ms, n_reads = self._reads.get(team, (at_ms, 0))
        interval_ms = IDLE_READ_MS * 2 ** min(n_reads - 1, MAX_DOUBLINGS)
        if n_reads and at_ms - read_ms < interval_ms:
            return
        if len(self._due) < MAX_IDLE_READS:
            self._due.add(team)
            self._reads[team] = (at_ms, n_reads + 1)

    def record_read(self, team: str, is_used_up: bool) -> None:
        """Record that a split was read.

        Parameters
        ----------
        team : str
            The team.
        is_used_up : bool
            Whether the rows leave nothing of the limit.
        """
        self._due.discard(team)
        if is_used_up and self._may_lack(team):
            self._given_up.add(team)

    def _may_lack(self, team: str) -> bool:
        return self._lacking is None or team in self._lacking
