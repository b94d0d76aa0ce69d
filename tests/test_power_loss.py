"""Seeded days on which all instances and workers lose power at once.

A long-running task must be at work again within 9 s of its last run, the last 7 s of
them calm and beside room for it; each other accepted job succeeds.
"""

import os
from abc import ABC, abstractmethod

import pytest
import trio

from tests.day_troubles import replace_owner
from tests.owner_world import play_day
from tests.power_losses import (
    MAX_SPAN_MS,
    MIN_SPAN_MS,
    busiest,
    lose_power,
    move_machine,
)

# More seeds by hand: DAY_SEEDS=100 python -m pytest tests/test_power_loss.py
N_SEEDS = int(os.environ.get("DAY_SEEDS", "2"))
N_WORKERS = 10
N_JOBS = 10
CALM_S = 15
# Shortest and longest `maxHoldMs` of the platform's deployments.
MAX_LEASES_MS = (6_000, 10_000)


class PowerLossDay(ABC):
    """What happens around a loss of power, registered under its `name`.

    `play` returns once the last thing that it does has begun.
    """

    name = ""
    registry = {}

    def __init_subclass__(cls):
        PowerLossDay.registry[cls.name] = cls()

    @abstractmethod
    async def play(self, world):
        """Play the trouble of the day."""


def _span_ms(world):
    return world.rng.randrange(MIN_SPAN_MS, MAX_SPAN_MS)


async def _pause(world, min_ms, max_ms):
    await trio.sleep(world.rng.randrange(min_ms, max_ms) / 1000)


class Alone(PowerLossDay):
    """All workers come back."""

    name = "alone"

    async def play(self, world):
        lose_power(world, _span_ms(world))


class WorkersLost(PowerLossDay):
    """Up to three workers never come back."""

    name = "workers_lost"

    async def play(self, world):
        lose_power(world, _span_ms(world), world.rng.randint(1, 3))


class AfterTakeover(PowerLossDay):
    """The owner of the shard was replaced just before; a worker never comes back."""

    name = "after_takeover"

    async def play(self, world):
        replace_owner(world)
        await _pause(world, 100, 6_000)
        lose_power(world, _span_ms(world), world.rng.randint(0, 2))


class AfterMoves(PowerLossDay):
    """Machines of the pool were moved to another one just before."""

    name = "after_moves"

    async def play(self, world):
        for worker_id in busiest(world, world.rng.randint(1, 3)):
            move_machine(world, worker_id)
        await _pause(world, 0, 1_500)
        lose_power(world, _span_ms(world))


class AfterMovesToSparePool(PowerLossDay):
    """Machines were moved to a pool that is off, where no worker is listed."""

    name = "after_moves_to_spare_pool"

    async def play(self, world):
        for worker_id in busiest(world, world.rng.randint(1, 3)):
            move_machine(world, worker_id, "spare")
        await _pause(world, 0, 1_500)
        lose_power(world, _span_ms(world))


class AfterRestarts(PowerLossDay):
    """Workers restarted under their ids just before, and then never come back."""

    name = "after_restarts"

    async def play(self, world):
        restarted = busiest(world, 2)
        for worker_id in restarted:
            world.take_down(worker_id, 300, 500)
        await _pause(world, 1_000, 5_000)
        lose_power(world, _span_ms(world), lost=restarted)


class Again(PowerLossDay):
    """Power is lost again while the work is taken up; workers never come back."""

    name = "again"

    async def play(self, world):
        for _ in range(world.rng.randint(1, 2)):
            lose_power(world, _span_ms(world), world.rng.randint(0, 1))
            await _pause(world, 2_000, 8_000)
        lose_power(world, _span_ms(world), world.rng.randint(0, 1))


class BesideStops(PowerLossDay):
    """Instances are being stopped in turn as the power is lost."""

    name = "beside_stops"

    async def play(self, world):
        gap_ms = world.rng.randrange(200, 1_500)
        for number, process in enumerate(world.instances):
            world.at(number * gap_ms, process.terminate)
        await _pause(world, 0, 3 * gap_ms)
        lose_power(world, _span_ms(world), world.rng.randint(0, 2))


def play(seed, name, max_lease_ms):
    """Play a day; returns its world."""

    async def day(world):
        world.has_late_calls = False
        world.submit(4, is_long_running=True)
        world.submit(4, is_long_running=True)
        await _pause(world, 7_000, 9_000)
        for _ in range(N_JOBS):
            world.submit(world.rng.randint(1, 3))
        await PowerLossDay.registry[name].play(world)
        for _ in range(N_JOBS):
            world.submit(world.rng.randint(1, 3))
            await _pause(world, 100, 500)
        while world.now - world.troubled_ms < 1_000 * CALM_S:
            await trio.sleep(0.5)
        world.observer.check_end()

    return play_day(seed, day, n_workers=N_WORKERS, max_lease_ms=max_lease_ms)


@pytest.mark.parametrize("seed", range(N_SEEDS))
@pytest.mark.parametrize("max_lease_ms", MAX_LEASES_MS)
@pytest.mark.parametrize("name", sorted(PowerLossDay.registry))
def test_work_goes_on_after_a_loss_of_all_power(name, max_lease_ms, seed):
    """Guards against long-running tasks that stay away, and jobs that are lost, since a
    new owner waits for workers that went with the power.
    """
    assert play(seed, name, max_lease_ms).broken[:3] == []
