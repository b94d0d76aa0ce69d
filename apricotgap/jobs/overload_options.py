"""Decisions under overload that an instance can switch on."""

from dataclasses import dataclass

__all__ = ["DEFAULT_OVERLOAD_OPTIONS", "OverloadOptions"]


@dataclass(frozen=True, slots=True)
class OverloadOptions:
    """Decisions that help large pools, each of which cost small pools service.

    `starts_by_standing`: tasks start in the order of service, not by the earliest
    objective. `packs_domains`: the tasks of a job are kept within few failure domains.
    `stops_finite_runs`: finite runs are stopped on machines that leave for demand.
    """

    starts_by_standing: bool = False
    packs_domains: bool = False
    stops_finite_runs: bool = False


DEFAULT_OVERLOAD_OPTIONS = OverloadOptions()
