"""Stored list of the machines that recent orders of the fleet owner name."""

from collections.abc import Iterable

import cbor2
import structlog

from apricotgap.clock import Clock
from apricotgap.decoding import DecodeError, decode_cbor
from apricotgap.instance.keys import FLEET_ORDERS_KEY
from apricotgap.instance.ownership import Ownership
from apricotgap.platform.store import (
    Conflict,
    StoreClient,
    Stored,
    StoreError,
    Unknown,
    Write,
)

__all__ = ["FleetOrderStore", "decode_orders"]

# The list is rewritten without new orders at most this often.
PRUNE_INTERVAL_MS = 1_000


def decode_orders(data: bytes) -> frozenset[str]:
    """Decode the list of the machines that recent orders name.

    Raises
    ------
    DecodeError
        The data is malformed.
    """
    return frozenset(decode_cbor(data, list[str]))


class FleetOrderStore:
    """Tells the next fleet owner which machines it must not order for a while.

    A machine is stored before its first order is sent. Each write is conditional on the
    last known revision of the list, so that a write with an unknown outcome that takes
    effect late cannot replace a later one.

    Parameters
    ----------
    ownership, store, clock
        Dependencies.
    exclusion_ms : int
        How long after an order another owner must send none for the same machine, in
        milliseconds.
    """

    def __init__(
        self, ownership: Ownership, store: StoreClient, clock: Clock, exclusion_ms: int
    ) -> None:
        self._ownership = ownership
        self._store = store
        self._clock = clock
        self._exclusion_ms = exclusion_ms
        self._revision = 0
        self._stored: frozenset[str] = frozenset()
        self._ordered_ms: dict[str, int] = {}
        self._written_ms = clock.now_ms
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    async def load(self) -> frozenset[str] | None:
        """Return the machines of the previous owner's recent orders.

        Returns
        -------
        frozenset of str or None
            None if the list is unreadable; any machine may then have been ordered.

        Raises
        ------
        StoreError
            No usable answer.
        """
        item = await self._store.read_key(FLEET_ORDERS_KEY)
        self._revision = item.revision
        if item.value is None:
            return frozenset()
        try:
            machines = decode_orders(item.value)
        except DecodeError as error:
            self._log.error("fleet_orders_unreadable", error=str(error))
            return None
        # They stay in the list for the next owner, who may follow soon.
        self._ordered_ms = dict.fromkeys(machines, self._clock.now_ms)
        return machines

    async def record(self, machines: Iterable[str]) -> bool:
        """Store machines; return False unless they are known to be stored.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        wanted = frozenset(machines)
        if wanted <= self._stored:
            # They may be ordered from now on, so they must not be pruned just before.
            self._ordered_ms.update(dict.fromkeys(wanted, self._clock.now_ms))
            return True
        return await self._write(wanted, self._recent())

    async def prune(self) -> None:
        """Remove the machines whose exclusion has ended, unless that was done lately.

        The next owner may order them at once. After the end of a peak they are most of
        the spare machines, and the next peak would wait for them.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        if self._clock.now_ms - self._written_ms < PRUNE_INTERVAL_MS:
            return
        recent = self._recent()
        if not self._stored <= recent:
            await self._write(frozenset(), recent)

    def _recent(self) -> frozenset[str]:
        now_ms = self._clock.now_ms
        return frozenset(
            name
            for name, ordered_ms in self._ordered_ms.items()
            if now_ms - ordered_ms <= self._exclusion_ms
        )

    async def _write(self, wanted: frozenset[str], recent: frozenset[str]) -> bool:
        """Store new and recent machines; return False unless that is known."""
        self._written_ms = self._clock.now_ms
        names = wanted | recent
        write = Write(
            FLEET_ORDERS_KEY,
            cbor2.dumps(sorted(names)),
            expected_revision=self._revision,
        )
        outcome = await self._store.write((self._ownership.condition, write))
        if isinstance(outcome, Stored):
            self._revision = outcome.revision
            self._stored = names
            # Orders may be refused until the store has answered, and sent later
            # without another write. A slow store must not undo that for the next ones.
            stored_ms = self._clock.now_ms
            self._ordered_ms = {
                name: self._ordered_ms[name] if name in recent - wanted else stored_ms
                for name in names
            }
            return True
        self._log.warning("fleet_orders_not_stored", outcome=repr(outcome)[:200])
        if isinstance(outcome, Conflict):
            self._ownership.check(outcome)
            self._revision = outcome.revision_of(FLEET_ORDERS_KEY)
        elif isinstance(outcome, Unknown):
            await self._reread()
        return False

    async def _reread(self) -> None:
        try:
            self._revision = (await self._store.read_key(FLEET_ORDERS_KEY)).revision
        except StoreError as error:
            self._log.warning("fleet_orders_not_read", reason=str(error))

    def record_sent(self, machine: str) -> None:
        """Record that an order was sent, at the latest now."""
        self._ordered_ms[machine] = self._clock.now_ms
