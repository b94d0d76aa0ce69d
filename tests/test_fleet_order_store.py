"""The list of machines that the next owner of the fleet must leave alone."""

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.instance.fleet_order_store import FleetOrderStore
from apricotgap.instance.keys import FLEET_ORDERS_KEY, owner_key
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.platform.store import StoreClient
from standins.transactional_store import TransactionalStore

SHARD = "fleet"
EXCLUSION_MS = 3_000


class Rig:
    """Owners of the fleet that replace each other at one store."""

    def __init__(self, store):
        self.store = store
        self.clock = FakeClock(10_000)

    def owner(self, epoch):
        revision = self.store.put(owner_key(SHARD), b"owner")
        return FleetOrderStore(
            Ownership(SHARD, epoch, revision, 1),
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


def test_successor_learns_what_was_ordered_just_now():
    async def check(rig):
        first = rig.owner(1)
        assert await first.load() == frozenset()
        assert await first.record(["m0"])
        first.record_sent("m0")
        rig.clock.advance(EXCLUSION_MS // 2)
        assert await first.record(["m1"])
        assert await rig.owner(2).load() == {"m0", "m1"}

    run(check)


def test_machines_ordered_long_ago_are_dropped():
    """Guards against a list that grows to all machines."""

    async def check(rig):
        first = rig.owner(1)
        await first.load()
        await first.record(["m0"])
        first.record_sent("m0")
        rig.clock.advance(EXCLUSION_MS + 1)
        await first.record(["m1"])
        assert await rig.owner(2).load() == {"m1"}

    run(check)


def test_replaced_owner_may_order_nothing_new():
    async def check(rig):
        first = rig.owner(1)
        await first.load()
        await rig.owner(2).load()
        with pytest.raises(OwnershipLostError):
            await first.record(["m0"])

    run(check)


def test_machine_counts_as_written_down_only_when_that_is_certain():
    """Guards against an order that the successor cannot know of."""

    async def check(rig):
        first = rig.owner(1)
        await first.load()
        rig.store.faults.n_lost_answers = 1
        assert not await first.record(["m0"])
        assert await first.record(["m0"])

    run(check)


def test_unreadable_list_may_name_any_machine():
    async def check(rig):
        rig.store.put(FLEET_ORDERS_KEY, b"\xff\xff")
        assert await rig.owner(1).load() is None

    run(check)
