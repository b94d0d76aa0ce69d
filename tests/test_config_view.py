"""Configuration view under silent watches, bad documents and partitions."""

from dataclasses import replace

import pytest

from apricotgap.core import config_codec, config_view, limits
from apricotgap.core.config_view import ViewCase, accepts_keyed, view_case
from apricotgap.core.effects import OpenWatch, SendPeer, StoreGet
from apricotgap.core.events import (
    KeyValue,
    PeerReceived,
    StoreChanged,
    StoreReadFinished,
    WatchBroken,
)
from apricotgap.errors import ValidationError
from apricotgap.model import Configuration, CutOffPolicy, KeyRecord, Pool, Team
from apricotgap.model.peers import ConfigParts, ConfigRoot, Heartbeat
from tests.fleet_harness import FakeStore, Fleet, use_plain_usage


@pytest.fixture(autouse=True)
def _usage(monkeypatch):
    use_plain_usage(monkeypatch)


TEAMS = {
    "plain": Team("plain"),
    "stays": Team("stays", when_cut_off=CutOffPolicy.SERVE),
}
KEYS = {"d1": KeyRecord("d1", "plain"), "d2": KeyRecord("d2", "gone")}


def publish(store, revision, author, *earlier, **kinds):
    config = Configuration(revision, teams=TEAMS, keys=KEYS, **kinds)
    snapshot = config_codec.encode_snapshot(config, config_codec.Snapshot())
    for digest, blob in snapshot.blobs.items():
        store.put(config_codec.part_key(digest), blob)
    root = config_codec.Root(revision, snapshot.hashes, author, earlier)
    store.put("config/root", config_codec.encode_root(root))
    return snapshot


def fleet_of(*names, linked=True, **options):
    store = FakeStore()
    publish(store, 1, "x1")
    fleet = Fleet(*names, store=store, **options)
    if linked:
        connect(fleet, *names)
    fleet.pass_time(3_000)
    return fleet


def connect(fleet, *names):
    pairs = [(a, b) for a in names for b in names if a < b]
    for a, b in pairs:
        fleet.link(a, b)


def case(fleet, name):
    return view_case(fleet.state(name), fleet.at_ms)


def test_a_silent_watch_does_not_hide_a_withdrawal():
    """Guards against a watch that stops delivering without an error (I4)."""
    fleet = fleet_of("a1", "a2", "b1")
    fleet.watching = False
    publish(fleet.store, 2, "x2", "x1", pools={"p": Pool("p")})
    fleet.pass_time(limits.IN_FORCE_BOUND_MS - 1_000)
    assert {fleet.state(name).view.revision for name in fleet.nodes} == {2}


def test_entries_of_a_data_centre_take_turns_at_confirming():
    """Guards against a read per entry instance, and reads of the whole root."""
    fleet = fleet_of("a1", "a2", "a3")
    fleet.store.calls.clear()
    fleet.store.n_read = 0
    fleet.pass_time(20_000)
    assert fleet.store.n_read <= 4 * len(root_of(fleet).value)
    assert fleet.store.calls["StoreGet", "config/root"] <= 30
    assert all(case(fleet, name) is ViewCase.LINKED for name in fleet.nodes)


def test_parts_are_read_once_and_only_when_new():
    """Guards against reading the whole configuration at each change."""
    fleet = fleet_of("a1")
    fleet.store.calls.clear()
    publish(fleet.store, 2, "x2", "x1", pools={"p": Pool("p")})
    fleet.pass_time(2_000)
    parts = [k for _, k in fleet.store.calls if k.startswith("config/part/")]
    assert len(parts) == 1
    assert fleet.state("a1").config.teams == TEAMS


def test_the_view_never_goes_back():
    """Guards against reverting to an older root from a watch, a read or a peer."""
    fleet = fleet_of("a1", "a2")
    old = fleet.store.item("config/root")
    publish(fleet.store, 2, "x2", "x1", pools={"p": Pool("p")})
    fleet.pass_time(3_000)
    late = fleet.at_ms - 2_900
    fleet.step("a1", StoreReadFinished(fleet.at_ms, "config:root:9", (old,), late))
    assert fleet.state("a1").view.rolled_back_to is None
    fleet.step("a1", StoreChanged(fleet.at_ms, "config/root", (old,)))
    fleet.step("a1", PeerReceived(fleet.at_ms, "a2", ConfigRoot(1, old.value)))
    state = fleet.state("a1")
    assert (state.view.revision, state.view.rolled_back_to) == (2, None)
    assert "p" in state.config.pools


@pytest.mark.parametrize("bad", [b"", b"\xff", b"\xa0", b"\x81" * 5_000, b"\x01"])
def test_a_malformed_root_is_refused_once_and_the_view_stays(bad):
    """Guards against losing the configuration, or flooding logs, on a bad root."""
    fleet = fleet_of("a1")
    fleet.store.put("config/root", bad)
    fleet.pass_time(3_000)
    state = fleet.state("a1")
    assert state.config.teams == TEAMS
    assert state.view.n_refused >= 2
    assert len(fleet.logged("config_document_refused")) == 1


def test_a_corrupt_part_is_refused_and_taken_from_a_peer():
    """Guards against putting a part in force that differs from its hash."""
    fleet = fleet_of("a1", "a2")
    fleet.store.down.add("a1")
    fleet.cut.add(frozenset(("a1", "a2")))
    snapshot = publish(fleet.store, 2, "x2", "x1", pools={"p": Pool("p")})
    fleet.pass_time(2_500, "a2")
    for digest in snapshot.blobs:
        fleet.store.put(config_codec.part_key(digest), b"corrupt")
    fleet.store.down.clear()
    fleet.step("a1", StoreChanged(fleet.at_ms, "config/root", (root_of(fleet),)))
    assert fleet.state("a1").view.revision == 1
    assert fleet.logged("config_document_refused")
    fleet.cut.clear()
    fleet.pass_time(2_500)
    assert fleet.state("a1").view.revision == 2


def root_of(fleet):
    return fleet.store.item("config/root")


def test_a_well_hashed_part_with_wrong_content_is_refused():
    """Guards against objects of the wrong type or in the wrong part."""
    empty = config_codec.Snapshot()
    good = config_codec.encode_snapshot(Configuration(1, teams=TEAMS), empty)
    name, digest = next(iter(good.hashes.items()))
    for wrong_name in ("pools/0", "teams/99", "steps/0/p"):
        root = config_codec.Root(1, {wrong_name: digest})
        with pytest.raises(ValidationError):
            config_codec.decode_snapshot(root, good.blobs, empty)
    blob = good.blobs[digest].replace(b"refuse", b"refuze").replace(b"serve", b"sarve")
    root = config_codec.Root(1, {name: config_codec.sha256_hex(blob)})
    with pytest.raises(ValidationError):
        config_codec.decode_snapshot(root, {root.parts[name]: blob}, empty)


def test_an_entry_without_the_store_gets_everything_from_a_peer():
    """Guards against an entry instance that cannot start in a store outage."""
    fleet = fleet_of("a1", "a2")
    fleet.store.down.update(("a1", "a2", "a3"))
    fleet.add("a3")
    connect(fleet, "a1", "a3")
    connect(fleet, "a2", "a3")
    fleet.pass_time(2_500)
    state = fleet.state("a3")
    assert config_view.team_of_key(state, "d1") == "plain"
    assert config_view.team_of_key(state, "d2") is None
    fleet.pass_time(6_000)
    assert case(fleet, "a3") is ViewCase.STORE_DOWN


def test_a_store_outage_with_all_peers_heard_refuses_nothing():
    """Guards against refusing work although no change can have been accepted."""
    fleet = fleet_of("a1", "a2", "b1", "b2")
    fleet.store.down.update(fleet.nodes)
    for _ in range(200):
        fleet.pass_time(100)
        states = [fleet.state(name) for name in fleet.nodes]
        assert all(accepts_keyed(s, "plain", fleet.at_ms) for s in states)
    assert case(fleet, "a1") is ViewCase.STORE_DOWN


def test_an_isolated_data_centre_refuses_keys_within_the_bound():
    """Guards against a withdrawn key accepted where the withdrawal is unknown."""
    fleet = fleet_of("a1", "a2", "b1", "b2")
    fleet.store.down.update(("b1", "b2"))
    for pair in (("a1", "b1"), ("a1", "b2"), ("a2", "b1"), ("a2", "b2")):
        fleet.cut.add(frozenset(pair))
    fleet.pass_time(limits.IN_FORCE_BOUND_MS + 100)
    for name in ("b1", "b2"):
        state = fleet.state(name)
        assert case(fleet, name) is ViewCase.ISOLATED
        assert not accepts_keyed(state, "plain", fleet.at_ms)
        assert accepts_keyed(state, "stays", fleet.at_ms)
    report = config_view.in_force_report(fleet.state("a1"), fleet.at_ms)
    assert report["isolated_data_centres"] == ["b"]
    assert not report["in_force"]


def test_a_data_centre_without_the_store_is_fresh_through_its_relay():
    """Guards against refusing work while another data centre relays the store."""
    fleet = fleet_of("a1", "a2", "b1", "b2", linked=False)
    for pair in (("a1", "a2"), ("b1", "b2"), ("a1", "b1")):
        fleet.link(*pair)
    fleet.store.down.update(("b1", "b2"))
    fleet.pass_time(4_000)
    publish(fleet.store, 2, "x2", "x1")
    for _ in range(100):
        fleet.pass_time(100)
        assert case(fleet, "b1") is ViewCase.LINKED
    assert {fleet.state(name).view.revision for name in fleet.nodes} == {2}
    report = config_view.in_force_report(fleet.state("a2"), fleet.at_ms)
    assert report["missing"] == []


def test_a_held_up_heartbeat_does_not_make_the_view_fresh():
    """Guards against trusting an age that a delayed message reports."""
    fleet = fleet_of("a1", "a2")
    fleet.store.down.add("a1")
    fleet.cut.add(frozenset(("a1", "a2")))
    echo = fleet.at_ms
    fleet.pass_time(limits.IN_FORCE_BOUND_MS + 500)
    beat = Heartbeat("1", 1, 0, sent_ms=fleet.at_ms, echo_ms=echo)
    fleet.step("a1", PeerReceived(fleet.at_ms, "a2", beat))
    assert case(fleet, "a1") is ViewCase.ISOLATED


def test_a_peer_that_is_ahead_does_not_make_an_old_view_fresh():
    """Guards against serving on a view that is known to be superseded."""
    fleet = fleet_of("a1", "a2")
    fleet.store.down.add("a1")
    fleet.cut.add(frozenset(("a1", "a2")))
    for _ in range(limits.IN_FORCE_BOUND_MS // 1_000 + 1):
        fleet.pass_time(1_000, "a1")
        beat = Heartbeat("1", 9, 0, 0, sent_ms=1, echo_ms=fleet.at_ms)
        fleet.step("a1", PeerReceived(fleet.at_ms, "a2", beat))
    assert case(fleet, "a1") is ViewCase.ISOLATED


def test_a_restored_older_store_is_reported_and_the_view_stays():
    """Guards against following a rollback of the store, and against hiding it."""
    fleet = fleet_of("a1")
    backup = dict(fleet.store.data)
    publish(fleet.store, 2, "x2", "x1", pools={"p": Pool("p")})
    fleet.pass_time(2_000)
    fleet.store.data = backup
    fleet.pass_time(2_000)
    state = fleet.state("a1")
    report = config_view.in_force_report(state, fleet.at_ms)
    assert (report["revision"], report["store_rolled_back_to"]) == (2, 1)
    assert "p" in state.config.pools
    assert len(fleet.logged("config_store_rolled_back")) == 1


def test_a_store_with_another_history_is_not_followed():
    """Guards against applying changes made on a restored older state."""
    fleet = fleet_of("a1")
    publish(fleet.store, 2, "y2", "other", pools={"p": Pool("p")})
    fleet.pass_time(2_000)
    report = config_view.in_force_report(fleet.state("a1"), fleet.at_ms)
    assert (report["revision"], report["store_diverged"]) == (1, True)


def test_a_broken_watch_is_opened_again():
    """Guards against relying on periodic reads only after a broken watch."""
    fleet = fleet_of("a1")
    fleet.log.clear()
    fleet.step("a1", WatchBroken(fleet.at_ms, "config/root"))
    fleet.pass_time(2_000)
    assert ("a1", OpenWatch("config/root")) in fleet.log


def test_unrequested_and_wrong_parts_from_peers_are_ignored():
    """Guards against peers that fill the memory, and parts with a wrong hash."""
    fleet = fleet_of("a1", "a2")
    before = replace(fleet.state("a1").view.snapshot)
    parts = ConfigParts({"00" * 32: b"x", "zz": b""})
    fleet.step("a1", PeerReceived(fleet.at_ms, "a2", parts))
    assert fleet.state("a1").view.snapshot == before


def test_a_read_without_answer_is_sent_again():
    """Guards against a lost response that stops all confirmations."""
    fleet = fleet_of("a1")
    answer, fleet.store.answer = fleet.store.answer, lambda *_: None
    fleet.pass_time(3_000)
    fleet.store.answer = answer
    fleet.pass_time(1_500)
    assert case(fleet, "a1") is ViewCase.LINKED
    reads = [e for _, e in fleet.log if isinstance(e, StoreGet)]
    assert not [e for _, e in fleet.log if isinstance(e, SendPeer)]
    assert len({e.call_id for e in reads}) == len(reads)


def test_a_deleted_root_keeps_the_view():
    """Guards against an empty configuration when the root key is lost."""
    fleet = fleet_of("a1")
    del fleet.store.data["config/root"]
    gone = (KeyValue("config/root", b"", 0),)
    fleet.step("a1", StoreChanged(fleet.at_ms, "config/root", gone))
    fleet.pass_time(1_500)
    assert fleet.state("a1").config.teams == TEAMS
    assert fleet.state("a1").view.rolled_back_to == 0
