"""Owner of the fleet: what must still hold as an order is sent."""

from types import SimpleNamespace

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance import fleet_owner
from apricotgap.instance.fleet_owner import FleetOwner
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.configuration import Wave
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_view import PoolReport, WorkerReport
from apricotgap.jobs.limits import RESERVATION_MS
from apricotgap.jobs.machine_list import MachineList
from apricotgap.jobs.model import Resources
from apricotgap.metrics import Metrics
from apricotgap.platform.store import Item, Snapshot, Stored
from tests.jobs_harness import SERVICE, configuration

SHARD = "~fleet"
NAMES = ("m0", "m1", "m2")
EXCLUSION_MS = 3_000
FAR_MS = 10_000_000


class SlowStore:
    """Stores each write after a delay."""

    def __init__(self, write_ms):
        self.write_ms = write_ms

    async def read_prefix(self, prefix):
        return Snapshot((), 1)

    async def read_key(self, key):
        return Item(key, None, 0)

    async def write(self, writes):
        await trio.sleep(self.write_ms / 1000)
        return Stored(2)


class Fleet:
    """Machines of one pool, whose shard reports them empty and reserves them."""

    def __init__(self, clock):
        self.clock = clock
        self.reserved_until_ms = {}
        self.orders = []

    async def machines(self):
        labels = ("k", "r1")
        return MachineList(
            {
                name: Machine(
                    name, SERVICE, "up", "a", labels, Resources(8000), f"w-{name}"
                )
                for name in NAMES
            }
        )

    async def send_order(self, order, token, timeout_ms=1_500):
        arrives_ms = self.clock.now_ms + timeout_ms
        self.orders.append((arrives_ms, self.reserved_until_ms[f"w-{order.machine}"]))
        return "unavailable"

    async def report(self, pool, request):
        now_ms = self.clock.now_ms
        for worker_id in request.reserved:
            self.reserved_until_ms[worker_id] = now_ms + RESERVATION_MS
        workers = tuple(
            WorkerReport(
                f"w-{name}",
                0,
                0,
                True,
                self.reserved_until_ms.get(f"w-{name}", 0) > now_ms,
            )
            for name in NAMES
        )
        return PoolReport(3, workers)


def play(monkeypatch, write_ms, check, lease_until_ms=FAR_MS):
    """Run the owner of the fleet for a while, and check the orders that it has sent."""

    async def main():
        clock = TrioClock()
        fleet = Fleet(clock)
        monkeypatch.setattr(fleet_owner, "MachineClient", lambda *_: fleet)
        bounds = SimpleNamespace(
            move_ms=1_500, upkeep_ms=2_000, holder_lease_ms=EXCLUSION_MS
        )
        owner = FleetOwner(
            Ownership(SHARD, 1, 1, 1, 6_500),
            SimpleNamespace(fleet_address="", name="me", bounds=bounds),
            SlowStore(write_ms),
            SimpleNamespace(valid_until_ms_of=lambda lease_id: lease_until_ms),
            SimpleNamespace(
                config=configuration(),
                waves={1: Wave(1, NAMES, 20_000, 2)},
                waves_begun_ms={},
                wave_revisions={},
                evacuated=frozenset(),
                services=lambda: (SERVICE,),
            ),
            SimpleNamespace(fresh_as_of_ms=None, add_reader=lambda reader: None),
            clock,
            Metrics("me"),
            fleet.report,
        )
        with trio.move_on_after(12):
            await owner.run()
        assert fleet.orders
        for arrives_ms, reserved_ms in fleet.orders:
            check(arrives_ms, reserved_ms)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("write_ms", [5, 900, 1_900, 2_500])
def test_order_arrives_while_its_worker_is_reserved(monkeypatch, write_ms):
    """Guards against an order that ends tasks: the store is slow, so that the worker's
    reservation ends before the order arrives, and its shard starts tasks there.
    """

    def check(arrives_ms, reserved_ms):
        assert arrives_ms <= reserved_ms

    play(monkeypatch, write_ms, check)


def test_order_arrives_before_the_lease_of_its_owner_ends(monkeypatch):
    """Guards against two owners of the fleet that order one machine by turns: the lease
    of the first ends while its order is on the way.
    """
    # It ends at some moment of the cycles in which orders are sent.
    for lease_until_ms in range(6_000, 12_000, 300):

        def check(arrives_ms, _reserved_ms, until_ms=lease_until_ms):
            assert arrives_ms <= until_ms

        play(monkeypatch, 5, check, lease_until_ms)
