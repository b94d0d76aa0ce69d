"""Standing of a job in the order of service."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ["Outlook", "Place", "SortKey", "Standing"]

SortKey = tuple[float, ...]


class Standing(IntEnum):
    """Standing of a job; jobs with a lower value are served first.

    ON_TIME: it can end by its objective, beside all that go first. DEFERRED: it could
    end by its objective only if others did not. LATE: it can end while it is still of
    use. EXPIRED: it cannot.
    """

    ON_TIME = 0
    DEFERRED = 1
    LATE = 2
    EXPIRED = 3


class Place(NamedTuple):
    """Place of a job: its standing, its sort key and its team's tag.

    `slack_ms` is the time by which the job may still be delayed if it takes no longer
    than estimated, `spare_ms` the part of it beyond the margin for the estimate.
    """

    standing: Standing
    key: SortKey
    slack_ms: int
    spare_ms: int
    team_tag: float


@dataclass(frozen=True, slots=True)
class Outlook:
    """Place that a job which is not accepted yet would have.

    `ahead_core_ms` is the work that would be done before it, and `capacity_in_ms` the
    time until the pool has done that; None if the capacity is unknown or none.
    """

    standing: Standing
    key: SortKey
    capacity_in_ms: int | None
    ahead_core_ms: float
