import pytest

from apricotgap.core import allotments, ledger_codec
from apricotgap.core.effects import StoreCas
from apricotgap.core.events import (
    CasFinished,
    CasResult,
    StoreChanged,
    Tick,
    WatchBroken,
)
from apricotgap.core.limits import (
    LEDGER_WRITE_BURST,
    LEDGER_WRITE_INTERVAL_MS,
    RECLAIM_GRACE_MS,
)
from tests.allotment_cluster import TEAM, Cluster, running


def _room(cluster, entry):
    return allotments.headroom(entry.state, TEAM, cluster.now_ms)


def _drive(cluster, n_ticks, waiting, ends_every=20):
    """Keep `waiting` work at each entry instance, and end its tasks periodically."""
    for i in range(n_ticks):
        cluster.tick()
        for entry, n in waiting.items():
            cluster.work(cluster.entries[entry], n, None if i % ends_every else 0)
        if i % 10 == 0:
            cluster.spread_usage()


@pytest.fixture
def cluster(monkeypatch):
    return Cluster(monkeypatch, n_members=10)


def _holding(cluster, n=4):
    entry = cluster.add("a", "x")
    cluster.work(entry, n)
    for _ in range(40):
        cluster.tick()
    assert _room(cluster, entry) == n
    return entry


def test_open_queues_have_no_limit_and_a_team_without_row_has_no_room(cluster):
    """Guards against tasks started without a row while the store is unreachable."""
    entry = cluster.add("a", "x")
    entry.reachable = False
    cluster.tick(30)
    assert allotments.headroom(entry.state, "", cluster.now_ms) > 1_000
    assert _room(cluster, entry) == 0


def test_rows_stay_usable_while_the_store_is_down(cluster):
    """Guards against stopping work in a store outage while the lease is valid."""
    entry = _holding(cluster)
    entry.reachable = False
    cluster.tick(50)
    assert _room(cluster, entry) == 4


def test_lapse_stops_starts_until_the_row_is_read_and_renewed(cluster):
    """Guards against a holder that uses a reclaimed row after a pause."""
    entry = _holding(cluster)
    entry.paused_until_ms = cluster.now_ms + 15_000
    cluster.tick(149)
    assert _room(cluster, entry) == 0
    cluster.delay = 3
    for _ in range(40):
        cluster.tick()
        row = allotments.own_row(entry.state, TEAM)
        assert row.renewals == 1 or _room(cluster, entry) == 0
    assert _room(cluster, entry) > 0


def test_raise_counts_only_once_stored(cluster):
    """Guards against tasks started on units of a write that was never stored."""
    entry = _holding(cluster)
    cluster.work(entry, 8)
    entry.reachable = False
    cluster.tick(15)
    assert entry.state.allotments.pending_write or entry.state.allotments.unresolved
    assert running(entry) + _room(cluster, entry) == 4


def test_lost_lowering_counts_until_the_revision_moves(cluster):
    """Guards against using units that a write with unknown result may still lower."""
    entry = _holding(cluster)
    own = entry.state.allotments
    allotments.set_waiting(entry.state, TEAM, 0)
    write = None
    while write is None:
        cluster.now_ms += 100
        effects = entry.reducer.step(Tick(cluster.now_ms))
        for effect in effects:
            write = effect if isinstance(effect, StoreCas) else write
    lost = CasFinished(cluster.now_ms, write.call_id, write.key, CasResult.UNKNOWN)
    entry.reducer.step(lost)
    prefix = ledger_codec.data_centre_prefix("x")
    items = (cluster._item(write.key),)
    entry.reducer.step(StoreChanged(cluster.now_ms, prefix, items))
    assert own.unresolved and _room(cluster, entry) == 1


def test_lowered_limit_scales_the_row_and_reports_surplus(cluster):
    """Guards against tasks above a lowered limit that are never drained."""
    entry = _holding(cluster)
    cluster.work(entry, 4)
    cluster.set_limit(5)
    cluster.put_config(entry)
    assert _room(cluster, entry) == 0
    assert allotments.surplus(entry.state) == {TEAM: 2}


def test_idle_units_return_after_the_hold_time_or_at_once_when_wanted(cluster):
    """Guards against idle units that are never released."""
    entry = _holding(cluster, 10)
    other = cluster.add("b", "y")
    cluster.work(entry, 0)
    cluster.work(other, 10)
    _drive(cluster, 100, {"b/1": 10}, ends_every=1_000)
    assert running(other) == 10


def test_late_data_centre_reaches_its_fair_part_and_units_stay(cluster):
    """Guards against starving a data centre that joins late, and oscillation."""
    for name in "ab":
        cluster.add(name, "x")
    _drive(cluster, 100, {"a/1": 20, "b/1": 20})
    cluster.add("c", "y")
    waiting = {"a/1": 20, "b/1": 20, "c/1": 20}
    _drive(cluster, 200, waiting)
    held = [running(entry) for entry in cluster.entries.values()]
    assert sorted(held[:2]) == [2, 3] and held[2] == 5
    n_writes = cluster.n_writes
    _drive(cluster, 100, waiting)
    assert cluster.n_writes == n_writes


def test_writes_keep_their_interval(cluster):
    """Guards against a write rate that grows with changes of demand."""
    entry = cluster.add("a", "x")
    for i in range(100):
        cluster.work(entry, i % 7, 0)
        cluster.tick()
    n_intervals = cluster.now_ms // LEDGER_WRITE_INTERVAL_MS
    assert cluster.n_writes <= n_intervals + LEDGER_WRITE_BURST


def test_row_of_a_dead_entry_is_reclaimed_only_after_the_grace_time(cluster):
    """Guards against a premature reclaim, and against units that are never freed."""
    dead = _holding(cluster, 10)
    other = cluster.add("b", "x")
    dead.alive, dead.lease_until_ms = False, cluster.now_ms
    cluster.list_instances({"b"})
    _drive(cluster, RECLAIM_GRACE_MS // 100 - 10, {"b/1": 10})
    assert running(other) == 0
    _drive(cluster, 60, {"b/1": 10})
    assert running(other) == 10


def test_lost_store_contact_starts_the_grace_time_again(cluster):
    """Guards against a reclaim by an entry instance that was itself cut off."""
    dead = _holding(cluster, 10)
    other = cluster.add("b", "x")
    dead.alive, dead.lease_until_ms = False, cluster.now_ms
    cluster.list_instances({"b"})
    _drive(cluster, RECLAIM_GRACE_MS // 100 - 20, {"b/1": 10})
    prefix = ledger_codec.data_centre_prefix("x")
    cluster.step(other, WatchBroken(cluster.now_ms, prefix))
    _drive(cluster, 100, {"b/1": 10})
    assert running(other) == 0


def test_new_incarnation_starts_without_rows(cluster):
    """Guards against a restarted entry instance reusing its predecessor's units."""
    entry = _holding(cluster, 10)
    entry.alive = False
    again = cluster.replace_entry(entry)
    _drive(cluster, 50, {"a/2": 10})
    assert running(again) == 0


def test_graceful_shutdown_releases_all_units(cluster):
    """Guards against units that remain with an entry instance that has stopped."""
    entry = _holding(cluster)
    entry.state.stopping = True
    cluster.tick(60)
    assert allotments.has_released_rows(entry.state)
    other = cluster.add("b", "y")
    _drive(cluster, 60, {"b/1": 10})
    assert running(other) == 10


def test_rows_of_a_deleted_team_go_when_nothing_runs(cluster):
    """Guards against documents that keep growing with deleted teams."""
    entry = _holding(cluster)
    cluster.work(entry, 4)
    cluster.set_limit(0)
    cluster.put_config(entry)
    cluster.tick(50)
    assert allotments.surplus(entry.state) == {TEAM: 4}
    cluster.work(entry, 0, 0)
    cluster.tick(150)
    stored = {key: value for key, (value, _) in cluster.store.items()}
    bucket = ledger_codec.bucket_of(TEAM)
    rows = ledger_codec.decode_ledger(stored[ledger_codec.data_centre_key("x", bucket)])
    assert rows.teams == {} and rows.fence > 0
    assert ledger_codec.decode_fleet(stored[ledger_codec.fleet_key(bucket)]).teams == {}


def test_first_request_acquires_an_equal_part_that_is_kept(monkeypatch):
    """Guards against a store write before each task of a team with sporadic work."""
    cluster = Cluster(monkeypatch, n_members=2)
    entry = cluster.add("a", "x")
    cluster.work(entry, 1)
    cluster.tick(20)
    assert _room(cluster, entry) + running(entry) == 5
    cluster.work(entry, 0, 0)
    cluster.tick(100)
    assert _room(cluster, entry) == 5


def test_resumed_holder_waits_for_the_newest_limits(cluster):
    """Guards against using an outdated limit that was lowered during a pause."""
    entry = _holding(cluster)
    cluster.view_age_ms = 60_000
    entry.paused_until_ms = cluster.now_ms + 15_000
    cluster.tick(200)
    assert _room(cluster, entry) == 0
    cluster.view_age_ms = 0
    assert _room(cluster, entry) > 0
