from dataclasses import replace

import pytest

from apricotgap.core.budgets import BudgetUsage, out_of_service
from apricotgap.core.planner import make_plan
from apricotgap.errors import ApricotgapError, ConflictError, ValidationError
from apricotgap.model import Budget, InstanceState, Intent, StepKind
from tests.fleet_fakes import KEEP_FIVE, make_fleet


def plan(config, kind, target, unavailable=(), **options):
    return make_plan(config, Intent(kind, target, options), unavailable, "p1")


def kinds(found):
    return [s.kind for s in found.steps]


def test_roll_waves_are_as_wide_as_the_budget_permits():
    """Guards against waves narrower or wider than the budget."""
    four = replace(KEEP_FIVE, min_available=4)
    found = plan(make_fleet(budgets=(four,)), "roll_pool", "a")
    drains = [s.wave for s in found.steps if s.kind is StepKind.DRAIN]
    assert drains == [0, 0, 1, 1, 2, 2]
    assert {s.uses for s in found.steps if s.kind is StepKind.DRAIN} == {("keep",)}


def test_waves_follow_rack_budgets():
    """Guards against a wave that spans more racks than permitted."""
    config = make_fleet(budgets=(Budget("r", "rack", max_groups_out=1),))
    found = plan(config, "roll_pool", "a")
    for wave in {s.wave for s in found.steps}:
        targets = {s.target for s in found.steps if s.wave == wave}
        assert len({config.instances[t].rack for t in targets}) == 1


def test_take_out_lends_the_fewest_spares_first():
    """Guards against needless moves, and against a pool below its budget."""
    found = plan(make_fleet(budgets=(KEEP_FIVE,)), "take_out_data_centre", "d1")
    moves = [s for s in found.steps if s.kind is StepKind.MOVE]
    close = next(s for s in found.steps if s.kind is StepKind.CLOSE_DATA_CENTRE)
    assert {s.target for s in moves} == {"d2-s0", "d2-s1"}
    assert close.after_wave == max(s.wave for s in moves)


def test_take_out_without_enough_spares_names_budget_and_remedy():
    """Guards against a refusal that names no remedy."""
    config = make_fleet(budgets=(replace(KEEP_FIVE, min_available=6),))
    with pytest.raises(ConflictError, match="budget 'keep'.*move-capacity"):
        plan(config, "take_out_data_centre", "d1")


def test_take_out_does_not_lend_below_the_budget_of_the_spare_pool():
    """Guards against lending that violates the spare pool's own budget."""
    spares = Budget("spares", "pool", "s", min_available=1)
    config = make_fleet(budgets=(KEEP_FIVE, spares))
    with pytest.raises(ConflictError, match="'keep'"):
        plan(config, "take_out_data_centre", "d1")


def test_roll_with_failures_names_the_budget():
    """Guards against a plan that the budget cannot permit."""
    with pytest.raises(ConflictError, match="'keep'"):
        plan(make_fleet(budgets=(KEEP_FIVE,)), "roll_pool", "a", ("d1-a0",))


@pytest.mark.parametrize(
    ("kind", "target", "options", "text"),
    [
        ("paint", "a", {}, "kind"),
        ("roll_pool", "zzz", {}, "no pool 'zzz'"),
        ("drain_rack", "zzz", {}, "no rack"),
        ("roll_pool", "a", {"count": "1"}, "options.count"),
        ("move_capacity", "s", {"to_pool": "a"}, "options.count is missing"),
        ("move_capacity", "s", {"to_pool": "a", "count": "-1"}, "above 0"),
        ("move_capacity", "s", {"to_pool": "a", "count": "9"}, "fewer than 9"),
    ],
)
def test_malformed_intents_are_refused(kind, target, options, text):
    """Guards against a plan made from a malformed intent."""
    with pytest.raises(ApricotgapError, match=text):
        plan(make_fleet(), kind, target, **options)


def test_instances_of_an_active_plan_are_not_planned_twice():
    """Guards against two plans that act on one instance."""
    config = make_fleet()
    first = plan(config, "drain_instance", "d1-a0")
    config = replace(config, active_plans={"p1": first})
    with pytest.raises(ConflictError, match="active plan p1"):
        plan(config, "drain_rack", "d1-r0")


def test_drained_rack_can_be_restored():
    """Guards against drained instances that cannot be restored."""
    config = make_fleet()
    drained = replace(config.instances["d1-a0"], state=InstanceState.DRAINED)
    config = replace(config, instances={**config.instances, "d1-a0": drained})
    assert kinds(plan(config, "restore_rack", "d1-r0")) == [StepKind.RESTORE]


def test_no_wave_of_a_move_breaks_the_donor_budget():
    """Guards against a donor pool drained below its minimum."""
    budget = Budget("one", "pool", "s", max_unavailable=1)
    config = make_fleet(budgets=(budget,))
    found = plan(config, "move_capacity", "s", to_pool="a", count="3")
    assert [s.wave for s in found.steps] == [0, 1, 2]
    usage = BudgetUsage(config, out_of_service(config))
    assert not usage.violated([found.steps[0].target])


def test_reboot_option_must_be_a_flag():
    """Guards against a typo that silently drains without a reboot."""
    with pytest.raises(ValidationError, match="true or false"):
        plan(make_fleet(), "drain_instance", "d1-a0", reboot="yes")
