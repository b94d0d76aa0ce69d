"""Specification of the ownership of a shard: claims, leases, stops and late answers."""

from collections.abc import Hashable, Iterator
from dataclasses import replace
from typing import ClassVar, cast

from apricotgap.instance.keys import decode_owner, epoch_key, owner_key, tenure_key
from apricotgap.instance.ownership import Ownership
from apricotgap.platform.store import (
    Conflict,
    Item,
    LeaseGone,
    Stored,
    Unknown,
    Write,
)
from proof import claim_replay as replay
from proof.checker import Specification
from proof.claim_replay import SHARD, Answer, Claimed, LeaseView, Read, Sent
from proof.election_world import (
    FAULT,
    NO_LEASE,
    Claim,
    Key,
    Process,
    Renewal,
    Step,
    World,
    attached,
    claimant,
    end_lease,
    end_leases,
    put,
    request_of,
    restart,
)

__all__ = ["Elections"]


class Elections(Specification):
    """Two instances and one shard; the second one neither stops nor dies."""

    name = "elections"
    bounds = (
        "2 instances; 1 lapse and 1 stop; or 1 lost answer and 1 lapse, 1 stop, "
        "1 restart or 1 failure"
    )
    invariants = (
        "an owner key has a lease that the store will end",
        "no two claims have one epoch",
        "whoever acts as owner holds the owner key",
        "a process that stops takes up no shard",
    )
    goal = "a shard without an owner gets one"
    guards: ClassVar[dict[str, str]] = {
        "ask for the lease after the reads": "an owner key without a lease",
        "ask for the lease after the write": "a shard that a stopping process takes up",
        "claim only a key that has not changed": "a claim that replaces an owner",
        "claim with the epoch that was read": "two owners with one fencing token",
        "an ownership ends with its lease": "an owner under the next lease",
        "a renewal tells that the lease has ended": "an owner whose key is gone",
        "a lease counts from the sending of its renewal": "an owner whose key is gone",
        "stop the shard before its key is removed": "two owners while one gives up",
        "remove only the own key": "a late removal of the next owner's key",
        "a claim that is read again names its process": "the key of an earlier process",
        "reclaim a key that nobody runs": "a shard that no other instance may claim",
    }

    def initial(self) -> Iterator[World]:
        """Return the states before the first claim."""
        world = World(
            (
                Process("a", 1, LeaseView(1, True)),
                Process("b", 1, LeaseView(2, True)),
            )
        )
        yield world._replace(n_lapses=1, n_lost=1)
        yield world._replace(n_lapses=1, n_stops=1)
        yield world._replace(n_stops=1, n_lost=1)
        yield world._replace(n_kills=1, n_lost=1)
        yield world._replace(n_failures=1, n_lost=1)

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        world = cast(World, state)
        if world.key.owner is not None and world.key.lease_id not in world.leases:
            return self.invariants[0]
        for process in world.processes:
            if self._is_acting(process):
                epoch = cast(Ownership, process.owns).epoch
                if world.key.owner is None or world.key.owner.epoch != epoch:
                    return self.invariants[2]
        return world.broken

    def reached(self, state: Hashable) -> bool:
        """Return whether an instance runs the shard."""
        return any(map(self._is_acting, cast(World, state).processes))

    def is_fault(self, label: str) -> bool:
        """Return whether a step is a fault."""
        return label.startswith(FAULT)

    def _is_acting(self, process: Process) -> bool:
        """Return whether a process runs the shard and may act as its owner."""
        owns, lease = process.owns, process.lease
        if owns is None or not process.is_alive:
            return False
        if not self.guarded("an ownership ends with its lease"):
            owns = replace(owns, lease_id=lease.lease_id)
        return replay.has_permission(owns, lease)

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        yield from end_leases(world)
        for writes in world.late:
            landed, _ = self._land(world._replace(late=world.late - {writes}), writes)
            yield "a late transaction is carried out or fails", landed
        for i, process in enumerate(world.processes):
            if not process.is_alive:
                yield f"{process.name} starts again", restart(world, i)
                continue
            if process.seen != world.key:
                seen = process._replace(seen=world.key)
                yield f"{process.name} sees the owner key", put(world, i, seen)
            yield from self._lease(world, i, process)
            yield from self._claim(world, i, process)
            yield from self._own(world, i, process)
            yield from self._leave(world, i, process)
            yield from _faults(world, i, process)

    # Leases

    def _lease(self, world: World, i: int, process: Process) -> Iterator[Step]:
        who, lease, renewal = process.name, process.lease, process.renewal
        if not lease.lease_id and process.stage != "left":
            yield f"{who} acquires a lease", self._acquire(world, i, process)
        elif lease.lease_id and renewal is None and not lease.is_valid:
            sent = process._replace(renewal=Renewal(lease))
            yield f"{who} renews its lease", put(world, i, sent)
        if renewal is not None and renewal.answer is None:
            is_renewed = renewal.began.lease_id in world.leases
            arrived = process._replace(renewal=renewal._replace(answer=is_renewed))
            yield f"the renewal of {who} arrives", put(world, i, arrived)
        elif renewal is not None:
            yield (
                f"{who} has the answer to its renewal",
                put(world, i, self._renewed(process, renewal)),
            )

    def _acquire(self, world: World, i: int, process: Process) -> World:
        lease_id = world.last_lease + 1
        after = replay.renew(process.lease, lease_id)
        return put(world, i, process._replace(lease=after))._replace(
            leases=world.leases | {lease_id}, last_lease=lease_id
        )

    def _renewed(self, process: Process, renewal: Renewal) -> Process:
        answer = cast(bool, renewal.answer)
        is_late = renewal.is_late
        if not self.guarded("a renewal tells that the lease has ended"):
            answer = True
        if not self.guarded("a lease counts from the sending of its renewal"):
            is_late = False
        is_revoked = process.stage == "left"
        after = replay.renew(renewal.began, answer, is_late, is_revoked)
        lease = after._replace(is_draining=process.lease.is_draining)
        return process._replace(lease=lease, renewal=None)

    # Claims

    def _claim(self, world: World, i: int, process: Process) -> Iterator[Step]:
        who, claim = process.name, process.claim
        if claim is None:
            if self._is_claimable(process):
                began = Claim(process.seen.revision, process.lease)
                yield f"{who} begins a claim", self._read(world, i, process, began)
            return
        request = request_of(process, claim)
        if isinstance(request, Read):
            item = self._read_again(world, process, claim)
            for value in (item, replay.NO_ANSWER)[: 1 + bool(world.n_lost)]:
                answered = self._answer(world, i, process, claim, value)
                yield f"{who} reads the owner key again", answered
        elif claim.outcome is not None:
            answered = self._answer(world, i, process, claim, claim.outcome)
            yield f"{who} has the answer to its claim", answered
        elif isinstance(request, Sent):
            yield from self._send(world, i, process, request)

    def _is_claimable(self, process: Process) -> bool:
        if process.owns or not replay.may_claim(process.member, process.lease):
            return False
        owner = process.seen.owner
        if owner is None:
            return True
        is_own = owner.name == process.name
        if owner.incarnation == process.member.incarnation:
            is_own &= self.guarded("reclaim a key that nobody runs")
        return is_own

    def _read(self, world: World, i: int, process: Process, claim: Claim) -> World:
        epoch = world.last_epoch
        value = str(epoch).encode() if epoch else None
        counter = Item(epoch_key(SHARD), value, epoch)
        mark = Item(tenure_key(SHARD), None, 0)
        answers = Answer(counter, process.lease), Answer(mark, process.lease)
        claim = claim._replace(answers=answers)
        return put(world, i, process._replace(claim=claim))

    def _read_again(self, world: World, process: Process, claim: Claim) -> Item:
        key = world.key
        is_named = key.owner is not None and key.owner.name == process.name
        if is_named and not self.guarded(
            "a claim that is read again names its process"
        ):
            key = key._replace(owner=claimant(process, claim))
        return key.item()

    def _send(
        self, world: World, i: int, process: Process, request: Sent
    ) -> Iterator[Step]:
        who, claim = process.name, cast(Claim, process.claim)
        writes = request.writes
        # The lease is asked for at any time between the reads and the transaction.
        last = claim.answers[-1]._replace(lease=process.lease)
        answers = (*claim.answers[:-1], last)
        if self.guarded("ask for the lease after the reads"):
            now = replay.claim(process.member, claim.revision, claim.began, answers)
            if isinstance(now, Claimed):
                dropped = put(world, i, process._replace(claim=None))
                yield f"{who} drops its claim", dropped
                return
            writes = cast(Sent, now).writes
            claim = claim._replace(answers=answers)
        else:
            writes = tuple(attached(write, process.lease) for write in writes)
        landed, outcome = self._land(world, writes)
        done = process._replace(claim=claim._replace(outcome=outcome))
        yield f"the claim of {who} is carried out", put(landed, i, done)
        if world.n_lost:
            lost = process._replace(claim=claim._replace(outcome=Unknown("timeout")))
            after = put(world, i, lost)._replace(n_lost=world.n_lost - 1)
            yield (
                f"{FAULT}the claim of {who} is late",
                after._replace(late=world.late | {writes}),
            )
            after = put(landed, i, lost)._replace(n_lost=world.n_lost - 1)
            yield f"{FAULT}the answer to the claim of {who} is lost", after

    def _answer(
        self, world: World, i: int, process: Process, claim: Claim, value: object
    ) -> World:
        lease = process.lease
        if isinstance(value, Unknown) or not self.guarded(
            "ask for the lease after the write"
        ):
            lease = claim.began
        answers = (*claim.answers, Answer(value, lease))
        claim = claim._replace(answers=answers, outcome=None)
        request = request_of(process, claim)
        if not isinstance(request, Claimed):
            return put(world, i, process._replace(claim=claim))
        owns = request.ownership
        seen = world.key if isinstance(value, Stored | Conflict) else process.seen
        if owns is not None and world.key.revision == owns.revision:
            seen = world.key
        after = put(world, i, process._replace(claim=None, owns=owns, seen=seen))
        if owns is not None and process.lease.is_draining:
            return after._replace(broken=self.invariants[3])
        return after

    def _land(self, world: World, writes: tuple[Write, ...]) -> tuple[World, object]:
        """Carry out a transaction on the owner key, or fail."""
        by_key = {write.key: write for write in writes}
        own = by_key[owner_key(SHARD)]
        counter = by_key.get(epoch_key(SHARD))
        guard = (
            "claim only a key that has not changed"
            if counter
            else "remove only the own key"
        )
        is_valid = own.expected_revision == world.key.revision
        is_valid = is_valid or not self.guarded(guard)
        if counter is not None and self.guarded("claim with the epoch that was read"):
            is_valid &= counter.expected_revision == world.last_epoch
        if not is_valid:
            items = (world.key.item(),) if world.key.owner else ()
            return world, Conflict(items)
        if own.value is None:
            return world._replace(key=Key()), Stored(0)
        if own.lease is not None and own.lease.lease_id not in world.leases:
            return world, LeaseGone()
        owner = decode_owner(own.value)
        lease_id = own.lease.lease_id if own.lease else 0
        after = world._replace(
            key=Key(owner.epoch, owner, lease_id),
            last_epoch=max(owner.epoch, world.last_epoch),
        )
        if owner.epoch <= world.last_epoch:
            after = after._replace(broken=self.invariants[1])
        return after, Stored(owner.epoch)

    # The end of an ownership

    def _own(self, world: World, i: int, process: Process) -> Iterator[Step]:
        if process.owns is None:
            return
        item = process.seen.item() if process.seen.owner else None
        if replay.drops_shard(process.member, process.owns, process.lease, item):
            dropped = put(world, i, process._replace(owns=None))
            yield f"{process.name} has lost the shard", dropped
        if world.n_failures:
            failing = world._replace(n_failures=world.n_failures - 1)
            for label, after, _ in self._resign(failing, i, process):
                yield f"{FAULT}the shard of {process.name} fails, {label}", after

    def _resign(
        self, world: World, i: int, process: Process
    ) -> Iterator[tuple[str, World, bool]]:
        """Give the shard up; also return whether its key is known to be gone."""
        owns = cast(Ownership, process.owns)
        removal = (Write(owner_key(SHARD), expected_revision=owns.revision),)
        if self.guarded("stop the shard before its key is removed"):
            process = process._replace(owns=None)
        stopped = put(world, i, process)
        landed, _ = self._land(stopped, removal)
        yield "the key is removed", landed, True
        if world.n_lost:
            lost = stopped._replace(n_lost=world.n_lost - 1)
            late = lost._replace(late=world.late | {removal})
            yield f"{FAULT}the removal of the key is late", late, False
            yield f"{FAULT}the removal of the key is refused", lost, False

    def _leave(self, world: World, i: int, process: Process) -> Iterator[Step]:
        who = process.name
        if not process.lease.is_draining or process.stage == "left":
            return
        if not process.stage:
            if process.owns is not None:
                for label, after, is_gone in self._resign(world, i, process):
                    stage = "gone" if is_gone else "unknown"
                    resigned = after.processes[i]._replace(stage=stage)
                    yield label, put(after, i, resigned)
                return
            owner = process.seen.owner
            has_key = owner is not None and owner.name == who
            stage = "unknown" if has_key else "gone"
            yield f"{who} owns nothing", put(world, i, process._replace(stage=stage))
            return
        left = process._replace(stage="left", lease=NO_LEASE._replace(is_draining=True))
        after = put(world, i, left)
        if process.stage == "gone":
            yield f"{who} revokes its lease", end_lease(after, process.lease.lease_id)
        else:
            yield f"{who} abandons its lease", after


def _faults(world: World, i: int, process: Process) -> Iterator[Step]:
    who, lease = process.name, process.lease
    if world.n_lapses and lease.is_valid:
        lapsed = process._replace(lease=lease._replace(is_valid=False))
        after = put(world, i, lapsed)._replace(n_lapses=world.n_lapses - 1)
        yield f"{FAULT}{who} cannot renew its lease", after
    if i > 0:
        return
    if world.n_stops and not lease.is_draining:
        stopping = process._replace(lease=lease._replace(is_draining=True))
        after = put(world, i, stopping)._replace(n_stops=world.n_stops - 1)
        yield f"{FAULT}{who} is told to stop", after
    if world.n_kills:
        dead = Process(who, process.incarnation, NO_LEASE, is_alive=False)
        after = put(world, i, dead)._replace(n_kills=world.n_kills - 1)
        yield f"{FAULT}{who} is killed", after
