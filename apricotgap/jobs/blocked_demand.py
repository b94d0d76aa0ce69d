"""Shards that hold parts of a limit that are too small for what waits in them."""

from dataclasses import dataclass

from apricotgap.jobs.model import Resources

__all__ = ["BLOCKED_AFTER_MS", "RELEASE_MS", "BlockedDemand"]

# A shard gives up what it can't use of an allowance after this time, and after once as
# much for each shard that gives up before it.
BLOCKED_AFTER_MS = 1_500
# It asks for no more for this long. The others read the split every 250 ms.
RELEASE_MS = 1_000
# Each further time takes twice as long, up to this number of times.
MAX_DOUBLINGS = 3


@dataclass(frozen=True, slots=True)
class _Blocked:
    """What a team uses and may use at most, unchanged since a time."""

    used: Resources
    reachable: Resources
    since_ms: int


class BlockedDemand:
    """Tells when a shard that waits for more should give up what it does not use.

    Several shards may each hold less than one of their tasks needs. Unless one of them
    lets go, none starts anything although the limit has room.
    """

    def __init__(self) -> None:
        self._blocked: dict[str, _Blocked] = {}
        self._released_until_ms: dict[str, int] = {}
        self._n_releases: dict[str, int] = {}

    def clear(self, team: str) -> None:
        """Record that a team's demand can be met."""
        self._blocked.pop(team, None)
        self._n_releases.pop(team, None)

    def is_released(self, team: str, at_ms: int) -> bool:
        """Whether the shard has given up a part lately and asks for no more yet."""
        return at_ms < self._released_until_ms.get(team, at_ms)

    def should_release(
        self, team: str, used: Resources, reachable: Resources, rank: int, at_ms: int
    ) -> bool:
        """Record a demand that cannot be met; return whether to give up a part now.

        Parameters
        ----------
        team : str
            The team.
        used : Resources
            What the team uses in this shard.
        reachable : Resources
            The highest allowance that the others leave.
        rank : int
            Number of shards that give up before this one.
        at_ms : int
            Current time.
        """
        found = self._blocked.get(team)
        if found is None or (found.used, found.reachable) != (used, reachable):
            self._blocked[team] = _Blocked(used, reachable, at_ms)
            return False
        n_releases = self._n_releases.get(team, 0)
        delay_ms = BLOCKED_AFTER_MS * (1 + rank) * 2 ** min(n_releases, MAX_DOUBLINGS)
        if at_ms - found.since_ms < delay_ms:
            return False
        self._n_releases[team] = n_releases + 1
        del self._blocked[team]
        self._released_until_ms[team] = at_ms + RELEASE_MS
        return True
