"""Rows of a shard in the documents that split the teams' limits, beside lost writes."""

import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.keys import limit_key, owner_key
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.team_limit_updater import TeamLimitUpdater
from apricotgap.jobs.documents import Progress, decode_split, encode_split
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.platform.store import Stored, Unavailable, Unknown
from tests.conditional_store import ValueStore
from tests.jobs_harness import FAR_MS, SERVICE, Rig, entry, job
from tests.test_team_limit_updater import LIMIT, limited

TASK = (StepSpec(1, Resources(2000, 100), 9_000),)


class LimitRig(Rig):
    """A shard whose allowances of a limit an updater stores."""

    def __init__(self, store, epoch=1, workers=()):
        super().__init__(epoch, workers)
        self.clock = TrioClock()
        self.now = self.clock.now_ms
        self.shard.team_limits.set_configuration(limited())
        self.store = store
        store.put(owner_key(SERVICE), b"me")
        self.updater = TeamLimitUpdater(
            self.shard,
            Ownership(SERVICE, epoch, store.revision, 1, 6_500),
            store,
            self.clock,
            lambda: FAR_MS * 1_000,
            lambda service: True,
            lambda: None,
        )

    async def play(self, span_ms, worker_id="w1"):
        """Poll a worker every 100 ms."""
        for _ in range(span_ms // 100):
            await trio.sleep(0.1)
            self.now = self.clock.now_ms
            self.poll(worker_id)
            self.shard.tick(self.now)


def run(play, make_rig):
    """Run a function beside the updater of a rig."""

    async def main():
        rig = make_rig()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.updater.run)
            await play(rig)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def ready_rig(store):
    """Return a rig with a worker that has answered."""
    rig = LimitRig(store)
    rig.list_workers(entry("w1"))
    return rig.ready()


def test_row_of_a_limit_is_kept_while_runs_of_the_earlier_owner_may_go_on():
    """Guards against a team above its limit: the new owner lowers its row, since its
    workers that have answered have no room, while one out of reach still runs tasks.
    """
    key = limit_key("bakers")

    def make_rig():
        rig = LimitRig(ValueStore(), epoch=2)
        rig.store.put(key, encode_split({SERVICE: LIMIT}))
        rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
        # Out of reach, with four of the team's tasks, all that its limit allows.
        rig.shard.add_inherited_worker(entry("w1"), rig.now)
        rig.list_workers(entry("w1"), entry("w2", free=Resources(500, 8000)))
        rig.record_all()
        steps = (StepSpec(4, Resources(1000, 100), 9_000),)
        rig.shard.load(job(steps=steps), Progress(), 1)
        return rig

    async def play(rig):
        for _ in range(30):
            await rig.play(100, "w2")
            assert rig.shard.workers["w1"].is_unverified
            row = decode_split(rig.store.items[key].value)[SERVICE]
            assert row.cpu >= LIMIT.cpu

    run(play, make_rig)


def test_raise_of_a_limit_whose_answer_is_lost_takes_effect():
    """Guards against a task that waits for good within its team's limit: the raise for
    it was stored and its answer lost, so that the row needs no change any more.
    """

    class Store(ValueStore):
        """Carries out one write and loses its answer."""

        loses_answer = False

        async def write(self, writes, timeout_ms=0):
            outcome = await super().write(writes)
            if isinstance(outcome, Stored) and self.loses_answer:
                self.loses_answer = False
                return Unknown("timeout")
            return outcome

    async def play(rig):
        await rig.play(1_000)
        rig.store.loses_answer = True
        rig.submit(job(steps=TASK))
        await rig.play(5_000)
        assert not rig.store.loses_answer
        assert len(rig.schedule()) == 1

    run(play, lambda: ready_rig(Store()))


def test_lowering_of_a_limit_that_is_not_stored_is_no_end_of_it():
    """Guards against a task that waits for good within its team's limit: the lower row
    after the last task was not stored, so that the next one needs no other row.
    """

    class Store(ValueStore):
        """Rejects one write."""

        is_busy = False

        async def write(self, writes, timeout_ms=0):
            if self.is_busy:
                self.is_busy = False
                return Unavailable("busy")
            return await super().write(writes)

    async def play(rig):
        rig.submit(job("a" * 16, steps=TASK))
        await rig.play(1_000)
        rig.shard.cancel("a" * 16, 0, rig.now)
        rig.store.is_busy = True
        while rig.store.is_busy:
            await rig.play(100)
        rig.submit(job("b" * 16, steps=TASK))
        await rig.play(5_000)
        assert len(rig.schedule()) == 1

    run(play, lambda: ready_rig(Store()))
