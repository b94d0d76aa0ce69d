"""Jobs whose scheduling raises: the others of the shard go on."""

import pytest

from apricotgap.jobs.admission import Admission
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.failed_jobs import FIRST_RETRY_MS, MAX_RETRY_MS
from apricotgap.jobs.idle_capacity import has_idle_capacity
from apricotgap.jobs.migration import Migrator
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.stragglers import StragglerDetector
from apricotgap.jobs.team_demand import team_demand
from apricotgap.jobs.wait_log import FIRST_LINE_MS, LOOK_INTERVAL_MS, WaitLog
from tests.jobs_harness import FAR_MS, Rig, job, running

pytestmark = pytest.mark.usefixtures("overload_state")

GOOD, BAD = "a" * 16, "b" * 16


class Defect(Exception):
    """An error that nobody expects."""


def fail(*_args):
    raise Defect("defect of one job")


def break_job(rig, *names):
    """Let methods of one job's state raise; returns a call that repairs them."""
    state = rig.shard.jobs[BAD]
    kind = type(state)
    broken = type("BrokenJob", (kind,), dict.fromkeys(names, fail))
    state.__class__ = broken

    def repair():
        state.__class__ = kind

    return repair


def rig_with_jobs(*names, n_tasks=1):
    rig = Rig().ready()
    for name in names:
        rig.submit(job(name, (StepSpec(n_tasks, Resources(100, 10), 800),)))
    return rig


def started(effects):
    return {start.name.job_id for start in effects}


@pytest.mark.parametrize(
    "method", ["open_steps", "critical_path_ms", "remaining_core_ms", "is_suspect"]
)
def test_job_that_raises_in_a_pass_leaves_the_others(method):
    """Guards against one job whose defect ends owner after owner of its shard."""
    rig = rig_with_jobs(BAD, GOOD)
    break_job(rig, method)
    assert started(rig.schedule()) == {GOOD}


def test_job_that_raises_is_logged_once_and_tried_again_later():
    """Guards against a log line per pass, and a job that is given up for good."""
    rig = rig_with_jobs(BAD, GOOD)
    repair = break_job(rig, "open_steps")
    effects = rig.scheduler.run(rig.now, FAR_MS)
    lines = [each for each in effects if isinstance(each, LogDecision)]
    (line,) = [each for each in lines if each.event == "job_set_aside"]
    assert line.fields["job"] == BAD
    assert "Defect" in line.fields["error"]
    assert line.is_error
    repair()
    rig.now += FIRST_RETRY_MS - 100
    rig.shard.tick(rig.now)
    rig.poll()
    assert rig.schedule() == []
    rig.now += 200
    rig.shard.tick(rig.now)
    rig.poll()
    assert started(rig.schedule()) == {BAD}


def test_pause_after_each_error_is_twice_as_long():
    """Guards against an owner that spends its time on one job's errors."""
    rig = rig_with_jobs(BAD)
    break_job(rig, "open_steps")
    n_lines = 0
    for _ in range(2 * MAX_RETRY_MS // 100):
        rig.now += 100
        effects = rig.shard.tick(rig.now)
        rig.poll()
        effects += rig.scheduler.run(rig.now, FAR_MS)
        n_lines += sum(
            isinstance(each, LogDecision) and each.event == "job_set_aside"
            for each in effects
        )
    # After 0, 1, 3, 7, 15, 31, 63 s.
    assert n_lines == 7


def test_job_that_raises_still_counts_as_pending():
    """Guards against an accepted job that the callers' count does not show."""
    rig = rig_with_jobs(BAD)
    break_job(rig, "open_steps")
    rig.schedule()
    assert rig.shard.n_pending("plans") == 1


@pytest.mark.parametrize("is_cancelled", [True, False])
def test_job_that_raises_may_end(is_cancelled):
    """Guards against an ended job that is scheduled again after its pause."""
    rig = rig_with_jobs(BAD)
    repair = break_job(rig, "open_steps")
    rig.schedule()
    repair()
    if is_cancelled:
        rig.shard.cancel(BAD, 0, rig.now)
    else:
        rig.shard.forget(BAD)
    rig.now += 2 * FIRST_RETRY_MS
    rig.shard.tick(rig.now)
    assert not rig.shard.open_jobs


def look_for_waits(rig):
    log = WaitLog(rig.shard)
    log.run(rig.now, FAR_MS)
    rig.now += FIRST_LINE_MS + LOOK_INTERVAL_MS
    rig.poll()
    log.run(rig.now, FAR_MS)


def ask_for_admission(rig):
    demand = Demand(rig.shard)
    demand.record_share(1)
    Admission(rig.shard, demand, rig.scheduler.service_order).decide(job(), rig.now)


@pytest.mark.parametrize(
    ("methods", "call"),
    [
        (["open_steps"], look_for_waits),
        (["open_steps"], lambda rig: team_demand(rig.shard, rig.now)),
        (["is_late"], lambda rig: Demand(rig.shard).wanted(rig.now)),
        (["open_steps"], lambda rig: Demand(rig.shard).wanted_for_late_jobs(rig.now)),
        (["open_steps"], lambda rig: has_idle_capacity(rig.shard, job(), (), rig.now)),
        (["remaining_core_ms"], ask_for_admission),
    ],
    ids=["waits", "team demand", "demand", "late demand", "idle", "admission"],
)
def test_other_looks_at_a_job_that_raises_go_on(methods, call):
    """Guards against a defect that ends the owner outside its scheduling passes."""
    rig = rig_with_jobs(BAD, GOOD)
    break_job(rig, *methods)
    call(rig)
    effects = rig.shard.tick(rig.now)
    assert any(
        isinstance(each, LogDecision) and each.event == "job_set_aside"
        for each in effects
    )
    assert list(rig.shard.open_jobs) == [GOOD]


def test_late_run_of_a_job_that_raises_leaves_the_others():
    """Guards against a defect in the state of a job that runs."""
    rig = rig_with_jobs(BAD, GOOD)
    runs = rig.schedule()
    rig.poll(running=[running(start) for start in runs])
    rig.shard.jobs[BAD].durations_ms = None
    rig.now += 60_000
    rig.poll(running=[running(start) for start in runs])
    effects = StragglerDetector(rig.shard).run(rig.now)
    lines = [each for each in effects if isinstance(each, LogDecision)]
    assert {line.fields["task"].partition(".")[0] for line in lines} == {GOOD}


def test_run_to_migrate_of_a_job_that_raises_leaves_the_others():
    """Guards against a defect in the state of a long-running job."""
    steps = (StepSpec(1, Resources(100, 10), is_long_running=True),)
    rig = Rig().ready()
    rig.shard.loaded_ms = -10_000
    for name in (BAD, GOOD):
        rig.submit(job(name, steps))
    runs = rig.schedule()
    rig.poll(running=[running(start) for start in runs])
    rig.shard.jobs[BAD].__class__ = type(
        "BrokenJob", (type(rig.shard.jobs[BAD]),), {"is_final": property(fail)}
    )
    rig.shard.reserve(["w1"], rig.now)
    effects = Migrator(rig.shard, rig.overload).run(rig.now)
    stops = {each.name.job_id for each in effects if hasattr(each, "run_id")}
    assert stops == {GOOD}
