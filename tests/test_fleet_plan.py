"""Tests of the fleet planner: moves between pools and maintenance waves."""

from dataclasses import replace

import pytest

from apricotgap.jobs.configuration import ServiceSpec, Wave
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import (
    BUSY_BACKOFF_MS,
    JOIN_TIMEOUT_MS,
    ORDER_RETRY_MS,
    MachineOrder,
    OrderResult,
)
from apricotgap.jobs.fleet_plan import FleetPlanner
from apricotgap.jobs.fleet_view import PoolReport, WorkerReport
from apricotgap.jobs.machine_absence import ABSENCE_MS
from apricotgap.jobs.machine_list import MachineList
from apricotgap.jobs.model import Resources
from tests.jobs_harness import SERVICE, configuration

OTHER = "other"
CONFIGURATION = replace(
    configuration(),
    services=(*configuration().services, ServiceSpec(OTHER, True, False)),
)
MOVE_MS = 1_500
MAINTENANCE_MS = 2_000


def machine(name, pool=SERVICE, state="up"):
    worker_id = "" if pool == "spare" else f"w-{name}"
    return Machine(name, pool, state, "a", ("k", "r1"), Resources(8000), worker_id)


class Rig:
    """A planner with machines, reports and a clock that tests change by hand."""

    def __init__(self, *machines):
        self.planner = FleetPlanner(MOVE_MS, MAINTENANCE_MS)
        self.machines = {each.name: each for each in machines}
        self.wanted = 0
        self.other_wanted = 0
        self.runs = {}
        self.reserved = set()
        self.suspect = set()
        self.evacuated = frozenset()
        self.unusable = False
        self.has_report = True
        self.registered = frozenset()
        self.unreadable = frozenset()
        self.n_unnamed = 0
        self.now = 100_000

    def plan(self, *waves, listed_ms=None):
        self.planner.set_waves(waves, {}, self.now)
        for names in self.planner.reserved_workers(self.machines).values():
            self.reserved.update(names)
        workers = tuple(
            WorkerReport(
                each.worker_id,
                *self.runs.get(each.name, (0, 0)),
                each.data_centre not in self.evacuated and not self.unusable,
                each.worker_id in self.reserved,
                each.name in self.suspect,
            )
            for each in self.machines.values()
            if each.worker_id and each.state == "up"
        )
        reports = {OTHER: PoolReport(self.other_wanted, ())}
        if self.has_report:
            reports[SERVICE] = PoolReport(self.wanted, workers)
        orders, _ = self.planner.plan(
            self.now,
            self.now if listed_ms is None else listed_ms,
            CONFIGURATION,
            MachineList(self.machines, self.unreadable, self.n_unnamed),
            reports,
            self.evacuated,
            registered=self.registered,
        )
        return orders

    def answer(self, order, kind="ok"):
        self.planner.handle_response(OrderResult(order, kind, self.now))


def wave(*names, max_down=2):
    return Wave(1, names, 20_000, max_down)


def test_no_more_machines_go_down_than_the_wave_allows():
    """Guards against a pass that does not count the orders it has just made."""
    names = [f"m{n}" for n in range(5)]
    rig = Rig(*(machine(name, "spare") for name in names))
    assert len(rig.plan(wave(*names))) == 2
    assert rig.plan(wave(*names)) == []


def test_order_without_a_response_counts_as_down_and_is_repeated():
    """Guards against too many machines down when an order takes effect unnoticed."""
    rig = Rig(*(machine(f"m{n}", "spare") for n in range(3)))
    (order,) = rig.plan(wave("m0", "m1", "m2", max_down=1))
    rig.answer(order, "unknown")
    assert rig.plan(wave("m0", "m1", "m2", max_down=1)) == []
    rig.now += ORDER_RETRY_MS + 1
    assert rig.plan(wave("m0", "m1", "m2", max_down=1)) == [order]


def test_machine_counts_as_down_until_a_later_list_shows_it_up():
    """Guards against a stale list that still shows the machine as up."""
    rig = Rig(*(machine(f"m{n}", "spare") for n in range(2)))
    (order,) = rig.plan(wave("m0", "m1", max_down=1))
    rig.answer(order)
    rig.now += 300
    assert rig.plan(wave("m0", "m1", max_down=1), listed_ms=rig.now - 400) == []
    rig.now += MAINTENANCE_MS
    assert len(rig.plan(wave("m0", "m1", max_down=1))) == 1


def test_machine_of_a_pool_goes_down_only_when_it_is_empty():
    """Guards against maintenance that kills the runs on a machine."""
    rig = Rig(machine("m0"), machine("m1"), machine("m2"))
    rig.wanted = 3
    rig.runs["m0"] = (2, 0)
    assert rig.plan(wave("m0")) == []
    assert rig.plan(wave("m0")) == []
    rig.runs["m0"] = (0, 0)
    assert rig.plan(wave("m0")) == [MachineOrder("m0", wave=1)]


def unanswered_maintenance():
    """Return a rig and an order for a machine of a pool that got no answer."""
    rig = Rig(machine("m0"), machine("m1"), machine("m2"))
    rig.wanted = 3
    rig.plan(wave("m0"))
    (order,) = rig.plan(wave("m0"))
    rig.answer(order, "unknown")
    rig.now += ORDER_RETRY_MS + 1
    return rig, order


def test_repeated_order_waits_until_the_machine_is_empty_again():
    """Guards against an order that ends tasks: it got no answer, and the worker took up
    work after its reservation had ended.
    """
    rig, order = unanswered_maintenance()
    rig.runs["m0"] = (1, 0)
    assert rig.plan(wave("m0")) == []
    rig.runs["m0"] = (0, 0)
    rig.reserved.clear()
    assert rig.plan(wave("m0")) == [order]


def test_repeated_order_waits_for_a_report_of_the_pool():
    """Guards against an order that ends tasks of which the owner of the fleet has not
    heard, since the shard has no owner that reports.
    """
    rig, order = unanswered_maintenance()
    rig.has_report = False
    assert rig.plan(wave("m0")) == []
    rig.has_report = True
    assert rig.plan(wave("m0")) == [order]


@pytest.mark.parametrize("kind", ["unavailable", "busy"])
def test_repeated_order_that_is_not_carried_out_leaves_the_first_one_open(kind):
    """Guards against too many machines down: the first order got no answer and was
    carried out, and the answer to the second one tells nothing of it.
    """
    names = ("m0", "m1", "m2")
    rig = Rig(*(machine(name, "spare") for name in names))
    (order,) = rig.plan(wave(*names, max_down=1))
    rig.answer(order, "unknown")
    rig.now += ORDER_RETRY_MS + 1
    assert rig.plan(wave(*names, max_down=1)) == [order]
    rig.answer(order, kind)
    assert rig.plan(wave(*names, max_down=1)) == []
    rig.now += ORDER_RETRY_MS + 1
    assert rig.plan(wave(*names, max_down=1)) == [order]
    rig.answer(order)
    assert rig.planner.waves[1].done == {"m0"}


@pytest.mark.parametrize("state", ["down", None])
def test_unanswered_order_ends_with_its_machine(state):
    """Guards against a pool that waits for a machine that crashed or left for good."""
    rig = Rig(machine("m0", "spare"), machine("m1", "spare"))
    waves = wave("m0", "m1", max_down=1)
    (order,) = rig.plan(waves)
    rig.answer(order, "unknown")
    if state is None:
        del rig.machines["m0"]
    else:
        rig.machines["m0"] = replace(rig.machines["m0"], state=state)
    assert rig.plan(waves, listed_ms=rig.now - 100) == []
    rig.now += 100
    if state is None:
        # A single list may lack the machine although it went down by the order.
        assert rig.plan(waves) == []
        rig.now += ABSENCE_MS
    assert [each.machine for each in rig.plan(waves)] == ["m1"]


def test_order_whose_machine_has_another_worker_is_repeated_at_once():
    """Guards against a wave that waits for tasks to end although the order has been
    carried out: the platform only confirms it.
    """
    rig, order = unanswered_maintenance()
    rig.machines["m0"] = replace(rig.machines["m0"], worker_id="w-next")
    rig.runs["m0"] = (1, 0)
    assert rig.plan(wave("m0")) == [order]


def test_worker_stays_reserved_while_its_order_is_unresolved():
    """Guards against an order that is never resolved: its wave has gone, and a worker
    that is not reserved is never empty.
    """
    rig, order = unanswered_maintenance()
    rig.runs["m0"] = (1, 0)
    rig.plan()
    assert rig.planner.reserved_workers(rig.machines) == {SERVICE: ["w-m0"]}
    rig.runs["m0"] = (0, 0)
    assert rig.plan() == [order]


def ordered_maintenance():
    """Return a rig and its confirmed order for a machine of a pool."""
    rig = Rig(machine("m0"), machine("m1"), machine("m2"))
    rig.wanted = 3
    rig.plan(wave("m0"))
    (order,) = rig.plan(wave("m0"))
    rig.answer(order)
    return rig


def test_order_that_was_already_done_leaves_the_worker_in_service():
    """Guards against a shard that ignores a sound worker, and what runs on it.

    An earlier owner of the fleet has had the maintenance carried out and did not live
    to store that. The platform confirms the order of its successor, and the worker that
    came after the maintenance stays.
    """
    rig = ordered_maintenance()
    for _ in range(10):
        assert rig.planner.ended_workers(rig.now) == []
        rig.now += 500
        rig.plan(wave("m0"))
    assert rig.planner.waves[1].is_finished
    assert not rig.planner.is_busy


@pytest.mark.parametrize(
    "listed", [machine("m0", state="upkeep"), replace(machine("m0"), worker_id="w-new")]
)
def test_order_that_was_carried_out_frees_the_tasks_of_its_worker(listed):
    """Guards against tasks that wait for the lease of a worker that an order ended."""
    rig = ordered_maintenance()
    rig.machines["m0"] = listed
    rig.plan(wave("m0"))
    assert rig.planner.ended_workers(rig.now) == ["w-m0"]


def test_worker_that_came_back_under_its_id_is_not_reported_as_ended():
    """Guards against a shard that ignores the next incarnation of a worker."""
    rig = ordered_maintenance()
    rig.machines["m0"] = machine("m0", state="upkeep")
    rig.plan(wave("m0"))
    rig.now += MAINTENANCE_MS
    rig.machines["m0"] = machine("m0")
    rig.plan(wave("m0"))
    assert rig.planner.ended_workers(rig.now) == []


def test_wave_finishes_only_after_the_maintenance_of_each_machine():
    """Guards against a wave reported as finished while an order is pending."""
    rig = Rig(machine("m0", "spare"), machine("m1", "spare"))
    orders = rig.plan(wave("m0", "m1"))
    rig.answer(orders[0])
    assert not rig.planner.waves[1].is_finished
    rig.answer(orders[1])
    assert rig.planner.waves[1].is_finished


def test_pool_that_lacks_machines_gets_spare_ones_once():
    """Guards against further orders while the ordered machines are moving."""
    rig = Rig(machine("m0"), *(machine(f"s{n}", "spare") for n in range(4)))
    rig.wanted = 3
    orders = rig.plan()
    assert [order.pool for order in orders] == [SERVICE, SERVICE]
    for order in orders:
        rig.answer(order)
        rig.machines[order.machine] = machine(order.machine, SERVICE, "moving")
    rig.now += 300
    assert rig.plan() == []


def test_surplus_machine_leaves_only_when_it_is_empty():
    """Guards against a move that kills the runs on a machine."""
    rig = Rig(machine("m0"), machine("m1"))
    rig.wanted = 1
    rig.runs = {"m0": (1, 0), "m1": (2, 0)}
    assert rig.plan() == []
    assert rig.plan() == []
    rig.runs["m0"] = (0, 0)
    assert rig.plan() == [MachineOrder("m0", "spare")]


def test_machine_with_long_running_runs_is_not_surplus():
    """Guards against migrating long-running tasks just to shrink a pool."""
    rig = Rig(machine("m0"), machine("m1"))
    rig.wanted = 1
    rig.runs = {"m0": (1, 1), "m1": (1, 1)}
    rig.plan()
    assert rig.planner.reserved_workers(rig.machines) == {}


def test_reserved_machine_is_kept_when_the_pool_needs_it_again():
    """Guards against a reservation that outlasts the surplus."""
    rig = Rig(machine("m0"), machine("m1"))
    rig.wanted = 1
    rig.runs = {"m0": (1, 0), "m1": (1, 0)}
    rig.plan()
    rig.wanted = 2
    rig.plan()
    assert rig.planner.reserved_workers(rig.machines) == {}


def test_machine_that_was_busy_is_not_ordered_again_at_once():
    """Guards against orders repeated in each pass for a busy machine."""
    rig = Rig(machine("m0"), machine("s0", "spare"))
    rig.wanted = 2
    (order,) = rig.plan()
    rig.answer(order, "busy")
    assert rig.plan() == []
    rig.now += BUSY_BACKOFF_MS
    assert rig.plan() == [order]


def test_machine_of_another_kind_is_not_sent_to_a_pool():
    """Guards against orders that the platform always refuses."""
    rig = Rig(machine("m0"), machine("s0", "spare"), machine("s1", "spare"))
    other = replace(rig.machines["s0"], labels=("other", "r1"))
    rig.machines["s0"] = other
    rig.wanted = 3
    assert rig.plan() == [MachineOrder("s1", SERVICE)]


def test_machines_of_an_evacuated_data_centre_leave_their_pool_once_empty():
    """Guards against paying for machines that get no work."""
    rig = Rig(machine("m0"), replace(machine("m1"), data_centre="b"))
    rig.wanted = 2
    rig.evacuated = frozenset({"b"})
    rig.runs["m1"] = (1, 1)
    assert rig.plan() == []
    assert rig.plan() == []
    rig.runs["m1"] = (0, 0)
    assert rig.plan() == [MachineOrder("m1", "spare")]


def test_machine_of_a_suspect_worker_leaves_its_pool():
    """Guards against paying for a machine on which runs fail."""
    rig = Rig(machine("m0"), machine("m1"))
    rig.wanted = 2
    rig.suspect = {"m1"}
    rig.plan()
    assert rig.plan() == [MachineOrder("m1", "spare")]


def test_machine_ordered_by_a_previous_owner_is_not_ordered_at_once():
    """Guards against conflicting orders of two owners for one machine."""
    rig = Rig(machine("s0", "spare"), machine("s1", "spare"))
    rig.wanted = 2
    rig.planner.inherit({"s0"}, rig.now + 3_000)
    assert rig.plan() == [MachineOrder("s1", SERVICE)]
    rig.now += 3_000
    assert MachineOrder("s0", SERVICE) in rig.plan()


def test_machines_that_a_previous_owner_took_down_count_for_the_wave():
    """Guards against more machines down than a wave allows after a takeover."""
    rig = Rig(*(machine(f"m{n}", "spare") for n in range(3)))
    rig.planner.inherit({"m0"}, rig.now + 3_000)
    assert rig.plan(wave("m0", "m1", "m2", max_down=1)) == []
    rig.now += 3_000
    assert len(rig.plan(wave("m0", "m1", "m2", max_down=1))) == 1


def test_surplus_machine_goes_directly_to_a_pool_that_lacks_one():
    """Guards against two consecutive moves at the start of a burst."""
    rig = Rig(machine("m0"), machine("m1"), machine("m2"))
    rig.wanted = 1
    rig.other_wanted = 1
    rig.plan()
    orders = rig.plan()
    assert sorted(order.pool for order in orders) == [OTHER, "spare"]


def test_surplus_machine_goes_to_the_spare_pool_once_no_pool_lacks_one():
    """Guards against a redirected move that is kept after the need has passed."""
    rig = Rig(machine("m0"), machine("m1"))
    rig.wanted = 1
    rig.other_wanted = 1
    rig.runs = {"m0": (1, 0), "m1": (1, 0)}
    rig.plan()
    rig.other_wanted = 0
    rig.runs = {}
    assert [order.pool for order in rig.plan()] == ["spare"]


def test_burst_of_a_pool_leaves_machines_to_another():
    """Guards against a pool that gets all machines because its name comes first."""
    rig = Rig(*(machine(f"s{n}", "spare") for n in range(12)))
    rig.wanted, rig.other_wanted = 4, 60
    pools = [order.pool for order in rig.plan()]
    assert pools.count(SERVICE) == 4
    assert pools.count(OTHER) == 8


def test_machines_that_leave_a_pool_count_for_the_division():
    """Guards against a pool that shrinks further with each machine that it gives up."""
    names = [f"m{n}" for n in range(10)]
    rig = Rig(*map(machine, names))
    rig.wanted, rig.other_wanted = 60, 60
    rig.runs = dict.fromkeys(names, (1, 0))
    for _ in range(4):
        rig.plan()
        rig.now += 300
    assert len(rig.reserved) == 5


def test_pool_whose_owner_has_not_acquired_its_workers_gets_no_machines():
    """Guards against machines moved at every start of the deployment."""
    rig = Rig(machine("m1"), machine("m2"), machine("s1", "spare"))
    rig.wanted = 2
    rig.unusable = True
    assert not rig.plan()
    rig.now += JOIN_TIMEOUT_MS
    assert rig.plan()


def test_pool_of_suspect_workers_is_not_emptied():
    """Guards against accepted work beside free workers: jobs that cannot be done made
    all workers suspect, and reserved as they were, none could try another job.
    """
    rig = Rig(*(machine(f"m{n}") for n in range(3)))
    rig.wanted = 3
    rig.suspect = {"m0", "m1", "m2"}
    rig.runs = dict.fromkeys(rig.machines, (1, 1))
    rig.plan()
    assert rig.planner.reserved_workers(rig.machines) == {}


def test_reservations_end_when_most_of_a_pool_has_become_suspect():
    """Guards against workers that stay reserved since they became suspect first."""
    rig = Rig(*(machine(f"m{n}") for n in range(3)))
    rig.wanted = 3
    rig.runs = dict.fromkeys(rig.machines, (1, 1))
    rig.suspect = {"m0"}
    rig.plan()
    assert rig.planner.reserved_workers(rig.machines) == {SERVICE: ["w-m0"]}
    rig.suspect = {"m0", "m1"}
    rig.plan()
    assert rig.planner.reserved_workers(rig.machines) == {}


def test_evacuated_pool_of_suspect_workers_is_emptied():
    """Guards against machines of an evacuated data centre that stay in their pool."""
    rig = Rig(*(machine(f"m{n}") for n in range(3)))
    rig.suspect = {"m0", "m1", "m2"}
    rig.evacuated = frozenset({"a"})
    rig.plan()
    rig.now += JOIN_TIMEOUT_MS
    rig.plan()
    reserved = rig.planner.reserved_workers(rig.machines)
    assert reserved == {SERVICE: ["w-m0", "w-m1", "w-m2"]}


def test_machine_that_a_previous_owner_took_down_counts_until_a_later_list():
    """Guards against too many machines down: the list is from before the last order of
    the previous owner, and the platform lists none for longer than its lease.
    """
    rig = Rig(*(machine(f"m{n}", "spare") for n in range(3)))
    waves = wave("m0", "m1", "m2", max_down=1)
    listed_ms = rig.now
    until_ms = rig.now + 3_000
    rig.planner.inherit({"m0"}, until_ms)
    rig.now = until_ms + 500
    assert rig.plan(waves, listed_ms=listed_ms) == []
    assert len(rig.plan(waves, listed_ms=until_ms)) == 1


def test_machine_that_is_reserved_anew_is_not_ordered_by_its_last_reservation():
    """Guards against an order that ends tasks: the worker's last reservation was given
    up and ends before the order arrives.
    """
    rig = Rig(machine("m0"), machine("m1"), machine("m2"))
    rig.wanted = 3
    rig.reserved = {"w-m0"}
    assert rig.plan(wave("m0")) == []
    assert len(rig.plan(wave("m0"))) == 1
