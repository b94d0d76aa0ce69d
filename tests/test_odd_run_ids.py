"""Run numbers that no owner has assigned, as a worker may report them."""

import json

import pytest

from apricotgap.decoding import MAX_INTEGER
from apricotgap.jobs.effects import StopRun
from apricotgap.jobs.events import RunReport
from apricotgap.jobs.model import TaskName
from apricotgap.platform.workers import decode_poll
from tests.jobs_harness import Rig, job

ID = "j" * 16


@pytest.mark.parametrize("run_id", [MAX_INTEGER, MAX_INTEGER - 1, -1])
def test_run_number_out_of_range_is_not_taken_over(run_id):
    """Guards against a number after which those of other workers are unreadable.

    The next run of the task, on a sound worker, would get one that no answer may hold:
    that worker would count as silent, lose its tasks, and pass the task on.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(ID))
    name = TaskName(ID, 0, 0, 0)
    effects = rig.poll("w1", running=[RunReport(name, run_id, "", 50, 0.0)])
    assert [each.run_id for each in effects if isinstance(each, StopRun)] == [run_id]
    starts = rig.schedule()
    assert len(starts) == 2
    for start in starts:
        row = [str(start.name), start.run_id, "", 0]
        body = json.dumps({"clockMs": 1, "running": [row]}).encode()
        assert decode_poll(body).running[0].run_id == start.run_id


def test_run_of_an_earlier_owner_is_taken_over():
    """Guards against a bound that interrupts the runs of earlier owners."""
    rig = Rig(epoch=10**6).ready()
    rig.submit(job(ID))
    name = TaskName(ID, 0, 0, 0)
    run_id = 10**9 - 1
    effects = rig.poll(running=[RunReport(name, run_id, "", 50, 0.0)])
    assert not [each for each in effects if isinstance(each, StopRun)]
    assert rig.shard.jobs[ID].last_run[name] == run_id
