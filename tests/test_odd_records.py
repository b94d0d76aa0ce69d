"""Records of the store with values that their readers don't expect."""

import cbor2
import pytest

from apricotgap.clock import FakeClock
from apricotgap.decoding import DecodeError
from apricotgap.instance.election import RANK_DELAY_MS
from apricotgap.instance.fleet_order_store import decode_orders
from apricotgap.instance.keys import (
    MEMBERS_PREFIX,
    OWNERS_PREFIX,
    decode_member,
    decode_owner,
    epoch_key,
    roster_key,
)
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.roster import RosterWriter, decode_settled
from apricotgap.instance.wave_store import decode_wave_progress
from apricotgap.jobs.shard import Shard
from apricotgap.platform.store import Item, Snapshot
from tests.election_harness import run
from tests.jobs_harness import MAX_LEASE_MS, SERVICE

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
    return [
        *changed,
        [*sound, 1],
        sound[:-1],
        {str(n): field for n, field in enumerate(sound)},
        1,
    ]


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


SOUND_ROW = ["w1", "10.0.0.1:8001", "m1", ["k"], 1, [8000, 8000, 0]]
# A worker without labels, and one whose clock was behind.
UNUSUAL_ROWS = (
    [*SOUND_ROW[:3], [], *SOUND_ROW[4:]],
    [*SOUND_ROW[:4], -1, SOUND_ROW[5]],
)


def load_roster(*rows):
    shard = Shard(SERVICE, 2, MAX_LEASE_MS)
    ownership = Ownership(SERVICE, 2, 1, 1, MAX_LEASE_MS)
    roster = RosterWriter(shard, ownership, None, FakeClock())
    value = cbor2.dumps(list(rows))
    roster.load(Snapshot((Item(roster_key(SERVICE), value, 5),), 5), 0)
    return shard


@pytest.mark.parametrize(
    "odd",
    [
        *(row for row in odd_rows(SOUND_ROW) if row not in UNUSUAL_ROWS),
        ["w1", "10.0.0.1:99999", "m1", [], 1, [1, 1, 1]],
        ["w1", "x" * 300, "m1", [], 1, [1, 1, 1]],
        ["w1", "10.0.0.1:8001", "m1", [], 1, [1, 1, -1]],
        [["w1"], *SOUND_ROW[1:]],
    ],
    ids=repr,
)
def test_odd_row_of_a_roster_leaves_the_others(odd):
    """Guards against an owner that ends, or forgets its workers, by one odd row."""
    other = ["w2", *SOUND_ROW[1:]]
    assert list(load_roster(odd, other).workers) == ["w2"]


@pytest.mark.parametrize(
    "data", [b"", cbor2.dumps(5), cbor2.dumps({"m": 1}), cbor2.dumps(["m", 10**5000])]
)
def test_odd_orders_and_waves_are_typed_errors(data):
    """Guards against machine names that are none, or can't be printed."""
    for decode in (decode_orders, decode_wave_progress, decode_settled):
        with pytest.raises(DecodeError):
            decode(data)
