"""Work that a pool can complete by its due times."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotgap.jobs.feasible_set import HORIZON_MS, CapacityForecast, FeasibleSet

FORECASTS = st.builds(
    CapacityForecast,
    st.integers(0, 200).map(float),
    st.integers(0, 200).map(float),
    st.integers(0, 5_000),
)
WORKS = st.lists(
    st.tuples(st.integers(1, 100_000).map(float), st.integers(100, 8_000)), max_size=40
)


@given(FORECASTS, WORKS)
def test_accepted_work_can_be_completed_by_its_due_times(forecast, works):
    """Guards against jobs that are promised more capacity than there is."""
    feasible = FeasibleSet(forecast, max((due for _, due in works), default=0))
    accepted = sorted(
        (due_ms, core_ms) for core_ms, due_ms in works if feasible.add(core_ms, due_ms)
    )
    done = 0.0
    for due_ms, core_ms in accepted:
        done += core_ms
        assert done <= forecast.core_ms_until(due_ms) + 1e-6


@given(FORECASTS, WORKS)
def test_work_is_left_out_only_if_some_would_be_late(forecast, works):
    """Guards against capacity that is left idle while a job could end in time."""
    feasible = FeasibleSet(forecast)
    accepted = []
    for core_ms, any_due_ms in works:
        due_ms = any_due_ms // 100 * 100
        if feasible.add(core_ms, due_ms):
            accepted.append((core_ms, due_ms))
            continue
        tried = [*accepted, (core_ms, due_ms)]
        assert any(
            sum(core for core, due in tried if due <= limit)
            > forecast.core_ms_until(limit) - 1e-6
            for _, limit in tried
        )


@given(FORECASTS, WORKS, st.integers(1, 100_000), st.integers(0, 8_000))
def test_set_that_is_built_at_once_answers_like_one_that_grew(
    forecast, works, core_ms, due_ms
):
    """Guards against a job that is refused by another rule than it is ranked by."""
    grown = FeasibleSet(forecast)
    for each in works:
        grown.reserve(*each)
    last_ms = max(due_ms, *(due for _, due in works), 0) if works else due_ms
    built = FeasibleSet(forecast, last_ms, works)
    assert grown.has_room(core_ms, due_ms) == built.has_room(core_ms, due_ms)


@given(FORECASTS, st.integers(0, 1_000_000))
def test_time_for_work_is_when_the_pool_has_done_it(forecast, core_ms):
    """Guards against callers that are told to come back too early."""
    time_ms = forecast.time_for(core_ms)
    if time_ms is None:
        assert forecast.core_ms_until(100_000_000) < core_ms
        return
    assert forecast.core_ms_until(time_ms + 1) >= core_ms - 1e-6
    assert forecast.core_ms_until(time_ms - 1) <= core_ms + 1e-6 or time_ms == 0


def test_machines_that_arrive_later_count_for_later_work_only():
    """Guards against jobs that wait for machines which come too late for them."""
    feasible = FeasibleSet(CapacityForecast(0.0, 10.0, 2_000))
    assert not feasible.add(1_000, 2_000)
    assert feasible.add(10_000, 3_000)
    assert not feasible.add(1, 3_000)


def test_runs_that_go_on_leave_the_other_cores():
    """Guards against one long run of a late job by which all others are deferred."""
    feasible = FeasibleSet(CapacityForecast(8.0, 8.0, 0))
    feasible.occupy(2.0, 20_000)
    assert not feasible.has_room(6_001, 1_000)
    assert feasible.add(6_000, 1_000)
    assert feasible.add(6 * 9_000 + 8 * 1_000, 11_000)
    assert not feasible.add(1, 11_000)


@pytest.mark.parametrize("due_ms", [HORIZON_MS + 100, 10 * HORIZON_MS])
def test_work_beyond_the_horizon_is_not_limited(due_ms):
    """Guards against an error, or a refusal, of a job with a distant objective."""
    feasible = FeasibleSet(CapacityForecast(1.0, 1.0, 0))
    assert feasible.add(1e9, due_ms)
    assert not feasible.add(1e9, HORIZON_MS)
