"""Load patterns of teams that compete, played against the decisions of the product."""

from dataclasses import replace
from random import Random

import pytest

from apricotgap.jobs.model import JobSpec, Resources, StepSpec
from simulation.deployment import Deployment, Sizes
from simulation.load import SimulatedJob
from tests.overload_states import current_overload

pytestmark = pytest.mark.usefixtures("overload_state")

# One pool of 96 cores, with no machine to spare.
SIZES = Sizes((("s", 12),), 0, Resources(8_000, 64_000))
LENGTH_MS = 20_000
SETTLE_MS = 15_000
# A task is a core for 0.75 s; a job has one step of eight, and an objective of 2.7 s.
STEP = StepSpec(8, Resources(1_000, 100), 750)
JOB_CORE_S = 6.0
QUIET_TEAMS = ("a", "b", "c", "d", "e")
BURST = (6_000, 14_000)


def job(team, number, at_ms, service="s", step=STEP):
    spec = JobSpec(
        f"{team}-{service}-{number}",
        f"q-{service}",
        service,
        team,
        "x",
        (step,),
        at_ms,
        slack_factor=2.0,
        target_latency_ms=1_200,
    )
    return SimulatedJob(spec, at_ms, (step.estimated_ms,))


def arrivals(team, jobs_per_s, seed, begin_ms=0, end_ms=LENGTH_MS, **kinds):
    """Yield jobs of a team that come at random times."""
    random = Random(f"{team} {seed} {begin_ms}")
    at_ms, number = float(begin_ms), begin_ms
    while (at_ms := at_ms + random.expovariate(jobs_per_s / 1000)) < end_ms:
        yield job(team, number, int(at_ms), **kinds)
        number += 1


def steady_load(seed):
    """Return six teams at 2.2 jobs a second each: four fifths of the capacity."""
    teams = (*QUIET_TEAMS, "f")
    return [each for team in teams for each in arrivals(team, 2.2, seed)]


def burst(team, seed, jobs_per_s=11.0):
    """Return a further load of a team for eight seconds, five times its usual one."""
    return list(arrivals(team, jobs_per_s, seed, *BURST))


def play(jobs, until_ms=LENGTH_MS + SETTLE_MS, sizes=SIZES, **options):
    overload = current_overload.get()
    deployment = Deployment(sizes, jobs, overload=overload, **options)
    deployment.run(until_ms)
    return list(deployment.records.values())


def in_time(records, teams, objective_ms=2_700):
    """Return the part of the teams' jobs that ended by their objective."""
    own = [each for each in records if each.job.spec.team in teams]
    n = sum((each.latency_ms() or 10**9) <= objective_ms for each in own)
    return n / len(own)


def served_core_s(records, team, begin_ms, end_ms):
    """Return the work of the jobs of a team that ended within a time."""
    return JOB_CORE_S * sum(
        begin_ms <= (each.finished_ms or 0) < end_ms
        for each in records
        if each.job.spec.team == team
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_of_one_team_costs_its_own_jobs(seed):
    """Guards against a team at six times its usual load that makes others late.

    Load pattern: six teams with equal shares use four fifths of the capacity. For eight
    seconds one of them comes with six times its load.
    """
    steady = steady_load(seed)
    alone = in_time(play(steady), QUIET_TEAMS)
    records = play(steady + burst("f", seed))
    assert in_time(records, QUIET_TEAMS) >= alone - 0.05
    assert not any(
        each.n_refusals for each in records if each.job.spec.team in QUIET_TEAMS
    )
    assert in_time(records, {"f"}) < 0.8


def test_team_alone_uses_everything():
    """Guards against a share that keeps a team from capacity that nobody else uses.

    Load pattern: one team offers twice the capacity for eight seconds.
    """
    records = play(burst("f", 1, jobs_per_s=32))
    served = served_core_s(records, "f", BURST[0] + 2_000, BURST[1])
    assert served >= 0.85 * 96 * 6


def test_capacity_is_divided_by_weight():
    """Guards against shares without effect.

    Load pattern: two teams each offer more than the capacity; one has three times the
    share of the other.
    """
    jobs = burst("small", 1, jobs_per_s=20) + burst("large", 1, jobs_per_s=20)
    records = play(jobs, shares={"small": 1.0, "large": 3.0})
    span = (BURST[0] + 2_000, BURST[1])
    small = served_core_s(records, "small", *span)
    large = served_core_s(records, "large", *span)
    assert 2 <= large / small <= 4.5


def test_use_in_another_service_counts():
    """Guards against a team that gets its whole share in each service.

    Load pattern: team f holds as much as one pool has in another pool, with
    long-running tasks; in this one it competes with team a, each with more than the
    capacity.
    """
    sizes = replace(SIZES, pools=(("s", 12), ("t", 14)))
    long_running = replace(
        job("f", 0, 0, "t", StepSpec(90, Resources(1_000, 100), is_long_running=True)),
        durations_ms=(10**6,),
    )
    jobs = burst("a", 1, jobs_per_s=20) + burst("f", 1, jobs_per_s=20)
    span = (BURST[0] + 1_000, BURST[0] + 6_000)
    apart = play([*jobs], sizes=sizes)
    together = play([long_running, *jobs], sizes=sizes)
    equal = served_core_s(apart, "f", *span) / served_core_s(apart, "a", *span)
    assert 0.6 <= equal <= 1.6
    assert served_core_s(together, "f", *span) < served_core_s(together, "a", *span) / 3


def test_a_team_that_is_over_its_share_still_gets_its_share():
    """Guards against a team that starves for what it used in its burst.

    Load pattern: one team offers more than the capacity for eight seconds, another with
    the same share does so from the middle of that time on.
    """
    jobs = burst("f", 3, jobs_per_s=24)
    jobs += arrivals("a", 24, 3, 10_000, 18_000)
    records = play(jobs)
    served = served_core_s(records, "f", 10_000, 18_000)
    assert served >= 0.25 * served_core_s(records, "a", 10_000, 18_000)
    assert served_core_s(records, "a", 12_000, 18_000) >= 0.5 * 96 * 6 * 0.9


def test_each_refused_caller_is_served_in_the_end():
    """Guards against callers that starve: their jobs are refused again and again, or
    accepted and never started.

    Load pattern: six teams use four fifths of the capacity, and one of them comes with
    six times its load for eight seconds; callers return until they are accepted.
    """
    jobs = steady_load(2) + burst("f", 2)
    records = play(jobs, until_ms=60_000, max_retries=1_000)
    refused = [each for each in records if each.n_refusals]
    assert refused
    assert all(each.finished_ms for each in refused)
    assert sum(each.n_refusals for each in refused) <= 4 * len(refused)
