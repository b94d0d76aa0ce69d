"""Loops that poll the workers of a shard."""

from types import SimpleNamespace

import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.poll_loops import PollLoops
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.platform.workers import PollResponse
from tests.jobs_harness import FAR_MS, SERVICE, Rig, ended, entry, job, task

ONE_TASK = (StepSpec(1, Resources(1000, 100), 800),)


def test_poll_waits_for_the_answer_of_a_start_so_that_ends_are_acknowledged():
    """Guards against ends that are seen late under load: a poll that acknowledges none
    is answered at once, and the next one follows only after a pause.
    """
    acknowledged = []

    class Client:
        async def poll(self, address, worker_id, token, last_seen, deadline, wait_ms):
            acknowledged.append(last_seen)
            await trio.sleep(max(wait_ms, 10) / 1_000)
            return PollResponse(50_000 + clock.now_ms, 1, (), ())

        async def close_connections(self, address):
            pass

    clock = TrioClock()
    rig = Rig()

    async def main():
        rig.now = clock.now_ms
        rig.list_workers(entry("w1"))
        rig.ready()
        done = SimpleNamespace(name=task(0), run_id=1)
        rig.poll(ends=(ended(1, done),))
        worker = rig.shard.workers["w1"]
        worker.acknowledged = worker.last_applied
        rig.submit(job(steps=ONE_TASK))
        (start,) = rig.schedule()
        loops = PollLoops(
            rig.shard,
            Ownership(SERVICE, 1, 5, 1, 6_500),
            Client(),
            SimpleNamespace(entries=lambda: (entry("w1"),)),
            clock,
            lambda: FAR_MS * 1_000,
            lambda effects: None,
            lambda: None,
            lambda: False,
            1_000,
        )
        async with trio.open_nursery() as nursery:
            loops.start(nursery)
            await trio.sleep(0.01)
            rig.now = clock.now_ms
            rig.answer(start)
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))
    assert set(acknowledged) == {1}
