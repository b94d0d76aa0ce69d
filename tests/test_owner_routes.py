"""Seeded days on which the route of a service goes and comes back several times.

The shard is given up for good and taken up again between, instances are replaced and
shards handed over for balance, and long-running tasks go on or are cancelled.
"""

import functools
import os

import pytest
import trio

from apricotgap.instance.job_cleanup import CLEANUP_INTERVAL_S
from apricotgap.instance.shard_retirement import UNUSED_DELAY_MS
from apricotgap.jobs.limits import RETENTION_MARGIN_MS
from tests.day_troubles import Trouble, replace_owner
from tests.jobs_harness import SERVICE
from tests.owner_world import play_day

# More seeds by hand: DAY_SEEDS=100 python -m pytest tests/test_owner_routes.py
N_SEEDS = int(os.environ.get("DAY_SEEDS", "3"))
N_CHANGES = 3
STATUS_RETENTION_MS = 1_000
# Long enough for a shard to forget its last jobs and to retire.
FORGETTING_MS = STATUS_RETENTION_MS + RETENTION_MARGIN_MS + 1_000 * CLEANUP_INTERVAL_S
RETIRING_MS = int(FORGETTING_MS) + UNUSED_DELAY_MS
ROUTES = Trouble.registry["routes"].ROUTES
WITHOUT_ROUTE = {queue: ROUTES[queue] for queue in ROUTES if queue != "plans"}
SETTLE_S = 20
# Days of which at least one gives the shard up for good and takes it up again.
N_PLAYED_SEEDS = 6


async def change_routes(world):
    """Take the route away and bring it back, again and again."""
    rng = world.rng
    world.has_late_calls = rng.random() < 0.5
    for _ in range(N_CHANGES):
        world.submit(3, is_long_running=True)
        for _ in range(4):
            world.submit(rng.randint(1, 3))
            await trio.sleep(rng.randint(100, 800) / 1000)
        if rng.random() < 0.7:
            Trouble.registry["routes"].cancel_lasting(world)
        world.configure(WITHOUT_ROUTE)
        # Some absences end about when the shard is given up.
        gone_ms = rng.choice((500, 5_000, 12_000, RETIRING_MS, RETIRING_MS))
        gone_ms += rng.randrange(8_000)
        if rng.random() < 0.3:
            Trouble.registry["handovers"].plan(world)
        for _ in range(rng.randrange(3)):
            at_ms = rng.choice((rng.randrange(2_000), rng.randrange(gone_ms)))
            world.at(at_ms, replace_owner, world)
        if rng.random() < 0.3:
            world.at(rng.randrange(gone_ms), world.submit, 2)
        await trio.sleep(gone_ms / 1000)
        world.configure(ROUTES)
        await trio.sleep(rng.randint(0, 3_000) / 1000)
    world.submit(2)
    world.end_late_calls()
    await trio.sleep(SETTLE_S)
    world.observer.check_end()


@functools.cache
def play(seed):
    """Play a day; returns its world."""
    return play_day(seed, change_routes, status_retention_ms=STATUS_RETENTION_MS)


@pytest.mark.parametrize("seed", range(N_SEEDS))
def test_promises_hold_while_a_route_goes_and_comes_back(seed):
    """Guards against work of a service that has no owner any more, or two."""
    assert play(seed).broken[:3] == []


def retires_and_returns(seed):
    """Return whether the shard is given up for good and loaded again on a day."""
    events = [
        line["event"] for _, line in play(seed).log if line.get("shard") == SERVICE
    ]
    if "shard_retired" not in events:
        return False
    return "shard_loaded" in events[events.index("shard_retired") :]


def test_days_have_shards_that_retire_and_are_claimed_again():
    """Guards against days that do not play what they are for."""
    assert any(map(retires_and_returns, range(N_PLAYED_SEEDS)))
