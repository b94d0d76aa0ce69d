"""Retry budget of each data centre and limits on the attempts of a request."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from apricotgap.core.fair_queue import PendingRequest
    from apricotgap.core.state import EntryState

__all__ = [
    "MAX_WORKER_CRASHES",
    "RetryState",
    "may_retry_failure",
    "may_retry_not_run",
    "record_first_attempt",
]

RETRY_RATIO = 0.2
MAX_RETRY_TOKENS = 20.0
INITIAL_RETRY_TOKENS = 3.0
MAX_FAILURES = 4
MAX_REFUSALS = 8
# A request is not retried after its tasks may have crashed this many workers.
MAX_WORKER_CRASHES = 2


@dataclass(slots=True)
class RetryState:
    """Token buckets of the retry budget by data centre."""

    tokens: dict[str, float] = field(default_factory=dict)


def record_first_attempt(state: "EntryState", data_centre: str) -> None:
    """Add the fraction of a retry that each first attempt earns."""
    tokens = state.health.retries.tokens
    n_available = tokens.get(data_centre, INITIAL_RETRY_TOKENS)
    tokens[data_centre] = min(MAX_RETRY_TOKENS, n_available + RETRY_RATIO)


def may_retry_failure(
    state: "EntryState", pending: "PendingRequest", data_centre: str
) -> bool:
    """Take a retry after a failure from the budget; return whether it is allowed."""
    pending.n_failures += 1
    n_worker_crashes = max(pending.n_worker_crashes, pending.n_broken_connections)
    if pending.n_failures >= MAX_FAILURES or n_worker_crashes >= MAX_WORKER_CRASHES:
        return False
    tokens = state.health.retries.tokens
    n_available = tokens.get(data_centre, INITIAL_RETRY_TOKENS)
    if n_available < 1:
        return False
    tokens[data_centre] = n_available - 1
    return True


def may_retry_not_run(pending: "PendingRequest") -> bool:
    """Count an attempt that provably did not run and tell whether to retry."""
    pending.n_refusals += 1
    return pending.n_refusals < MAX_REFUSALS
