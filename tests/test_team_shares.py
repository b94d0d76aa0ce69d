"""Shares of the teams: what counts as use, and who is next by it."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotgap.jobs.configuration import Team
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.team_shares import MEMORY_MS, TeamShares, TeamUse
from apricotgap.jobs.team_totals import TeamTotals
from apricotgap.jobs.team_use import team_use
from tests.jobs_harness import Rig, configuration, ended, job, running

NOW_MS = 10_000


def shares_of(**weights):
    shares = TeamShares()
    teams = tuple(
        Team(name, frozenset(), weight, Resources()) for name, weight in weights.items()
    )
    shares.set_configuration(replace(configuration(), teams=teams))
    return shares


def serve(shares, sizes, n_jobs, cores, at_ms=NOW_MS):
    """Serve busy teams one job after the other; return the work of each over time.

    `sizes` has the sizes of each team's jobs, which repeat.
    """
    served = dict.fromkeys(sizes, 0.0)
    n_served = dict.fromkeys(sizes, 0)
    history = [(at_ms, dict(served))]
    for _ in range(n_jobs):
        following = {
            team: each[n_served[team] % len(each)] for team, each in sizes.items()
        }
        waiting = {
            team: TeamUse(next_core_ms=core_ms) for team, core_ms in following.items()
        }
        shares.record_running(waiting, at_ms)
        team = min(sizes, key=lambda team: shares.tag(team, following[team], at_ms))
        shares.record_start(team, following[team], at_ms)
        served[team] += following[team]
        n_served[team] += 1
        at_ms += int(following[team] / cores)
        history.append((at_ms, dict(served)))
    return history


def test_team_without_use_goes_first():
    """Guards against a team that waits behind the burst of another one."""
    shares = shares_of(quiet=1, busy=1)
    for _ in range(100):
        shares.record_start("busy", 5_000, NOW_MS)
    burst = shares.tag("busy", 5_000, NOW_MS)
    assert shares.tag("quiet", 5_000, NOW_MS) < burst
    # A team that is alone may go on: nothing but its tag shows it.
    assert burst == pytest.approx(505_000)


def test_greater_share_counts_less():
    """Guards against shares that have no effect."""
    shares = shares_of(small=1, large=4)
    for team in ("small", "large", "unknown"):
        shares.record_start(team, 8_000, NOW_MS)
    assert shares.tag("large", 0, NOW_MS) == shares.tag("small", 0, NOW_MS) / 4
    assert shares.tag("unknown", 0, NOW_MS) == shares.tag("small", 0, NOW_MS)


def test_use_of_the_past_is_forgotten():
    """Guards against a team that pays for a burst of long ago."""
    shares = shares_of(a=1)
    shares.record_start("a", 100_000, NOW_MS)
    later = shares.tag("a", 0, NOW_MS + MEMORY_MS)
    assert later == pytest.approx(100_000 / 2.718, rel=0.01)


def test_long_running_tasks_count_at_once():
    """Guards against a team that holds half of the capacity with long-running tasks and
    gets half of the rest.
    """
    shares = shares_of(a=1, b=1)
    shares.record_running({"a": TeamUse(long_running=30)}, NOW_MS)
    assert shares.tag("a", 0, NOW_MS) == 30 * MEMORY_MS
    assert shares.tag("a", 0, NOW_MS + 60_000) == 30 * MEMORY_MS
    shares.record_running({}, NOW_MS + 60_000)
    assert shares.tag("a", 0, NOW_MS + 60_000) == 0


def test_tasks_longer_than_their_estimate_count_as_they_run():
    """Guards against a team that gains capacity by estimates that are too low."""
    shares = shares_of(a=1)
    shares.record_start("a", 1, NOW_MS)
    for after_ms in range(0, 60_000, 100):
        shares.record_running({"a": TeamUse(finite=20)}, NOW_MS + after_ms)
    assert shares.own_cores("a", NOW_MS + 60_000) == pytest.approx(20, rel=0.01)


def test_use_in_other_shards_counts_while_it_is_fresh():
    """Guards against a team that uses its whole share in each service, and against one
    that pays for use of which nobody has heard since.
    """
    shares = shares_of(a=1, b=1)
    shares.record_total("a", 40, NOW_MS)
    assert shares.tag("a", 0, NOW_MS + 3_000) == 40 * MEMORY_MS
    assert shares.tag("a", 0, NOW_MS + 3_001) == 0
    shares.record_totals({"b": 10}, NOW_MS + 100)
    assert shares.tag("a", 0, NOW_MS + 100) == 0
    assert shares.tag("b", 0, NOW_MS + 100) == 10 * MEMORY_MS


def test_use_reported_to_others_is_that_of_this_shard():
    """Guards against use that grows as two shards report it to each other."""
    shares = shares_of(a=1)
    shares.record_total("a", 40, NOW_MS)
    shares.record_start("a", 50_000, NOW_MS)
    assert shares.uses(NOW_MS) == {"a": 5}


def test_sums_of_the_other_pools():
    """Guards against a shard whose own use counts twice, and against old reports."""
    totals = TeamTotals()
    totals.record("s1", {"a": 1.0, "b": 2.0}, 0)
    totals.record("s2", {"a": 4.0}, 1_000)
    totals.record("s3", {"a": 8.0}, 1_000)
    assert totals.others("s1", 1_000) == {"a": 12.0}
    assert totals.others("s2", 3_000) == {"a": 9.0, "b": 2.0}
    assert totals.others("s2", 3_001) == {"a": 8.0}


def test_teams_without_use_are_forgotten():
    """Guards against memory that grows with each team that was ever seen."""
    shares = shares_of()
    for n in range(330):
        shares.record_start(f"team-{n}", 10_000, NOW_MS)
    shares.record_running({"team-7": TeamUse(finite=1)}, NOW_MS)
    assert len(shares.uses(NOW_MS)) == 330
    shares.record_running({"team-7": TeamUse(finite=1)}, NOW_MS + 100_000)
    assert list(shares.uses(NOW_MS + 100_000)) == ["team-7"]
    assert len(shares._accounts) == 1


def test_new_owner_takes_the_use_from_the_runs_that_it_finds():
    """Guards against an owner replaced in a shortage after which the team with the
    burst is first again.
    """
    long_running = StepSpec(1, Resources(2_000, 100), is_long_running=True)
    finite = StepSpec(4, Resources(1_000, 100), 800)
    specs = [job("a" * 16, (long_running,)), job("b" * 16, (finite,))]
    first = Rig(epoch=1).ready()
    for spec in specs:
        first.submit(spec)
    starts = first.schedule()
    assert len(starts) == 5
    assert team_use(first.shard) == {"bakers": TeamUse(4, 2, 0)}

    second = Rig(epoch=2)
    for spec in specs:
        second.shard.load(spec, None, 1)
    second.record_all()
    second.poll(running=map(running, starts))
    assert team_use(second.shard) == {"bakers": TeamUse(4, 2, 4)}
    shares = shares_of(bakers=2)
    for _ in range(2):
        shares.record_running(team_use(second.shard), second.now)
    assert shares.own_cores("bakers", second.now) == pytest.approx(6)
    second.poll(ends=[ended(n, start) for n, start in enumerate(starts[1:], 1)])
    shares.record_running(team_use(second.shard), second.now)
    assert shares.own_cores("bakers", second.now) == pytest.approx(6)
    assert 2 < shares.own_cores("bakers", second.now + MEMORY_MS) < 6


def test_tie_goes_to_the_smaller_job():
    """Guards against small jobs that starve behind large ones of another team."""
    shares = shares_of(a=1, b=1)
    assert shares.tag("a", 800, NOW_MS) < shares.tag("b", 8_000, NOW_MS)


def test_time_that_runs_backwards_changes_nothing():
    """Guards against use that grows without bound by a clock that is set back."""
    shares = shares_of(a=1)
    shares.record_start("a", 1_000, NOW_MS)
    assert shares.tag("a", 0, NOW_MS - 60_000) == 1_000


SIZES = st.lists(st.integers(100, 20_000), min_size=1, max_size=4)
WEIGHTS = st.sampled_from([0.5, 1.0, 1.5, 2.0, 4.0])


@given(st.lists(st.tuples(WEIGHTS, SIZES), min_size=2, max_size=6))
def test_shares_of_busy_teams_are_within_one_job_of_their_due(teams):
    """Guards against a team that gets less than its share while all are busy.

    Load pattern: all teams have jobs waiting throughout, of sizes and shares as drawn.
    """
    weights = {f"t{n}": weight for n, (weight, _) in enumerate(teams)}
    sizes = {f"t{n}": each for n, (_, each) in enumerate(teams)}
    history = serve(shares_of(**weights), sizes, 200, 40)
    total_weight = sum(weights.values())
    for at_ms, served in history:
        total = sum(served.values())
        for team, amount in served.items():
            due = total * weights[team] / total_weight
            assert amount >= due - max(sizes[team]) - 1, (at_ms, team)


@given(
    st.tuples(WEIGHTS, SIZES),
    st.tuples(WEIGHTS, SIZES),
    st.integers(0, 150),
    st.integers(1, 150),
)
def test_two_busy_teams_are_within_one_job_of_each_other_over_any_span(
    first, second, n_before, n_jobs
):
    """Guards against a span in which one of two busy teams is ahead of its share by
    more than one job of each, as after the use of the past has decayed.
    """
    weights = {"a": first[0], "b": second[0]}
    sizes = {"a": first[1], "b": second[1]}
    history = serve(shares_of(**weights), sizes, n_before + n_jobs, 40)
    (_, begin), (_, end) = history[n_before], history[n_before + n_jobs]
    by_weight = {team: (end[team] - begin[team]) / weights[team] for team in sizes}
    bound = sum(max(sizes[team]) / weights[team] for team in sizes)
    assert abs(by_weight["a"] - by_weight["b"]) <= bound + 1
