"""Moves of machines between pools whose demand changes."""

from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import MIN_STAY_MS, MachineOrder, OrderResult
from apricotgap.jobs.fleet_plan import FleetPlanner
from apricotgap.jobs.fleet_view import PoolReport, WorkerReport
from apricotgap.jobs.limits import RESERVATION_MS
from apricotgap.jobs.machine_list import MachineList
from apricotgap.jobs.model import Resources
from apricotgap.jobs.pool_sizes import SUSTAINED_MS
from tests.jobs_harness import SERVICE, Rig
from tests.test_fleet_plan import CONFIGURATION, MAINTENANCE_MS, MOVE_MS, OTHER

CYCLE_MS = 300


class Pools:
    """A planner, two pools that report, and a clock that tests advance by hand.

    `wants` holds what each pool wants by priority, `busy` how many machines jobs in
    time use, and `runs` number and drain time of the runs by machine.
    """

    def __init__(self, **n_machines):
        self.now = 100_000
        self.planner = FleetPlanner(MOVE_MS, MAINTENANCE_MS)
        self.wants = {SERVICE: (), OTHER: ()}
        self.late = {SERVICE: 0, OTHER: 0}
        self.busy = {SERVICE: 0, OTHER: 0}
        self.runs = {}
        self.log = []
        self.machines = {}
        for pool, n in n_machines.items():
            for index in range(n):
                self.place(f"{pool}{index}", pool)

    def place(self, name, pool):
        self.machines[name] = Machine(
            name, pool, "up", "a", ("k", "r1"), Resources(8000), f"w-{name}-{pool}"
        )

    def report(self, pool):
        reserved = self.planner.reserved_workers(self.machines).get(pool, ())
        workers = tuple(
            WorkerReport(
                each.worker_id,
                self.runs.get(each.name, (0, 0))[0],
                0,
                True,
                each.worker_id in reserved,
                False,
                self.runs.get(each.name, (0, 0))[1],
            )
            for each in self.machines.values()
            if each.pool == pool and each.state == "up"
        )
        wanted = sum(n for _, n in self.wants[pool])
        return PoolReport(
            wanted, workers, self.late[pool], 0, self.wants[pool], self.busy[pool]
        )

    def plan(self):
        """Run a cycle of the owner of the fleet; returns the orders."""
        self.now += CYCLE_MS
        reports = {pool: self.report(pool) for pool in (SERVICE, OTHER)}
        orders, lines = self.planner.plan(
            self.now,
            self.now,
            CONFIGURATION,
            MachineList(self.machines),
            reports,
            frozenset(),
        )
        self.log += [line for line in lines if line.event == "machine_order"]
        return orders

    def carry_out(self, orders):
        """Let the platform move machines at once."""
        for order in orders:
            self.planner.handle_response(OrderResult(order, "ok", self.now))
            self.place(order.machine, order.pool)

    def leaving(self):
        found = self.planner.reserved_workers(self.machines)
        return sorted(worker for workers in found.values() for worker in workers)


def test_peak_that_passes_on_takes_the_machines_that_are_empty_first():
    """Load: a peak passes from one pool to the next with all machines in use.

    Guards against a pool that waits for runs that last while others end sooner.
    """
    pools = Pools(**{SERVICE: 4, OTHER: 0})
    pools.wants = {SERVICE: ((0, 2),), OTHER: ((0, 2),)}
    slow, quick = (1, 4_000), (5, 300)
    first, second, third, last = sorted(pools.machines)
    pools.runs = {first: slow, second: quick, third: slow, last: quick}
    assert pools.plan() == []
    assert pools.leaving() == sorted(
        pools.machines[name].worker_id for name in (second, last)
    )
    assert pools.planner.is_draining
    pools.runs[last] = (0, 0)
    assert pools.plan() == [MachineOrder(last, OTHER)]
    (line,) = pools.log
    assert line.fields["why"] == "demand"
    assert line.fields["for_level"] == 0


def test_shard_is_told_for_which_priority_its_machines_leave():
    """Guards against stopped runs of late jobs for machines that nobody needs."""
    pools = Pools(**{SERVICE: 3})
    pools.wants[OTHER] = ((2, 1),)
    pools.runs = dict.fromkeys(pools.machines, (1, 900))
    pools.plan()
    urgent = pools.planner.urgent_workers(pools.machines)[SERVICE]
    assert list(urgent.values()) == [2]
    assert len(pools.leaving()) == 3
    pools.wants[OTHER], pools.late[OTHER] = (), 1
    pools.plan()
    assert pools.planner.urgent_workers(pools.machines) == {}


def test_pool_with_late_work_only_gives_way_at_once():
    """Load: a pool with late work only, beside one whose peak begins.

    Guards against machines that late jobs keep from jobs in time.
    """
    pools = Pools(**{SERVICE: 4, OTHER: 0})
    pools.late[SERVICE] = 30
    pools.wants[OTHER] = ((1, 4),)
    pools.runs = dict.fromkeys(pools.machines, (1, 900))
    pools.plan()
    assert len(pools.leaving()) == 4


def test_machines_in_use_for_jobs_in_time_are_taken_for_lasting_demand_only():
    """Load: two pools of different priority, both with more work than machines.

    Guards against a short peak that ends before the machines that it takes arrive, and
    against urgent jobs that wait for less urgent ones for good.
    """
    pools = Pools(**{SERVICE: 4, OTHER: 4})
    pools.wants = {SERVICE: ((1, 20),), OTHER: ((0, 20),)}
    pools.busy[SERVICE] = 4
    pools.runs = dict.fromkeys(pools.machines, (1, 900))
    began_ms = pools.now
    while pools.now - began_ms < SUSTAINED_MS:
        assert pools.leaving() == []
        pools.plan()
    pools.plan()
    assert len(pools.leaving()) == 4


def test_machine_that_has_just_moved_in_stays_unless_another_pool_lacks_one():
    """Guards against a machine that is moved to and fro by demand that comes and goes,
    and against a peak elsewhere that waits for it.
    """
    pools = Pools(spare=1)
    pools.wants[SERVICE] = ((0, 1),)
    pools.carry_out(pools.plan())
    pools.now += MOVE_MS
    pools.wants[SERVICE] = ()
    pools.plan()
    assert pools.leaving() == []
    pools.wants[OTHER] = ((0, 1),)
    pools.plan()
    assert len(pools.leaving()) == 1
    pools.wants[OTHER] = ()
    pools.now += MIN_STAY_MS
    assert [order.pool for order in pools.plan()] == ["spare"]


def test_owner_that_ends_between_reservation_and_order_orders_nothing():
    """Guards against an order of the next owner by a reservation that it has not made:
    the shard's reservation ends meanwhile, and tasks start there again.
    """
    pools = Pools(**{SERVICE: 2, OTHER: 0})
    pools.wants = {SERVICE: ((0, 1),), OTHER: ((0, 1),)}
    pools.plan()
    (reserved,) = pools.leaving()
    pools.planner = FleetPlanner(MOVE_MS, MAINTENANCE_MS)
    pools.planner.inherit((), pools.now + 3_000)
    assert pools.plan() == []
    shard = Rig(workers=("w1",)).ready()
    shard.shard.reserve(["w1"], shard.now)
    shard.now += RESERVATION_MS
    shard.poll("w1")
    assert shard.shard.accepting_workers(shard.now)
    # The next owner reserves the machine itself, and orders it a cycle later.
    assert pools.leaving() == [reserved]
    assert len(pools.plan()) == 1
