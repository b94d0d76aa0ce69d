"""State of the specification of the ownership of a shard."""

from collections.abc import Iterator
from typing import NamedTuple, cast

from apricotgap.instance.keys import Member, Owner, encode_owner, owner_key
from apricotgap.instance.ownership import Ownership
from apricotgap.platform.store import Item, Write
from proof import claim_replay as replay
from proof.claim_replay import SHARD, Answer, Claimed, LeaseView, Read, Sent

__all__ = [
    "FAULT",
    "NO_LEASE",
    "Claim",
    "Key",
    "Process",
    "Renewal",
    "Step",
    "World",
    "attached",
    "claimant",
    "end_lease",
    "end_leases",
    "put",
    "request_of",
    "restart",
]

FAULT = "fault: "
NO_LEASE = LeaseView(0, False)


class Key(NamedTuple):
    """The owner key; its revision is the epoch of the claim that wrote it."""

    revision: int = 0
    owner: Owner | None = None
    lease_id: int = 0

    def item(self) -> Item:
        """Return the key as the store returns it."""
        value = encode_owner(self.owner) if self.owner else None
        return Item(owner_key(SHARD), value, self.revision, self.revision)


class Claim(NamedTuple):
    """A claim under way; `outcome` is that of a transaction whose answer is due."""

    revision: int
    began: LeaseView
    answers: tuple[Answer, ...] = ()
    outcome: object = None

    @property
    def last_epoch(self) -> int:
        """The last epoch, as the claim has read it."""
        return int(cast(Item, self.answers[0].value).value or b"0")


class Renewal(NamedTuple):
    """A renewal under way; it is late once the lease it gave has ended again."""

    began: LeaseView
    answer: bool | None = None
    is_late: bool = False


class Process(NamedTuple):
    """A process of an instance; `seen` is the owner key in its view.

    `stage` tells how far it is in giving its lease back.
    """

    name: str
    incarnation: int
    lease: LeaseView
    is_alive: bool = True
    seen: Key = Key()
    owns: Ownership | None = None
    claim: Claim | None = None
    renewal: Renewal | None = None
    stage: str = ""

    @property
    def member(self) -> Member:
        """The instance as it registers itself."""
        incarnation = f"i{self.incarnation}"
        return Member(self.name, incarnation, f"{self.name}:1", "x", 1_000)


class World(NamedTuple):
    """Store, processes, late transactions, and what may still go wrong."""

    processes: tuple[Process, ...]
    key: Key = Key()
    last_epoch: int = 0
    leases: frozenset[int] = frozenset((1, 2))
    last_lease: int = 2
    late: frozenset[tuple[Write, ...]] = frozenset()
    n_lapses: int = 0
    n_stops: int = 0
    n_kills: int = 0
    n_failures: int = 0
    n_lost: int = 0
    broken: str | None = None


Step = tuple[str, World]


def request_of(process: Process, claim: Claim) -> Read | Sent | Claimed:
    """Return the next call of a claim, or its end."""
    return replay.claim(process.member, claim.revision, claim.began, claim.answers)


def claimant(process: Process, claim: Claim) -> Owner:
    """Return the owner that a claim names."""
    member, epoch = process.member, claim.last_epoch + 1
    return Owner(member.name, member.incarnation, member.address, epoch)


def attached(write: Write, lease: LeaseView) -> Write:
    """Attach an owner key to the lease of the moment, to none if there is none."""
    if write.key != owner_key(SHARD) or lease.lease_id:
        return write
    return Write(write.key, write.value, write.expected_revision)


def put(world: World, i: int, process: Process) -> World:
    """Return the world after a change of one process."""
    processes = world.processes
    return world._replace(processes=(*processes[:i], process, *processes[i + 1 :]))


def end_leases(world: World) -> Iterator[Step]:
    """End leases; the store ends none that its holder may believe in."""
    believed = {
        process.lease.lease_id
        for process in world.processes
        if process.is_alive and process.lease.is_valid
    }
    for lease_id in world.leases - believed:
        yield "a lease ends in the store", end_lease(world, lease_id)


def end_lease(world: World, lease_id: int) -> World:
    """End a lease, which removes its key; renewals that arrived before are late."""
    key = Key() if world.key.lease_id == lease_id else world.key
    after = world._replace(leases=world.leases - {lease_id}, key=key)
    for i, process in enumerate(after.processes):
        renewal = process.renewal
        if renewal is None or renewal.began.lease_id != lease_id or not renewal.answer:
            continue
        late = process._replace(renewal=renewal._replace(is_late=True))
        after = put(after, i, late)
    return after


def restart(world: World, i: int) -> World:
    """Start the next process of an instance."""
    process = world.processes[i]
    return put(world, i, Process(process.name, process.incarnation + 1, NO_LEASE))
