"""Tests of the bound on restarts of tasks that seem to be slow."""

import pytest

from apricotgap.jobs.effects import StopRun
from apricotgap.jobs.model import Resources, RunEnd, StepSpec
from apricotgap.jobs.stragglers import StragglerDetector
from tests.jobs_harness import Rig, ended, job, running

ESTIMATED_MS = 400


def runs_until_done(duration_ms, reports_progress):
    """Play a task that takes `duration_ms` on each worker; returns its runs.

    It fails after ten minutes, which no bounded number of restarts takes.
    """
    rig = Rig(workers=("w1", "w2", "w3")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), ESTIMATED_MS),)))
    detector = StragglerDetector(rig.shard)
    until_ms = rig.now + 600_000
    n_runs = n_ends = 0
    while rig.now < until_ms:
        starts = rig.schedule()
        if starts:
            (start,) = starts
            rig.answer(start)
            began_ms = rig.now
            n_runs += 1
        rig.now += 100
        age_ms = rig.now - began_ms
        if age_ms >= duration_ms:
            return n_runs
        percent = min(99, 100 * age_ms / duration_ms) if reports_progress else 0
        for worker_id in rig.shard.workers:
            is_there = worker_id == start.worker_id
            rig.poll(worker_id, running=[running(start, percent)] * is_there)
        if any(isinstance(effect, StopRun) for effect in detector.run(rig.now)):
            n_ends += 1
            end = ended(n_ends, start, RunEnd.STOPPED)
            rig.poll(start.worker_id, ends=[end])
    raise AssertionError(f"not done after {n_runs} runs")


@pytest.mark.parametrize("reports_progress", [True, False])
def test_long_task_with_a_wrong_estimate_is_done_after_a_few_restarts(reports_progress):
    """Guards against a task that is stopped at the same age again and again, so that
    it never ends, since it takes longer than estimated on all workers.
    """
    n_runs = runs_until_done(20_000, reports_progress)
    assert n_runs <= 6


def test_restart_is_not_given_up():
    """Guards against a slow worker that keeps a task."""
    assert runs_until_done(4_000, reports_progress=False) > 1
