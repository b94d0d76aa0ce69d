"""Records of the store with values that their readers don't expect."""

import cbor2
import pytest

from apricotgap.instance.election import RANK_DELAY_MS
from apricotgap.instance.keys import (
    MEMBERS_PREFIX,
    OWNERS_PREFIX,
    decode_member,
    decode_owner,
    epoch_key,
)
from apricotgap.platform.store import Item
from tests.test_election import run

SOUND_MEMBER = ["other", "2-i", "10.0.0.2:1", "a", 1_000]
SOUND_OWNER = ["other", "2-i", "10.0.0.2:1", 4]
ODD_FIELDS = [None, 1.5, b"x", [], {}, True, -1]


def odd_rows(sound):
    """Return the rows with one odd field, too many and too few of them."""
    changed = [
        [*sound[:index], odd, *sound[index + 1 :]]
        for index in range(len(sound))
        for odd in ODD_FIELDS
    ]
    return [*changed, [*sound, 1], sound[:-1], dict(enumerate(sound)), 1]


@pytest.mark.parametrize("row", odd_rows(SOUND_MEMBER), ids=repr)
def test_odd_member_is_unreadable(row):
    """Guards against an election that computes with what is no number."""
    with pytest.raises(ValueError, match="malformed"):
        decode_member(cbor2.dumps(row))


@pytest.mark.parametrize("row", odd_rows(SOUND_OWNER), ids=repr)
def test_odd_owner_is_unreadable(row):
    """Guards against calls to an owner whose address or incarnation is no text."""
    with pytest.raises(ValueError, match="malformed"):
        decode_owner(cbor2.dumps(row))


@pytest.mark.parametrize("speed", [0, "1000"])
def test_member_with_an_odd_speed_does_not_end_the_election(speed):
    """Guards against one record that ends the process of each instance."""

    async def check(rig):
        row = [*SOUND_MEMBER[:4], speed]
        key = MEMBERS_PREFIX + "other"
        rig.cluster_view.apply(Item(key, cbor2.dumps(row), 1))
        await rig.advance(2 * RANK_DELAY_MS)
        assert sorted(rig.running) == ["s1", "s2"]

    run(check)


@pytest.mark.parametrize("value", [b"", b"x", b"\xff", b"-4", b"9" * 5_000, b"1_0"])
def test_odd_epoch_does_not_end_the_election(value):
    """Guards against a record that ends each instance that claims the shard."""

    async def check(rig):
        async def read_key(key):
            return Item(key, value if key == epoch_key("s1") else b"3", 7)

        rig.store.read_key = read_key
        await rig.advance(2 * RANK_DELAY_MS)
        assert sorted(rig.running) == ["s1", "s2"]
        # Each owner has written the counter once, so no epoch exceeds its revision.
        assert rig.cluster_view.owner("s1").epoch > 7
        assert rig.cluster_view.owner("s2").epoch == 4

    run(check)


def test_odd_epoch_is_not_below_that_of_the_last_owner():
    """Guards against a fencing token that was in use before."""

    async def check(rig):
        async def read_key(key):
            return Item(key, b"x", 7)

        rig.store.read_key = read_key
        key = OWNERS_PREFIX + "s1"
        last = ["me", "i0", "10.0.0.1:1", 20]
        rig.cluster_view.apply(Item(key, cbor2.dumps(last), 6))
        await rig.advance(2 * RANK_DELAY_MS)
        assert rig.cluster_view.owner("s1").epoch == 21

    run(check)
