"""Tells other instances through the store that the owner of a shard refuses jobs."""

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.keys import Refusal, encode_refusal, refusal_key
from apricotgap.instance.ownership import Ownership
from apricotgap.platform.store import Conflict, Lease, StoreClient, Stored, Write

__all__ = ["RefusalMark"]

# The mark stays until nothing was refused for this long. Without it, instances that get
# no answer from the owner store jobs again, and the owner judges these too.
HOLD_MS = 2_000
# Least time between two writes.
_WRITE_INTERVAL_S = 0.5


class RefusalMark:
    """Key in the store that exists while the owner of a shard refuses jobs.

    An instance that gets no answer from the owner stores a job itself. An owner that is
    overloaded gives no answer in time, so that jobs would go on being accepted past it.
    The key goes with the lease of the owner.

    Parameters
    ----------
    ownership, store, clock
        Dependencies.
    """

    def __init__(self, ownership: Ownership, store: StoreClient, clock: Clock) -> None:
        self._ownership = ownership
        self._store = store
        self._clock = clock
        # What was refused lately, and when the last time.
        self._refusal: Refusal | None = None
        self._refused_ms = 0
        self._has_refused = trio.Event()
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    def record_refusal(self, priority: int, retry_after_ms: int) -> None:
        """Note that a job was refused, or would have been.

        Parameters
        ----------
        priority : int
            Priority of the job.
        retry_after_ms : int
            When its caller should come back, in milliseconds.
        """
        known = self._refusal
        if known is not None:
            priority = min(priority, known.from_priority)
        self._refusal = Refusal(self._ownership.epoch, retry_after_ms, priority)
        self._refused_ms = self._clock.now_ms
        self._has_refused.set()

    async def run(self) -> None:
        """Write and remove the key until cancelled.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        written: Refusal | None = None
        while True:
            if written is None:
                await self._has_refused.wait()
            self._forget_old()
            if _differs(written, self._refusal):
                written = await self._write(self._refusal)
            await trio.sleep(_WRITE_INTERVAL_S)

    def _forget_old(self) -> None:
        if self._clock.now_ms - self._refused_ms >= HOLD_MS:
            self._refusal = None
            self._has_refused = trio.Event()

    async def _write(self, refusal: Refusal | None) -> Refusal | None:
        value = None if refusal is None else encode_refusal(refusal)
        lease = None if refusal is None else Lease(self._ownership.lease_id)
        write = Write(refusal_key(self._ownership.shard), value, lease=lease)
        while True:
            outcome = await self._store.write((self._ownership.condition, write))
            if isinstance(outcome, Stored):
                self._log.info("refusal_marked", is_refusing=refusal is not None)
                return refusal
            if isinstance(outcome, Conflict):
                self._ownership.check(outcome)
            await trio.sleep(_WRITE_INTERVAL_S)


def _differs(written: Refusal | None, present: Refusal | None) -> bool:
    """Whether the key has to be written; the time to come back may change."""
    if written is None or present is None:
        return written is not present
    return written.from_priority != present.from_priority
