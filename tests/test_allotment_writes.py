from tests.allotment_cluster import Cluster, running


def test_changing_demand_does_not_delay_the_share(monkeypatch):
    """Guards against rows that are rewritten each time while the share never rises."""
    cluster = Cluster(monkeypatch, limit=1_000)
    entry = cluster.add("a", "x")
    for n_waiting in range(1, 60):
        cluster.tick()
        cluster.work(entry, n_waiting)
    assert running(entry) > 0


def test_a_slow_store_does_not_stop_the_shares(monkeypatch):
    """Guards against waiting for ever for a read that is never fresh enough."""
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
