"""Machines that the platform's list lacks: what a wave takes their absence for."""

import pytest

from apricotgap.jobs.fleet_orders import BUSY_BACKOFF_MS, MachineOrder
from apricotgap.jobs.machine_absence import ABSENCE_MS, AbsenceTracker
from apricotgap.jobs.machine_list import MachineList
from apricotgap.jobs.wave_state import REFUSAL_MS
from tests.test_fleet_plan import MAINTENANCE_MS, Rig, machine, wave

LIST_MS = 900
ORDER = MachineOrder("m9", wave=1)


def lists(rig, waves, duration_ms):
    """Let lists pass; returns the orders for a machine that was not listed."""
    orders = []
    for _ in range(0, duration_ms, LIST_MS):
        rig.now += LIST_MS
        orders += [each for each in rig.plan(*waves) if each.machine == "m9"]
    return orders


def missing_machine(**options):
    """Return a rig and the question for a machine of its wave that has left."""
    rig = Rig(machine("m0", "spare"))
    for name, value in options.items():
        setattr(rig, name, value)
    rig.plan(wave("m9"))
    return rig, lists(rig, [wave("m9")], ABSENCE_MS + 2 * LIST_MS)


def test_machine_that_joins_while_the_list_is_away_is_maintained():
    """Guards against a wave that is said to have succeeded without a machine.

    The machine joined, and the wave was ordered, while no list could be read.
    """
    rig = Rig(machine("m0", "spare"))
    listed_ms = rig.now
    rig.now += 1_000
    (order,) = rig.plan(wave("m0", "m9"), listed_ms=listed_ms)
    rig.answer(order)
    for _ in range(20):
        rig.now += 300
        assert rig.plan(wave("m0", "m9"), listed_ms=listed_ms) == []
        assert not rig.planner.waves[1].is_finished
    rig.machines["m9"] = machine("m9", "spare")
    (order,) = rig.plan(wave("m0", "m9"))
    assert order == ORDER
    assert not rig.planner.waves[1].is_finished
    rig.answer(order)
    assert rig.planner.waves[1].is_finished


def test_wave_ends_without_a_machine_that_left():
    """Guards against a wave that never finishes, and against one that rests on lists.

    The platform is asked, and a list that was requested after its answer counts.
    """
    rig, orders = missing_machine()
    assert orders == [ORDER]
    assert not rig.planner.waves[1].is_finished
    rig.answer(ORDER, "gone")
    rig.plan(wave("m9"))
    assert not rig.planner.waves[1].is_finished
    rig.now += LIST_MS
    assert rig.plan(wave("m9")) == []
    assert rig.planner.waves[1].is_finished


def test_wave_ends_without_a_machine_that_is_not_up_and_not_listed():
    """Guards against a wave that never finishes: for a machine that has left, the
    users' platform says only that it is not up, or leaving.
    """
    rig, orders = missing_machine()
    rig.answer(ORDER, "busy")
    begin_ms = rig.now
    while not rig.planner.waves[1].is_finished:
        rig.now += 300
        for order in rig.plan(wave("m9")):
            rig.answer(order, "busy")
        assert rig.now - begin_ms < 10_000
    assert rig.now - begin_ms >= REFUSAL_MS


def test_listed_machine_that_is_not_up_stays_in_its_wave():
    """Guards against a machine that counts as gone since it was busy for long."""
    rig = Rig(machine("m9", "spare"))
    for _ in range(50):
        for order in rig.plan(wave("m9")):
            rig.answer(order, "busy")
        assert not rig.planner.waves[1].is_finished
        rig.now += 300


def test_machine_that_is_listed_between_two_refusals_stays_in_its_wave():
    """Guards against refusals that are counted across a list that has the machine."""
    rig, _ = missing_machine()
    rig.answer(ORDER, "busy")
    rig.machines["m9"] = machine("m9", "spare", "moving")
    rig.now += LIST_MS
    rig.plan(wave("m9"))
    del rig.machines["m9"]
    (order,) = lists(rig, [wave("m9")], ABSENCE_MS + 2 * LIST_MS)
    rig.answer(order, "busy")
    rig.now += LIST_MS
    rig.plan(wave("m9"))
    assert not rig.planner.waves[1].is_finished


def test_missing_machine_that_stays_gets_its_maintenance():
    """Guards against a list that lacks a machine for long: the platform knows it."""
    rig, _ = missing_machine()
    rig.answer(ORDER)
    assert rig.planner.waves[1].done == {"m9"}
    assert rig.planner.waves[1].is_finished


def test_machine_that_is_back_after_its_wave_has_finished_is_maintained():
    """Guards against a machine that counts as gone for good."""
    rig, _ = missing_machine()
    rig.answer(ORDER, "gone")
    rig.now += LIST_MS
    rig.plan(wave("m9"))
    assert rig.planner.waves[1].is_finished
    rig.machines["m9"] = machine("m9", "spare")
    rig.now += BUSY_BACKOFF_MS
    assert rig.plan(wave("m9")) == [ORDER]
    assert not rig.planner.waves[1].is_finished


@pytest.mark.parametrize(
    "doubt",
    [{"unreadable": frozenset({"m9"})}, {"n_unnamed": 1}],
    ids=["its row", "any row"],
)
def test_machine_in_an_unreadable_row_is_not_missing(doubt):
    """Guards against a machine that counts as gone as its row cannot be decoded."""
    rig, orders = missing_machine(**doubt)
    assert orders == []
    assert not rig.planner.waves[1].is_finished


@pytest.mark.parametrize("registered", [frozenset({"m9"}), None])
def test_missing_machine_with_a_worker_is_not_ordered(registered):
    """Guards against an order that ends the tasks of a machine that no list shows.

    Its worker is registered, or the registered workers are unknown.
    """
    rig, orders = missing_machine(registered=registered)
    assert orders == []
    assert not rig.planner.waves[1].is_finished


def test_questions_count_as_machines_that_are_down():
    """Guards against too many machines down: a missing one may have gone down."""
    rig = Rig(*(machine(f"m{n}", "spare") for n in range(2)))
    waves = [wave("m0", "m1", "m9", max_down=1)]
    (first,) = rig.plan(*waves)
    assert lists(rig, waves, ABSENCE_MS + 2 * LIST_MS) == []
    rig.answer(first)
    rig.now += MAINTENANCE_MS
    (second,) = rig.plan(*waves)
    assert {first.machine, second.machine} == {"m0", "m1"}
    rig.answer(second)
    rig.now += MAINTENANCE_MS
    assert rig.plan(*waves) == [ORDER]
    rig.answer(ORDER, "unknown")
    assert rig.planner.waves[1].open_machines == ["m9"]


def test_listed_machine_that_the_platform_does_not_know_is_asked_for_again():
    """Guards against a machine skipped by one answer: its list says that it stays."""
    rig = Rig(machine("m9", "spare"))
    assert rig.plan(wave("m9")) == [ORDER]
    rig.answer(ORDER, "gone")
    rig.now += BUSY_BACKOFF_MS + 1
    assert rig.plan(wave("m9")) == [ORDER]
    assert not rig.planner.waves[1].is_finished


def test_machine_is_none_of_the_wave_only_when_the_platform_says_so_again():
    """Guards against a platform that learns of a wave late."""
    rig = Rig(machine("m9", "spare"))
    n_orders = 0
    begin_ms = rig.now
    while not n_orders or not rig.planner.waves[1].is_finished:
        for order in rig.plan(wave("m9")):
            rig.answer(order, "wave")
            n_orders += 1
        rig.now += 300
        assert rig.now - begin_ms < 60_000
    assert n_orders > 1
    assert rig.now - begin_ms >= REFUSAL_MS


def test_machine_that_the_platform_refuses_is_ordered_less_and_less_often():
    """Guards against a pool that is drained again and again for a refused order."""
    rig = Rig(machine("m9", "spare"))
    times_ms = []
    for _ in range(200):
        for order in rig.plan(wave("m9")):
            rig.answer(order, "gone")
            times_ms.append(rig.now)
        rig.now += 300
    pauses_ms = [b - a for a, b in zip(times_ms, times_ms[1:], strict=False)]
    assert pauses_ms == sorted(pauses_ms)
    assert pauses_ms[-1] >= 4 * pauses_ms[0]


def short_list(rig, waves):
    """Plan by one list that lacks m0; returns its orders."""
    hidden = rig.machines.pop("m0")
    rig.now += LIST_MS
    orders = rig.plan(*waves)
    rig.machines["m0"] = hidden
    return orders


def test_order_outlives_a_list_without_its_machine():
    """Guards against too many machines down: a confirmed order is forgotten as one list
    lacks its machine, and the next one goes down beside it.
    """
    rig = Rig(machine("m0", "spare"), machine("m1", "spare"))
    waves = [wave("m0", "m1", max_down=1)]
    (order,) = rig.plan(*waves)
    rig.answer(order)
    rig.machines["m0"] = machine("m0", "spare", "upkeep")
    assert short_list(rig, waves) == []


def test_worker_is_not_reported_as_ended_by_a_list_without_its_machine():
    """Guards against tasks that run twice: their shard is told that a worker has ended.

    An earlier owner of the fleet has had the order carried out. The platform confirms
    it to the present one, whose list lacks the machine once.
    """
    rig = Rig(machine("m0"), machine("m1"), machine("m2"))
    rig.wanted = 3
    waves = [wave("m0")]
    rig.plan(*waves)
    (order,) = rig.plan(*waves)
    rig.answer(order)
    short_list(rig, waves)
    assert rig.planner.ended_workers(rig.now) == []


def test_order_is_not_repeated_by_a_list_without_its_machine():
    """Guards against tasks that an order ends: its machine is not reserved while a list
    lacks it, so its worker may have taken up work.
    """
    rig = Rig(machine("m0"), machine("m1"), machine("m2"))
    rig.wanted = 3
    rig.registered = None
    waves = [wave("m0")]
    rig.plan(*waves)
    (order,) = rig.plan(*waves)
    rig.answer(order, "unknown")
    assert short_list(rig, waves) == []
    rig.now += LIST_MS
    assert rig.plan(*waves) == [order]


def test_wave_that_is_ordered_anew_with_more_machines_is_open_again():
    """Guards against a wave that is said to have succeeded without machines that its
    operator has added, and against time that is counted from its first order.
    """
    rig = Rig(machine("m0", "spare"), machine("m9", "spare"))
    (order,) = rig.plan(wave("m0"))
    rig.answer(order)
    assert rig.planner.waves[1].is_finished
    rig.now += 30_000
    assert rig.plan(wave("m0", "m9")) == [ORDER]
    state = rig.planner.waves[1]
    assert (state.is_finished, state.begun_ms) == (False, rig.now)
    rig.answer(ORDER)
    assert rig.planner.waves[1].is_finished


def test_absence_before_a_wave_is_ordered_anew_does_not_count():
    """Guards against an answer about a machine from before its wave named it again."""
    rig, _ = missing_machine()
    rig.answer(ORDER, "gone")
    rig.now += LIST_MS
    rig.plan(wave("m9"))
    assert rig.planner.waves[1].is_finished
    rig.plan(wave("m0", "m9"))
    assert "m9" in rig.planner.waves[1].open_machines


def listing(*names, **options):
    return MachineList({name: machine(name) for name in names}, **options)


def test_machine_is_missing_when_all_lists_of_a_span_lack_it():
    """Guards against a machine that changes its pool between two pages of a list."""
    absences = AbsenceTracker()
    since_ms = 1_000
    for listed_ms in range(1_000, 4_600, 500):
        absences.record(listing("m0"), listed_ms)
        # The list of 1,000 was requested no later than the question.
        assert absences.is_missing("m9", since_ms) == (listed_ms >= 4_500)
        assert not absences.is_missing("m0", since_ms)


@pytest.mark.parametrize("broken", [listing("m9"), listing(unreadable={"m9"})])
def test_list_that_has_the_machine_begins_the_span_anew(broken):
    """Guards against absences that are counted across a list that has the machine."""
    absences = AbsenceTracker()
    for listed_ms in range(0, 20_000, 1_000):
        is_shown = listed_ms % 3_000 == 0
        absences.record(broken if is_shown else listing("m0"), listed_ms)
        assert not absences.is_missing("m9", -1)


def test_list_with_an_unnamed_row_begins_the_span_anew():
    """Guards against a missing machine that may be in a row without a name."""
    absences = AbsenceTracker()
    for listed_ms in range(0, 20_000, 1_000):
        n_unnamed = listed_ms % 3_000 == 0
        absences.record(listing("m0", n_unnamed=n_unnamed), listed_ms)
        assert not absences.is_missing("m9", -1)


def test_absences_are_forgotten_once_they_make_no_difference():
    """Guards against memory for each machine that has ever left."""
    absences = AbsenceTracker()
    for n in range(200):
        absences.record(listing("m0", f"x{n}"), n * 500)
    assert len(absences._last_shown_ms) <= 2 + ABSENCE_MS // 500
    assert len(absences._series_ms) <= 2 + ABSENCE_MS // 500
