"""Stored list of the machines that the next fleet owner must not order."""

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.decoding import decode_cbor
from apricotgap.instance.fleet_order_store import FleetOrderStore
from apricotgap.instance.keys import FLEET_ORDERS_KEY, owner_key
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.platform.store import StoreClient
from standins.transactional_store import TransactionalStore
from tests.conditional_store import LateStore
from tests.jobs_harness import SERVICE

SHARD = "fleet"
EXCLUSION_MS = 3_000


class Rig:
    """Fleet owners that replace each other, with one store."""

    def __init__(self, store):
        self.store = store
        self.clock = FakeClock(10_000)

    def owner(self, epoch):
        revision = self.store.put(owner_key(SHARD), b"owner")
        return FleetOrderStore(
            Ownership(SHARD, epoch, revision, 1, 6_500),
            StoreClient(self.store.address),
            self.clock,
            EXCLUSION_MS,
        )


def run(check):
    async def main():
        store = TransactionalStore()
        async with trio.open_nursery() as nursery:
            await nursery.start(store.listener.run)
            await check(Rig(store))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_next_owner_reads_the_recent_orders():
    """Guards against orders of two owners for one machine at the same time."""

    async def check(rig):
        first = rig.owner(1)
        assert await first.load() == frozenset()
        assert await first.record(["m0"])
        first.record_sent("m0")
        rig.clock.advance(EXCLUSION_MS // 2)
        assert await first.record(["m1"])
        assert await rig.owner(2).load() == {"m0", "m1"}

    run(check)


def test_owner_after_the_next_reads_the_recent_orders_too():
    """Guards against orders of two owners for one machine while owners follow each
    other quickly: the one between them stores a list of its own.
    """

    async def check(rig):
        first = rig.owner(1)
        await first.load()
        await first.record(["m0"])
        first.record_sent("m0")
        rig.clock.advance(EXCLUSION_MS // 4)
        second = rig.owner(2)
        await second.load()
        await second.record(["m1"])
        assert await rig.owner(3).load() == {"m0", "m1"}

    run(check)


def test_machines_with_old_orders_are_removed_from_the_list():
    """Guards against a list that grows to contain all machines."""

    async def check(rig):
        first = rig.owner(1)
        await first.load()
        await first.record(["m0"])
        first.record_sent("m0")
        rig.clock.advance(EXCLUSION_MS + 1)
        await first.record(["m1"])
        assert await rig.owner(2).load() == {"m1"}

    run(check)


def test_old_orders_are_removed_without_a_new_one():
    """Guards against a new owner that must not order most machines for a while, since
    the list still names those that were moved after the last peak.
    """

    async def check(rig):
        first = rig.owner(1)
        await first.load()
        assert await first.record(["m0"])
        first.record_sent("m0")
        rig.clock.advance(EXCLUSION_MS // 2)
        await first.prune()
        assert await rig.owner(2).load() == {"m0"}
        rig.clock.advance(EXCLUSION_MS)
        first = rig.owner(3)
        await first.load()
        assert await first.record(["m1"])
        rig.clock.advance(EXCLUSION_MS + 1)
        await first.prune()
        assert await rig.owner(4).load() == frozenset()

    run(check)


def test_machine_that_is_about_to_be_ordered_stays_in_the_list():
    """Guards against an order that is sent long after it was stored, as when the lease
    was short, while the list drops its machine.
    """

    async def check(rig):
        first = rig.owner(1)
        await first.load()
        assert await first.record(["m0"])
        rig.clock.advance(EXCLUSION_MS + 1)
        assert await first.record(["m0"])
        await first.prune()
        assert await rig.owner(2).load() == {"m0"}

    run(check)


def test_replaced_owner_cannot_store_a_new_order():
    """Guards against orders of an owner that was replaced without noticing."""

    async def check(rig):
        first = rig.owner(1)
        await first.load()
        await rig.owner(2).load()
        with pytest.raises(OwnershipLostError):
            await first.record(["m0"])

    run(check)


def test_write_with_a_lost_answer_does_not_count_as_stored():
    """Guards against an order that the next owner cannot know of."""

    async def check(rig):
        first = rig.owner(1)
        await first.load()
        rig.store.faults.n_lost_answers = 1
        assert not await first.record(["m0"])
        assert await first.record(["m0"])

    run(check)


def test_write_that_takes_effect_late_replaces_no_later_one():
    """Guards against an order that the next owner does not know of: an earlier write of
    the list takes effect after the one that names its machine.
    """

    async def main():
        store = LateStore()
        ownership = Ownership(SERVICE, 1, store.revisions[owner_key(SERVICE)], 1, 6_500)
        orders = FleetOrderStore(ownership, store, FakeClock(10_000), EXCLUSION_MS)
        await orders.load()
        assert not await orders.record(["m0"])
        assert await orders.record(["m1"])
        assert decode_cbor(store.values[FLEET_ORDERS_KEY]) == ["m1"]

    trio.run(main)


def test_unreadable_list_is_reported_as_unknown():
    """Guards against an unreadable list that is taken for an empty one."""

    async def check(rig):
        rig.store.put(FLEET_ORDERS_KEY, b"\xff\xff")
        assert await rig.owner(1).load() is None

    run(check)
