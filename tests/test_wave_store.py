"""Stored progress and status of waves, across late writes and changes of owner."""

import json

import pytest
import trio

from apricotgap.decoding import decode_cbor
from apricotgap.instance.keys import owner_key
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.wave_store import WAVE_PROGRESS_PREFIX, WaveStore
from apricotgap.jobs.configuration import Wave
from apricotgap.jobs.wave_state import WaveState
from apricotgap.platform.store import StoreClient
from standins.transactional_store import TransactionalStore
from tests.conditional_store import LateStore
from tests.jobs_harness import SERVICE
from tests.test_fleet_plan import Rig, machine, wave

SHARD = "fleet"
STATUS_KEY = "status/wave/1"
PROGRESS_KEY = f"{WAVE_PROGRESS_PREFIX}1"


def state(*done):
    return WaveState(Wave(1, ("m0", "m1"), 20_000, 2), 0, done=set(done))


def test_status_that_takes_effect_late_replaces_no_later_one():
    """Guards against a wave that is shown as running after it has succeeded, and one
    whose machines are maintained once more.
    """

    async def main():
        store = LateStore()
        ownership = Ownership(SERVICE, 1, store.revisions[owner_key(SERVICE)], 1, 6_500)
        waves = WaveStore(ownership, store)
        await waves.save({1: state("m0")})
        assert waves.done == {}
        await waves.save({1: state("m0", "m1")})
        assert json.loads(store.values[STATUS_KEY])["state"] == "succeeded"
        assert decode_cbor(store.values[PROGRESS_KEY]) == ["m0", "m1"]

    trio.run(main)


class Owners:
    """Owners of the fleet that replace each other, with one store."""

    def __init__(self, store):
        self.store = store

    async def next(self):
        revision = self.store.put(owner_key(SHARD), b"owner")
        ownership = Ownership(SHARD, 1, revision, 1, 6_500)
        waves = WaveStore(ownership, StoreClient(self.store.address))
        await waves.load()
        return waves


def run(check):
    async def main():
        store = TransactionalStore()
        async with trio.open_nursery() as nursery:
            await nursery.start(store.listener.run)
            await check(Owners(store))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_next_owner_knows_that_a_wave_has_succeeded():
    """Guards against a finished wave that each takeover shows as running again."""

    async def check(owners):
        order = owners.store.put("op/wave/1", b"order")
        first = await owners.next()
        await first.save({1: state("m0", "m1")})
        second = await owners.next()
        assert second.succeeded({1: order}) == {1}
        assert second.done == {1: ("m0", "m1")}
        # An order that was written since is another matter.
        order = owners.store.put("op/wave/1", b"more machines")
        assert second.succeeded({1: order}) == frozenset()
        assert second.succeeded({}) == frozenset()

    run(check)


def test_replaced_owner_stores_no_status():
    """Guards against a status of an owner that has a successor."""

    async def check(owners):
        first = await owners.next()
        await owners.next()
        with pytest.raises(OwnershipLostError):
            await first.save({1: state("m0", "m1")})
        assert STATUS_KEY not in owners.store.items

    run(check)


@pytest.mark.parametrize("odd", [b"", b"{}", b"\xff", b'{"state": 1}'])
def test_odd_progress_and_status_are_written_anew(odd):
    """Guards against a wave that is never stored as its record cannot be read."""

    async def check(owners):
        owners.store.put(PROGRESS_KEY, odd)
        owners.store.put(STATUS_KEY, odd)
        waves = await owners.next()
        assert waves.succeeded({1: 0}) == frozenset()
        await waves.save({1: state("m0", "m1")})
        assert waves.succeeded({1: 0}) == {1}
        assert waves.done == {1: ("m0", "m1")}

    run(check)


def test_wave_that_has_succeeded_stays_so_under_the_next_owner():
    """Guards against questions for machines that left long ago, at each takeover."""
    rig = Rig(machine("m0", "spare"))
    rig.planner.set_waves([wave("m0", "m9")], {1: ["m0"]}, rig.now, {}, {1})
    for _ in range(10):
        assert rig.plan(wave("m0", "m9")) == []
        assert rig.planner.waves[1].is_finished
        rig.now += 900


def test_next_owner_maintains_a_machine_that_is_back():
    """Guards against a machine that counts as gone since an earlier owner said so."""
    rig = Rig(machine("m0", "spare"), machine("m9", "spare"))
    rig.planner.set_waves([wave("m0", "m9")], {1: ["m0"]}, rig.now, {}, {1})
    rig.now += 900
    assert [each.machine for each in rig.plan(wave("m0", "m9"))] == ["m9"]
    assert not rig.planner.waves[1].is_finished
