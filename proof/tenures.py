"""Specification of the leases that a worker holds while owners replace each other."""

from collections.abc import Hashable, Iterator
from typing import ClassVar, cast

from apricotgap.clock import FakeClock
from apricotgap.instance.lease import InstanceLease
from apricotgap.instance.tenure import CLOCK_SLACK_MS, new_mark
from apricotgap.jobs.limits import (
    LEASE_MARGIN_MS,
    SILENT_WORKER_MS,
    START_WINDOW_MS,
    WORKER_LEASE_TAIL_MS,
)
from apricotgap.platform.store import StoreClient
from proof import lease_bounds
from proof.checker import Specification
from proof.lease_bounds import MAX_LEASE_MS, OWNER_TTL_MS, Belief
from proof.tenure_world import (
    ACQUIRED,
    TICK_MS,
    Claim,
    Former,
    Owner,
    Step,
    World,
    aged,
    end_key,
    remaining_ms,
)

__all__ = ["Tenures"]

# What is left of an instance's lease as it claims the shard: just granted, or nearly
# over.
LEFT_AT_CLAIM_MS = (OWNER_TTL_MS, 1_000)
# Of leases of earlier owners, after a moment at which one had a valid lease.
LONGEST_MS = OWNER_TTL_MS + WORKER_LEASE_TAIL_MS
_STORE = StoreClient("127.0.0.1:1")


def _plain_mark(epoch: int) -> bytes:
    """Return the mark of an owner that has seen the leases before it end."""
    return str(epoch).encode()


class Tenures(Specification):
    """One worker that may be out of reach at any moment, and owners of its shard."""

    name = "tenures"
    bounds = (
        f"1 worker, steps of {TICK_MS} ms, 1 renewal each; 3 owners, of this build or "
        "some of earlier ones; or 2, late writes and 1 late renewal; or 2 and 1 "
        "restart; or 1 and polls without answers"
    )
    invariants = (
        "no owner takes a lease for ended that a worker may still hold",
        "the wait for a lease of an earlier owner is bounded",
        "the lease of a worker that answers no poll ends",
    )
    guards: ClassVar[dict[str, str]] = {
        "wait for the leases of earlier owners": "a second run beside an inherited one",
        "a mark counts for the last owner only": "leases of an owner that never marked",
        "a mark beside an owner key does not count": "leases of a process just killed",
        "claim only with the mark that was read": "a mark that is removed beside it",
        "mark once earlier leases have ended": "leases of the owner before the last",
        "a mark tells of leases before its owner": "a chain of short tenures",
        "a mark counts from the end of its owner's lease": "a claim under an old lease",
        "a process is gone from its own end on": "a wait that counts from before it",
        "mark under the ownership only": "a late mark of a shard that was given up",
        "remove the mark with the owner key": "leases given just before the end",
        "revoke no lease that holds an owner key": "a key that goes before its time",
        "give a shard up only once it is stopped": "leases given after the end",
        "a lease ends with the owner's": "leases longer than the wait",
        "an ownership ends with its lease": "leases given under the next lease",
        "a lease counts from the sending of its renewal": "a belief that outlives it",
        "allow for the difference of clocks": "a key that goes early by its owner",
        "allow for slow clocks of workers": "a lease that lasts longer than offered",
        "count the lease of a poll without answer": "a renewal that did arrive",
        "count the window of a start": "a run that a start keeps alive",
        "offer a silent worker no lease": "tasks away as long as it takes polls",
        "start nothing on a silent worker": "tasks away as long as it takes starts",
        "longest lease of a restarted worker": "a lease that the last one was offered",
        "settled once the longest lease has ended": "a successor that waits too short",
        "an owner waits no longer than leases last": "a wait for the longest lease",
    }

    def initial(self) -> Iterator[World]:
        """Return the state of an owner that has marked its tenure."""
        world = World(Owner(1, OWNER_TTL_MS, ACQUIRED, 0, None))
        yield world._replace(n_takeovers=2)
        late = world._replace(n_takeovers=1, may_be_late=True)
        yield late._replace(n_late_renewals=1)
        unmarked = Owner(1, OWNER_TTL_MS, ACQUIRED, 0, 0)
        yield late._replace(owner=unmarked, mark=None, n_renewals=0)
        yield world._replace(n_takeovers=1, n_restarts=1)
        yield world._replace(n_takeovers=2, has_earlier_builds=True)
        yield world._replace(may_fall_silent=True)

    def violated(self, state: Hashable) -> str | None:
        """Return the invariant that a state breaks."""
        world = cast(World, state)
        owner = world.owner
        if owner is None:
            return None
        is_over = world.lease_ms > 0 and lease_bounds.is_over(owner.belief)
        if is_over or world.lease_ms > owner.belief.lease_ms:
            return self.invariants[0]
        if not owner.belief.longest_ms:
            if owner.belief.lease_ms > lease_bounds.bound_ms(LONGEST_MS):
                return self.invariants[1]
            is_over = owner.silent_ms > lease_bounds.bound_ms(LONGEST_MS)
            if is_over and owner.belief.lease_ms > 0:
                return self.invariants[2]
        return None

    def steps(self, state: Hashable) -> Iterator[Step]:
        """Return what can happen next."""
        world = cast(World, state)
        yield f"{TICK_MS} ms pass", self._pass_time(world)
        if world.key and world.key_ms <= CLOCK_SLACK_MS:
            yield "the lease of the owner ends in the store", end_key(world)
        # What the last owner does changes nothing that a successor would find.
        if world.owner is not None and (world.n_takeovers or world.may_fall_silent):
            yield from self._own(world, world.owner)
            yield from self._renew(world, world.owner)
            yield from self._start(world, world.owner)
            yield from self._poll(world, world.owner)
            yield from self._end(world, world.owner)
        if world.former is not None:
            yield from self._outlive(world, world.former)
        yield from self._claim(world)
        if world.late_mark:
            yield "a late mark fails or lands", self._land_mark(world)

    def _pass_time(self, world: World) -> World:
        """Let time pass; what has long ended stays as it is."""
        owner, former = world.owner, world.former
        if owner is not None:
            mark_in_ms = owner.mark_in_ms
            if mark_in_ms is not None:
                mark_in_ms = max(-1, mark_in_ms - TICK_MS)
            silent_ms = owner.silent_ms + TICK_MS if owner.belief.is_silent else 0
            owner = owner._replace(
                lease_ms=remaining_ms(owner.lease_ms),
                belief=aged(owner.belief),
                mark_in_ms=mark_in_ms,
                silent_ms=min(silent_ms, 2 * MAX_LEASE_MS),
            )
        if former is not None:
            former = former._replace(
                lease_ms=remaining_ms(former.lease_ms),
                next_lease_ms=max(0, former.next_lease_ms - TICK_MS),
            )
        is_gone = world.key and owner is None and former is None
        gone_ms = min(world.gone_ms + TICK_MS, LONGEST_MS) if is_gone else 0
        return world._replace(
            owner=owner,
            former=former,
            gone_ms=gone_ms,
            key_ms=max(0, world.key_ms - TICK_MS),
            lease_ms=max(0, world.lease_ms - TICK_MS),
        )

    def _own(self, world: World, owner: Owner) -> Iterator[Step]:
        """Mark the tenure, and tell the roster that the worker is settled."""
        is_due = owner.mark_in_ms is not None and (
            owner.mark_in_ms < 0
            or not self.guarded("mark once earlier leases have ended")
        )
        if is_due and world.key == owner.epoch:
            marked = world._replace(owner=owner._replace(mark_in_ms=None))
            mark = _plain_mark(owner.epoch)
            yield "the owner marks its tenure", marked._replace(mark=mark)
            if world.may_be_late:
                yield "the mark is late", marked._replace(late_mark=owner.epoch)
        is_settled = owner.belief.is_settled or not self.guarded(
            "settled once the longest lease has ended"
        )
        if is_settled and not world.is_roster_settled and world.key == owner.epoch:
            yield "the worker has settled", world._replace(is_roster_settled=True)

    def _land_mark(self, world: World) -> World:
        is_owned = world.key == world.late_mark
        after = world._replace(late_mark=0)
        if is_owned or not self.guarded("mark under the ownership only"):
            return after._replace(mark=_plain_mark(world.late_mark))
        return after

    def _renew(self, world: World, owner: Owner) -> Iterator[Step]:
        if world.key != owner.epoch or not world.n_renewals:
            return
        left = world._replace(n_renewals=world.n_renewals - 1)
        yield (
            "the lease is renewed",
            left._replace(
                key_ms=OWNER_TTL_MS, owner=owner._replace(lease_ms=OWNER_TTL_MS)
            ),
        )
        yield "the answer to a renewal is lost", left._replace(key_ms=OWNER_TTL_MS)
        if world.n_late_renewals:
            yield "the answer to a renewal is late", self._renew_late(left)

    def _renew_late(self, world: World) -> World:
        """Let the answer to a renewal come a step after its sending."""
        after = self._pass_time(world)
        owner = cast(Owner, after.owner)
        is_exact = self.guarded("a lease counts from the sending of its renewal")
        believed_ms = OWNER_TTL_MS - TICK_MS if is_exact else OWNER_TTL_MS
        return after._replace(
            owner=owner._replace(lease_ms=max(owner.lease_ms, believed_ms)),
            key_ms=OWNER_TTL_MS - TICK_MS,
            n_late_renewals=world.n_late_renewals - 1,
        )

    def _start(self, world: World, owner: Owner) -> Iterator[Step]:
        """Send a start, whose deadline the worker takes for the end of its lease."""
        if owner.lease_ms <= LEASE_MARGIN_MS or not owner.belief.is_acquired:
            return
        is_silent = owner.silent_ms > SILENT_WORKER_MS
        if is_silent and self.guarded("start nothing on a silent worker"):
            return
        lease_ms = lease_bounds.real_lease_ms(START_WINDOW_MS)
        if self.guarded("count the window of a start"):
            owner = owner._replace(belief=lease_bounds.start(owner.belief))
        started = world._replace(owner=owner, lease_ms=max(world.lease_ms, lease_ms))
        yield "a start is sent", started

    def _poll(self, world: World, owner: Owner) -> Iterator[Step]:
        """Poll the worker, which may take the call although its answer is lost."""
        outcomes = ("answered", "unanswered")
        for outcome in outcomes[: 1 + world.may_fall_silent]:
            lease_ms, belief = self._offer(
                owner.lease_ms, owner.belief, owner.span_ms, outcome
            )
            polled = owner._replace(
                belief=belief,
                silent_ms=0 if outcome == "answered" else owner.silent_ms,
            )
            yield (
                f"a poll is {outcome}",
                world._replace(
                    owner=polled,
                    token=max(world.token, owner.epoch),
                    lease_ms=max(world.lease_ms, lease_ms),
                ),
            )
        if owner.belief.is_acquired and world.n_restarts:
            yield "the worker restarts", self._restart(world, owner)

    def _offer(
        self, owner_lease_ms: int, belief: Belief, span_ms: int, outcome: str
    ) -> tuple[int, Belief]:
        """Return the lease that the worker takes from a poll, and the belief after."""
        if not self.guarded("a lease ends with the owner's"):
            owner_lease_ms = MAX_LEASE_MS
        if not self.guarded("count the lease of a poll without answer"):
            outcome = outcome.replace("unanswered", "unsent")
        before = belief
        if not self.guarded("offer a silent worker no lease"):
            before = before._replace(is_silent=False)
        offered_ms, after = lease_bounds.poll(owner_lease_ms, before, span_ms, outcome)
        if not self.guarded("allow for slow clocks of workers"):
            after = after._replace(lease_ms=max(belief.lease_ms, offered_ms))
        return lease_bounds.real_lease_ms(offered_ms), after

    def _restart(self, world: World, owner: Owner) -> World:
        """Let a call that was meant for the last incarnation reach the next one.

        The end of its lease may be far ahead on the clock of that one.
        """
        longest_ms = lease_bounds.bound_ms(MAX_LEASE_MS)
        belief = Belief(longest_ms, longest_ms)
        return world._replace(
            owner=owner._replace(belief=belief, silent_ms=0),
            is_roster_settled=not self.guarded("longest lease of a restarted worker"),
            lease_ms=lease_bounds.real_lease_ms(MAX_LEASE_MS),
            token=0,
            n_restarts=world.n_restarts - 1,
        )

    def _end(self, world: World, owner: Owner) -> Iterator[Step]:
        gone = world._replace(owner=None)
        yield "the owner is killed", gone
        former = Former(owner.epoch, owner.lease_ms)
        if world.may_be_late:
            yield "the owner is cut off from the store", gone._replace(former=former)
        if world.key != owner.epoch:
            return
        is_removed = self.guarded("remove the mark with the owner key")
        mark = None if is_removed else world.mark
        given_up = gone._replace(key=0, key_ms=0, mark=mark)
        if not self.guarded("give a shard up only once it is stopped"):
            runs_on = former._replace(next_lease_ms=OWNER_TTL_MS)
            given_up = given_up._replace(former=runs_on)
        yield "the owner gives the shard up", given_up
        if not self.guarded("revoke no lease that holds an owner key"):
            yield "the lease is revoked", gone._replace(key=0, key_ms=0)

    def _outlive(self, world: World, former: Former) -> Iterator[Step]:
        """Poll for an owner that has not heard yet of the end of its ownership."""
        if former.epoch >= world.token:
            left_ms = self._former_lease_ms(former)
            lease_ms, _ = self._offer(left_ms, ACQUIRED, 0, "answered")
            polled = world._replace(lease_ms=max(world.lease_ms, lease_ms))
            yield "an earlier owner polls", polled
        if former.lease_ms <= 0 and not former.next_lease_ms:
            renewed = former._replace(next_lease_ms=OWNER_TTL_MS)
            yield "its instance has a new lease", world._replace(former=renewed)
        yield "an earlier owner hears of its end", world._replace(former=None)

    def _former_lease_ms(self, former: Former) -> int:
        """Return what a former owner believes to be left of the lease of its key."""
        if not former.next_lease_ms:
            return former.lease_ms
        if not self.guarded("give a shard up only once it is stopped"):
            return former.next_lease_ms
        lease = InstanceLease(_STORE, FakeClock(), OWNER_TTL_MS)
        lease.lease_id, lease.valid_until_ms = 2, MAX_LEASE_MS + former.next_lease_ms
        own_id = 1 if self.guarded("an ownership ends with its lease") else 2
        until_ms = lease.valid_until_ms_of(own_id)
        return until_ms - MAX_LEASE_MS if until_ms else -MAX_LEASE_MS

    def _claim(self, world: World) -> Iterator[Step]:
        claim = world.claim
        if claim is None and world.n_takeovers:
            seen = Claim(0, world.last_epoch, world.mark)
            if not world.key:
                yield from self._land_claim(world, seen)
            elif world.may_be_late:
                # The view of the owner keys may be behind the other two reads.
                yield "an instance begins a claim", world._replace(claim=seen)
            if world.key and world.owner is None and world.former is None:
                again = seen._replace(key=world.key)
                yield from self._land_claim(world, again)
        if claim is not None:
            yield from self._land_claim(world._replace(claim=None), claim)

    def _land_claim(self, world: World, claim: Claim) -> Iterator[Step]:
        is_valid = claim.key == world.key and claim.last_epoch == world.last_epoch
        if self.guarded("claim only with the mark that was read"):
            is_valid &= claim.mark == world.mark
        if not is_valid:
            yield "a claim fails", world
            return
        for lease_ms in LEFT_AT_CLAIM_MS:
            landed = self._take_over(world, claim, lease_ms)
            yield "a claim lands", landed
            if world.has_earlier_builds:
                unmarked = landed._replace(mark=world.mark)
                yield "a claim of an earlier build lands", unmarked

    def _take_over(self, world: World, claim: Claim, left_ms: int) -> World:
        epoch = claim.last_epoch + 1
        span_ms = self._inherited_ms(world, claim)
        belief = lease_bounds.inherit(span_ms, world.is_roster_settled)
        if not self.guarded("allow for slow clocks of workers"):
            belief = belief._replace(lease_ms=span_ms)
        if not self.guarded("wait for the leases of earlier owners"):
            belief = belief._replace(lease_ms=0)
        if not self.guarded("an owner waits no longer than leases last"):
            belief = belief._replace(lease_ms=lease_bounds.bound_ms(MAX_LEASE_MS))
        owner = Owner(epoch, left_ms, belief, span_ms, lease_bounds.bound_ms(span_ms))
        return world._replace(
            owner=owner,
            key=epoch,
            key_ms=left_ms,
            gone_ms=0,
            last_epoch=epoch,
            mark=self._new_mark(epoch, span_ms, left_ms),
            n_renewals=1,
            n_takeovers=world.n_takeovers - 1,
        )

    def _new_mark(self, epoch: int, span_ms: int, left_ms: int) -> bytes:
        if not self.guarded("a mark tells of leases before its owner"):
            return _plain_mark(epoch)
        if not self.guarded("a mark counts from the end of its owner's lease"):
            left_ms = OWNER_TTL_MS
        return new_mark(epoch, span_ms, left_ms)

    def _inherited_ms(self, world: World, claim: Claim) -> int:
        last_epoch, mark = claim.last_epoch, claim.mark
        gone_ms = world.gone_ms if claim.key else None
        if not self.guarded("a process is gone from its own end on") and claim.key:
            gone_ms = world.gone_ms + OWNER_TTL_MS
        if not self.guarded("a mark counts for the last owner only") and mark:
            last_epoch = int(mark.split()[0])
        if not self.guarded("a mark beside an owner key does not count"):
            gone_ms = None
        span_ms = lease_bounds.inherited_ms(last_epoch, mark, gone_ms)
        is_short = span_ms < LONGEST_MS
        if is_short and not self.guarded("allow for the difference of clocks"):
            return span_ms - CLOCK_SLACK_MS
        return span_ms
