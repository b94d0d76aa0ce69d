"""Answers of starts that arrive after the run has been stopped."""

from apricotgap.jobs.events import StopAnswered
from apricotgap.jobs.model import Resources, StepSpec
from tests.jobs_harness import Rig, job, running


def test_late_answer_of_a_start_does_not_end_a_run_that_is_being_stopped():
    """Guards against a second run beside one that its worker is still stopping: the
    answer of the start came after the stop, and let the next list prove the run gone.
    """
    rig = Rig(workers=("w1", "w2")).ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 400),)))
    (start,) = rig.schedule()
    worker = rig.shard.workers[start.worker_id]
    rig.now += 50
    rig.poll(start.worker_id, running=[running(start)])
    run = worker.runs[start.name, start.run_id]
    list(rig.shard.stop(run, rig.now))
    rig.now += 10
    rig.shard.step(
        StopAnswered(rig.now, start.worker_id, 1, start.name, start.run_id, True)
    )
    rig.answer(start)
    sent_ms = rig.now + 50
    rig.now += 100
    # While a worker stops a run, the run is in no list.
    rig.poll(start.worker_id, sent_ms=sent_ms)
    assert rig.schedule() == []
