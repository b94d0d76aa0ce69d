import pytest

from bench.change_cost import change_bytes
from bench.fleets import TARGET, Size, configuration
from bench.idle_cost import SIZES
from bench.measuring import Check, Sample, linear_fit, table


def test_fit_finds_base_and_slope_and_refuses_equal_sizes():
    """Guards against slopes that credit the base cost to the size."""
    base, slope = linear_fit([0, 10, 20], [5, 25, 45])
    assert (base, slope) == (5, 2)
    with pytest.raises(ValueError, match="two different sizes"):
        linear_fit([3, 3], [1, 2])


def test_sample_and_check_report_a_missed_goal():
    """Guards against a check that passes at any value."""
    sample = Sample((3.0, 1.0, 2.0))
    assert (sample.median, sample.spread) == (2.0, 1.0)
    assert Check("at the goal", 1.5, 1.5).passed
    assert not Check("above the goal", 1.51, 1.5).passed


def test_target_configuration_has_the_sizes_of_the_design():
    """Guards against figures for another size than the one the page names."""
    config = configuration(TARGET)
    assert len(config.instances) == 2_100
    assert len(config.teams) == len(config.keys) == 330
    assert len({i.pool for i in config.instances.values()}) == 292
    assert len({i.data_centre for i in config.instances.values()}) == 22
    assert {b.target for b in config.budgets.values()} <= {*config.pools, "*"}
    assert TARGET in SIZES


def test_parts_carry_less_than_one_document_at_a_large_size_only():
    """Guards against counting parts that did not change."""
    n_one, n_parts, _ = change_bytes(configuration(Size(400, 100, 50, 8)), 1)
    assert n_parts < n_one / 5


def test_table_aligns_its_columns():
    """Guards against figures under the wrong heading."""
    lines = table("t", ("name", "value"), [("a", 1_000), ("long", 0.25)]).splitlines()
    assert lines == ["t:", "name  value", "   a  1,000", "long   0.25"]
