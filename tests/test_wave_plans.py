"""Maintenance waves over pools with long-running tasks, in simulated time."""

import json
from dataclasses import replace
from random import Random

import pytest

from apricotgap.clock import FakeClock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.jobs.configuration import ServiceSpec, Wave
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import OrderResult
from apricotgap.jobs.fleet_plan import FleetPlanner
from apricotgap.jobs.fleet_view import FleetView, PoolReport, WorkerReport
from apricotgap.jobs.machine_list import MachineList
from apricotgap.jobs.model import Resources
from apricotgap.jobs.wave_reservations import WaveReservations
from apricotgap.platform.store import Item
from tests.jobs_harness import configuration

CYCLE_MS = 300
MAINTENANCE_MS = 2_000
MOVE_MS = 1_500
DURATION_MS = 25_000
MAX_DOWN = 31
# A migrated task is unavailable for this long: it is stopped and starts elsewhere.
MIGRATION_MS = 2_000
RUN_MS = 1_700
TAKEOVER_MS = 4_000
POOLS = ("p0", "p1", "p2")
N_OF_POOL = 35
N_HOSTS = 12
# Hosts of each pool in the wave: their tasks take 15 s to leave one after the other.
N_WAVE_HOSTS = 7
# Each pool needs more machines than it has at first.
N_WANTED = 45
CONFIGURATION = replace(
    configuration(),
    services=(
        *(ServiceSpec(pool, True, False) for pool in POOLS),
        ServiceSpec("spare", False, True),
    ),
)


class WaveDay:
    """180 machines in three pools and the spare pool.

    A third of the machines of each pool hosts long-running tasks of one step, of which
    one may be unavailable. All machines of pools run short tasks.
    """

    def __init__(self, seed, store_away):
        self.random = Random(seed)
        self.now = 100_000
        self.machines = {}
        self.hosts = {}
        self.busy_until = {}
        self.up_at = {}
        self.migrating = {}
        self.reserved = set()
        self.done = set()
        self.n_down = []
        self.store_away = store_away
        for n in range(180):
            pool = POOLS[n // N_OF_POOL] if n < 3 * N_OF_POOL else "spare"
            name = f"m{n:03}"
            worker_id = "" if pool == "spare" else f"w-{name}"
            resources = Resources(8000)
            self.machines[name] = Machine(
                name, pool, "up", "a", ("k", "r1"), resources, worker_id
            )
            if pool != "spare" and n % N_OF_POOL < N_HOSTS:
                self.hosts[name] = [pool]
        names = self.random.sample(sorted(set(self.machines) - set(self.hosts)), 53)
        for pool in POOLS:
            hosts = [name for name in self.hosts if self.machines[name].pool == pool]
            names += self.random.sample(hosts, N_WAVE_HOSTS)
        self.random.shuffle(names)
        self.wave = Wave(1, tuple(names), DURATION_MS, MAX_DOWN)
        self.begun_ms = self.now
        self.planner = FleetPlanner(MOVE_MS, MAINTENANCE_MS)

    @property
    def left(self):
        return set(self.wave.machines) - self.done

    def replace_owner(self):
        """Start another owner of the fleet, which knows only what is stored."""
        self.planner = FleetPlanner(MOVE_MS, MAINTENANCE_MS)
        self.reserved = set()
        self.run_until(self.now + TAKEOVER_MS, is_planning=False)
        self.planner.inherit(self.down(), self.now)

    def down(self):
        return [m.name for m in self.machines.values() if m.state == "upkeep"]

    def run_until(self, until_ms, is_planning=True):
        while self.now < until_ms and self.left:
            self._advance()
            if is_planning:
                self._plan()
            self.now += CYCLE_MS

    def _advance(self):
        for name, (up_ms, pool) in list(self.up_at.items()):
            if self.now < up_ms:
                continue
            del self.up_at[name]
            if self.machines[name].state == "upkeep":
                self.done.add(name)
            worker_id = "" if pool == "spare" else f"w-{name}"
            self.machines[name] = replace(
                self.machines[name], state="up", pool=pool, worker_id=worker_id
            )
        for step, (until_ms, pool) in list(self.migrating.items()):
            if self.now >= until_ms:
                del self.migrating[step]
                self.hosts.setdefault(self._destination(pool), []).append(step)
        for name in sorted(self.reserved):
            for step in list(self.hosts.get(name, ())):
                if step not in self.migrating:
                    self.hosts[name].remove(step)
                    pool = self.machines[name].pool
                    self.migrating[step] = (self.now + MIGRATION_MS, pool)

    def _destination(self, pool):
        names = [
            m.name
            for m in self.machines.values()
            if m.pool == pool and m.state == "up" and m.name not in self.reserved
        ]
        return self.random.choice(names)

    def _workers(self, pool):
        for machine in self.machines.values():
            if machine.pool != pool or machine.state != "up":
                continue
            name = machine.name
            if name not in self.reserved:
                self.busy_until[name] = self.now + self.random.randrange(RUN_MS)
            n_long = len(self.hosts.get(name, ()))
            n_runs = n_long + (self.busy_until[name] > self.now)
            yield WorkerReport(
                machine.worker_id, n_runs, n_long, True, name in self.reserved
            )

    def _plan(self):
        stored = {} if self.is_store_away() else {1: self.done}
        self.planner.set_waves([self.wave], stored, self.now, {1: self.begun_ms})
        ids = self.planner.reserved_workers(self.machines)
        self.reserved = {w.removeprefix("w-") for each in ids.values() for w in each}
        reports = {
            pool: PoolReport(N_WANTED, tuple(self._workers(pool))) for pool in POOLS
        }
        orders, _ = self.planner.plan(
            self.now,
            self.now,
            CONFIGURATION,
            MachineList(self.machines),
            reports,
            frozenset(),
            POOLS,
        )
        for order in orders:
            self._carry_out(order)
        self.n_down.append(len(self.down()))

    def is_store_away(self):
        return self.store_away[0] <= self.now - self.begun_ms < self.store_away[1]

    def _carry_out(self, order):
        if self.is_store_away():
            kind = "unavailable"
        else:
            kind = "ok"
            name = order.machine
            assert not self.hosts.get(name), "a long-running task was interrupted"
            state = "upkeep" if order.wave else "moving"
            span_ms = MAINTENANCE_MS if order.wave else MOVE_MS
            pool = order.pool or self.machines[name].pool
            self.machines[name] = replace(self.machines[name], state=state)
            self.up_at[name] = (self.now + span_ms, pool)
        self.planner.handle_response(OrderResult(order, kind, self.now))


def play(seed, replaced_ms=None, store_away=(0, 0)):
    """Return a day after its wave, or after the time of the wave."""
    day = WaveDay(seed, store_away)
    if replaced_ms is not None:
        day.run_until(day.begun_ms + replaced_ms)
        day.replace_owner()
    day.run_until(day.begun_ms + DURATION_MS)
    return day


SEEDS = range(1, 11)


@pytest.mark.parametrize("seed", SEEDS)
def test_wave_keeps_time_in_reserve_and_its_limits(seed):
    """Guards against a wave that leaves machines with long-running tasks to its end.

    Long-running tasks are on a third of the machines, and each pool needs more machines
    than it has.
    """
    day = play(seed)
    assert not day.left
    assert day.now - day.begun_ms <= DURATION_MS - TAKEOVER_MS
    assert max(day.n_down) <= MAX_DOWN


@pytest.mark.parametrize("seed", SEEDS)
def test_wave_ends_in_time_although_the_fleet_owner_is_replaced(seed):
    """Guards against a wave that keeps no time for a takeover.

    The owner of the fleet fails halfway, and another one takes over after 4 s.
    """
    day = play(seed, replaced_ms=8_000)
    assert not day.left
    assert max(day.n_down) <= MAX_DOWN


@pytest.mark.parametrize("seed", SEEDS)
def test_wave_ends_in_time_although_the_store_is_away_at_its_end(seed):
    """Guards against a wave that needs its last seconds: without the store, no order is
    sent.
    """
    day = play(seed, store_away=(DURATION_MS - 4_000, DURATION_MS))
    assert not day.left


def machine(name, pool="p0"):
    return Machine(name, pool, "up", "a", ("k", "r1"), Resources(8000), f"w-{name}")


def reservations(left, max_down, n_cycles, n_long_running, wanted):
    workers = tuple(
        WorkerReport(each.worker_id, n_long, n_long, True, False)
        for each, n_long in zip(left, n_long_running, strict=True)
    )
    view = FleetView(
        0,
        0,
        CONFIGURATION,
        {each.name: each for each in left},
        {"p0": PoolReport(wanted, workers)},
        frozenset(),
        POOLS,
    )
    return WaveReservations([], {}, left, max_down, n_cycles, view)


def test_pool_without_need_is_emptied_at_once():
    """Guards against a wave that spares machines for which a pool has no use."""
    left = [machine(f"m{n}") for n in range(9)]
    chosen = reservations(left, 9, 1, [1] * 9, wanted=0).choose(left)
    assert chosen == left


def test_hosts_do_not_take_the_places_of_the_other_machines():
    """Guards against a wave in which all waits for a few long-running tasks, and one
    that takes more than a third of a pool in need.
    """
    left = [machine(f"m{n}") for n in range(12)]
    n_long_running = [2] * 6 + [0] * 6
    chosen = reservations(left, 12, 5, n_long_running, wanted=12).choose(left)
    names = {each.name for each in chosen}
    assert len(names & {each.name for each in left[:6]}) == 2
    assert len(names & {each.name for each in left[6:]}) == 2
    assert len(chosen) == len(left) // 3


def test_end_of_the_wave_takes_precedence_over_a_pool_in_need():
    """Guards against machines left at the end since their pool needs them."""
    left = [machine(f"m{n}") for n in range(9)]
    chosen = reservations(left, 9, 0, [1] * 9, wanted=9).choose(left)
    assert chosen == left


def test_empty_machine_of_a_pool_goes_before_spare_ones():
    """Guards against spare machines that keep a pool's reserved machine waiting."""
    planner = FleetPlanner(MOVE_MS, MAINTENANCE_MS)
    host = machine("m0")
    spare = [replace(machine(f"s{n}", "spare"), worker_id="") for n in range(3)]
    machines = {each.name: each for each in (host, *spare)}
    wave = Wave(1, tuple(machines), DURATION_MS, 1)
    orders = []
    for is_reserved, at_ms in ((False, 1_000), (True, 1_300), (True, 3_600)):
        planner.set_waves([wave], {}, at_ms)
        workers = (WorkerReport("w-m0", 0, 0, True, is_reserved),)
        reports = {"p0": PoolReport(1, workers)}
        made, _ = planner.plan(
            at_ms,
            at_ms,
            CONFIGURATION,
            MachineList(machines),
            reports,
            frozenset(),
            POOLS,
        )
        orders.append([each.machine for each in made if each.wave])
        for each in made:
            planner.handle_response(OrderResult(each, "ok", at_ms))
    assert orders == [["s0"], [], ["m0"]]


def test_machine_about_to_move_is_maintained_first_near_the_end():
    """Guards against a machine whose move leaves no time for its maintenance."""
    planner = FleetPlanner(MOVE_MS, MAINTENANCE_MS)
    machines = {each.name: each for each in (machine("m0"), machine("m1"))}
    wave = Wave(1, ("m0", "m1"), DURATION_MS, 2)
    begun_ms = {1: -DURATION_MS + MAINTENANCE_MS}
    for n_runs, at_ms in ((1, 0), (0, 300)):
        waves = [wave] if at_ms else []
        planner.set_waves(waves, {}, at_ms, begun_ms)
        workers = tuple(
            WorkerReport(each.worker_id, n_runs, 0, True, at_ms > 0)
            for each in machines.values()
        )
        reports = {"p0": PoolReport(0, workers)}
        made, _ = planner.plan(
            at_ms,
            at_ms,
            CONFIGURATION,
            MachineList(machines),
            reports,
            frozenset(),
            POOLS,
        )
    assert sorted((each.machine, each.wave) for each in made) == [("m0", 1), ("m1", 1)]


def test_instance_notes_when_a_wave_was_ordered():
    """Guards against a new owner that counts the time of a wave from its takeover."""
    clock = FakeClock(5_000)
    view = ClusterView(None, clock)
    value = json.dumps(
        {"wave": 1, "machines": ["m1"], "durationS": 25, "maxCount": 1}
    ).encode()
    for _ in range(2):
        view._operator_changed((Item("op/wave/1", value, 3),))
        clock.advance(4_000)
    assert view.waves_begun_ms == {1: 5_000}
    more = value.replace(b'["m1"]', b'["m1", "m2"]')
    view._operator_changed((Item("op/wave/1", more, 4),))
    assert view.waves_begun_ms == {1: 13_000}
    assert view.wave_revisions == {1: 4}
    view._operator_changed((Item("op/wave/1", None, 4),))
    assert view.waves_begun_ms == {}
