"""Registration, leases and connections between entry instances."""

from random import Random

import pytest

from apricotgap.core import placement, registration
from apricotgap.core.effects import ConnectPeers, SendPeer, SetReady
from apricotgap.core.events import (
    KeyValue,
    LeaseGranted,
    PeerReceived,
    Started,
    StopRequested,
    StoreChanged,
)
from apricotgap.core.limits import HEARTBEAT_MS
from apricotgap.core.membership import (
    is_relay,
    lease_valid,
    live_entries,
    live_entries_of,
    may_take_work,
    new_incarnation,
)
from apricotgap.model.peers import Usage
from tests.fleet_harness import Fleet, use_plain_usage


@pytest.fixture(autouse=True)
def _usage(monkeypatch):
    use_plain_usage(monkeypatch)


def mesh(fleet):
    names = sorted(fleet.nodes)
    for a, b in [(a, b) for a in names for b in names if a < b]:
        fleet.link(a, b)


def fleet_of(*names, **options):
    fleet = Fleet(*names, **options)
    mesh(fleet)
    fleet.pass_time(3_000)
    return fleet


def wanted(fleet, name):
    sent = [e for n, e in fleet.log if n == name and isinstance(e, ConnectPeers)]
    return sorted(sent[-1].addresses) if sent else []


def valid(fleet, name):
    return lease_valid(fleet.state(name), fleet.at_ms)


def cut(fleet, *pairs):
    fleet.cut.update(frozenset(pair) for pair in pairs)


def test_registration_holds_while_the_lease_is_kept():
    """Guards against a lease that expires although the store responds."""
    fleet = fleet_of("a1", "a2")
    fleet.pass_time(30_000)
    assert valid(fleet, "a1")
    assert sorted(live_entries(fleet.state("a1"), fleet.at_ms)) == ["a1", "a2"]
    keys = {key for key in fleet.store.data if key.startswith("members/")}
    assert keys == {"members/a/a1", "members/a/a2"}


def test_a_lost_lease_is_replaced_and_the_epoch_tells():
    """Guards against using allotment rows after a lease expiry without reading them."""
    fleet = fleet_of("a1")
    state = fleet.state("a1")
    epoch = state.members.lease_epoch
    fleet.store.expire(state.members.lease_id)
    fleet.pass_time(5_000)
    assert valid(fleet, "a1") and "members/a/a1" in fleet.store.data
    assert state.members.lease_epoch == epoch + 1


def test_a_registration_lost_under_a_silent_watch_is_written_again():
    """Guards against an unregistered entry instance although its lease is valid."""
    fleet = fleet_of("a1")
    del fleet.store.data["members/a/a1"]
    fleet.pass_time(12_000)
    assert "members/a/a1" in fleet.store.data


def test_a_malformed_registration_is_replaced():
    """Guards against an entry instance that stays unregistered over a bad document."""
    fleet = Fleet()
    fleet.add("a1")
    fleet.store.put("members/a/a1", b"\xff not a member")
    fleet.step("a1", Started(fleet.at_ms))
    fleet.pass_time(3_000)
    assert fleet.state("a1").members.registered


def test_a_newer_incarnation_stops_the_older_process():
    """Guards against two processes of the same name that both accept work."""
    fleet = fleet_of("a1")
    old = fleet.state("a1")
    fleet.add("a1", incarnation="2")
    fleet.step("a1", Started(fleet.at_ms))
    assert may_take_work(fleet.state("a1"))
    item = fleet.store.item("members/a/a1")
    assert registration.decode_member(item.value).incarnation == "2"
    effects = list(registration.members_changed(old, (item,), fleet.at_ms))
    assert SetReady(False) in effects
    assert not may_take_work(old) and not lease_valid(old, fleet.at_ms)
    assert "a1" not in live_entries(old, fleet.at_ms)


def test_an_older_process_that_never_registered_yields_to_a_newer_one():
    """Guards against replacing a newer incarnation after a start in a store outage."""
    fleet = Fleet()
    fleet.store.down.add("a1")
    fleet.add("a1", incarnation=new_incarnation(5, Random(1)))
    fleet.step("a1", Started(fleet.at_ms))
    newer = registration.Member("a1", new_incarnation(6, Random(1)), "a")
    fleet.store.put("members/a/a1", registration.encode_member(newer))
    fleet.store.down.clear()
    fleet.pass_time(3_000)
    assert not may_take_work(fleet.state("a1"))
    found = registration.decode_member(fleet.store.item("members/a/a1").value)
    assert found == newer


def test_a_data_centre_cut_off_together_keeps_its_lease():
    """Guards against a data centre that stops all work in a store outage."""
    fleet = fleet_of("a1", "a2", "b1")
    fleet.store.down.update(("a1", "a2"))
    for _ in range(300):
        fleet.pass_time(100)
        assert valid(fleet, "a1") and valid(fleet, "a2")


def test_an_entry_cut_off_alone_loses_its_lease():
    """Guards against work under rows that others in the data centre may reclaim."""
    fleet = fleet_of("a1", "a2")
    fleet.store.down.add("a1")
    fleet.pass_time(11_000)
    assert not valid(fleet, "a1")
    assert valid(fleet, "a2")


def test_a_silent_peer_ends_the_joint_lease():
    """Guards against assuming that a silent entry instance is cut off, too."""
    fleet = fleet_of("a1", "a2")
    fleet.store.down.update(("a1", "a2"))
    cut(fleet, ("a1", "a2"))
    fleet.pass_time(11_000)
    assert not valid(fleet, "a1")
    fleet.cut.clear()
    fleet.pass_time(3_000)
    assert not valid(fleet, "a1")


@pytest.mark.parametrize("names", [("a1", "b1"), ("a1", "a2")])
def test_a_pause_past_the_lease_ends_it(names):
    """Guards against starting work under a limit right after a long pause."""
    fleet = fleet_of(*names)
    fleet.store.down.update(names)
    fleet.pass_time(12_000)
    assert valid(fleet, "a1")
    fleet.pass_time(60_000, names[1])
    assert not valid(fleet, "a1")
    fleet.pass_time(5_000)
    assert not valid(fleet, "a1")


def test_one_relay_of_each_data_centre_connects_across():
    """Guards against connections between all pairs of entry instances."""
    fleet = fleet_of("a1", "a2", "b1", "b2")
    assert wanted(fleet, "a1") == ["a2", "b1"]
    assert wanted(fleet, "a2") == ["a1"]
    assert [n for n in fleet.nodes if is_relay(fleet.state(n), fleet.at_ms)] == [
        "a1",
        "b1",
    ]


def test_the_next_entry_relays_when_the_first_falls_silent():
    """Guards against one failed entry instance that disconnects a data centre."""
    fleet = fleet_of("a1", "a2", "b1", "b2")
    for other in ("a2", "b1", "b2"):
        fleet.unlink("a1", other)
    fleet.pass_time(8_000, "a2", "b1", "b2")
    assert is_relay(fleet.state("a2"), fleet.at_ms)
    assert "b1" in wanted(fleet, "a2")
    assert "a2" in wanted(fleet, "b1")


def test_seeds_are_dialled_without_the_store():
    """Guards against an entry instance that cannot join in a store outage."""
    fleet = Fleet()
    fleet.store.down.add("a1")
    fleet.add("a1", seeds=("a1", "a2", "b1"))
    fleet.step("a1", Started(fleet.at_ms))
    assert wanted(fleet, "a1") == ["a2", "b1"]


def test_a_silent_entry_is_not_live_in_the_own_data_centre():
    """Guards against counting an entry instance as live after the silence bound."""
    fleet = fleet_of("a1", "a2", "b1")
    cut(fleet, ("a1", "a2"), ("b1", "a2"))
    fleet.pass_time(4_500)
    assert list(live_entries_of(fleet.state("a1"), "a", fleet.at_ms)) == ["a1"]
    assert list(live_entries_of(fleet.state("a1"), "b", fleet.at_ms)) == ["b1"]


def test_entries_do_not_relay_what_their_own_data_centre_relayed():
    """Guards against peers that keep relaying a silent entry instance as live."""
    fleet = fleet_of("a1", "a2", "b1")
    cut(fleet, ("a1", "b1"), ("a2", "b1"))
    fleet.pass_time(5_000)
    assert not any("b1" in p.relayed for p in fleet.state("a1").members.peers.values())


def test_usage_goes_to_the_own_data_centre_only(monkeypatch):
    """Guards against ignoring the usage of others, and traffic across data centres."""
    applied = []
    report = Usage({"q/batch/t": 5}, {}, {})
    monkeypatch.setattr(placement, "usage_report", lambda _: report)
    monkeypatch.setattr(
        placement,
        "apply_usage",
        lambda state, peer, usage: applied.append((state.identity.entry, peer, usage)),
    )
    fleet_of("a1", "a2", "b1")
    assert {(to, peer) for to, peer, _ in applied} == {("a1", "a2"), ("a2", "a1")}
    assert {id(usage) for _, _, usage in applied} == {id(report)}


def test_a_graceful_shutdown_revokes_the_registration():
    """Guards against a stopped entry instance that stays or becomes registered."""
    fleet = fleet_of("a1", "a2")
    fleet.step("a1", StopRequested(fleet.at_ms))
    fleet.pass_time(HEARTBEAT_MS)
    assert fleet.state("a2").members.peers["a1"].draining
    assert is_relay(fleet.state("a2"), fleet.at_ms)
    fleet.run("a1", registration.deregister(fleet.state("a1")))
    fleet.unlink("a1", "a2")
    fleet.pass_time(15_000)
    assert "members/a/a1" not in fleet.store.data
    assert list(live_entries(fleet.state("a2"), fleet.at_ms)) == ["a2"]


def test_a_late_lease_is_revoked():
    """Guards against leases that accumulate in the store after slow responses."""
    fleet = fleet_of("a1")
    fleet.store.leases[99] = fleet.at_ms + 10_000
    late = LeaseGranted(fleet.at_ms, "member:lease:0", 99, 10_000, fleet.at_ms)
    fleet.step("a1", late)
    assert 99 not in fleet.store.leases
    assert fleet.state("a1").members.lease_id != 99


def test_a_malformed_member_does_no_harm():
    """Guards against a malformed document that hides the other members."""
    fleet = fleet_of("a1", "a2")
    bad = KeyValue("members/a/a0", b"\xff", 9)
    fleet.step("a1", StoreChanged(fleet.at_ms, "members/", (bad,)))
    assert sorted(live_entries(fleet.state("a1"), fleet.at_ms)) == ["a1", "a2"]


def test_a_message_after_the_loss_of_its_connection_is_ignored():
    """Guards against a peer that counts as connected after a disconnect."""
    fleet = fleet_of("a1", "a2")
    beat = next(e for _, e in fleet.log if isinstance(e, SendPeer) and e.peer == "a1")
    fleet.unlink("a1", "a2")
    fleet.step("a1", PeerReceived(fleet.at_ms, "a2", beat.message))
    assert "a2" not in fleet.state("a1").members.peers
