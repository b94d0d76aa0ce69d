import pytest

from apricotgap.core import allotments
from tests.allotment_cluster import Cluster, running

N_STEPS = 1_500


def _act(cluster, entry):
    rng = cluster.rng
    choice = rng.random()
    if choice < 0.006:
        entry.paused_until_ms = cluster.now_ms + rng.choice((1_000, 12_000, 60_000))
    elif choice < 0.04:
        entry.reachable = rng.random() < 0.8
    elif choice < 0.3:
        cluster.put_config(entry)
    elif choice < 0.6:
        over = sum(allotments.surplus(entry.state).values())
        n_kept = max(0, running(entry) - rng.randrange(3) - over)
        cluster.work(entry, 0, n_kept)
    else:
        cluster.work(entry, rng.choice((0, 1, 3, 12)))


def _disturb(cluster):
    rng = cluster.rng
    if rng.random() < 0.01:
        cluster.set_limit(rng.choice((3, 5, 10, 14)))
    stuck = [entry for entry in cluster.newest() if entry.paused]
    if rng.random() < 0.006:
        entry = rng.choice(stuck or cluster.newest())
        entry.alive = bool(stuck) and rng.random() < 0.7
        cluster.replace_entry(entry)


@pytest.mark.parametrize("seed", range(8))
def test_no_sequence_breaks_the_limit(monkeypatch, seed):
    """Guards against any sequence of faults that lets a team exceed its limit.

    The random sequences contain lost and late writes, conflicts, pauses, restarts,
    reclaims and limit changes. Once the faults end, demand must be met again.
    """
    cluster = Cluster(monkeypatch, limit=10, seed=seed, faults=0.1)
    for name, data_centre in (("a", "x"), ("b", "x"), ("c", "y"), ("d", "y")):
        cluster.add(name, data_centre)
    for i in range(N_STEPS):
        cluster.tick()
        for entry in cluster.entries.values():
            if entry.alive and not entry.paused and cluster.rng.random() < 0.3:
                _act(cluster, entry)
        if i % 10 == 0:
            cluster.spread_usage()
        _disturb(cluster)
        cluster.settle_bound()
        cluster.check()
    assert cluster.n_started > 25
    _recovers(cluster)


def test_growing_demand_gets_units(monkeypatch):
    """Guards against demand that never gets a share because it always changes.

    Three writes one second apart are needed.
    """
    cluster = Cluster(monkeypatch, limit=1_000)
    entry = cluster.add("a", "x")
    for n_waiting in range(1, 50):
        cluster.work(entry, n_waiting)
        cluster.tick()
    assert running(entry) > 0


def _recovers(cluster):
    cluster.faults = 0.0
    cluster.set_limit(12)
    entries = cluster.newest()
    for entry in cluster.entries.values():
        entry.alive = entry in entries
        entry.paused_until_ms, entry.reachable = 0, True
        cluster.put_config(entry)
        cluster.work(entry, 0, 0)
    for i in range(700):
        cluster.tick()
        for entry in entries:
            cluster.put_config(entry)
            cluster.work(entry, 20, 0 if i % 20 == 0 else None)
        if i % 10 == 0:
            cluster.spread_usage()
    assert [running(entry) for entry in entries] == [3, 3, 3, 3]
