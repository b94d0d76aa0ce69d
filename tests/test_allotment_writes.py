from apricotgap.core import allotments
from apricotgap.core.allotment_writes import STANDING_MS
from apricotgap.core.membership import Member
from tests.allotment_cluster import TEAM, Cluster, running


def test_changing_demand_does_not_delay_the_share(monkeypatch):
    """Guards against rows that are rewritten each time while the share never rises."""
    cluster = Cluster(monkeypatch, limit=1_000)
    entry = cluster.add("a", "x")
    for n_waiting in range(1, 60):
        cluster.tick()
        cluster.work(entry, n_waiting)
    assert running(entry) > 0


def _held(entry):
    row = allotments.own_row(entry.state, TEAM)
    return row.n if row is not None else 0


def test_a_standing_part_stays_and_ends(monkeypatch):
    """Guards against writes at each change of the load, and against kept units."""
    cluster = Cluster(monkeypatch, limit=10)
    entry = cluster.add("a", "x")
    entry.state.members.met["b"] = Member("b", "1", "x")
    cluster.work(entry, 1)
    for _ in range(60):
        cluster.tick()
        cluster.work(entry, 0 if running(entry) else 1)
    cluster.work(entry, 0, 0)
    cluster.tick(100)
    assert _held(entry) == 5
    cluster.tick(STANDING_MS // 100)
    assert _held(entry) == 0


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
