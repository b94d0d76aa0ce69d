"""Tests of workers whose capacity changes while they run."""

import pytest

from apricotgap.jobs.effects import StartRun
from apricotgap.jobs.model import Resources, StepSpec
from tests.jobs_harness import (
    MAX_LIST_AGE_MS,
    Rig,
    configuration,
    entry,
    job,
    running,
    task,
)

pytestmark = pytest.mark.usefixtures("overload_state")

STEP = (StepSpec(8, Resources(1000, 100), 800),)


def rig_with(checks_admission, workers=("w1",), epoch=1):
    """Return a shard whose workers do or do not check admission."""
    rig = Rig(epoch=epoch, workers=workers)
    rig.shard.config = configuration(guards=checks_admission)
    return rig


@pytest.mark.parametrize("checks_admission", [True, False])
def test_starts_stay_within_a_capacity_that_has_shrunk(checks_admission):
    """Guards against starts beyond what a worker says that it can take now."""
    rig = rig_with(checks_admission).ready()
    rig.list_workers(entry(free=Resources(3000, 8000)))
    rig.submit(job(steps=STEP))
    assert len(rig.schedule()) == 3
    rig.list_workers(entry(free=Resources(5000, 8000)))
    assert len(rig.schedule()) == 2
    rig.list_workers(entry(free=Resources(2000, 8000)))
    assert rig.schedule() == []


@pytest.mark.parametrize("checks_admission", [True, False])
def test_capacity_of_one_worker_says_nothing_of_another(checks_admission):
    """Guards against starts on a shrunk worker by the capacity of its neighbours."""
    rig = rig_with(checks_admission, workers=("w1", "w2")).ready()
    rig.list_workers(entry("w1", free=Resources(1000, 8000)), entry("w2"))
    rig.submit(job(steps=STEP))
    placed = [start.worker_id for start in rig.schedule()]
    assert placed.count("w1") <= 1
    assert placed.count("w2") >= 7


def inherited_rig(checks_admission):
    """Return a shard that has just acquired the worker of a previous owner."""
    rig = rig_with(checks_admission, epoch=2)
    rig.shard.add_inherited_worker(entry(), rig.now)
    rig.list_workers(entry())
    rig.record_all()
    rig.submit(job(steps=STEP))
    rig.poll()
    return rig


def test_room_of_runs_that_a_previous_owner_stops_is_not_free():
    """Guards against starts beside runs that are in no list while they are stopped."""
    rig = inherited_rig(checks_admission=False)
    assert rig.schedule() == []
    rig.now += rig.shard.stop_listing_delay_ms
    rig.poll()
    assert len(rig.schedule()) == 8


def test_worker_that_checks_admission_gets_starts_at_once_after_a_takeover():
    """Guards against a needless wait: such a worker rejects what does not fit."""
    assert len(inherited_rig(checks_admission=True).schedule()) == 8


def test_room_of_a_run_of_an_unknown_job_is_not_free():
    """Guards against starts beside a run that is stopped and whose size is unknown."""
    rig = rig_with(checks_admission=False).ready()
    unknown = StartRun("w1", "", 1, task(0, "u" * 16), 1, "", 0, "")
    rig.poll(running=[running(unknown)])
    rig.submit(job(steps=STEP))
    assert rig.schedule() == []
    rig.now += rig.shard.stop_listing_delay_ms
    rig.poll()
    assert len(rig.schedule()) == 8


@pytest.mark.parametrize("checks_admission", [True, False])
def test_no_start_relies_on_an_old_list_of_workers(checks_admission):
    """Guards against starts beyond a capacity that has shrunk while the list lagged.

    A worker that checks admission rejects what does not fit.
    """
    rig = rig_with(checks_admission).ready()
    rig.submit(job(steps=STEP))
    rig.now += MAX_LIST_AGE_MS + 1
    rig.poll()
    assert bool(rig.schedule()) is checks_admission
    rig.list_workers(entry())
    assert bool(rig.schedule()) is not checks_admission
