"""Allotment documents that split a team's upper limit."""

from dataclasses import dataclass, field

__all__ = ["DataCentreLedger", "FleetLedger", "Row", "TeamRows"]


@dataclass(frozen=True, slots=True)
class Row:
    """Units held by one holder.

    Parameters
    ----------
    n : int
        Units taken.
    basis : int
        Upper limit of the team when they were taken.
    """

    n: int
    basis: int

    def usable(self, limit: int) -> int:
        """Units that the holder may run under the present upper limit.

        Parameters
        ----------
        limit : int
            Upper limit in the configuration in force.

        Returns
        -------
        int
            ``floor(n * min(1, limit / basis))``.
        """
        if limit >= self.basis:
            return self.n
        return self.n * limit // self.basis


@dataclass(frozen=True, slots=True)
class TeamRows:
    """Rows of one team: the cap of this level and its holders."""

    cap: Row
    rows: dict[str, Row] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FleetLedger:
    """Shares of the data centres, ``allot/fleet/<bucket>``.

    `teams` maps a team to the rows of the data centres.
    """

    writer: str
    teams: dict[str, dict[str, Row]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DataCentreLedger:
    """Rows of entry incarnations, ``allot/dc/<dc>/<bucket>``."""

    writer: str
    teams: dict[str, TeamRows] = field(default_factory=dict)
