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
    wanted : int
        Units for which the holder has work, as last written; the fair split uses it.
    generation : int
        For a share in the fleet document, the number of its last raise. For a cap,
        the last raise that it has used.
    """

    n: int
    basis: int
    wanted: int = 0
    generation: int = 0
    renewals: int = 0

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
    """Rows of one team: the cap of this level and its holders.

    `target` is the number of units to which the data centre must come down for the
    sake of others, None when it need not.
    """

    cap: Row
    rows: dict[str, Row] = field(default_factory=dict)
    target: int | None = None


@dataclass(frozen=True, slots=True)
class FleetLedger:
    """Shares of the data centres, ``allot/fleet/<bucket>``.

    `teams` maps a team to the rows of the data centres. `generation` counts the
    raises of all rows and never falls, also when rows are removed.
    """

    writer: str
    teams: dict[str, dict[str, Row]] = field(default_factory=dict)
    generation: int = 0


@dataclass(frozen=True, slots=True)
class DataCentreLedger:
    """Rows of entry incarnations, ``allot/dc/<dc>/<bucket>``.

    `fence` is the highest generation among removed teams; no raise at or below it
    may be used again.
    """

    writer: str
    teams: dict[str, TeamRows] = field(default_factory=dict)
    fence: int = 0
