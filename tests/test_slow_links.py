"""Large reads over slow links: they end, and renewals of leases go on beside them."""

import trio

from tests.jobs_harness import SERVICE
from tests.owner_world import play_day
from tests.power_losses import lose_power

# A configuration with a few thousand routes.
LARGE_BYTES = 600_000
# 2 Mbit/s: the configuration alone, as base64 text, takes 3.2 s.
LINK_BYTES_PER_S = 250_000
# From the return of power to a long-running task at work, beside a link that is busy
# for 3.2 s with the configuration.
MAX_AWAY_S = 9


def enlarge_configuration(world, n_bytes=LARGE_BYTES):
    """Let the operator add to the configuration what takes this many bytes."""
    world.configuration_padding = "x" * n_bytes
    world.configure({"plans": SERVICE})


def play(day, **numbers):
    """Play a day on slow links."""

    async def slow_day(world):
        world.has_late_calls = False
        for process in world.instances:
            process.link.bytes_per_s = LINK_BYTES_PER_S
        await day(world)

    return play_day(1, slow_day, **numbers)


def n_logged(world, event):
    return sum(line["event"] == event for _, line in world.log)


def test_instances_read_a_configuration_that_takes_longer_than_a_call():
    """Guards against instances that never have a configuration after a loss of power:
    each read of it takes longer than the limit of a call and begins anew.
    """

    async def day(world):
        world.submit(2, is_long_running=True)
        await trio.sleep(3)
        enlarge_configuration(world)
        await trio.sleep(6)
        lose_power(world, 1_000)
        await trio.sleep(1 + MAX_AWAY_S)
        assert world.owner() is not None
        await trio.sleep(8)
        world.observer.check_end()

    assert play(day).broken[:3] == []


def test_no_lease_is_lost_beside_a_large_read():
    """Guards against an owner that loses its shard since its renewals wait behind the
    configuration that all instances read at once.
    """

    async def day(world):
        await trio.sleep(3)
        enlarge_configuration(world)
        await trio.sleep(10)

    world = play(day)
    assert n_logged(world, "lease_ended") == 0
    assert n_logged(world, "shard_lost") == 0
