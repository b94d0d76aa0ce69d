"""Leases of one worker as the product's shard offers, inherits and renews them.

Each function asks the product's own classes, so that a fault in them shows in the
specifications. Times are in milliseconds from now on.
"""

from functools import cache
from math import ceil
from typing import NamedTuple

from apricotgap.instance.tenure import inherited_lease_ms
from apricotgap.jobs.events import PollAnswered, PollFailed
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.limits import CLOCK_DRIFT
from apricotgap.jobs.model import Resources
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker
from apricotgap.platform.store import Item

__all__ = [
    "MAX_LEASE_MS",
    "OWNER_TTL_MS",
    "Belief",
    "Poll",
    "bound_ms",
    "inherit",
    "inherited_ms",
    "is_over",
    "poll",
    "real_lease_ms",
    "start",
]

OWNER_TTL_MS = 3_000
# Longer than any lease that an owner gives, as on the largest deployments.
MAX_LEASE_MS = 10_000
# Ends are rounded to steps of this length against the owner, so that there are fewer
# states.
_STEP_MS = 100
_NOW_MS = 1_000_000
_WORKER_CLOCK_MS = 50_000
_SERVICE = "s"
_ENTRY = WorkerEntry(
    "w", _SERVICE, "10.0.0.1:1", "a", "m", False, Resources(1_000, 1_000), (), 1
)


class Belief(NamedTuple):
    """What an owner believes of its worker.

    `lease_ms` is how long the worker may hold a lease, `longest_ms` how long one that
    was meant for another incarnation.
    """

    lease_ms: int = 0
    longest_ms: int = 0
    is_acquired: bool = False
    is_silent: bool = False

    @property
    def is_settled(self) -> bool:
        """Whether all leases of the worker follow those of owners."""
        return _worker(self).is_settled(_NOW_MS)


class Poll(NamedTuple):
    """The lease that a poll carries, and what its owner believes after it."""

    offered_ms: int
    belief: Belief


def real_lease_ms(lease_ms: int) -> int:
    """Return how long a lease may last on the slowest clock of a worker."""
    return ceil(lease_ms / (1 - CLOCK_DRIFT) / _STEP_MS) * _STEP_MS


def bound_ms(lease_ms: int) -> int:
    """Return how long a lease may last for its owner."""
    return Worker.lease_bound_ms(0, lease_ms)


@cache
def inherited_ms(
    last_epoch: int, mark: bytes | None, predecessor_gone_ms: int | None
) -> int:
    """Return how long leases of earlier owners may last after a claim.

    Parameters
    ----------
    last_epoch : int
        Epoch of the last owner.
    mark : bytes or None
        The mark as stored, None for none.
    predecessor_gone_ms : int or None
        How long the process has been gone whose owner key is there, None without a key.
    """
    item = Item("tenure", mark, 1 if mark else 0)
    return inherited_lease_ms(last_epoch, item, predecessor_gone_ms, OWNER_TTL_MS)


@cache
def inherit(span_ms: int, is_settled: bool) -> Belief:
    """Return what a new owner believes of a worker that it finds in the roster.

    Parameters
    ----------
    span_ms : int
        How long the leases that earlier owners gave may last.
    is_settled : bool
        Whether the roster says that the worker is settled.
    """
    shard = Shard(_SERVICE, 2, MAX_LEASE_MS, inherited_lease_ms=span_ms)
    shard.add_inherited_worker(_ENTRY, _NOW_MS, is_settled)
    return _belief(shard.workers["w"])


@cache
def poll(owner_lease_ms: int, belief: Belief, span_ms: int, outcome: str) -> Poll:
    """Send a poll and return the lease that it carries and the owner's belief after it.

    Parameters
    ----------
    owner_lease_ms : int
        What is left of the owner's lease, negative after its end.
    belief : Belief
        What the owner believes before.
    span_ms : int
        How long the leases that earlier owners gave may last.
    outcome : str
        `answered`, `unanswered`, or `unsent` if the poll never reached the worker.
    """
    shard = Shard(_SERVICE, 2, MAX_LEASE_MS, inherited_lease_ms=span_ms)
    worker = shard.workers["w"] = _worker(belief)
    until_ms = shard.offer_lease(worker, _NOW_MS, _NOW_MS + owner_lease_ms)
    offered_ms = until_ms - _WORKER_CLOCK_MS if until_ms else 0
    if outcome == "answered":
        shard.step(PollAnswered(_NOW_MS, "w", 1, 1, _NOW_MS, _WORKER_CLOCK_MS, (), ()))
    else:
        was_sent = outcome != "unsent"
        shard.step(PollFailed(_NOW_MS, "w", 1, "timeout", was_sent=was_sent))
    return Poll(offered_ms, _belief(worker))


@cache
def start(belief: Belief) -> Belief:
    """Return an owner's belief after it has sent a start, whose window extends a lease.

    Parameters
    ----------
    belief : Belief
        What the owner believes before.
    """
    worker = _worker(belief)
    worker.record_start(_NOW_MS)
    return _belief(worker)


@cache
def is_over(belief: Belief) -> bool:
    """Return whether an owner takes the runs of its worker for ended.

    Parameters
    ----------
    belief : Belief
        What the owner believes.
    """
    shard = Shard(_SERVICE, 2, MAX_LEASE_MS)
    worker = shard.workers["w"] = _worker(belief)
    shard.tick(_NOW_MS + 1)
    return not worker.is_acquired and not shard.has_unverified_workers


def _worker(belief: Belief) -> Worker:
    worker = Worker(_ENTRY, _ENTRY.free, _NOW_MS + belief.lease_ms)
    worker.longest_lease_until_ms = _NOW_MS + belief.longest_ms
    if belief.longest_ms <= 0:
        worker.longest_lease_until_ms -= 1
    worker.is_acquired = belief.is_acquired
    worker.is_unverified = not belief.is_acquired
    if belief.is_acquired:
        worker.clock_ms, worker.clock_at_ms = _WORKER_CLOCK_MS, _NOW_MS
    if belief.is_silent:
        worker.silent_since_ms = _NOW_MS
    return worker


def _belief(worker: Worker) -> Belief:
    lease_ms = worker.lease_until_ms - _NOW_MS
    return Belief(
        lease_ms // _STEP_MS * _STEP_MS,
        max(0, worker.longest_lease_until_ms - _NOW_MS),
        worker.is_acquired,
        worker.silent_since_ms is not None,
    )
