from dataclasses import replace

import pytest

from apricotgap.core import budgets
from apricotgap.core.budgets import Grant, Grants, violated_budgets
from apricotgap.errors import ValidationError
from apricotgap.model import Budget, DataCentre, DataCentreState, InstanceState
from tests.fleet_fakes import KEEP_FIVE, make_fleet

NONE = Grants()


def names(found):
    return [b.name for b in found]


def test_unplanned_failures_count_against_a_pool():
    """Guards against a grant that ignores failed instances."""
    config = make_fleet(budgets=(KEEP_FIVE,))
    assert violated_budgets(config, NONE, (), "d1-a0") == []
    assert names(violated_budgets(config, NONE, ("d2-a0",), "d1-a0")) == ["keep"]


def test_grants_and_drained_instances_count_once():
    """Guards against counting an instance twice or not at all."""
    budget = Budget("most", "pool", "a", max_unavailable=2)
    config = make_fleet(budgets=(budget,))
    drained = replace(config.instances["d1-a0"], state=InstanceState.DRAINED)
    config = replace(config, instances={**config.instances, "d1-a0": drained})
    grants = Grants(instances={"d1-a0": Grant("p")})
    assert violated_budgets(config, grants, ("d1-a0",), "d2-a0") == []
    assert names(violated_budgets(config, grants, ("d2-a1",), "d2-a0")) == ["most"]


@pytest.mark.parametrize("kind", ["rack", "data_centre"])
def test_groups_out_at_once_are_limited(kind):
    """Guards against maintenance in two racks or data centres at once."""
    config = make_fleet(budgets=(Budget("g", kind, max_groups_out=1),))
    assert violated_budgets(config, NONE, ("d1-a0",), "d1-a2") == []
    assert names(violated_budgets(config, NONE, ("d1-a0",), "d2-a0")) == ["g"]


def test_closed_data_centre_counts_as_out():
    """Guards against a budget that ignores a closed data centre."""
    config = make_fleet(budgets=(KEEP_FIVE,))
    closed = DataCentre("d2", state=DataCentreState.CLOSED)
    config = replace(config, data_centres={**config.data_centres, "d2": closed})
    assert names(violated_budgets(config, NONE, (), "d1-a0")) == ["keep"]


def test_set_is_checked_together():
    """Guards against permitting a set whose members are permitted individually."""
    config = make_fleet(budgets=(KEEP_FIVE,))
    assert names(violated_budgets(config, NONE, (), ("d1-a0", "d1-a1"))) == ["keep"]


def test_budget_of_an_unknown_kind_permits_nothing():
    """Guards against an older entry instance that ignores a newer budget kind."""
    config = make_fleet(budgets=(Budget("new", "region"),))
    assert names(violated_budgets(config, NONE, (), "d1-a0")) == ["new"]


def test_malformed_grants_are_refused():
    """Guards against treating a malformed document as one without grants."""
    with pytest.raises(ValidationError, match="grants"):
        budgets.decode_grants(b'{"epoch": "x"}')
