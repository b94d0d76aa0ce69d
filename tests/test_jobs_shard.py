"""Tests of the shard reducer: runs, ends, saves and takeovers."""

from dataclasses import replace

from apricotgap.instance.shard_loader import load_jobs
from apricotgap.jobs import limits
from apricotgap.jobs.documents import (
    Progress,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)
from apricotgap.jobs.effects import StartRun, StopRun
from apricotgap.jobs.events import PollFailed, StopAnswered
from apricotgap.jobs.migration import Migrator
from apricotgap.jobs.model import JobPhase, Resources, RunEnd, StepSpec
from apricotgap.jobs.runs import RunPhase
from apricotgap.platform.store import Item, Snapshot
from tests.jobs_harness import (
    FAR_MS,
    SERVICE,
    Rig,
    ended,
    entry,
    job,
    running,
    task,
)


def stops(effects):
    return [effect for effect in effects if isinstance(effect, StopRun)]


def test_job_succeeds_once_all_its_tasks_are_done():
    """Guards against ends that are not applied to the phase of their job."""
    rig = Rig().ready()
    rig.submit(job())
    starts = rig.schedule()
    assert [start.name.number for start in starts] == [0, 1]
    rig.poll(ends=[ended(1, starts[0]), ended(2, starts[1])])
    assert rig.shard.jobs["j" * 16].progress.phase is JobPhase.SUCCEEDED


def test_success_is_reported_only_once_it_is_stored():
    """Guards against a job reported as succeeded that the next owner runs again."""
    rig = Rig().ready()
    state = rig.submit(job())
    starts = rig.schedule()
    rig.poll(ends=[ended(1, starts[0]), ended(2, starts[1])])
    assert state.reported_phase is JobPhase.RUNNING
    rig.save()
    assert state.reported_phase is JobPhase.SUCCEEDED


def test_ends_are_not_acknowledged_while_their_save_is_in_progress():
    """Guards against a worker forgetting an end that is not stored yet."""
    rig = Rig().ready()
    rig.submit(job())
    starts = rig.schedule()
    rig.poll(ends=[ended(1, starts[0])])
    batch = rig.shard.begin_save()
    assert not rig.shard.is_stored
    assert rig.shard.workers["w1"].acknowledged == 0
    rig.shard.saved(batch, {"j" * 16: 5})
    assert rig.shard.workers["w1"].acknowledged == 1


def test_ends_are_not_acknowledged_when_their_save_failed():
    """Guards against an end that is lost because its failed save is not repeated."""
    rig = Rig().ready()
    rig.submit(job())
    starts = rig.schedule()
    rig.poll(ends=[ended(1, starts[0])])
    batch = rig.shard.begin_save()
    rig.shard.save_failed(["j" * 16])
    rig.shard.saved(batch, {})
    assert rig.shard.workers["w1"].acknowledged == 0
    assert rig.shard.has_unsaved


def test_step_waits_for_all_tasks_of_the_steps_before_it():
    """Guards against a step that starts while a task it depends on still runs."""
    rig = Rig().ready()
    steps = (
        StepSpec(2, Resources(1000, 100), 800),
        StepSpec(1, Resources(1000, 100), 800, after=(0,)),
    )
    rig.submit(job(steps=steps))
    first = rig.schedule()
    rig.poll(running=[running(first[1], 50)], ends=[ended(1, first[0])])
    assert rig.schedule() == []
    rig.poll(ends=[ended(1, first[0]), ended(2, first[1])])
    assert [start.name.step for start in rig.schedule()] == [1]


def test_unanswered_start_is_stopped_before_the_task_starts_again():
    """Guards against two runs of a task when a start takes effect late."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (start,) = rig.schedule()
    assert len(stops(rig.answer(start, "unknown"))) == 1
    rig.now += 100
    rig.poll(start.worker_id)
    assert rig.schedule() == []
    rig.now += limits.START_WINDOW_MS + limits.RETRY_BACKOFF_MS
    rig.poll(start.worker_id)
    other = "w2" if start.worker_id == "w1" else "w1"
    rig.poll(other)
    (again,) = rig.schedule()
    assert again.run_id > start.run_id


def test_list_requested_before_a_start_does_not_disprove_the_run():
    """Guards against a second run when an older response arrives after the start."""
    rig = Rig().ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    sent_ms = rig.now
    rig.now += 10
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(sent_ms=sent_ms)
    assert rig.schedule() == []


def test_list_requested_in_the_millisecond_of_an_answer_does_not_disprove_the_run():
    """Guards against a second run of a task where a poll is sent just before a start is
    answered: the worker may have made its lists before it carried the start out.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (start,) = rig.schedule()
    sent_ms = rig.now
    rig.answer(start)
    rig.now += 5
    rig.poll(start.worker_id, sent_ms=sent_ms)
    assert rig.schedule() == []
    rig.poll(start.worker_id, running=[running(start)])
    assert rig.schedule() == []
    # One that was requested later does.
    rig.now += 1
    rig.poll(start.worker_id)
    assert len(rig.schedule()) == 1


def test_run_that_a_late_stop_is_ending_is_not_started_again():
    """Guards against a second run while the first is being stopped: a stop that got no
    answer takes effect late, and until its end is listed the run is in no list.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    state = rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(start.worker_id, running=[running(start)])
    (run,) = state.runs[start.name]
    stop_ms = rig.shard.stop_listing_delay_ms
    list(rig.shard.stop(run, rig.now))
    rig.shard.step(
        StopAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, ok=False)
    )
    other = "w2" if start.worker_id == "w1" else "w1"
    # The worker carries the stop out only now; the run needs some time to end.
    rig.now += stop_ms + 1
    rig.poll(start.worker_id)
    for _ in range(4):
        rig.poll(other)
        assert rig.schedule() == []
        rig.now += stop_ms // 5
    rig.poll(other)
    rig.poll(start.worker_id, ends=[ended(1, start, RunEnd.STOPPED)])
    assert len(rig.schedule()) == 1


def test_run_that_never_was_is_absent_soon_after_its_stop():
    """Guards against a task that waits for the end of a run that doesn't exist."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (start,) = rig.schedule()
    rig.answer(start, "unknown")
    rig.shard.step(
        StopAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, ok=False)
    )
    rig.now += limits.START_WINDOW_MS + limits.RETRY_BACKOFF_MS + 1
    rig.poll(start.worker_id)
    rig.now += rig.shard.stop_listing_delay_ms + 1
    rig.poll(start.worker_id)
    rig.poll("w2" if start.worker_id == "w1" else "w1")
    assert len(rig.schedule()) == 1


def test_nothing_starts_close_to_the_end_of_the_owners_lease():
    """Guards against a start that takes effect after the owner has been replaced."""
    rig = Rig().ready()
    rig.submit(job())
    assert rig.schedule(lease_until_ms=rig.now + limits.LEASE_MARGIN_MS - 1) == []


def test_nothing_starts_on_a_worker_that_is_not_in_the_roster():
    """Guards against a run on a worker that the next owner does not know of."""
    rig = Rig()
    rig.poll()
    rig.submit(job())
    assert rig.schedule() == []
    rig.record_all()
    assert len(rig.schedule()) == 2


def test_inherited_job_waits_for_workers_that_a_previous_owner_used():
    """Guards against a second run while the first may go on, out of reach."""
    rig = Rig(epoch=2)
    rig.shard.add_inherited_worker(entry("w9"), rig.now)
    rig.record_all()
    rig.poll("w1")
    rig.shard.load(job(), Progress(), 1)
    rig.submit(job("k" * 16))
    names = {start.name.job_id for start in rig.schedule()}
    assert names == {"k" * 16}
    rig.now += int(6_000 * 1.03) + 300
    rig.shard.tick(rig.now)
    rig.poll("w1")
    assert "j" * 16 in {start.name.job_id for start in rig.schedule()}


def test_run_of_a_previous_owner_is_adopted():
    """Guards against a second run of a task that still runs after a takeover."""
    rig = Rig(epoch=2)
    rig.record_all()
    rig.shard.load(job(), Progress(), 1)
    from_before = StartRun("w1", "", 1, task(0), 1, "", 0, "")
    rig.poll(running=[running(from_before)])
    assert [start.name for start in rig.schedule()] == [task(1)]


def test_done_task_of_a_previous_owner_is_not_started_again():
    """Guards against repeated tasks after a takeover."""
    rig = Rig(epoch=2)
    rig.record_all()
    progress = Progress(JobPhase.RUNNING)
    first = Rig().ready()
    state = first.shard.submit(job())
    state.mark_done(task(0))
    progress = decode_progress("j" * 16, encode_progress(state.progress))
    rig.shard.load(job(), progress, 3)
    rig.poll()
    assert [start.name for start in rig.schedule()] == [task(1)]


def test_run_numbers_increase_from_owner_to_owner():
    """Guards against two owners that assign the same run number to a task."""
    starts = []
    for epoch in (1, 2):
        rig = Rig(epoch=epoch).ready()
        rig.submit(job())
        starts.append(rig.schedule()[0].run_id)
    assert starts[0] == 1
    assert starts[1] > limits.RUNS_PER_EPOCH


def test_run_of_an_unknown_job_is_stopped():
    """Guards against a run that continues although its job is gone."""
    rig = Rig().ready()
    start = StartRun("w1", "", 1, task(0), 1, "", 0, "")
    assert len(stops(rig.poll(running=[running(start)]))) == 1


def test_cancelled_job_stops_and_stays_cancelled():
    """Guards against late ends that turn a cancelled job into a succeeded one."""
    rig = Rig().ready()
    state = rig.submit(job())
    starts = rig.schedule()
    for start in starts:
        rig.answer(start)
    assert len(stops(rig.shard.cancel("j" * 16, 0, rig.now))) == 2
    rig.poll(ends=[ended(1, starts[0]), ended(2, starts[1])])
    assert state.progress.phase is JobPhase.CANCELLED
    assert rig.schedule() == []


def test_task_fails_its_job_after_the_last_attempt():
    """Guards against a task that is retried without limit."""
    rig = Rig().ready()
    state = rig.submit(
        job(steps=(StepSpec(1, Resources(1000, 100), 800),), max_attempts=2)
    )
    for number in (1, 2):
        (start,) = rig.schedule()
        rig.poll(ends=[ended(number, start, RunEnd.FAILED)])
    assert state.progress.phase is JobPhase.FAILED


def test_failure_listed_again_to_the_next_owner_counts_once():
    """Guards against a job that fails too early after a change of owner."""
    spec = job(steps=(StepSpec(1, Resources(1000, 100), 800),), max_attempts=2)
    first = Rig().ready()
    state = first.submit(spec)
    (start,) = first.schedule()
    first.poll(ends=[ended(1, start, RunEnd.FAILED)])
    stored = decode_progress("j" * 16, encode_progress(state.progress))
    second = Rig(epoch=2)
    second.record_all()
    again = second.shard.load(spec, stored, 1)
    second.poll(ends=[ended(1, start, RunEnd.FAILED)])
    assert again.progress.phase is not JobPhase.FAILED


def test_failure_counts_while_a_stop_is_pending():
    """Guards against one attempt too many when a stop and a failure cross."""
    rig = Rig().ready()
    state = rig.submit(
        job(steps=(StepSpec(1, Resources(1000, 100), 800),), max_attempts=1)
    )
    (start,) = rig.schedule()
    rig.answer(start)
    (run,) = state.runs[start.name]
    list(rig.shard.stop(run, rig.now))
    rig.poll(ends=[ended(1, start, RunEnd.FAILED)])
    assert state.progress.phase is JobPhase.FAILED


def test_restarted_worker_has_lost_its_runs():
    """Guards against a task that is never started again after a restart."""
    rig = Rig().ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    rig.answer(rig.schedule()[0])
    rig.list_workers(entry("w1", born_ms=2))
    rig.record_all()
    rig.poll(born_ms=2)
    assert rig.schedule() == []
    rig.save()
    assert len(rig.schedule()) == 1


def test_worker_of_a_machine_that_was_ordered_away_is_not_added_again():
    """Guards against a next owner that waits for the lease of a removed worker."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.shard.end_workers(["w1"], rig.now)
    rig.list_workers(entry("w1"), entry("w2"))
    assert set(rig.shard.workers) == {"w2"}


def test_failures_of_several_jobs_make_a_worker_suspect():
    """Guards against more tasks sent to a worker on which everything fails."""
    rig = Rig().ready()
    for letter in "ab":
        rig.submit(job(letter * 16, steps=(StepSpec(1, Resources(1000, 100), 800),)))
    starts = rig.schedule()
    rig.poll(ends=[ended(n + 1, s, RunEnd.FAILED) for n, s in enumerate(starts)])
    assert not rig.shard.workers["w1"].accepts(rig.now)


def test_job_document_round_trip():
    """Guards against fields lost or swapped in the stored form of a job."""
    steps = (
        StepSpec(3, Resources(1, 2, 3), 4, checkpoints=True, data_rack="r1"),
        StepSpec(
            1, Resources(1), 5, after=(0,), is_long_running=True, max_unavailable=1
        ),
    )
    spec = job(steps=steps, n_occurrences=2, start_ms=7, interval_ms=9)
    assert decode_job(encode_job(spec)) == spec


def test_stopping_run_counts_until_its_end_is_listed():
    """Guards against a second run: workers do not list a run while they stop it."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), is_long_running=True),)))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(start.worker_id, running=[running(start)])
    rig.shard.reserve([start.worker_id], rig.now)
    (stop,) = stops(Migrator(rig.shard).run(rig.now))
    rig.now += 100
    rig.shard.step(
        StopAnswered(rig.now, stop.worker_id, 1, stop.name, stop.run_id, True)
    )
    rig.now += 100
    other = "w2" if start.worker_id == "w1" else "w1"
    rig.poll(start.worker_id)
    rig.poll(other)
    assert rig.schedule() == []
    rig.poll(start.worker_id, ends=[ended(1, start, RunEnd.STOPPED)])
    assert len(rig.schedule()) == 1


def test_runs_found_by_the_first_poll_are_kept_until_their_lease_has_ended():
    """Guards against a second run right after a takeover, as the first poll offers
    no lease and one of the previous owner may be valid.
    """
    rig = Rig(epoch=2)
    rig.record_all()
    rig.shard.load(job(steps=(StepSpec(1, Resources(1000, 100), 800),)), None, 0)
    from_before = StartRun("w1", "", 1, task(0), 1, "", 0, "")
    rig.poll(running=[running(from_before)])
    rig.now += 100
    rig.shard.tick(rig.now)
    rig.poll(running=[running(from_before)])
    assert rig.schedule() == []


def test_unsent_polls_do_not_extend_the_lease_of_a_lost_worker():
    """Guards against a long-running task that waits forever for a dead worker."""
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), is_long_running=True),)))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(start.worker_id, running=[running(start)])
    other = "w2" if start.worker_id == "w1" else "w1"
    for _ in range(8):
        rig.now += 1_000
        worker = rig.shard.workers[start.worker_id]
        rig.shard.offer_lease(worker, rig.now, FAR_MS)
        rig.shard.step(
            PollFailed(rig.now, start.worker_id, 1, "no connection", was_sent=False)
        )
        rig.poll(other)
    rig.shard.tick(rig.now)
    assert [again.worker_id for again in rig.schedule()] == [other]


class TestBudget:
    """Long-running runs are migrated within the `max_unavailable` of their step."""

    steps = (
        StepSpec(
            2,
            Resources(1000, 100),
            is_long_running=True,
            max_per_worker=1,
            max_unavailable=1,
        ),
    )

    def rig(self):
        rig = Rig(workers=("w1", "w2", "w3")).ready()
        rig.submit(job(steps=self.steps))
        self.starts = rig.schedule()
        for start in self.starts:
            rig.answer(start)
            rig.poll(start.worker_id, running=[running(start)])
        return rig

    def test_one_run_leaves_a_reserved_worker(self):
        """Guards against a reserved worker that is never emptied."""
        rig = self.rig()
        rig.shard.reserve([self.starts[0].worker_id], rig.now)
        assert [stop.name for stop in stops(Migrator(rig.shard).run(rig.now))] == [
            self.starts[0].name
        ]

    def test_no_second_run_leaves_while_the_first_is_unavailable(self):
        """Guards against two stops in one pass or in consecutive passes."""
        rig = self.rig()
        rig.shard.reserve([start.worker_id for start in self.starts], rig.now)
        assert len(stops(Migrator(rig.shard).run(rig.now))) == 1
        assert stops(Migrator(rig.shard).run(rig.now)) == []

    def test_draining_worker_uses_the_budget_before_a_reserved_one(self):
        """Guards against one unavailable run too many: the draining worker's leaves
        in any case.
        """
        rig = self.rig()
        reserved, leaving = (start.worker_id for start in self.starts)
        listed = [entry("w1"), entry("w2"), entry("w3")]
        rig.list_workers(
            *(replace(each, is_draining=each.worker_id == leaving) for each in listed)
        )
        rig.shard.reserve([reserved], rig.now)
        found = stops(Migrator(rig.shard).run(rig.now))
        assert [stop.worker_id for stop in found] == [leaving]

    def test_no_run_leaves_while_the_worker_of_another_is_silent(self):
        """Guards against counting a run on a dead worker as available."""
        rig = self.rig()
        rig.now += limits.SILENT_WORKER_MS + 1
        rig.poll(self.starts[0].worker_id, running=[running(self.starts[0])])
        rig.shard.reserve([self.starts[0].worker_id], rig.now)
        assert stops(Migrator(rig.shard).run(rig.now)) == []

    def test_no_run_leaves_right_after_a_takeover(self):
        """Guards against a second stop besides one that the previous owner has sent."""
        rig = self.rig()
        rig.shard.loaded_ms = rig.now
        rig.shard.reserve([self.starts[0].worker_id], rig.now)
        assert stops(Migrator(rig.shard).run(rig.now)) == []

    def test_long_running_task_waits_for_reservations_after_a_takeover(self):
        """Guards against a start on a machine whose maintenance is already ordered."""
        rig = Rig(epoch=2)
        rig.shard.loaded_ms = rig.now
        rig.ready()
        rig.submit(job(steps=self.steps))
        assert rig.schedule() == []
        rig.shard.reported_ms = rig.now
        assert len(rig.schedule()) == 1


def test_nothing_of_a_job_starts_before_its_first_progress_is_stored():
    """Guards against a run of a job that the next owner considers never started."""
    rig = Rig().ready()
    rig.shard.submit(job())
    assert rig.schedule() == []
    assert rig.shard.has_urgent_unsaved
    rig.save()
    assert len(rig.schedule()) == 2


def test_job_that_no_owner_has_started_does_not_wait_for_lost_workers():
    """Guards against delay after a takeover for jobs that cannot be running yet."""
    rig = Rig(epoch=2)
    rig.shard.add_inherited_worker(entry("w9"), rig.now)
    rig.ready_only("w1")
    rig.shard.load(job("a" * 16), None, 0)
    rig.shard.load(job("b" * 16), Progress(), 7)
    rig.schedule()
    rig.save()
    assert {start.name.job_id for start in rig.schedule()} == {"a" * 16}


def test_unreadable_progress_counts_as_started():
    """Guards against a second run of a job whose progress cannot be decoded."""
    rig = Rig(epoch=2)
    rig.shard.add_inherited_worker(entry("w9"), rig.now)
    rig.ready_only("w1")
    data = encode_job(job())
    jobs = Snapshot((Item(f"jobs/{SERVICE}/{'j' * 16}", data, 5),), 9)
    progress = Snapshot((Item(f"progress/{SERVICE}/{'j' * 16}", b"\xff", 6),), 9)
    load_jobs(rig.shard, jobs, progress)
    assert rig.schedule() == []


def test_number_of_pending_first_saves_is_limited():
    """Guards against an overload that marks all waiting jobs as started."""
    rig = Rig().ready()
    for n in range(40):
        rig.shard.submit(job(f"{n:016x}"))
    rig.schedule()
    assert len(rig.shard.begin_save().documents) == limits.MAX_PENDING_FIRST_SAVES


def test_unverified_worker_does_not_count_as_empty():
    """Guards against moving a machine whose runs are not known yet."""
    rig = Rig(epoch=2, workers=())
    rig.shard.add_inherited_worker(entry("w1"), rig.now)
    rig.list_workers(entry("w1"))
    worker = rig.shard.workers["w1"]
    assert worker.n_possible_runs == 1
    rig.poll()
    # A run that the previous owner has just stopped is in no list.
    assert worker.n_possible_runs == 1
    rig.now += rig.shard.stop_listing_delay_ms
    rig.poll()
    assert worker.n_possible_runs == 0


def test_unanswered_start_is_confirmed_by_a_poll():
    """Guards against a run that is lost because nobody heard that it was started."""
    rig = Rig().ready()
    rig.submit(job())
    first, second = rig.schedule()
    rig.now += 400
    rig.poll(running=[running(first)])
    runs = rig.shard.workers["w1"].runs
    assert runs[first.name, first.run_id].phase is RunPhase.RUNNING
    # The list may be older than the second start, which is still on its way.
    assert runs[second.name, second.run_id].phase is RunPhase.STARTING
    rig.now += limits.START_WINDOW_MS + limits.RETRY_BACKOFF_MS
    rig.poll(running=[running(first)])
    assert (second.name, second.run_id) not in runs


def test_loss_of_a_worker_names_the_runs_that_it_had():
    """Guards against a log from which the task that crashes workers cannot be told."""
    rig = Rig().ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (at_work,) = rig.schedule()
    rig.answer(at_work)
    rig.now += 300
    rig.poll(running=[running(at_work)])
    rig.now += 50
    rig.submit(job("k" * 16, steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (fresh,) = rig.schedule()
    rig.now += 10
    (line,) = (
        effect
        for effect in rig.list_workers(entry("w1", born_ms=2))
        if effect.event == "worker_lost"
    )
    assert line.fields["n_starting"] == 1
    assert line.fields["tasks"] == [str(fresh.name), str(at_work.name)]
    assert line.fields["sent_before_ms"] == [10, 360]


def test_worker_that_returns_under_its_id_after_maintenance_is_used():
    """Guards against a worker that is left idle since an earlier incarnation ended."""
    rig = Rig().ready()
    rig.shard.end_workers(["w1"], rig.now)
    rig.list_workers(entry("w1"))
    assert not rig.shard.workers
    rig.list_workers(entry("w1", born_ms=2))
    rig.record_all()
    rig.poll(born_ms=2)
    rig.submit(job())
    assert len(rig.schedule()) == 2


def test_ended_incarnation_is_not_added_again_from_an_old_list():
    """Guards against calls to a worker that has left, once for each old list."""
    rig = Rig().ready()
    rig.shard.step(
        PollFailed(rig.now, "w1", 1, "another worker", is_other_incarnation=True)
    )
    assert rig.list_workers(entry("w1")) == []
    assert not rig.shard.workers
