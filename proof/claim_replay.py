"""Claims and renewals of the product's election, one answer at a time.

A coroutine of the product cannot be copied, so that each step plays it again from its
beginning with the answers that it has had so far.
"""

from collections.abc import Coroutine, Generator
from contextlib import suppress
from functools import cache
from types import coroutine
from typing import Any, NamedTuple, cast

import trio

from apricotgap.clock import FakeClock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.election import Election
from apricotgap.instance.keys import Member
from apricotgap.instance.lease import InstanceLease, Renewal
from apricotgap.instance.ownership import Ownership
from apricotgap.platform.store import Item, StoreClient, StoreError, Write

__all__ = [
    "NO_ANSWER",
    "SHARD",
    "Answer",
    "Claimed",
    "LeaseView",
    "Read",
    "Sent",
    "claim",
    "drops_shard",
    "has_permission",
    "may_claim",
    "renew",
]

SHARD = "s"
# A read whose answer is lost.
NO_ANSWER = StoreError("timeout")
_NOW_MS = 100_000
_VALID_MS = 1_000
_TTL_MS = 3_000


class LeaseView(NamedTuple):
    """What a process believes of its lease, and whether it stops."""

    lease_id: int
    is_valid: bool
    is_draining: bool = False


class Read(NamedTuple):
    """A read of a key that waits for its answer."""

    key: str


class Sent(NamedTuple):
    """A transaction that waits for its answer."""

    writes: tuple[Write, ...]


class Claimed(NamedTuple):
    """The end of a claim."""

    ownership: Ownership | None


class Answer(NamedTuple):
    """An answer of the store, and what its reader believes as it arrives."""

    value: object
    lease: LeaseView


class _Store:
    """Passes each call to whoever plays the coroutine."""

    async def read_key(self, key: str) -> Item:
        return cast(Item, await _ask(Read(key)))

    async def write(self, writes: tuple[Write, ...]) -> object:
        return await _ask(Sent(writes))

    async def renew_lease(self, _lease: int, _timeout_ms: int) -> bool:
        return cast(bool, await _ask("renew"))

    async def grant_lease(self, ttl_ms: int, timeout_ms: int) -> tuple[int, int]:
        return cast(int, await _ask("grant")), ttl_ms


@coroutine
def _ask(request: object) -> Generator[object, object, object]:
    return (yield request)


class _View:
    """A view of one owner key."""

    def __init__(self, item: Item | None = None) -> None:
        self._item = item

    def owner_item(self, _shard: str) -> Item | None:
        return self._item

    def apply(self, item: Item) -> None:
        """Ignore the item: the specification has views of its own."""


@cache
def claim(
    member: Member, revision: int, began: LeaseView, answers: tuple[Answer, ...]
) -> Read | Sent | Claimed:
    """Play a claim and return its next call, or its end.

    Parameters
    ----------
    member : Member
        The instance that claims.
    revision : int
        Revision of the owner key in its view, 0 for none.
    began : LeaseView
        Its lease as the claim begins.
    answers : tuple of Answer
        Answers to the calls of the claim so far.
    """
    lease, clock = _lease(began)
    election = _election(member, lease, clock, None)
    play: Coroutine[Any, Any, Ownership | None] = election._claim(SHARD, revision)
    request = play.send(None)
    for answer in answers:
        _set(lease, answer.lease)
        election.is_draining = answer.lease.is_draining
        try:
            if isinstance(answer.value, StoreError):
                request = play.throw(StoreError("timeout"))
            else:
                request = play.send(answer.value)
        except StopIteration as end:
            return Claimed(end.value)
    play.close()
    return request


@cache
def may_claim(member: Member, lease: LeaseView) -> bool:
    """Return whether an instance has a lease under which it may claim."""
    own, clock = _lease(lease)
    election = _election(member, own, clock, None)
    election.is_draining = lease.is_draining
    return election._usable_lease is not None


@cache
def drops_shard(
    member: Member, ownership: Ownership, lease: LeaseView, seen: Item | None
) -> bool:
    """Return whether an instance stops running a shard, by its lease and its view."""
    own, clock = _lease(lease)
    election = _election(member, own, clock, seen)
    election._ownerships[SHARD] = (ownership, trio.CancelScope())
    election._drop_lost_shards()
    return SHARD not in election._ownerships


@cache
def has_permission(ownership: Ownership, lease: LeaseView) -> bool:
    """Return whether an owner may act now."""
    own, clock = _lease(lease)
    return clock.now_ms < own.valid_until_ms_of(ownership.lease_id)


@cache
def renew(
    began: LeaseView,
    answer: bool | int,
    is_late: bool = False,
    is_revoked: bool = False,
) -> LeaseView:
    """Play the renewal of a lease, or the request for a new one.

    Parameters
    ----------
    began : LeaseView
        The lease as the call is sent.
    answer : bool or int
        Whether the lease was renewed, or the id of the new one.
    is_late : bool
        Whether the renewed lease has ended by the time of the answer.
    is_revoked : bool
        Whether the process has given its lease back meanwhile.
    """
    lease, clock = _lease(began)
    play = lease._renew(Renewal(lease.lease_id)) if lease.lease_id else lease._acquire()
    play.send(None)
    if is_revoked:
        lease.abandon()
    if is_late:
        clock.advance(_TTL_MS + 1)
    with suppress(StopIteration):
        play.send(answer)
    return LeaseView(lease.lease_id, lease.is_valid, began.is_draining)


def _lease(view: LeaseView) -> tuple[InstanceLease, FakeClock]:
    clock = FakeClock(_NOW_MS)
    lease = InstanceLease(cast(StoreClient, _Store()), clock, _TTL_MS)
    _set(lease, view)
    return lease, clock


def _set(lease: InstanceLease, view: LeaseView) -> None:
    lease.lease_id = view.lease_id
    lease.valid_until_ms = _NOW_MS + (_VALID_MS if view.is_valid else -_VALID_MS)


def _election(
    member: Member, lease: InstanceLease, clock: FakeClock, seen: Item | None
) -> Election:
    async def run_shard(_ownership: Ownership) -> None:
        """Run nothing."""

    return Election(
        member,
        cast(StoreClient, _Store()),
        lease,
        cast(ClusterView, _View(seen)),
        clock,
        run_shard,
        lambda _shard: True,
    )
