"""States of the decisions under overload that the worlds of the tests run in.

The worlds take the state in service unless a test names another one. Modules marked
with the fixture `overload_state` run in each state of `STATES`.
"""

from contextvars import ContextVar

from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)

IN_SERVICE = DEFAULT_OVERLOAD_OPTIONS
ALL_ON = OverloadOptions(
    starts_by_standing=True, packs_domains=True, stops_finite_runs=True
)
STATES = {"in_service": IN_SERVICE, "all_on": ALL_ON}

current_overload = ContextVar("current_overload", default=IN_SERVICE)
