"""Tests of team limits that are split among shards."""

from dataclasses import replace

import pytest

from apricotgap.jobs.configuration import Team
from apricotgap.jobs.model import NO_RESOURCES, Resources
from apricotgap.jobs.team_limits import LOWER_AFTER_MS, LOWERED_READ_MS, TeamLimits
from tests.jobs_harness import configuration

LIMIT = Resources(1000, 0, 0)


def config(limit=LIMIT):
    found = configuration()
    names = ("one", "two", "three", "four")
    queues = tuple(replace(found.queues[0], name=n, service=n) for n in names)
    services = tuple(replace(found.services[0], name=n) for n in names)
    team = Team("bakers", frozenset({"key"}), 1.0, limit)
    return type(found)(1, queues, services, (team,))


class Store:
    """Store of one team's split, written by compare-and-swap."""

    def __init__(self):
        self.split, self.revision = {}, 0

    def write(self, limits, change):
        if change.revision != self.revision:
            limits.record_split(change.team, self.split, self.revision)
            return False
        self.split, self.revision = change.split, self.revision + 1
        limits.record_written(change, self.revision)
        return True


def request_allowance(limits, store, cpu, at_ms=0):
    for _ in range(3):
        demand = {"bakers": Resources(cpu)}
        changes = limits.changes(demand, at_ms)
        if not changes and limits.unmet(demand):
            limits.record_split("bakers", store.split, store.revision)
            changes = limits.changes(demand, at_ms)
        if not changes or store.write(limits, changes[0]):
            return


def team_limits(name, limit=LIMIT):
    limits = TeamLimits(name)
    limits.set_configuration(config(limit))
    return limits


def total(store):
    return sum(row.cpu for row in store.split.values())


def test_sum_of_allowances_never_exceeds_the_limit():
    """Guards against a team that exceeds its limit by using two shards."""
    store, one, two = Store(), team_limits("one"), team_limits("two")
    request_allowance(one, store, 900)
    request_allowance(two, store, 900)
    assert total(store) <= 1000
    assert one.allowed("bakers").cpu + two.allowed("bakers").cpu <= 1000
    assert one.allowed("bakers").cpu >= 900


def test_allowance_is_zero_before_it_is_stored():
    """Guards against starts under an allowance that other shards do not know of."""
    limits = team_limits("one")
    limits.changes({"bakers": Resources(500)}, 0)
    assert limits.allowed("bakers") == NO_RESOURCES


def test_lowered_allowance_takes_effect_before_it_is_stored():
    """Guards against starts under an allowance that another shard may have taken."""
    store, one = Store(), team_limits("one")
    request_allowance(one, store, 900)
    one.changes({}, 0)
    assert one.changes({}, LOWER_AFTER_MS)
    assert one.allowed("bakers").cpu < 900


def test_allowance_moves_to_the_shard_with_work():
    """Guards against an allowance that stays with a shard without demand."""
    store, one, two = Store(), team_limits("one"), team_limits("two")
    request_allowance(one, store, 900)
    request_allowance(one, store, 0)
    request_allowance(one, store, 0, LOWER_AFTER_MS)
    request_allowance(two, store, 700, LOWER_AFTER_MS)
    assert two.allowed("bakers").cpu >= 700
    assert total(store) <= 1000


def test_lowered_limit_lowers_the_allowance_at_once():
    """Guards against starts above a limit that an operator has just lowered."""
    store, one = Store(), team_limits("one")
    request_allowance(one, store, 900)
    one.set_configuration(config(Resources(100)))
    assert one.allowed("bakers").cpu <= 100


def test_team_without_a_limit_is_not_restricted():
    """Guards against a limit of 0 that is applied as a limit."""
    assert team_limits("one", NO_RESOURCES).allowed("bakers") is None


def test_split_read_later_does_not_raise_a_lowered_allowance():
    """Guards against undoing a reduction that is not stored yet."""
    store, one = Store(), team_limits("one")
    request_allowance(one, store, 900)
    one.changes({}, 0)
    one.changes({}, LOWER_AFTER_MS)
    lowered = one.allowed("bakers")
    one.record_split("bakers", store.split, store.revision)
    assert one.allowed("bakers") == lowered


def test_team_below_half_of_its_limit_can_start_tasks_in_every_shard():
    """Guards against allowances of idle shards that block a task forever."""
    store = Store()
    shards = [team_limits(name) for name in ("one", "two", "three", "four")]
    for number, limits in enumerate(shards):
        request_allowance(limits, store, 450 - 60 * number)
    demands = (200, 140, 100, 50)
    for at_ms in range(0, 4 * LOWER_AFTER_MS, LOWER_AFTER_MS // 2):
        for limits, cpu in zip(shards, demands, strict=True):
            request_allowance(limits, store, cpu, at_ms)
    for limits, cpu in zip(shards, demands, strict=True):
        assert limits.allowed("bakers").cpu >= cpu


def test_new_owner_applies_a_lowered_limit_to_the_row_that_it_reads():
    """Guards against starts above a limit that was lowered before a takeover, since the
    new owner uses the stored row of the one before.
    """
    store, one = Store(), team_limits("one")
    request_allowance(one, store, 900)
    successor = team_limits("one", Resources(400))
    successor.record_split("bakers", store.split, store.revision)
    assert successor.allowed("bakers").cpu <= 400


def test_new_owners_share_a_lowered_limit():
    """Guards against two successors that each use a row of before the reduction, and
    against rows that both wait for the other to lower.
    """
    store, one, two = Store(), team_limits("one"), team_limits("two")
    request_allowance(one, store, 450)
    request_allowance(two, store, 420)
    lowered = Resources(400)
    successors = [team_limits("one", lowered), team_limits("two", lowered)]
    for at_ms in range(0, 3_000, 500):
        for limits in successors:
            request_allowance(limits, store, 450, at_ms)
            assert sum(each.allowed("bakers").cpu for each in successors) <= 400
    assert total(store) <= 400
    assert sum(each.allowed("bakers").cpu for each in successors) >= 300


def test_lowered_allowance_is_stored_although_more_is_wanted():
    """Guards against a stored row that stays above a lowered limit while the shard has
    more work, so that a new owner of it, or another shard, goes by the old one.
    """
    store, one, two = Store(), team_limits("one"), team_limits("two")
    request_allowance(one, store, 450)
    request_allowance(two, store, 420)
    for limits in (one, two):
        limits.set_configuration(config(Resources(400)))
    for limits in (one, two):
        request_allowance(limits, store, 450)
    assert total(store) <= 400


def test_no_shard_starts_tasks_for_what_another_still_uses_of_a_lowered_limit():
    """Guards against a team above its lowered limit: tasks that run on in one shard
    were not counted in another, which used its part of the lowered limit.
    """
    store, one, two = Store(), team_limits("one"), team_limits("two")
    request_allowance(one, store, 700)
    request_allowance(two, store, 100)
    for limits in (one, two):
        limits.set_configuration(config(Resources(400)))
    usage = {"bakers": Resources(600)}
    for at_ms in range(0, 3_000, 250):
        for change in one.changes(usage, at_ms, usage):
            store.write(one, change)
        request_allowance(two, store, 300, at_ms)
        if at_ms:
            assert two.allowed("bakers").cpu == 0
    usage = {"bakers": Resources(100)}
    for at_ms in range(3_000, 6_000, 250):
        for change in one.changes(usage, at_ms, usage):
            store.write(one, change)
        request_allowance(two, store, 300, at_ms)
    assert two.allowed("bakers").cpu >= 250


def test_raise_of_one_resource_keeps_the_others():
    """Guards against an allowance of CPU that is lost while memory is raised, so that
    the CPU in use is given to another shard.
    """
    limit = Resources(1000, 1000, 8)
    one = team_limits("one", limit)
    one.record_split("bakers", {"one": Resources(600, 100, 1)}, 1)
    one.set_configuration(config(Resources(500, 1000, 8)))
    split = {"one": Resources(600, 100, 1), "two": Resources(400, 100, 1)}
    one.record_split("bakers", split, 2)
    before = one.allowed("bakers").cpu
    (change,) = one.changes({"bakers": Resources(600, 500)}, 0)
    assert change.split["one"].memory_mb > 100
    assert change.split["one"].cpu >= before > 0


RETENTION_MS = 8_000


def record_shards(limits, names, at_ms):
    limits.record_shards(lambda service: service in names, at_ms, RETENTION_MS)


def test_row_of_a_service_without_a_shard_holds_no_limit_for_ever():
    """Guards against accepted work that waits since a service that has left the
    configuration, and has no owner that could lower its row, holds the limit.
    """
    store, one, left = Store(), team_limits("one"), team_limits("left")
    request_allowance(left, store, 900)
    request_allowance(one, store, 500)
    assert one.allowed("bakers").cpu < 500
    for at_ms in range(0, RETENTION_MS + 500, 250):
        record_shards(one, ("one", "two"), at_ms)
        request_allowance(one, store, 500, at_ms)
    assert one.allowed("bakers").cpu >= 500
    assert set(store.split) == {"one"}


def test_row_counts_while_tasks_of_its_service_may_run():
    """Guards against a team above its limit: tasks of a service that has just lost its
    shard run on until the leases of its workers end.
    """
    store, one, left = Store(), team_limits("one"), team_limits("left")
    request_allowance(left, store, 900)
    for at_ms in range(0, RETENTION_MS + 1, 250):
        record_shards(one, ("one",), at_ms)
        request_allowance(one, store, 500, at_ms)
        assert one.allowed("bakers").cpu <= 1000 - store.split["left"].cpu
    # It has a shard again before its row was void.
    record_shards(one, ("one", "left"), RETENTION_MS + 1)
    record_shards(one, ("one",), RETENTION_MS + 2)
    request_allowance(one, store, 500, RETENTION_MS + 2)
    assert "left" in store.split


def test_owner_whose_row_is_gone_stores_what_it_uses():
    """Guards against a service that returns and uses a limit that no row shows."""
    store, back = Store(), team_limits("back")
    request_allowance(back, store, 500)
    store.split, store.revision = {}, store.revision + 1
    back.record_split("bakers", store.split, store.revision)
    assert back.allowed("bakers") == NO_RESOURCES
    usage = {"bakers": Resources(300)}
    (change,) = back.changes(usage, 0, usage)
    assert change.split["back"].cpu >= 300


def test_allowance_whose_reduction_was_not_stored_is_raised_again():
    """Guards against a team that waits for good because its allowance was lowered here
    and not in the store, where it is as high as it should be again.
    """
    store, one = Store(), team_limits("one")
    request_allowance(one, store, 400)
    for at_ms in (0, LOWER_AFTER_MS):
        lowered = one.changes({"bakers": Resources(100)}, at_ms)
    assert lowered and one.allowed("bakers").cpu < 400
    # The write fails, and the team wants what it had.
    request_allowance(one, store, 400, LOWER_AFTER_MS + 100)
    assert one.allowed("bakers").cpu >= 400
    # The reduction, executed late, must find another revision.
    assert not store.write(one, lowered[0])


def test_allowance_is_lowered_once_for_a_lowered_limit():
    """Guards against an allowance that falls to nothing, read by read, while the store
    has not taken the lower rows yet, so that a team waits far below its limit.
    """
    store, one, two = Store(), team_limits("one"), team_limits("two")
    request_allowance(one, store, 450)
    request_allowance(two, store, 300)
    rows = dict(store.split)
    for limits in (one, two):
        limits.set_configuration(config(Resources(500)))
    one.record_split("bakers", rows, store.revision)
    (before,) = one.changes({"bakers": Resources(450)}, 0)
    assert before.split["one"].cpu >= 200
    for _ in range(20):
        one.record_split("bakers", rows, store.revision)
    assert one.changes({"bakers": Resources(450)}, 0) == [before]


def test_start_under_a_lowered_limit_waits_for_the_rows_of_the_others():
    """Guards against a team above a lowered limit: a shard that has not read the split
    for long starts a task, while another one runs all that the limit allows.
    """
    store, one, two = Store(), team_limits("one"), team_limits("two")
    request_allowance(one, store, 50)
    request_allowance(two, store, 600)
    for limits in (one, two):
        limits.set_configuration(config(Resources(500)))
    usage = {"bakers": Resources(600)}
    for change in two.changes(usage, 0, usage):
        store.write(two, change)
    assert one.allowed("bakers").cpu == 0
    assert one.unmet({"bakers": Resources(50)}) == ["bakers"]
    one.record_split("bakers", store.split, store.revision)
    assert one.allowed("bakers").cpu == 0


def test_split_is_read_for_a_while_after_a_limit_was_lowered():
    """Guards against a row that another shard has raised under the limit before, and
    that a shard which lacks nothing does not notice.
    """
    store, one = Store(), team_limits("one")
    request_allowance(one, store, 50)
    assert one.outdated(50_000) == []
    one.set_configuration(config(Resources(500)))
    assert one.outdated(50_000) == ["bakers"]
    one.record_split("bakers", store.split, store.revision)
    assert one.outdated(50_000 + LOWERED_READ_MS - 1) == ["bakers"]
    assert one.outdated(50_000 + LOWERED_READ_MS) == []


@pytest.mark.parametrize("n_shards", [2, 3])
def test_shards_that_each_hold_less_than_a_task_do_not_block_each_other(n_shards):
    """Guards against tasks that wait for good within their team's limit: each shard
    holds a part of it that is too small for a task, and none lets go.
    """
    store = Store()
    shards = [team_limits(name) for name in ("one", "two", "three")[:n_shards]]
    for limits, cpu in zip(shards, (450, 300, 300), strict=False):
        request_allowance(limits, store, cpu)
    demand = {"bakers": Resources(600)}
    held = []
    for at_ms in range(0, 15_000, 100):
        for limits in shards:
            for change in limits.changes(demand, at_ms):
                store.write(limits, change)
            limits.record_split("bakers", store.split, store.revision)
        assert total(store) <= 1000
        held.append(max(limits.allowed("bakers").cpu for limits in shards))
    assert max(held) >= 600
