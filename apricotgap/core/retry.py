"""Retry budget of each data centre and the bounds on tries of a request."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from apricotgap.core.fair_queue import Waiting
    from apricotgap.core.state import EntryState

__all__ = [
    "MAX_KILLS",
    "RetryState",
    "may_retry_failure",
    "may_retry_not_run",
    "note_first_try",
]

RETRY_SHARE = 0.2
MAX_RETRY_TOKENS = 20.0
INITIAL_RETRY_TOKENS = 3.0
MAX_FAILURES = 4
MAX_REFUSALS = 8
# A request whose tasks stopped this many workers, or may have, is not tried again.
MAX_KILLS = 2


@dataclass(slots=True)
class RetryState:
    """Retries that are still allowed, by data centre."""

    tokens: dict[str, float] = field(default_factory=dict)


def note_first_try(state: "EntryState", data_centre: str) -> None:
    """Earn the share of a retry that a first try allows."""
    tokens = state.health.retries.tokens
    held = tokens.get(data_centre, INITIAL_RETRY_TOKENS)
    tokens[data_centre] = min(MAX_RETRY_TOKENS, held + RETRY_SHARE)


def may_retry_failure(
    state: "EntryState", waiting: "Waiting", data_centre: str
) -> bool:
    """Spend a retry of an idempotent request after a failure, if allowed."""
    waiting.n_failures += 1
    n_kills = max(waiting.n_kills, waiting.n_broken)
    if waiting.n_failures >= MAX_FAILURES or n_kills >= MAX_KILLS:
        return False
    tokens = state.health.retries.tokens
    held = tokens.get(data_centre, INITIAL_RETRY_TOKENS)
    if held < 1:
        return False
    tokens[data_centre] = held - 1
    return True


def may_retry_not_run(waiting: "Waiting") -> bool:
    """Count a try that provably ran nothing and tell whether to try again."""
    waiting.n_refusals += 1
    return waiting.n_refusals < MAX_REFUSALS
