"""Election of shard owners.

The owner of a shard holds a key in the store that is attached to its lease.
"""

import hashlib
from collections.abc import Awaitable, Callable

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.decoding import DecodeError
from apricotgap.instance.cluster_view import FLEET_SHARD, ClusterView
from apricotgap.instance.keys import (
    MEMBERS_PREFIX,
    SHARD_OPEN,
    Member,
    Owner,
    decode_epoch,
    encode_member,
    encode_owner,
    epoch_key,
    names_owner,
    owner_key,
    shard_key,
    tenure_key,
)
from apricotgap.instance.lease import InstanceLease
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.shard_marks import ShardMarks
from apricotgap.instance.tenure import inherited_lease_ms, new_mark
from apricotgap.platform.store import (
    Conflict,
    Item,
    Lease,
    StoreClient,
    Stored,
    StoreError,
    Unknown,
    Write,
)

__all__ = ["Election"]

# Claims are staggered: an instance waits this long for each instance that ranks before
# it.
RANK_DELAY_MS = 250
_SCAN_INTERVAL_S = 0.1
# A shard is handed over when another instance would, after claiming it, have less than
# this fraction of its owner's load, and only if that holds for HANDOVER_DELAY_MS: no
# task of the shard starts during a handover.
HANDOVER_LOAD_RATIO = 0.4
HANDOVER_DELAY_MS = 2_000
# An owner key of this process for a shard that it does not run is left over from giving
# up the shard. Unless the key disappears within this time, the shard is claimed again.
RECLAIM_DELAY_MS = 500
# An owner that gave up its shard for good removes the shard's key within this time,
# unless it finds a job or ends.
CLOSING_DELAY_MS = 2_000


class Election:
    """Claims shards without an owner and runs those that this instance owns.

    Parameters
    ----------
    identity : Member
        This instance.
    store, lease, cluster_view, clock
        Dependencies.
    run_shard : callable
        Runs one shard until cancelled.
    may_hand_over : callable
        Returns whether a shard that this instance owns may be given up for balance.
    max_lease_ms : int or None
        Longest lease that a worker takes, in milliseconds; None if it takes any.
    started_ms : int or None
        Time at which this process started, by default that of `run`. No earlier process
        of this instance ran later.
    """

    def __init__(
        self,
        identity: Member,
        store: StoreClient,
        lease: InstanceLease,
        cluster_view: ClusterView,
        clock: Clock,
        run_shard: Callable[[Ownership], Awaitable[None]],
        may_hand_over: Callable[[str], bool],
        max_lease_ms: int | None = None,
        started_ms: int | None = None,
    ) -> None:
        self._identity = identity
        self._store = store
        self._lease = lease
        self._cluster_view = cluster_view
        self._clock = clock
        self._run_shard = run_shard
        self._may_hand_over = may_hand_over
        self._vacant_since_ms: dict[str, int] = {}
        self._shard_marks = ShardMarks(store, cluster_view, clock)
        self._ownerships: dict[str, tuple[Ownership, trio.CancelScope]] = {}
        self._member_lease: Lease | None = None
        self._overloaded_since_ms: int | None = None
        # Shards whose owner key this process may have written without owning them.
        self._open_claims: set[str] = set()
        self._max_lease_ms = max_lease_ms
        self._started_ms = started_ms
        self._log = structlog.get_logger()
        self.is_draining = False

    @property
    def n_owned(self) -> int:
        """Number of shards that this instance owns."""
        return len(self._ownerships)

    async def run(self) -> None:
        """Take part in the election until cancelled."""
        if self._started_ms is None:
            self._started_ms = self._clock.now_ms
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_SCAN_INTERVAL_S)
                self._drop_lost_shards()
                lease = self._usable_lease
                if lease is None:
                    continue
                await self._register(lease)
                await self._hand_over()
                await self._shard_marks.write(self._claim_delay_ms)
                shards = self._cluster_view.shards()
                for shard in set(self._vacant_since_ms).difference(shards):
                    del self._vacant_since_ms[shard]
                for shard in shards:
                    await self._claim_if_vacant(shard, nursery)

    @property
    def _usable_lease(self) -> Lease | None:
        """The lease under which to write keys, None if this instance must write none.

        It may change during each wait, so that it is read again after it.
        """
        return None if self.is_draining else self._lease.current

    def _drop_lost_shards(self) -> None:
        for shard, (ownership, scope) in list(self._ownerships.items()):
            item = self._cluster_view.owner_item(shard)
            is_replaced = item is None or item.revision > ownership.revision
            if is_replaced or self._lease.lease_id != ownership.lease_id:
                self._log.warning("shard_lost", shard=shard, epoch=ownership.epoch)
                scope.cancel()
                del self._ownerships[shard]

    def step_down(self, ownership: Ownership, why: str) -> None:
        """Stop running a shard whose ownership has ended."""
        current = self._ownerships.get(ownership.shard)
        if current is not None and current[0] is ownership:
            self._log.warning(
                "shard_lost", shard=ownership.shard, epoch=ownership.epoch, why=why
            )
            current[1].cancel()
            del self._ownerships[ownership.shard]

    async def resign(self, ownership: Ownership, why: str) -> bool:
        """Give up a shard and delete its owner key so that others may claim it.

        Returns whether the key is known to be gone.
        """
        self.step_down(ownership, why)
        shard = ownership.shard
        # An owner that fails calls this within the scope that is cancelled now.
        with trio.CancelScope(shield=True):
            outcome = await self._store.write(
                (
                    Write(owner_key(shard), expected_revision=ownership.revision),
                    Write(tenure_key(shard)),
                )
            )
        self._log.info("resigned", shard=shard, outcome=type(outcome).__name__)
        return isinstance(outcome, Stored | Conflict)

    async def leave(self) -> None:
        """Give up all shards and the membership, so that others take over at once.

        A shard that could not be given up goes when the lease ends. To revoke the lease
        would remove its owner key and leave the mark of its tenure.
        """
        self.is_draining = True
        keys = self._cluster_view.shards_of(self._identity.name)
        # A shard that has failed may still have its key, and one that is being claimed
        # may get it.
        are_gone = [keys <= self._ownerships.keys() and not self._open_claims]

        async def resign(ownership: Ownership) -> None:
            are_gone.append(await self.resign(ownership, "the instance stops"))

        async with trio.open_nursery() as nursery:
            for ownership, _ in list(self._ownerships.values()):
                nursery.start_soon(resign, ownership)
        if all(are_gone):
            await self._lease.revoke()
            return
        self._lease.abandon()

    async def _register(self, lease: Lease) -> None:
        if self._member_lease == lease:
            return
        key = MEMBERS_PREFIX + self._identity.name
        write = Write(key, encode_member(self._identity), lease=lease)
        outcome = await self._store.write((write,))
        if isinstance(outcome, Stored):
            self._member_lease = lease
            self._log.info("member_registered", lease=lease.lease_id)
            return
        self._log.warning("member_not_registered", outcome=repr(outcome))

    async def _claim_if_vacant(self, shard: str, nursery: trio.Nursery) -> None:
        if shard in self._ownerships or self._usable_lease is None:
            return
        now_ms = self._clock.now_ms
        item = self._cluster_view.owner_item(shard)
        owner = self._cluster_view.owner(shard)
        is_own = owner is not None and owner.name == self._identity.name
        if item is not None and not is_own:
            self._vacant_since_ms.pop(shard, None)
            return
        since_ms = self._vacant_since_ms.setdefault(shard, now_ms)
        if owner is None or not is_own:
            delay_ms = self._claim_delay_ms(shard)
        elif owner.incarnation != self._identity.incarnation:
            # An earlier process of this instance owned the shard; it no longer runs.
            delay_ms = 0
        else:
            delay_ms = RECLAIM_DELAY_MS
        if self._cluster_view.is_closing(shard):
            delay_ms += CLOSING_DELAY_MS
        if now_ms - since_ms < delay_ms:
            return
        ownership = await self._claim(shard, item.revision if item else 0)
        if ownership is None:
            # Another instance may have won; the cluster view will show it.
            self._vacant_since_ms[shard] = self._clock.now_ms
            return
        self._vacant_since_ms.pop(shard, None)
        scope = trio.CancelScope()
        self._ownerships[shard] = (ownership, scope)
        nursery.start_soon(self._run_claimed, ownership, scope)

    async def _run_claimed(self, ownership: Ownership, scope: trio.CancelScope) -> None:
        with scope:
            await self._run_shard(ownership)

    def _claim_delay_ms(self, shard: str) -> int:
        """Return how long to leave a shard to the instances that rank before."""
        return self._rank(shard) * RANK_DELAY_MS

    def _rank(self, shard: str) -> int:
        """Return the number of instances that should claim the shard first."""

        def preference(member: Member) -> tuple[float, bytes]:
            digest = hashlib.blake2b(f"{shard}/{member.name}".encode(), digest_size=8)
            return self._load_after_claim(member), digest.digest()

        own = preference(self._identity)
        return sum(
            preference(member) < own
            for member in self._cluster_view.members()
            if member.name != self._identity.name
        )

    def _load_after_claim(self, member: Member) -> float:
        """Return the shards per core of an instance after one more claim."""
        n_shards = self._cluster_view.n_owned_by(member.name) + 1
        return 1000 * n_shards / member.speed_milli

    async def _hand_over(self) -> None:
        """Resign from a shard that a faster or less loaded instance should own."""
        now_ms = self._clock.now_ms
        own_load = 1000 * len(self._ownerships) / self._identity.speed_milli
        others = [
            self._load_after_claim(member)
            for member in self._cluster_view.members()
            if member.name != self._identity.name
        ]
        if not others or min(others) >= HANDOVER_LOAD_RATIO * own_load:
            self._overloaded_since_ms = None
            return
        if self._overloaded_since_ms is None:
            self._overloaded_since_ms = now_ms
        if now_ms - self._overloaded_since_ms < HANDOVER_DELAY_MS:
            return
        shard = min(filter(self._may_hand_over, self._ownerships), default=None)
        if shard is None:
            return
        self._overloaded_since_ms = None
        await self.resign(
            self._ownerships[shard][0], "another instance has more spare capacity"
        )

    async def _claim(self, shard: str, revision: int) -> Ownership | None:
        predecessor_gone_ms = self._predecessor_gone_ms(shard)
        try:
            counter = await self._store.read_key(epoch_key(shard))
            mark = await self._store.read_key(tenure_key(shard))
        except StoreError as error:
            self._log.warning("claim_failed", shard=shard, reason=str(error))
            return None
        lease = self._usable_lease
        if lease is None:
            self._log.info("claim_dropped", shard=shard, is_draining=self.is_draining)
            return None
        last_epoch = self._last_epoch(shard, counter)
        epoch = last_epoch + 1
        me = self._identity
        owner = Owner(me.name, me.incarnation, me.address, epoch)
        inherited = inherited_lease_ms(
            last_epoch,
            mark,
            predecessor_gone_ms,
            self._lease.ttl_ms,
            self._max_lease_ms,
        )
        lease_left_ms = self._lease.valid_until_ms - self._clock.now_ms
        writes = [
            Write(
                owner_key(shard),
                encode_owner(owner),
                expected_revision=revision,
                lease=lease,
            ),
            Write(
                epoch_key(shard),
                str(epoch).encode(),
                expected_revision=counter.revision,
            ),
            # Its owner may remove the mark beside this claim.
            Write(
                tenure_key(shard),
                new_mark(epoch, inherited, lease_left_ms),
                expected_revision=mark.revision,
            ),
        ]
        if shard != FLEET_SHARD:
            # Whatever the owner accepts has a successor, even without a queue.
            writes.append(Write(shard_key(shard), SHARD_OPEN))
        self._open_claims.add(shard)
        outcome = await self._store.write(tuple(writes))
        if isinstance(outcome, Unknown):
            outcome = await self._resolve_claim(shard, owner, outcome)
        elif not isinstance(outcome, Stored):
            self._open_claims.discard(shard)
        self._log.info(
            "claim", shard=shard, epoch=epoch, outcome=type(outcome).__name__
        )
        if isinstance(outcome, Stored):
            stored = outcome.revision
            self._cluster_view.apply(
                Item(owner_key(shard), encode_owner(owner), stored, stored)
            )
            if self._usable_lease != lease:
                # The key goes with its lease.
                return None
            self._open_claims.discard(shard)
            return Ownership(shard, epoch, stored, lease.lease_id, inherited)
        if isinstance(outcome, Conflict):
            for item in outcome.items:
                self._cluster_view.apply(item)
            if outcome.revision_of(owner_key(shard)) == 0:
                # A conflict shows no key that does not exist.
                self._cluster_view.apply(Item(owner_key(shard), None, revision))
        return None

    def _last_epoch(self, shard: str, counter: Item) -> int:
        """Return an epoch that is not below that of any earlier owner."""
        try:
            return decode_epoch(counter)
        except DecodeError as error:
            self._log.error("epoch_unreadable", shard=shard, error=str(error))
        # Each owner has raised the epoch by one in a transaction of its own, so that
        # none was above the revision at that time.
        owner = self._cluster_view.owner(shard)
        return max(counter.revision, owner.epoch if owner else 0)

    def _predecessor_gone_ms(self, shard: str) -> int | None:
        """Return for how long the process that wrote the owner key has been gone.

        Returns None without a key, and 0 if this process wrote it.
        """
        if self._cluster_view.owner_item(shard) is None:
            return None
        owner = self._cluster_view.owner(shard)
        if owner is None or owner.incarnation == self._identity.incarnation:
            return 0
        # Processes of an instance have the same ports, and no two run at a time.
        now_ms = self._clock.now_ms
        return now_ms - (now_ms if self._started_ms is None else self._started_ms)

    async def _resolve_claim(
        self, shard: str, owner: Owner, outcome: Unknown
    ) -> Stored | Unknown:
        try:
            item = await self._store.read_key(owner_key(shard))
        except StoreError as error:
            self._log.warning("claim_unresolved", shard=shard, reason=str(error))
            return outcome
        return Stored(item.revision) if names_owner(item.value, owner) else outcome
