"""Loops that poll the workers of a shard."""

from types import SimpleNamespace

import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.poll_loops import PollLoops
from apricotgap.jobs import limits
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.platform.workers import PollResponse
from tests.jobs_harness import FAR_MS, SERVICE, Rig, ended, entry, job, task

ONE_TASK = (StepSpec(1, Resources(1000, 100), 800),)
END = ended(1, SimpleNamespace(name=task(0), run_id=1))


class PolledRig(Rig):
    """A worker with an end that is stored and a start without an answer, and its polls.

    `acknowledged` holds the acknowledgement of each poll.
    """

    def __init__(self):
        super().__init__()
        self.clock = TrioClock()
        self.now = self.clock.now_ms
        self.acknowledged = []
        self.ready()
        self.poll(ends=(END,))
        worker = self.shard.workers["w1"]
        worker.acknowledged = worker.last_applied
        self.submit(job(steps=ONE_TASK))
        assert len(self.schedule()) == 1

    def loops(self):
        """Return loops that poll the worker `w1` of this rig."""
        return PollLoops(
            self.shard,
            Ownership(SERVICE, 1, 5, 1, 6_500),
            _Client(self.clock, self.acknowledged),
            SimpleNamespace(entries=lambda: (entry("w1"),)),
            self.clock,
            lambda: FAR_MS * 1_000,
            lambda effects: None,
            lambda: None,
            lambda: False,
            1_000,
        )


class _Client:
    def __init__(self, clock, acknowledged):
        self.clock = clock
        self.acknowledged = acknowledged

    async def poll(self, address, worker_id, token, last_seen, deadline, wait_ms):
        self.acknowledged.append(last_seen)
        # A worker with an end to list answers at once.
        await trio.sleep(0.003 if last_seen < 1 else max(wait_ms, 10) / 1_000)
        ends = (END,) if last_seen < 1 else ()
        return PollResponse(50_000 + self.clock.now_ms, 1, (), ends)

    async def close_connections(self, address):
        pass


def acknowledgements(for_s):
    """Return the acknowledgement of each poll while a start has no answer."""

    async def main():
        rig = PolledRig()
        async with trio.open_nursery() as nursery:
            rig.loops().start(nursery)
            await trio.sleep(for_s)
            nursery.cancel_scope.cancel()
        return rig.acknowledged

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def test_poll_without_the_answer_of_a_start_acknowledges_nothing():
    """Guards against a worker that drops ends of its next incarnation unseen."""
    assert set(acknowledgements(0.1)) == {0}


def test_worker_whose_ends_are_withheld_is_not_polled_without_a_pause():
    """Guards against an owner that spends its processor on polls: while a start has no
    answer no end is acknowledged, and the worker answers each poll at once.
    """
    assert len(acknowledgements(1)) <= 20


def test_worker_that_does_not_answer_a_poll_has_missed_an_answer():
    """Guards against an owner that does not record when it polls a worker: a missed
    answer shows only once the call has timed out.
    """

    async def main():
        # At time 0 the clock of the worker would count as unknown.
        await trio.sleep(1)
        rig = PolledRig()
        worker = rig.shard.workers["w1"]
        loops = rig.loops()
        loops._client = _SilentClient()
        async with trio.open_nursery() as nursery:
            loops.start(nursery)
            await trio.sleep(limits.POLL_WAIT_MS / 1_000)
            early = worker.has_missed_answer(rig.clock.now_ms)
            await trio.sleep(limits.MISSED_ANSWER_MS / 1_000)
            late = worker.has_missed_answer(rig.clock.now_ms)
            nursery.cancel_scope.cancel()
        return early, late

    clock = trio.testing.MockClock(autojump_threshold=0.001)
    assert trio.run(main, clock=clock) == (False, True)


class _SilentClient:
    async def poll(self, *_):
        await trio.sleep_forever()

    async def close_connections(self, address):
        pass
