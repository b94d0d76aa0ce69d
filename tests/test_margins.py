"""Margins to the bounds of the users' rules at the target size.

The factors at which they break are printed by `python -m tests.margins`.
"""

import pytest

from tests.margin_days import Burden, Promise, measure
from tests.margins import Break, breaks, search

SEED = 1
# Burdens without a figure of their own at the target size share one day.
PLANNED = {
    "three_instances": Burden.planned,
    "many_shards": Burden.registry["shards"].planned,
}


@pytest.mark.parametrize("name", PLANNED)
def test_promises_hold_at_the_target_size(name):
    """Guards against calls whose time grows with what is stored until accepted work
    stays away for too long after a loss of all power.
    """
    measured = measure(PLANNED[name], SEED)
    margins = {each.name: each.margin(measured) for each in Promise.registry.values()}
    assert {name for name, margin in margins.items() if margin < 1} == set(), measured


class Limit(Promise):
    """A promise that the search has to break; it is not one of the registry."""

    name = "limit"

    def value(self, measured):
        return measured

    def margin(self, measured):
        return 4 / measured


# The days of the other tests have no such figure.
LIMIT = Promise.registry.pop(Limit.name)


def test_search_reports_the_first_factor_that_breaks_a_promise(monkeypatch):
    """Guards against a table that names a factor at which the promise still holds."""
    monkeypatch.setattr(Promise, "registry", {LIMIT.name: LIMIT})
    monkeypatch.setattr("tests.margins.measure", lambda factor, _seed: factor)
    burden = Burden.registry["link"]
    monkeypatch.setattr(type(burden), "worsen", lambda _self, _planned, factor: factor)
    assert breaks(search(burden, 64, SEED)) == [Break(LIMIT, 8, 8)]
    assert breaks(search(burden, 4, SEED)) == [Break(LIMIT, None, 4)]
