"""State of the specification of a worker's leases under several owners."""

from typing import NamedTuple

from apricotgap.jobs.limits import WORKER_LEASE_TAIL_MS
from proof.lease_bounds import OWNER_TTL_MS, Belief

__all__ = [
    "ACQUIRED",
    "TICK_MS",
    "Claim",
    "Former",
    "Owner",
    "Step",
    "World",
    "aged",
    "end_key",
    "remaining_ms",
]

TICK_MS = 500
ACQUIRED = Belief(is_acquired=True)


class Owner(NamedTuple):
    """The process that holds the owner key.

    `lease_ms` is what it believes to be left of its lease, `span_ms` how long the
    leases of earlier owners may last, `mark_in_ms` the time until it marks its tenure,
    None once it has. `silent_ms` counts from the first poll that got no answer.
    """

    epoch: int
    lease_ms: int
    belief: Belief
    span_ms: int
    mark_in_ms: int | None
    silent_ms: int = 0


class Former(NamedTuple):
    """A process that runs on after another one may have claimed its shard.

    Its instance has a new lease of `next_lease_ms`, 0 for none.
    """

    epoch: int
    lease_ms: int
    next_lease_ms: int = 0


class Claim(NamedTuple):
    """What an instance read before it claims the shard."""

    key: int
    last_epoch: int
    mark: bytes | None


class World(NamedTuple):
    """Store, processes, and the lease of the worker on its own clock.

    `key` is the epoch of the owner key, 0 for none, and `key_ms` what is left of its
    lease in the store. `gone_ms` counts from the end of the process whose key is there.
    `mark` is the mark as stored, `late_mark` the epoch of one that is on its way.
    `token` is the highest epoch that the worker has seen. Instances of earlier builds,
    if there are any, claim a shard without a mark. `may_be_late`
    tells whether processes, reads and writes may outlast the end of an ownership.
    """

    owner: Owner | None
    key: int = 1
    key_ms: int = OWNER_TTL_MS
    last_epoch: int = 1
    gone_ms: int = 0
    mark: bytes | None = b"1"
    late_mark: int = 0
    is_roster_settled: bool = True
    lease_ms: int = 0
    token: int = 1
    former: Former | None = None
    claim: Claim | None = None
    n_renewals: int = 1
    n_takeovers: int = 0
    n_late_renewals: int = 0
    n_restarts: int = 0
    has_earlier_builds: bool = False
    may_be_late: bool = False
    may_fall_silent: bool = False


Step = tuple[str, World]


def remaining_ms(lease_ms: int) -> int:
    """Return what is left of an owner's lease; workers' leases outlast it a while."""
    return max(-WORKER_LEASE_TAIL_MS - TICK_MS, lease_ms - TICK_MS)


def aged(belief: Belief) -> Belief:
    """Return a belief a step later."""
    return belief._replace(
        lease_ms=max(0, belief.lease_ms - TICK_MS),
        longest_ms=max(0, belief.longest_ms - TICK_MS),
    )


def end_key(world: World) -> World:
    """Remove the owner key, as the store does at the end of its lease."""
    return world._replace(key=0, key_ms=0, gone_ms=0)
