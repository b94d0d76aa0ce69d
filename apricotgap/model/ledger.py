"""Allotment documents, which split each team's upper limit among holders."""

from dataclasses import dataclass, field

__all__ = ["DataCentreLedger", "FleetLedger", "Row", "TeamRows"]


@dataclass(frozen=True, slots=True)
class Row:
    """Units held by one holder.

    Parameters
    ----------
    n : int
        Units acquired.
    basis : int
        Upper limit of the team when they were acquired.
    wanted : int
        Units for which the holder has work, as last written. The max-min allocation
        uses it.
    generation : int
        For a share in the fleet document, the generation of its last raise. For a cap,
        the generation of the last raise that it has used.
    renewals : int
        Number of renewals of the row. After a renewal, earlier reclaims of the row can
        no longer apply.
    """

    n: int
    basis: int
    wanted: int = 0
    generation: int = 0
    renewals: int = 0

    def usable(self, limit: int) -> int:
        """Return the units that the holder may use under the current upper limit.

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

    `target` is the number of units to which the data centre must go down in favour of
    other data centres, None if it need not.
    """

    cap: Row
    rows: dict[str, Row] = field(default_factory=dict)
    target: int | None = None


@dataclass(frozen=True, slots=True)
class FleetLedger:
    """Shares of the data centres, ``allot/fleet/<bucket>``.

    `teams` maps a team to the rows of the data centres. `generation` counts the
    raises of all rows and never decreases, even when rows are removed.
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
