"""Division of machines among pools that together want more than there are."""

import pytest

from apricotgap.jobs.pool_shares import (
    FIRST_LEVEL,
    LATE_LEVEL,
    PoolShare,
    PoolWants,
    divide,
    divide_by_level,
)


@pytest.mark.parametrize(
    ("wanted", "n_machines", "shares"),
    [
        ({"a": 3, "b": 4}, 60, {"a": 3, "b": 4}),
        ({"a": 200, "b": 4, "c": 6}, 60, {"a": 50, "b": 4, "c": 6}),
        ({"a": 200, "b": 90, "c": 6}, 60, {"a": 27, "b": 27, "c": 6}),
        ({"a": 5, "b": 5}, 0, {"a": 0, "b": 0}),
        ({}, 10, {}),
    ],
)
def test_small_wishes_are_met_and_the_rest_is_divided_evenly(
    wanted, n_machines, shares
):
    """Guards against a pool in its burst that takes all machines of the others."""
    assert divide(wanted, n_machines) == shares


def test_no_more_machines_are_given_than_there_are():
    """Guards against shares whose sum exceeds the machines."""
    for n_machines in range(40):
        shares = divide({"a": 9, "b": 14, "c": 30}, n_machines)
        assert sum(shares.values()) == min(n_machines, 53)


def shares(n_machines, **wants):
    """Return the number of machines of each pool by what they want by level."""
    found = divide_by_level(
        {pool: PoolWants(by_level) for pool, by_level in wants.items()}, n_machines
    )
    return {pool: share.total for pool, share in found.items()}


def test_priority_0_of_all_pools_is_met_first():
    """Load: two pools of different priority, each wants more than there is.

    Guards against an urgent pool that gets as little as one that can wait.
    """
    urgent, other = {FIRST_LEVEL: 2, 0: 50}, {FIRST_LEVEL: 2, 1: 50}
    assert shares(40, a=urgent, b=other) == {"a": 38, "b": 2}
    assert shares(70, a=urgent, b=other) == {"a": 52, "b": 18}


def test_pools_of_one_priority_are_treated_alike():
    """Guards against a pool that gets more as it has less urgent work as well."""
    assert shares(40, a={0: 30, 1: 30}, b={0: 30}) == {"a": 20, "b": 20}


def test_late_work_gets_what_no_job_in_time_needs():
    """Load: a pool with late work only, beside one with jobs in time.

    Guards against machines for jobs that are of little use any more.
    """
    late = {FIRST_LEVEL: 2, LATE_LEVEL: 60}
    assert shares(40, a=late, b={FIRST_LEVEL: 2, 3: 30}) == {"a": 8, "b": 32}


def test_minimum_and_long_running_tasks_come_before_all():
    """Guards against long-running tasks that lose their machines to a peak."""
    assert shares(20, a={FIRST_LEVEL: 8}, b={0: 60}) == {"a": 8, "b": 12}


def test_share_tells_for_which_level_further_machines_are():
    """Guards against a move for late jobs that is taken for an urgent one."""
    share = PoolShare(((FIRST_LEVEL, 2), (0, 2), (LATE_LEVEL, 1)))
    assert list(share.levels_from(0)) == [FIRST_LEVEL, FIRST_LEVEL, 0, 0, LATE_LEVEL]
    assert list(share.levels_from(3)) == [0, LATE_LEVEL]
    assert list(share.levels_from(9)) == []


def test_machines_in_use_count_as_urgent_and_only_once():
    """Guards against a pool that counts what it uses beside what it wants."""
    wants = PoolWants({FIRST_LEVEL: 2, 0: 1, 1: 4, 2: 9, LATE_LEVEL: 5}, n_busy=9)
    assert wants.with_busy_first.by_level == {
        FIRST_LEVEL: 2,
        0: 7,
        1: 0,
        2: 7,
        LATE_LEVEL: 5,
    }
