"""Election of shard owners: claims, handovers and reclaimed shards."""

import pytest

from apricotgap.clock import FakeClock
from apricotgap.instance.cluster_view import FLEET_SHARD, ClusterView
from apricotgap.instance.election import (
    CLOSING_DELAY_MS,
    HANDOVER_DELAY_MS,
    RANK_DELAY_MS,
    RECLAIM_DELAY_MS,
)
from apricotgap.instance.keys import (
    SHARD_CLOSING,
    SHARD_OPEN,
    Owner,
    encode_owner,
    owner_key,
    shard_key,
)
from apricotgap.platform.store import Conflict, Item
from tests.election_harness import Rig, Store, run


def test_single_instance_claims_all_shards():
    """Guards against shards that no instance claims."""

    async def check(rig):
        await rig.advance(1_000)
        assert sorted(rig.running) == ["s1", "s2"]

    run(check)


def test_shard_whose_key_is_gone_unseen_is_claimed_after_a_conflict():
    """Guards against a shard that waits for a watch: a conflict shows no key that does
    not exist, and the view still has the key of an earlier process.
    """

    async def check(rig):
        owner = encode_owner(Owner("me", "i0", "10.0.0.1:1", 1))
        rig.cluster_view.apply(Item(owner_key("s1"), owner, 2))
        write = rig.store.write

        async def write_if_absent(writes):
            if any(
                each.key == owner_key("s1") and each.expected_revision
                for each in writes
            ):
                return Conflict(())
            return await write(writes)

        rig.store.write = write_if_absent
        await rig.advance(1_000)
        assert sorted(rig.running) == ["s1", "s2"]

    run(check)


def test_slow_instance_leaves_vacant_shards_to_a_fast_one():
    """Guards against a shard on an instance that is too slow for its load."""

    async def check(rig):
        rig.add("fast", 2_150)
        await rig.advance(RANK_DELAY_MS // 2)
        assert rig.running == []
        # The fast instance claimed none, so the slow one must.
        await rig.advance(4 * RANK_DELAY_MS)
        assert sorted(rig.running) == ["s1", "s2"]

    run(check, speed_milli=500)


def test_claim_says_that_the_shard_may_have_jobs():
    """Guards against jobs without a next owner once their route has left."""

    async def check(rig):
        await rig.advance(1_000)
        assert {rig.cluster_view.shard_item(s).value for s in ("s1", "s2")} == {b"open"}

    run(check)


@pytest.mark.parametrize("is_closing, n_claimed", [(True, 1), (False, 2)])
def test_shard_that_is_given_up_is_left_until_its_key_is_removed(is_closing, n_claimed):
    """Guards against a claim that keeps an unused shard alive, again and again."""

    async def check(rig):
        value = SHARD_CLOSING if is_closing else SHARD_OPEN
        rig.cluster_view.apply(Item(shard_key("s1"), value, 5))
        await rig.advance(CLOSING_DELAY_MS - 500)
        assert len(rig.running) == n_claimed
        await rig.advance(1_000)
        assert len(rig.running) == 2

    run(check)


def test_shard_of_an_earlier_build_is_marked_by_another_instance():
    """Guards against jobs that an upgrade loses with the route of their service."""

    async def check(rig):
        rig.add("old", 1_000, "s1", FLEET_SHARD)
        await rig.advance(3 * RANK_DELAY_MS)
        assert rig.cluster_view.owner("s1").name == "old"
        assert rig.cluster_view.shard_item("s1").value == b"open"
        assert rig.cluster_view.shard_item(FLEET_SHARD) is None

    run(check)


def test_shard_that_returns_is_left_to_a_fast_instance_once_more():
    """Guards against all instances that claim a returning service at one moment."""

    async def check(rig):
        rig.add("fast", 2_150)
        await rig.advance(RANK_DELAY_MS // 2)
        rig.cluster_view.offered = ()
        await rig.advance(4 * RANK_DELAY_MS)
        rig.cluster_view.offered = ("s1",)
        await rig.advance(RANK_DELAY_MS // 2)
        assert rig.running == []
        await rig.advance(4 * RANK_DELAY_MS)
        assert rig.running == ["s1"]

    run(check, speed_milli=500)


def test_slow_owner_hands_a_shard_over_to_a_fast_instance_that_joins_later():
    """Guards against shards that stay on a slow instance."""

    async def check(rig):
        await rig.advance(500)
        assert rig.election.n_owned == 2
        rig.add("fast", 2_150)
        await rig.advance(HANDOVER_DELAY_MS + 200)
        assert rig.election.n_owned == 1

    run(check, speed_milli=500)


def test_shard_whose_earlier_workers_are_unknown_is_not_handed_over():
    """Guards against tasks that wait for a lost worker again and again: each new owner
    begins to wait anew.
    """

    async def check(rig):
        rig.settled = set()
        await rig.advance(500)
        rig.add("fast", 2_150)
        await rig.advance(HANDOVER_DELAY_MS + 1_000)
        assert rig.election.n_owned == 2
        rig.settled = {"s2"}
        await rig.advance(200)
        assert rig.cluster_view.owner("s2") is None

    run(check, speed_milli=500)


def test_shard_is_claimed_again_after_a_failed_resignation():
    """Guards against a shard that has an owner key but that no instance runs.

    The store refused to delete the key when the owner resigned.
    """

    async def check(rig):
        await rig.advance(500)
        ownership = rig.election._ownerships["s1"][0]
        rig.store.refuses_removals = True
        await rig.election.resign(ownership, "a defect")
        assert rig.election.n_owned == 1
        await rig.advance(RECLAIM_DELAY_MS + 300)
        assert rig.election.n_owned == 2
        assert rig.running.count("s1") == 2

    run(check)


def test_owner_keeps_its_shards_when_an_equal_instance_joins():
    """Guards against handovers that cost more than they gain."""

    async def check(rig):
        await rig.advance(500)
        rig.add("equal", 1_000)
        await rig.advance(3 * HANDOVER_DELAY_MS)
        assert rig.election.n_owned == 2

    run(check)


def test_service_that_has_left_has_a_shard_as_long_as_it_has_an_owner():
    """Guards against a part of a team's limit that is given away under a running owner,
    or held for a service that nobody owns.
    """
    view = Rig(1_000).cluster_view
    assert view.has_shard("s1")
    assert not view.has_shard("left")
    owner = encode_owner(Owner("other", "i1", "10.0.0.2:1", 1))
    view.apply(Item(owner_key("left"), owner, 2))
    assert view.has_shard("left")
    view.apply(Item(owner_key("left"), None, 3))
    assert not view.has_shard("left")


def test_all_services_have_a_shard_before_the_first_configuration():
    """Guards against rows of a split that are void since nothing is known yet."""
    view = ClusterView(Store(), FakeClock())
    assert view.has_shard("s1")
