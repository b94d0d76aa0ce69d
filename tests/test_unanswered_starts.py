"""Workers that answer polls, but no start."""

import pytest

from apricotgap.jobs import limits
from apricotgap.jobs.events import StartAnswered, StartResult
from apricotgap.jobs.model import Resources, StepSpec
from tests.jobs_harness import Rig, job, running
from tests.shard_world import CALL_TIMEOUT_MS, World

pytestmark = pytest.mark.usefixtures("overload_state")

STEP = (StepSpec(8, Resources(1000, 100), 800),)
N_SEEDS = 5
N_JOBS = 60
SETTLE_MS = 12_000


class MuteWorld(World):
    """A world in which some workers carry out no start and answer none."""

    MUTE = ("w0", "w3")

    def __init__(self, seed):
        super().__init__(seed, n_workers=6)
        self.n_starts = self.n_mute_starts = 0

    def _send_start(self, order):
        self.n_starts += 1
        if order.worker_id not in self.MUTE:
            super()._send_start(order)
            return
        self.n_mute_starts += 1
        self.at(CALL_TIMEOUT_MS, self._time_out, order)

    def _time_out(self, order):
        self._apply(
            StartAnswered(
                self.now,
                order.worker_id,
                order.born_ms,
                order.name,
                order.run_id,
                StartResult("unknown"),
            )
        )


@pytest.mark.parametrize("seed", range(N_SEEDS))
def test_jobs_end_beside_workers_that_answer_no_start(seed):
    """Guards against tasks that start on the same workers again and again, in vain,
    while others have room.
    """
    world = MuteWorld(seed)
    world.start()
    world.play(2_000)
    for _ in range(N_JOBS):
        world.submit(world.rng.randint(1, 4))
        world.play(world.rng.randint(100, 400))
    world.play(SETTLE_MS)
    world.check_jobs()
    assert world.broken[:3] == []
    assert world.n_mute_starts < world.n_starts / 8


def play_in_vain(rig, span_ms):
    """Let the one worker answer polls but no start; returns the starts by pass."""
    passes = []
    end_ms = rig.now + span_ms
    open_starts = []
    while rig.now < end_ms:
        starts = rig.schedule()
        if starts:
            passes.append(len(starts))
        open_starts += [(rig.now + CALL_TIMEOUT_MS, start) for start in starts]
        rig.now += 100
        for due_ms, start in list(open_starts):
            if due_ms <= rig.now:
                open_starts.remove((due_ms, start))
                rig.answer(start, "unknown")
        rig.poll()
        rig.save()
    return passes


def test_worker_that_answers_no_start_gets_one_at_a_time():
    """Guards against all the tasks of a pool that wait for one such worker."""
    rig = Rig()
    rig.ready()
    rig.submit(job(steps=STEP))
    first, *others = play_in_vain(rig, 20_000)
    assert first == 8
    assert set(others) == {1}
    assert 2 <= len(others) <= 20_000 / limits.MAX_UNANSWERED_MS + 3


def test_worker_that_answers_again_gets_all_that_fits():
    """Guards against a worker that stays without work after it was unreachable."""
    rig = Rig()
    rig.ready()
    rig.submit(job(steps=STEP))
    play_in_vain(rig, 5_000)
    for _ in range(100):
        rig.now += 100
        rig.poll(
            running=[running(run) for run in rig.shard.workers["w1"].runs.values()]
        )
        for start in rig.schedule():
            rig.answer(start)
    assert len(rig.shard.workers["w1"].runs) == 8


def test_task_without_an_answer_starts_on_another_worker_next():
    """Guards against a task that waits for one worker while others have room."""
    rig = Rig(workers=("w1", "w2"))
    rig.ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (first,) = rig.schedule()
    rig.now += CALL_TIMEOUT_MS
    rig.answer(first, "unknown")
    rig.now += 3_000
    rig.poll("w1")
    rig.poll("w2")
    (second,) = rig.schedule()
    assert second.worker_id != first.worker_id


def test_task_starts_again_although_no_stop_is_answered():
    """Guards against a task that waits for good: each repeated stop hides the run from
    lists for a while, and no list was asked for after that time.
    """
    rig = Rig()
    rig.ready()
    rig.submit(job(steps=(StepSpec(1, Resources(1000, 100), 800),)))
    (start,) = rig.schedule()
    rig.now += CALL_TIMEOUT_MS
    rig.answer(start, "unknown")
    polled_ms = rig.now
    n_starts = 0
    for _ in range(100):
        rig.now += 100
        rig.shard.tick(rig.now)
        if rig.now - polled_ms >= limits.POLL_WAIT_MS:
            rig.poll(sent_ms=polled_ms)
            polled_ms = rig.now
        n_starts += len(rig.schedule())
    assert n_starts >= 1
