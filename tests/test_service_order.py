"""Order of service under load patterns of the platform's queues."""

from random import Random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from apricotgap.jobs.demand import Demand
from apricotgap.jobs.effects import Count, LogDecision
from apricotgap.jobs.feasible_set import CapacityForecast
from apricotgap.jobs.model import Resources, StepSpec, TaskName
from apricotgap.jobs.service_order import MAX_HELD, ServiceOrder, Standing
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.standing_log import MAX_LINES_PER_UPDATE
from apricotgap.jobs.team_shares import TeamShares
from tests.jobs_harness import Rig, job
from tests.service_days import Pool, earliest_objective_first, spec

# Core-seconds of a job of the standard size.
JOB_CORE_S = 6.0
N_CORES = 64
FORECAST = CapacityForecast(8.0, 8.0, 0)


def peak(n_jobs, span_ms, team="a", n_tasks=lambda: 8, prefix="a"):
    """Return jobs that arrive evenly within a time."""
    return [
        spec(f"{prefix}{n:015x}", n * span_ms // n_jobs, n_tasks(), team=team)
        for n in range(n_jobs)
    ]


def n_fitting(span_ms):
    """Return the number of jobs that the pool can do by the last objective."""
    return N_CORES * (span_ms + 2_700) / 1000 / JOB_CORE_S


@pytest.mark.parametrize("seed", [1, 2])
def test_peak_of_four_times_the_mean_serves_most_of_the_jobs_that_fit(seed):
    """Guards against a pool that serves each job of a peak just too late.

    The pool holds the mean demand. The earliest objective first uses more than half of
    it for jobs that end late.
    """
    jobs = peak(172, 4_000)
    old = Pool(N_CORES, earliest_objective_first, seed=seed).play(jobs, 10_000)
    new = Pool(N_CORES, seed=seed).play(jobs, 10_000)
    assert len(old) < n_fitting(4_000) / 2
    assert len(new) > 0.75 * n_fitting(4_000)


@pytest.mark.parametrize("seed", [1, 2])
def test_team_far_beyond_its_share_costs_only_its_own_jobs(seed):
    """Guards against a team within its share that waits behind the load of another.

    Team a uses a quarter of the pool, team b asks for five times the pool.
    """
    steady = peak(24, 8_000, team="a")
    flood = [spec(f"b{n:015x}", 2_000 + 4_000 * n // 200, team="b") for n in range(200)]
    in_time = Pool(N_CORES, seed=seed).play([*steady, *flood], 14_000)
    assert sum(each.job_id in in_time for each in steady) >= 0.9 * len(steady)
    assert len(in_time) > 0.75 * n_fitting(4_000)


@pytest.mark.parametrize("teams", ["a", "abc", "aaaaaab"])
def test_large_jobs_are_served_at_least_half_as_often_as_all(teams):
    """Guards against small jobs that take each gap while the large ones wait.

    The load is three and a half times the pool, the largest job has twenty times as
    many tasks as the smallest.
    """
    n_in_time = {"all": 0, "tenth": 0, "fifth": 0}
    n_jobs = dict.fromkeys(n_in_time, 0)
    for seed in range(4):
        rng = Random(seed)
        jobs = [
            spec(
                f"{n:016x}",
                n * 8_000 // 240,
                min(40, max(2, int(4 * rng.paretovariate(1.3)))),
                team=rng.choice(teams),
            )
            for n in range(240)
        ]
        in_time = Pool(N_CORES, seed=seed).play(jobs, 12_000)
        jobs.sort(key=lambda each: -each.steps[0].n_tasks)
        groups = {"all": jobs, "tenth": jobs[:24], "fifth": jobs[24:72]}
        for name, group in groups.items():
            n_jobs[name] += len(group)
            n_in_time[name] += sum(each.job_id in in_time for each in group)
    served = {name: n_in_time[name] / n_jobs[name] for name in n_jobs}
    assert served["tenth"] >= served["all"] / 2
    assert served["fifth"] >= served["all"] / 2


STEPS = st.builds(
    StepSpec,
    st.integers(1, 6),
    st.builds(Resources, st.sampled_from([500, 1000, 3000]), st.just(100)),
    st.integers(100, 3_000),
)


@settings(suppress_health_check=[HealthCheck.too_slow], deadline=None)
@given(
    st.lists(st.tuples(STEPS, st.integers(0, 2), st.integers(-20_000, 0)), max_size=20)
)
def test_no_capacity_is_idle_while_a_waiting_task_fits(loads):
    """Guards against deferred or late jobs that wait beside idle workers."""
    rig = Rig(workers=("w1", "w2")).ready()
    demand = Demand(rig.shard)
    demand.record_share(2)
    rig.scheduler = type(rig.scheduler)(rig.shard, demand)
    for n, (step, priority, age_ms) in enumerate(loads):
        work = job(f"{n:016x}", (step,), priority=priority)
        object.__setattr__(work, "submitted_ms", rig.now + age_ms)
        rig.submit(work)
    while rig.schedule():
        pass
    workers = rig.shard.workers.values()
    for waiting in rig.shard.open_jobs.values():
        if waiting.waiting[0, 0]:
            allocation = waiting.spec.steps[0].allocation
            assert not any(allocation.fits(worker.free) for worker in workers)


def order_of(*specs, at_ms=0, forecast=FORECAST):
    """Return the order of jobs in a shard, and their states."""
    shard = Shard("s", 1, 6_000)
    order = ServiceOrder(shard, TeamShares())
    states = [shard.submit(each, revision=1) for each in specs]
    order.update(at_ms, forecast)
    return order, states


def standings(order, states):
    return [order.standing(state) for state in states]


def test_standing_follows_what_still_fits():
    """Guards against capacity for jobs that gain nothing while others can end in time.

    Eight cores are done with one job each 750 ms; the later two do not fit.
    """
    jobs = [spec(f"{n:016x}", 0) for n in range(4)]
    late, expired = spec("b" * 16, -2_000), spec("c" * 16, -8_000)
    order, states = order_of(expired, late, *jobs)
    found = standings(order, states)
    assert found[:2] == [Standing.EXPIRED, Standing.LATE]
    assert found[2] is Standing.ON_TIME
    assert found[-1] is Standing.DEFERRED
    states.sort(key=order.key)
    assert standings(order, states) == sorted(found)


def test_equal_jobs_are_ordered_by_their_submission():
    """Guards against equal callers that overtake each other from update to update."""
    jobs = [spec(f"{9 - n:016x}", n) for n in range(8)]
    order, states = order_of(*reversed(jobs), at_ms=10)
    states.sort(key=order.key)
    assert [state.spec.submitted_ms for state in states] == list(range(8))


def test_job_that_comes_between_two_updates_is_ranked_at_once():
    """Guards against newcomers of a peak that start before deferred jobs."""
    order, states = order_of(*(spec(f"{n:016x}", 0) for n in range(4)))
    newcomer = order._shard.submit(spec("f" * 16, 0), revision=1)
    assert order.key(newcomer) > max(order.key(state) for state in states)
    assert order.standing(newcomer) is Standing.DEFERRED


def test_urgent_jobs_take_the_capacity_first():
    """Guards against an urgent job that is deferred for a less urgent, older one."""
    older = [spec(f"{n:016x}", 0, priority=1) for n in range(8)]
    urgent = spec("f" * 16, 50, priority=0)
    order, states = order_of(*older, urgent, at_ms=60)
    assert order.standing(states[-1]) is Standing.ON_TIME
    assert min(states, key=order.key) is states[-1]


def test_no_job_is_deferred_while_the_capacity_is_unknown():
    """Guards against an order by guesses right after a takeover."""
    order, states = order_of(*(spec(f"{n:016x}", 0) for n in range(99)), forecast=None)
    assert set(standings(order, states)) == {Standing.ON_TIME}


def test_occurrence_has_its_own_objective():
    """Guards against a scheduled job that counts as expired from its second run on."""
    scheduled = spec("a" * 16, 0, n_occurrences=9, start_ms=1_000, interval_ms=20_000)
    order, (state,) = order_of(scheduled, at_ms=0)
    assert order.standing(state) is Standing.ON_TIME
    for number in range(8):
        state.mark_done(TaskName("a" * 16, 0, 0, number))
    order.update(21_500, FORECAST)
    assert order.standing(state) is Standing.ON_TIME
    order.update(25_000, FORECAST)
    assert order.standing(state) is Standing.LATE


class TestOutlook:
    """The place that a job would have is the one that it gets."""

    @given(st.integers(0, 8), st.integers(0, 2), st.integers(-9_000, 100))
    def test_place_of_a_new_job_is_the_one_after_its_submission(
        self, n_open, priority, submitted_ms
    ):
        """Guards against jobs that are refused for a place which they would not get."""
        jobs = [spec(f"{n:016x}", 0, priority=1) for n in range(n_open)]
        order, _ = order_of(*jobs, at_ms=100)
        new = spec("f" * 16, submitted_ms, priority=priority)
        outlook = order.would_stand(new, 100)
        order, (*_, state) = order_of(*jobs, new, at_ms=100)
        assert (order.standing(state), order.key(state)) == (
            outlook.standing,
            outlook.key,
        )

    def test_wait_is_the_time_that_the_work_ahead_takes(self):
        """Guards against callers that return before there is capacity for them."""
        order, _ = order_of(*(spec(f"{n:016x}", 0) for n in range(40)))
        outlook = order.would_stand(spec("f" * 16, 0), 0)
        assert outlook.standing is Standing.DEFERRED
        assert outlook.ahead_core_ms == 40 * 6_000
        assert outlook.capacity_in_ms >= 40 * 750

    def test_wait_is_unknown_without_a_forecast(self):
        """Guards against refusals by a guess right after a takeover."""
        order, _ = order_of(spec("a" * 16, 0), forecast=None)
        assert order.would_stand(spec("f" * 16, 0), 0).capacity_in_ms is None

    def test_held_job_counts_until_it_is_released_or_its_time_ends(self):
        """Guards against a burst of submissions that are all stored at one time, each
        accepted for the same capacity, and against capacity held for callers that do
        not return.
        """
        order, _ = order_of()
        held = [spec(f"{n:016x}", 0) for n in range(2)]
        probe = spec("f" * 16, 10)
        for each in held:
            order.hold(each, 0, 1_000)
        assert order.would_stand(probe, 0).standing is Standing.DEFERRED
        assert order.would_stand(held[0], 0).standing is Standing.ON_TIME
        order.release(held[0].job_id)
        order.update(100, FORECAST)
        assert order.would_stand(probe, 100).ahead_core_ms == 6_000
        order.update(1_000, FORECAST)
        assert order.would_stand(probe, 1_000).ahead_core_ms == 0

    def test_held_jobs_are_bounded(self):
        """Guards against refused callers that take the memory of the owner."""
        order, _ = order_of()
        for n in range(MAX_HELD + 1):
            order.hold(spec(f"{n:016x}", 0), 0, 1_000)
        assert len(order._held) == MAX_HELD


class TestLog:
    """Log lines of jobs whose standing changes."""

    def play(self, n_jobs, span_ms):
        """Return the lines and the count of deferred jobs that all come at once."""
        order, _ = order_of()
        for n in range(n_jobs):
            order._shard.submit(spec(f"{n:016x}", 0), revision=1)
        effects = []
        for at_ms in range(100, 100 + span_ms, 50):
            effects += order.update(at_ms, FORECAST)
        lines = [each for each in effects if isinstance(each, LogDecision)]
        counts = [each.number for each in effects if isinstance(each, Count)]
        return lines, sum(counts)

    def test_line_names_what_the_standing_rests_on(self):
        """Guards against a late job whose operator cannot tell what went first."""
        lines, n_deferred = self.play(2, 100)
        assert n_deferred == 1
        (line,) = lines
        assert line.event == "job_deferred"
        assert line.fields == {
            "job": f"{1:016x}",
            "team": "a",
            "standing": "deferred",
            "slack_ms": 1_850,
            "team_tag": 6_000,
            "ahead_core_ms": 6_000,
        }

    def test_one_line_for_each_job_and_change(self):
        """Guards against a line for each update of a job that waits."""
        lines, _ = self.play(4, 12_000)
        seen = [(each.fields["job"], each.fields["standing"]) for each in lines]
        assert len(seen) == len(set(seen))
        assert (f"{3:016x}", "expired") in seen

    def test_lines_of_a_second_are_bounded_but_all_jobs_count(self):
        """Guards against a peak that takes the log lines of an instance."""
        lines, n_deferred = self.play(200, 1_000)
        assert len(lines) <= 10 * MAX_LINES_PER_UPDATE
        assert n_deferred >= 198
