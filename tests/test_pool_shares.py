"""Division of machines among pools that together want more than there are."""

import pytest

from apricotgap.jobs.pool_shares import divide


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
