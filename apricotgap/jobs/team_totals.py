"""Use of the teams over all shards, as the owner of the fleet sums it up."""

from collections import Counter
from collections.abc import Mapping

from apricotgap.jobs.team_shares import TOTAL_MAX_AGE_MS

__all__ = ["TeamTotals"]


class TeamTotals:
    """Latest use of the teams in each pool."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[int, Mapping[str, float]]] = {}

    def record(self, pool: str, cores: Mapping[str, float], at_ms: int) -> None:
        """Set the cores that each team uses in a pool."""
        self._reports[pool] = (at_ms, cores)

    def others(self, pool: str, at_ms: int) -> dict[str, float]:
        """Return what each team uses in all pools but one.

        Reports that are too old do not count: their pools may have changed since.
        """
        found: Counter[str] = Counter()
        for name, (reported_ms, cores) in list(self._reports.items()):
            if at_ms - reported_ms > TOTAL_MAX_AGE_MS:
                del self._reports[name]
            elif name != pool:
                found.update(cores)
        return dict(found)
