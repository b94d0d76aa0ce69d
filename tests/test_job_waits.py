"""Tests of the reasons for which accepted tasks wait, and of their log lines."""

from dataclasses import replace

import pytest

from apricotgap.explain import explain
from apricotgap.jobs import limits
from apricotgap.jobs.configuration import Team
from apricotgap.jobs.documents import Progress, TaskRecord
from apricotgap.jobs.gang_room import KEEP_MS
from apricotgap.jobs.model import JobPhase, Resources, RunEnd, StepSpec
from apricotgap.jobs.tickets import StepName
from apricotgap.jobs.wait_log import FIRST_LINE_MS, MAX_LINES_PER_LOOK, WaitLog
from apricotgap.jobs.waiting import REASONS, WaitCase, explain_wait
from tests.jobs_harness import (
    FAR_MS,
    SERVICE,
    Rig,
    configuration,
    ended,
    entry,
    job,
    running,
    task,
)

pytestmark = pytest.mark.usefixtures("overload_state")

SIZE = Resources(1000, 100)
JOB = "j" * 16


def waits(rig, key=(0, 0), job_id=JOB, lease_until_ms=FAR_MS):
    """Return why a step waits after a scheduling pass."""
    rig.schedule(lease_until_ms)
    case = WaitCase(rig.shard, rig.shard.jobs[job_id], key, rig.now, lease_until_ms)
    return explain_wait(case)


def ready_rig(*steps, workers=("w1",), **changes):
    """Return a rig whose workers accept work, with one stored job."""
    rig = Rig(workers=workers).ready()
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    rig.submit(job(steps=steps or (StepSpec(1, SIZE, 800),), **changes))
    return rig


def not_due():
    rig = ready_rig(n_occurrences=1, start_ms=60_000)
    return rig, {"due_in_ms": 50_000}


def earlier_steps():
    rig = ready_rig(StepSpec(1, SIZE, 800), StepSpec(1, SIZE, 800, (0,)))
    return rig, {"after": [0]}


def lease_ending():
    return ready_rig(), {"left_ms": 1_000}


def not_configured():
    rig = ready_rig()
    rig.shard.config = replace(configuration(7), services=())
    return rig, {"version": 7}


def old_worker_list():
    rig = ready_rig()
    rig.shard.config = configuration(guards=False)
    rig.now += 3_100
    rig.poll()
    return rig, {"list_age_ms": 3_100}


def previous_owner():
    rig = Rig().ready()
    rig.shard.add_inherited_worker(entry("w2"), rig.now)
    rig.shard.load(job(), None, revision=1)
    until_ms = rig.shard.workers["w2"].lease_until_ms
    return rig, {"workers": ["w2"], "lease_left_ms": until_ms - rig.now}


def reservations_unknown():
    rig = ready_rig(StepSpec(1, SIZE, is_long_running=True))
    rig.shard.reported_ms = -1_000_000
    return rig, {"since_load_ms": 0}


def crash_unsaved():
    rig = ready_rig()
    state = rig.shard.jobs[JOB]
    state.record(task(0)).crash_points = 2
    state.n_crashes = 1
    return rig, {"n_unsaved": 1}


def gang_incomplete():
    rig = ready_rig(StepSpec(2, SIZE, 800, is_gang=True))
    one, other = rig.schedule()
    for start in (one, other):
        rig.answer(start)
    rig.now += 100
    rig.poll(running=[running(one)], ends=[ended(1, other, RunEnd.BROKEN)])
    return rig, {"n_waiting": 1, "n_tasks": 2}


def probing():
    """Task 0 has failed on two workers and runs on the first; task 1 waits."""
    rig = ready_rig(StepSpec(2, SIZE, 800), workers=("w1", "w2"), max_attempts=5)
    state = rig.shard.jobs[JOB]
    for run_id, worker_id in enumerate(("w1", "w2"), 1):
        state.record_failure(task(0), run_id, worker_id)
    return rig, {"probe": str(task(0)), "n_failed": 2}


def no_worker_accepts():
    """Each worker has another cause, but for the one that is evacuated."""
    names = [f"w{number}" for number in range(10)]
    rig = ready_rig(workers=names)
    workers = rig.shard.workers
    workers["w0"].entry = replace(workers["w0"].entry, data_centre="b")
    rig.shard.evacuated = frozenset({"b"})
    workers["w1"].is_acquired = False
    workers["w2"].is_listed = False
    workers["w3"].reserved_until_ms = rig.now + 700
    workers["w4"].is_recorded = False
    workers["w5"].entry = replace(workers["w5"].entry, is_draining=True)
    workers["w6"].block(rig.now + 900)
    workers["w7"].record_failed_poll(rig.now)
    workers["w8"].suspect_since_ms = rig.now
    workers["w9"].withheld_since_ms = rig.now - limits.MAX_WITHHELD_MS - 1
    causes = (
        "evacuated",
        "unacquired",
        "unlisted",
        "reserved",
        "unrecorded",
        "draining",
        "blocked",
        "silent",
        "suspect",
        "unacknowledged",
    )
    return rig, {"n_workers": 10, "obstacles": dict.fromkeys(causes, 1)}


def team_limit():
    rig = ready_rig()
    team = Team("bakers", frozenset({"key"}), 1.0, Resources(4_000))
    rig.shard.config = replace(configuration(), teams=(team,))
    rig.shard.team_limits.set_configuration(rig.shard.config)
    split = {SERVICE: Resources(500), "other": Resources(3_500)}
    rig.shard.team_limits.record_split("bakers", split, 3)
    return rig, {
        "team": "bakers",
        "required_cpu": 1_000,
        "allowance_cpu": 500,
        "usage_cpu": 0,
        "limit_cpu": 4_000,
        "split_cpu": {SERVICE: 500, "other": 3_500},
    }


def no_room():
    rig = ready_rig(StepSpec(1, Resources(9_000, 100), 800))
    return rig, {"n_accepting": 1, "required_cpu": 9_000, "free_cpu": 8_000}


def no_room_for_a_gang():
    rig = ready_rig(StepSpec(5, Resources(2_000, 100), 800, is_gang=True))
    return rig, {"n_tasks": 5, "required_cpu": 2_000, "free_cpu": 8_000}


def no_room_for_a_gang_that_is_spread():
    rig = ready_rig(
        StepSpec(2, Resources(100, 100), 800, is_gang=True, max_per_worker=1)
    )
    return rig, {"n_accepting": 1, "n_tasks": 2}


def missing_label():
    rig = ready_rig(StepSpec(1, SIZE, 800, required_label="gpu"))
    return rig, {"label": "gpu", "n_with_room": 1}


def workers_on_trial():
    rig = Rig().ready()
    suspect = Progress(JobPhase.RUNNING, {task(0): TaskRecord(crash_points=2)})
    rig.shard.load(job(steps=(StepSpec(2, SIZE, 800),)), suspect, revision=1)
    return rig, {"workers": ["w1"]}


def other_machine_on_trial():
    """Both tasks have crashed one worker, and the first is on trial on the other."""
    rig = Rig(workers=("w1", "w2")).ready()
    crashed = (entry("w1").machine_digest,) * 2
    suspects = {
        task(number): TaskRecord(crash_points=3, crashed_machines=crashed)
        for number in range(2)
    }
    progress = Progress(JobPhase.RUNNING, suspects)
    rig.shard.load(job(steps=(StepSpec(2, SIZE, 800),)), progress, revision=1)
    return rig, {"workers": ["w2"]}


def kept_for_gang():
    """A gang has waited for as long as single tasks go first."""
    rig = ready_rig(StepSpec(1, Resources(1_000, 100), 60_000), job_id="a" * 16)
    (start,) = rig.schedule()
    rig.answer(start)
    gang = StepSpec(1, Resources(8_000, 100), 400, is_gang=True)
    rig.submit(job("b" * 16, (gang,)))
    rig.schedule()
    rig.now += KEEP_MS
    rig.poll(running=[running(start, 1)])
    rig.submit(job())
    return rig, {"n_with_room": 1, "n_kept": 1}


def kept_for_gang_for_a_gang():
    """The worker that is not kept has room for some members only."""
    occupied = StepSpec(2, Resources(5_000, 100), 60_000)
    rig = ready_rig(occupied, job_id="a" * 16, workers=("w1", "w2"))
    starts = rig.schedule()
    for start in starts:
        rig.answer(start)
    first = StepSpec(1, Resources(8_000, 100), 400, is_gang=True)
    rig.submit(job("b" * 16, (first,)))
    rig.schedule()
    rig.now += KEEP_MS
    for start in starts:
        rig.poll(start.worker_id, running=[running(start, 1)])
    rig.submit(job(steps=(StepSpec(4, Resources(1_000, 100), 800, is_gang=True),)))
    return rig, {"n_with_room": 2, "n_kept": 1}


def no_fresh_answer():
    rig = ready_rig()
    rig.shard.jobs[JOB].record(task(0)).n_unconfirmed_crashes = 1
    rig.now += 500
    return rig, {"n_with_room": 1, "answer_age_ms": 500}


def no_fresh_answer_of_a_better_worker():
    """The worker that has just answered is one that the task avoids."""
    rig = ready_rig(workers=("w1", "w2"))
    rig.shard.jobs[JOB].record(task(0)).n_unconfirmed_crashes = 1
    rig.shard.jobs[JOB].avoided_workers[task(0)] = {"w1"}
    rig.now += 500
    rig.poll("w1")
    return rig, {"n_with_room": 2, "answer_age_ms": 0}


def worker_share():
    rig = ready_rig(StepSpec(2, SIZE, 800, max_per_worker=1))
    return rig, {"max_per_worker": 1, "n_with_room": 1}


def no_ticket():
    rig = ready_rig()
    config = rig.shard.config
    queues = (replace(config.queues[0], needs_ticket=True),)
    rig.shard.config = replace(config, queues=queues)
    step = StepName(JOB, 0, 0)
    worker = rig.shard.workers["w1"]
    rig.shard.tickets.handle_response(step, [worker], {}, FAR_MS)
    return rig, {"n_with_room": 1, "n_denied": 1}


def first_save():
    rig = Rig().ready()
    rig.shard.submit(job())
    return rig, {"is_requested": True, "n_pending": 1}


def next_pass():
    """A job that arrives after the pass."""
    rig = ready_rig(job_id="a" * 16)
    rig.schedule()
    rig.submit(job())
    return rig, {"n_with_room": 1}


CASES = [
    (not_due, (0, 0), 50_000),
    (earlier_steps, (0, 1), 100),
    (lease_ending, (0, 0), 100),
    (not_configured, (0, 0), 100),
    (old_worker_list, (0, 0), 100),
    (previous_owner, (0, 0), 6_280),
    (reservations_unknown, (0, 0), 801),
    (crash_unsaved, (0, 0), 100),
    (gang_incomplete, (0, 0), 100),
    (probing, (0, 0), 100),
    (no_worker_accepts, (0, 0), 700),
    (team_limit, (0, 0), 100),
    (no_room, (0, 0), 100),
    (no_room_for_a_gang, (0, 0), 100),
    (no_room_for_a_gang_that_is_spread, (0, 0), 100),
    (missing_label, (0, 0), 100),
    (workers_on_trial, (0, 0), 100),
    (other_machine_on_trial, (0, 0), 100),
    (kept_for_gang, (0, 0), 100),
    (kept_for_gang_for_a_gang, (0, 0), 100),
    (no_fresh_answer, (0, 0), 100),
    (no_fresh_answer_of_a_better_worker, (0, 0), 100),
    (worker_share, (0, 0), 100),
    (no_ticket, (0, 0), 100),
    (first_save, (0, 0), 100),
]


def reason_of(build):
    """Return the reason that a case shows, the first part of its name."""
    name = build.__name__.removesuffix("_that_is_spread")
    return name.removesuffix("_for_a_gang").removesuffix("_of_a_better_worker")


@pytest.mark.parametrize(
    ("build", "key", "next_look_in_ms"), CASES, ids=[case[0].__name__ for case in CASES]
)
def test_each_wait_has_its_reason_and_a_time_of_the_next_look(
    build, key, next_look_in_ms
):
    """Guards against waits that a log names wrongly, or without what caused them."""
    rig, expected = build()
    until_ms = rig.now + 1_000 if build is lease_ending else FAR_MS
    wait = waits(rig, key, lease_until_ms=until_ms)
    assert wait.reason == reason_of(build)
    assert {name: wait.inputs[name] for name in expected} == expected
    assert wait.next_look_ms - rig.now == next_look_in_ms


def test_a_job_that_the_next_pass_starts_has_that_reason():
    """Guards against a wait that is explained although nothing prevents a start."""
    rig, expected = next_pass()
    case = WaitCase(rig.shard, rig.shard.jobs[JOB], (0, 0), rig.now, FAR_MS)
    assert explain_wait(case).reason == "next_pass"
    assert explain_wait(case).inputs == expected


def test_each_reason_has_a_case():
    """Guards against a reason that no test shows."""
    cases = {reason_of(case[0]) for case in CASES}
    assert {reason.name for reason in REASONS} == cases | {"next_pass"}


def log_lines(rig, log, span_ms):
    """Look every 100 ms; returns the lines with their times."""
    found = []
    for _ in range(span_ms // 100):
        found += [(rig.now, line.fields) for line in log.run(rig.now, FAR_MS)]
        rig.now += 100
    return found


def test_a_wait_is_logged_after_two_seconds_and_every_five():
    """Guards against waits without a line, and against a line for each look."""
    rig, _ = no_room()
    began_ms = rig.now
    found = log_lines(rig, WaitLog(rig.shard), 12_500)
    assert [at_ms - began_ms for at_ms, _ in found] == [2_000, 7_000, 12_000]
    _, fields = found[0]
    assert fields["job"] == JOB
    assert fields["why"] == "no_worker_accepts"  # Nobody polls: the worker is silent.
    assert fields["age_ms"] == FIRST_LINE_MS


def test_many_waits_log_a_few_lines_a_second_with_the_longest_first():
    """Guards against a flood of lines under overload."""
    rig, _ = no_room()
    rig.now += 500
    for number in range(200):
        rig.submit(job(f"{number:016x}", (StepSpec(1, Resources(9_000), 800),)))
    log = WaitLog(rig.shard)
    found = log_lines(rig, log, 4_000)
    assert len(found) <= 4_000 // 500 * MAX_LINES_PER_LOOK
    assert found[0][1]["job"] == JOB
    assert found[0][1]["n_waiting"] == 201


def test_a_job_that_is_not_due_or_has_a_run_logs_no_line():
    """Guards against lines for work that does not wait."""
    rig, _ = not_due()
    rig.submit(job("a" * 16, (StepSpec(2, Resources(5_000), 800),)))
    rig.schedule()
    assert log_lines(rig, WaitLog(rig.shard), 4_000) == []


def test_one_task_of_a_long_running_job_is_logged_although_others_run():
    """Guards against a service that misses a task for long without a line."""
    size = Resources(5_000, 100)
    rig = ready_rig(StepSpec(2, size, is_long_running=True))
    rig.shard.reported_ms = rig.now
    assert len(rig.schedule()) == 1
    ((_, fields),) = log_lines(rig, WaitLog(rig.shard), 3_000)
    assert (fields["numbers"], fields["lasts"]) == ([1], True)


def test_the_age_of_a_wait_begins_anew_after_a_run():
    """Guards against an age that counts the time at work."""
    rig, _ = no_room()
    log = WaitLog(rig.shard)
    log_lines(rig, log, 1_500)
    rig.poll()
    state = rig.shard.jobs[JOB]
    state.runs[task(0)] = []
    log.run(rig.now + 500, FAR_MS)
    state.runs.clear()
    rig.now += 1_000
    assert log_lines(rig, log, 1_900) == []


def test_timeline_of_a_job_shows_its_waits():
    """Guards against `explain` leaving out why a job waited."""
    line = (
        '{"timestamp": "2026-01-01T00:00:01Z", "event": "job_waits", "shard": "s",'
        f' "job": "{JOB}", "why": "no_room"}}'
    )
    ((event, is_possible_cause),) = [
        (each.event, each.is_possible_cause) for each in explain([line], JOB)
    ]
    assert (event, is_possible_cause) == ("job_waits", False)
