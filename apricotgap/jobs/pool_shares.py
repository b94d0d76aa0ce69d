"""Division of the machines among pools that together want more than there are."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

__all__ = [
    "FIRST_LEVEL",
    "LATE_LEVEL",
    "LEAST_URGENT",
    "MOST_URGENT",
    "PoolShare",
    "PoolWants",
    "divide",
    "divide_by_level",
]

# Levels of demand: that of long-running tasks and the minimum of a pool, then the
# priorities of jobs in time from 0 on, then jobs that can only end late.
FIRST_LEVEL = -1
MOST_URGENT = 0
LEAST_URGENT = 999_999
LATE_LEVEL = 1_000_000


@dataclass(frozen=True, slots=True)
class PoolWants:
    """Number of machines that a pool wants by level.

    `n_busy` is how many of them jobs in time are using now. Emptying these costs their
    work twice: until they are empty, and until the move is done.
    """

    by_level: Mapping[int, int]
    n_busy: int = 0

    @property
    def with_busy_first(self) -> "PoolWants":
        """The same number with machines in use counted as most urgent demand."""
        by_level = dict(self.by_level)
        n_urgent = sum(n for level, n in by_level.items() if level <= MOST_URGENT)
        n_raised = 0
        for level in sorted(level for level in by_level if level > MOST_URGENT):
            n = min(by_level[level], max(0, self.n_busy - n_urgent - n_raised))
            by_level[level] -= n
            n_raised += n
        by_level[MOST_URGENT] = by_level.get(MOST_URGENT, 0) + n_raised
        return PoolWants(by_level, self.n_busy)


@dataclass(frozen=True, slots=True)
class PoolShare:
    """Number of machines planned for a pool by level, the most urgent level first."""

    by_level: tuple[tuple[int, int], ...] = ()

    @property
    def total(self) -> int:
        """Number of machines over all levels."""
        return sum(n for _, n in self.by_level)

    def levels_from(self, n_available: int) -> Iterator[int]:
        """Yield the level of each machine that the pool lacks, given what it has.

        The machines that it has serve its most urgent levels.
        """
        n_left = n_available
        for level, n in self.by_level:
            yield from [level] * max(0, n - n_left)
            n_left = max(0, n_left - n)


def divide_by_level(
    wants: Mapping[str, PoolWants], n_machines: int
) -> dict[str, PoolShare]:
    """Return the share of each pool: level by level, by max-min fairness within one.

    Parameters
    ----------
    wants : mapping of str to PoolWants
        What each pool wants.
    n_machines : int
        Machines in all pools and ready to be moved to them.
    """
    granted: dict[str, list[tuple[int, int]]] = {pool: [] for pool in wants}
    n_left = n_machines
    for level in sorted({level for each in wants.values() for level in each.by_level}):
        wanted = {pool: each.by_level.get(level, 0) for pool, each in wants.items()}
        for pool, n in divide(wanted, n_left).items():
            granted[pool].append((level, n))
            n_left -= n
    return {pool: PoolShare(tuple(levels)) for pool, levels in granted.items()}


def divide(wanted: Mapping[str, int], n_machines: int) -> dict[str, int]:
    """Return the number of machines of each pool by max-min fairness.

    A pool that wants little gets all of it, and those that want more get equal
    numbers. A burst of one pool therefore leaves the others what they need.

    Parameters
    ----------
    wanted : mapping of str to int
        Number of machines that each pool wants.
    n_machines : int
        Machines in all pools and ready to be moved to them.
    """
    shares: dict[str, int] = {}
    n_left = n_machines
    in_order = sorted(wanted.items(), key=lambda item: (item[1], item[0]))
    for index, (pool, n_wanted) in enumerate(in_order):
        n_pools = len(in_order) - index
        shares[pool] = min(n_wanted, -(-n_left // n_pools))
        n_left -= shares[pool]
    return shares
