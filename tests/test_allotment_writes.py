from apricotgap.core import allotment_writes, ledger_codec
from tests.allotment_cluster import Cluster, running


def test_changing_demand_does_not_delay_the_share(monkeypatch):
    """Guards against demand whose every change rewrites the rows before the share."""
    cluster = Cluster(monkeypatch, limit=1_000)
    entry = cluster.add("a", "x")
    for n_waiting in range(1, 60):
        cluster.tick()
        cluster.work(entry, n_waiting)
    assert running(entry) > 0


def test_a_slow_store_does_not_stop_the_shares(monkeypatch):
    """Guards against waiting indefinitely for a read that is recent enough."""
    cluster = Cluster(monkeypatch, limit=10)
    entry = cluster.add("a", "x")
    later = cluster._later
    cluster._later = lambda who, delay, kind, **fields: later(
        who, delay + 5, kind, **fields
    )
    for _ in range(150):
        cluster.tick()
        cluster.work(entry, 1)
    assert running(entry) > 0


def test_every_bucket_gets_its_turn(monkeypatch):
    """Guards against a bucket that is never written while others keep changing."""
    for holder in range(16):
        cluster = Cluster(monkeypatch, limit=10)
        entry = cluster.add(f"a{holder}", "x")
        own = entry.state.allotments
        own.waiting = {f"team-{i}": 1 for i in range(40)}
        seen = set()
        for _ in range(16):
            first = next(iter(allotment_writes._buckets(entry.state)))
            seen.add(first)
            own.next_bucket = (first + 1) % ledger_codec.N_BUCKETS
        assert seen == {ledger_codec.bucket_of(team) for team in own.waiting}
