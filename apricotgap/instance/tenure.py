"""How long the leases of workers may last that earlier owners of a shard gave.

An owner's key goes when the owner gives the shard up, or with the owner's lease. If it
went with the lease, no lease that this owner gave to a worker lasts beyond the tail
after now; if the shard was given up, the lease that those of workers follow was still
valid. An owner marks its tenure in the store once the leases of those before it have
ended, and removes the mark in the transaction that gives the shard up: a mark without
an owner key tells that the key went with its lease.
"""

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.keys import tenure_key
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.limits import WORKER_LEASE_TAIL_MS
from apricotgap.jobs.workers import Worker
from apricotgap.platform.store import Conflict, Item, StoreClient, Stored, Write

__all__ = ["TenureMark", "inherited_lease_ms"]

# Covers the difference between the clocks of an owner and of the store.
CLOCK_SLACK_MS = 500
_RETRY_S = 0.5


def inherited_lease_ms(
    last_epoch: int, mark: Item, has_owner_key: bool, owner_ttl_ms: int
) -> int:
    """Return how long leases of earlier owners' workers may last after a claim.

    Parameters
    ----------
    last_epoch : int
        Epoch of the last owner.
    mark : Item
        Mark of a tenure, which may be that of an owner before the last one.
    has_owner_key : bool
        Whether the key of the last owner is still there: it belongs to an earlier
        process of the instance that claims the shard, whose lease may be valid.
    owner_ttl_ms : int
        Length of an instance's lease, in milliseconds.
    """
    is_marked = mark.value == _encode(last_epoch)
    if is_marked and not has_owner_key:
        return WORKER_LEASE_TAIL_MS + CLOCK_SLACK_MS
    return WORKER_LEASE_TAIL_MS + owner_ttl_ms


def _encode(epoch: int) -> bytes:
    return str(epoch).encode()


class TenureMark:
    """Marks a tenure once the leases that earlier owners gave to workers have ended.

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
