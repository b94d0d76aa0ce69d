"""What a team may use while runs of an earlier owner are unknown."""

from dataclasses import replace

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.keys import limit_key, owner_key
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.team_limit_updater import TeamLimitUpdater
from apricotgap.jobs.documents import Progress, decode_split, encode_split
from apricotgap.jobs.events import RunReport
from apricotgap.jobs.model import Resources, StepSpec
from tests.conditional_store import ValueStore
from tests.jobs_harness import FAR_MS, SERVICE, Rig, entry, job, task
from tests.test_team_limit_updater import LIMIT, limited

pytestmark = pytest.mark.usefixtures("overload_state")

FOUR_TASKS = (StepSpec(4, Resources(1000, 100), 9_000),)


def lost_worker_rig(clock=None):
    """Return a new owner's rig: the limit is 4 cores, and the 4 tasks of the earlier
    owner's job may run on a worker that is out of reach.
    """
    rig = Rig(epoch=2, workers=())
    if clock is not None:
        rig.now = clock.now_ms
    rig.shard.loaded_ms = rig.shard.reported_ms = rig.now
    rig.shard.add_inherited_worker(entry("w1"), rig.now, is_settled=True)
    rig.list_workers(entry("w1"), entry("w2"))
    rig.ready_only("w2")
    rig.shard.load(job(steps=FOUR_TASKS), Progress(), 1)
    rig.shard.team_limits.set_configuration(limited())
    row = rig.shard.team_limits.limit("bakers")
    rig.shard.team_limits.record_split("bakers", {SERVICE: row}, 1)
    return rig


def test_new_job_does_not_take_what_runs_of_the_earlier_owner_may_use():
    """Guards against a team above its limit: the runs on a worker out of reach count
    for nothing, and a job that is accepted after the takeover starts beside them.
    """
    rig = lost_worker_rig()
    rig.submit(job("k" * 16, steps=FOUR_TASKS))
    assert rig.schedule() == []


def test_copies_of_the_earlier_owner_count_too():
    """Guards against a team above its limit by copies on workers out of reach: two
    tasks of the earlier owner's job may have two runs each there.
    """
    rig = lost_worker_rig()
    steps = (replace(FOUR_TASKS[0], n_tasks=2, allows_duplicates=True),)
    del rig.shard.jobs["j" * 16], rig.shard.open_jobs["j" * 16]
    rig.shard.load(job(steps=steps), Progress(), 1)
    rig.submit(job("k" * 16, steps=FOUR_TASKS))
    assert rig.schedule() == []


def test_new_job_starts_once_the_runs_of_the_earlier_owner_are_known():
    """Guards against a wait that outlasts the doubt."""
    rig = lost_worker_rig()
    rig.submit(job("k" * 16, steps=FOUR_TASKS))
    listed = [RunReport(task(number), 1, "", 50.0, 0.0) for number in (0, 1)]
    rig.poll("w1", running=listed)
    # The other two may be stopping, in no list.
    assert rig.schedule() == []
    rig.now += rig.shard.stop_listing_delay_ms
    rig.poll("w1", running=listed)
    assert len(rig.schedule()) == 2


def test_new_job_starts_beside_an_unknown_worker_that_holds_less_than_the_limit():
    """Guards against a limit that is used up by more than a worker can hold."""
    rig = lost_worker_rig()
    worker = rig.shard.workers["w1"]
    worker.set_total(Resources(1000, 8000))
    rig.submit(job("k" * 16, steps=FOUR_TASKS))
    assert len(rig.schedule()) == 3


def test_row_of_a_lowered_limit_says_what_unknown_runs_may_use():
    """Guards against another shard that takes, of a lowered limit, what runs of the
    earlier owner still use.
    """

    async def main():
        clock = TrioClock()
        rig = lost_worker_rig(clock)
        store = ValueStore()
        store.put(owner_key(SERVICE), b"me")
        ownership = Ownership(SERVICE, 2, store.revision, 1, 6_500)
        key = limit_key("bakers")
        store.put(key, encode_split({SERVICE: LIMIT}))
        half = replace(limited(), version=2)
        teams = (replace(half.teams[0], limit=Resources(2000)),)
        rig.shard.team_limits.set_configuration(replace(half, teams=teams))
        updater = TeamLimitUpdater(
            rig.shard,
            ownership,
            store,
            clock,
            lambda: FAR_MS * 1_000,
            lambda service: True,
            lambda: None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(updater.run)
            await trio.sleep(2)
            nursery.cancel_scope.cancel()
        assert decode_split(store.items[key].value)[SERVICE].cpu >= LIMIT.cpu

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))
