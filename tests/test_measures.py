import math

import pytest

from measures.arrivals import Stream, draw_jobs
from measures.baselines import run_in_order
from measures.figures import (
    Job,
    Work,
    at_most_once_violations,
    fill_by_weight,
    limit_violations,
    not_run_violations,
    percentile,
    share_distances,
    start_times_ms,
)
from measures.fleet import DEPLOYMENTS, Fleet, n_budgets_broken

WEIGHTS = {"a": 3, "b": 1}
SPAN = (0, 10_000)


def _job(name, team, at_ms=0, *, urgent=False, idempotent=False):
    return Job(name, at_ms, "q", team, urgent, 1_000, idempotent)


def _fair_work(n_of_a):
    """Give `n_of_a` of four slots to team a for ten rounds; both teams wait on."""
    work = Work({})
    for i in range(100):
        for team in WEIGHTS:
            work.jobs[f"{team}{i}"] = _job(f"{team}{i}", team)
    counts = {"a": n_of_a, "b": 4 - n_of_a}
    for team, n in counts.items():
        for i in range(10 * n):
            start_ms = i // n * 1_000
            work.spans.append((f"{team}{i}", start_ms, start_ms + 1_000))
    return work


def test_share_distance_tells_first_in_first_out_from_fair():
    """Guards against a figure that calls an unfair order fair, or the reverse."""
    assert max(share_distances(_fair_work(3), "q", SPAN, WEIGHTS)) == 0
    jobs = [_job(f"{t}{i}", t, 10 * i) for i in range(400) for t in WEIGHTS]
    work = run_in_order(jobs, {"q": 4}, 10**6)
    assert min(share_distances(work, "q", SPAN, WEIGHTS)) > 0.2


def test_demand_limits_a_share():
    """Guards against blaming the policy for work that a team never offered."""
    assert fill_by_weight(12, WEIGHTS, {"a": 2, "b": 30}) == {"a": 2, "b": 10}
    work = _fair_work(2)
    work.jobs = {n: work.jobs[n] for n in {name for name, _, _ in work.spans}}
    assert max(share_distances(work, "q", SPAN, WEIGHTS)) == 0
    limited = share_distances(_fair_work(2), "q", SPAN, WEIGHTS, limited={"a"})
    assert max(limited) == 0


def test_urgent_that_never_starts_counts():
    """Guards against leaving the worst urgent requests out of the percentiles."""
    work = Work({"u": _job("u", "a", urgent=True), "v": _job("v", "a", 5, urgent=True)})
    work.spans = [("u", 40, 1_040)]
    assert start_times_ms(work, SPAN) == [40, math.inf]
    assert percentile(range(1, 1001), 0.999) == 999


def test_a_reserve_speeds_urgent_work_up():
    """Guards against a reserve baseline that reserves nothing."""
    jobs = [_job(f"b{i}", "a", i) for i in range(40)]
    jobs.append(_job("u", "b", 100, urgent=True))
    waits = [
        start_times_ms(run_in_order(jobs, {"q": 4}, 10**6, reserve), SPAN)[0]
        for reserve in (None, 1)
    ]
    assert waits[0] > 5_000
    assert waits[1] == 0


def test_violations_are_counted():
    """Guards against invariant counts that stay at zero."""
    work = Work({n: _job(n, "a") for n in ("x", "y")}, not_run={"y"})
    work.spans = [("x", 0, 10), ("x", 10, 20), ("y", 15, 30)]
    assert at_most_once_violations(work) == 1
    assert not_run_violations(work) == 1
    assert limit_violations(work, {"a": 1}) == 1
    assert limit_violations(work, {"a": 2}) == 0


@pytest.mark.parametrize(("n_out", "n_broken"), [(2, 0), (3, 1)])
def test_broken_budgets_are_counted(n_out, n_broken):
    """Guards against a budget count that misses a pool below its minimum."""
    config = Fleet(DEPLOYMENTS["bogenwerk"], 1).config
    out = {f"{c}-stock-1" for c in ("graz", "leoben")} | {"graz-stock-2"}
    out = set(sorted(out)[:n_out])
    assert n_budgets_broken(config, lambda i: i.name in out) == n_broken


def test_arrivals_keep_their_rate():
    """Guards against bursts that offer another load than the page states."""
    rng = Fleet(DEPLOYMENTS["bogenwerk"], 1).rng
    stream = Stream("q", "a", 20, factor=lambda at: 5 * (at < 10_000), max_factor=5)
    jobs = draw_jobs([stream], 0, 20_000, rng)
    assert all(job.at_ms < 10_000 for job in jobs)
    assert sum(j.run_ms for j in jobs) == pytest.approx(1_000_000, rel=0.12)
