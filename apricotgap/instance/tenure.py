"""How long the leases of workers may last that earlier owners of a shard gave.

An owner's key goes when the owner gives the shard up, or with the owner's lease. If it
went with the lease, no lease that this owner gave to a worker lasts beyond the tail
after now; if the shard was given up, the lease that those of workers follow was still
valid. An owner marks its tenure in the store with its claim, and removes the mark in
the transaction that gives the shard up: a mark without an owner key tells that the key
went with its lease. The mark also tells how long the leases that still earlier owners
gave may outlast that moment, until the owner has seen all of them end.
"""

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.keys import tenure_key
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.limits import WORKER_LEASE_STRETCH, WORKER_LEASE_TAIL_MS
from apricotgap.jobs.workers import Worker
from apricotgap.platform.store import Conflict, Item, StoreClient, Stored, Write

__all__ = ["TenureMark", "inherited_lease_ms", "new_mark"]

# Covers the difference between the clocks of an owner and of the store.
CLOCK_SLACK_MS = 500
# Between the epoch and the milliseconds of a mark.
_SEPARATOR = b" "
_MAX_SPAN_DIGITS = 9
_RETRY_S = 0.5


def inherited_lease_ms(
    last_epoch: int,
    mark: Item,
    predecessor_gone_ms: int | None,
    owner_ttl_ms: int,
    max_lease_ms: int | None = None,
) -> int:
    """Return how long leases of earlier owners' workers may last after a claim.

    Parameters
    ----------
    last_epoch : int
        Epoch of the last owner.
    mark : Item
        Mark of a tenure, which may be that of an owner before the last one.
    predecessor_gone_ms : int or None
        If the key of the last owner is still there, for how long the process that wrote
        it has been gone: it was a process of the instance that claims the shard, and
        its lease was valid at most until it ended. None if there is no key.
    owner_ttl_ms : int
        Length of an instance's lease, in milliseconds.
    max_lease_ms : int or None
        Longest lease that a worker takes, in milliseconds; None if it takes any.
    """
    longest_ms = WORKER_LEASE_TAIL_MS + owner_ttl_ms
    if max_lease_ms is not None:
        longest_ms = min(longest_ms, max_lease_ms)
    if predecessor_gone_ms is not None:
        # The clocks of workers may have been slow meanwhile.
        passed_ms = int(predecessor_gone_ms / WORKER_LEASE_STRETCH)
        return max(CLOCK_SLACK_MS, longest_ms - passed_ms)
    earlier_ms = _earlier_ms(mark, last_epoch)
    if earlier_ms is None:
        return longest_ms
    return min(longest_ms, max(WORKER_LEASE_TAIL_MS, earlier_ms) + CLOCK_SLACK_MS)


def new_mark(epoch: int, inherited_ms: int, lease_left_ms: int) -> bytes:
    """Return the mark of a tenure that begins.

    Parameters
    ----------
    epoch : int
        Epoch of the owner; the first one has no earlier owners.
    inherited_ms : int
        How long leases of earlier owners' workers may last after its claim.
    lease_left_ms : int
        What is left of the owner's own lease at its claim: if the owner key goes with
        the lease, it goes no sooner than this.
    """
    earlier_ms = inherited_ms - lease_left_ms if epoch > 1 else 0
    return _encode(epoch) + _SEPARATOR + str(max(0, earlier_ms)).encode()


def _earlier_ms(mark: Item, epoch: int) -> int | None:
    """Return how long leases of owners before `epoch` may outlast its owner key.

    Returns None if the mark is not that of this owner or unreadable.
    """
    owner, _, span = (mark.value or b"").partition(_SEPARATOR)
    if owner != _encode(epoch):
        return None
    if not span:
        return 0
    is_number = span.isdigit() and len(span) <= _MAX_SPAN_DIGITS
    return int(span) if is_number else None


def _encode(epoch: int) -> bytes:
    return str(epoch).encode()


class TenureMark:
    """Marks that the leases which earlier owners gave to workers have ended.

    Parameters
    ----------
    ownership, store, clock
        Dependencies.
    """

    def __init__(self, ownership: Ownership, store: StoreClient, clock: Clock) -> None:
        self._ownership = ownership
        self._store = store
        self._clock = clock
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    async def run(self) -> None:
        """Write the mark, again and again until it is stored.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        settled_ms = Worker.lease_bound_ms(
            self._clock.now_ms, self._ownership.inherited_lease_ms
        )
        while self._clock.now_ms <= settled_ms:
            await trio.sleep(_RETRY_S)
        write = Write(tenure_key(self._ownership.shard), _encode(self._ownership.epoch))
        while True:
            outcome = await self._store.write((self._ownership.condition, write))
            if isinstance(outcome, Stored):
                return
            self._log.warning("tenure_not_marked", outcome=repr(outcome)[:200])
            if isinstance(outcome, Conflict):
                self._ownership.check(outcome)
            await trio.sleep(_RETRY_S)
