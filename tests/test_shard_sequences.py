"""Seeded days of a shard in virtual time: what callers are promised always holds."""

import os

import pytest

from apricotgap.jobs import limits
from tests.shard_world import World

# More seeds by hand: SHARD_SEEDS=2000 python -m pytest tests/test_shard_sequences.py
N_SEEDS = int(os.environ.get("SHARD_SEEDS", "25"))
N_JOBS = 40
SETTLE_MS = 30_000
# In lists as short as this each day has ends that are not listed yet.
N_LISTED_ENDS = 5


def play(seed, trouble):
    """Play a day with jobs and what `trouble` adds; returns the broken promises."""
    world = World(seed)
    world.start()
    world.play(2_000)
    trouble(world)
    for _ in range(N_JOBS):
        world.submit(world.rng.randint(1, 3))
        world.play(world.rng.randint(50, 600))
    world.has_late_calls = False
    world.play(SETTLE_MS)
    world.check_jobs()
    return world.broken


def nothing(world):
    """Add nothing: only late and lost messages."""


def outages(world):
    """Let the store be down for 0.5 to 12 s, several times."""
    at_ms = 0
    for _ in range(3):
        at_ms += world.rng.randint(1_000, 8_000)
        world.at(at_ms, world.outage, world.rng.randint(2, 48) * 250)


def restarts(world):
    """Let workers crash and come back under their ids."""
    for _ in range(6):
        worker_id = world.rng.choice(list(world.workers))
        down_ms = world.rng.choice((0, 1, 20, 300, 1_500))
        world.at(world.rng.randint(0, 14_000), world.crash, worker_id, down_ms)


def both(world):
    """Outages and restarts at one time."""
    outages(world)
    restarts(world)


@pytest.mark.parametrize("seed", range(N_SEEDS))
@pytest.mark.parametrize("trouble", [nothing, outages, restarts, both])
def test_no_task_runs_twice_and_each_job_ends(trouble, seed):
    """Guards against tasks that run twice, and jobs that never end or fail untrue."""
    assert play(seed, trouble)[:3] == []


@pytest.mark.parametrize("seed", range(max(1, N_SEEDS // 5)))
@pytest.mark.parametrize("trouble", [nothing, both])
def test_each_job_ends_beside_lists_full_of_ends(monkeypatch, trouble, seed):
    """Guards against workers whose lists stay full, so that nothing is proved gone and
    nothing is acknowledged.
    """
    monkeypatch.setattr(limits, "MAX_LISTED_ENDS", N_LISTED_ENDS)
    assert play(seed, trouble)[:3] == []
