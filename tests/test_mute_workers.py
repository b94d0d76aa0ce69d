"""Seeded days beside workers whose answers never come, with losses of the owner."""

import os

import pytest

from tests.shard_takeovers import TakeoverWorld
from tests.shard_world import CALL_TIMEOUT_MS
from tests.test_shard_sequences import nothing, outages, restarts

# More seeds by hand: SHARD_SEEDS=50 python -m pytest tests/test_mute_workers.py
N_SEEDS = int(os.environ.get("SHARD_SEEDS", "2"))
N_JOBS = 40
SETTLE_MS = 40_000


class MuteWorld(TakeoverWorld):
    """A world in which some answers of two workers never come.

    `mode` tells which: those to starts and stops, with or without these being carried
    out, half of all, or those to polls.
    """

    MUTE = ("w0", "w3")

    def __init__(self, seed, mode):
        super().__init__(seed, n_workers=6)
        self.mode = mode

    def _call(self, worker_id, timeout_ms, serve, done):
        if worker_id in self.MUTE and self._is_mute(timeout_ms == CALL_TIMEOUT_MS):
            is_dropped = self.mode == "orders dropped"
            serve = _drop if is_dropped else _without_answer(serve)
        super()._call(worker_id, timeout_ms, serve, done)

    def _is_mute(self, is_order):
        if self.mode == "half":
            return self.rng.random() < 0.5
        return is_order is (self.mode != "polls")


def _drop(worker, reply):
    """Do nothing."""


def _without_answer(serve):
    return lambda worker, reply: serve(worker, lambda result: None)


def play(seed, mode, trouble, n_losses):
    """Play a day; returns the broken promises."""
    world = MuteWorld(seed, mode)
    world.start()
    world.play(2_000)
    trouble(world)
    for _ in range(n_losses):
        world.at(world.rng.randint(0, 14_000), world.lose_owner)
    for _ in range(N_JOBS):
        world.submit(world.rng.randint(1, 4))
        world.play(world.rng.randint(50, 600))
    world.has_late_calls = False
    world.play(SETTLE_MS)
    world.check_jobs()
    return world.broken


@pytest.mark.parametrize("seed", range(N_SEEDS))
@pytest.mark.parametrize("n_losses", [0, 2])
@pytest.mark.parametrize("trouble", [nothing, restarts, outages])
@pytest.mark.parametrize("mode", ["orders", "orders dropped", "half", "polls"])
def test_no_task_runs_twice_and_each_job_ends(mode, trouble, n_losses, seed):
    """Guards against tasks that run twice, and jobs that never end, beside workers that
    say that they are healthy while their answers never come.
    """
    assert play(seed, mode, trouble, n_losses)[:3] == []
