"""Teams that lack a part of their limit in one shard, as owners of others see them."""

import cbor2

from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import (
    LIMIT_NEEDS_PREFIX,
    encode_teams,
    limit_key,
    limit_needs_key,
)
from apricotgap.instance.limit_needs import LimitNeeds
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.team_limit_updater import TeamLimitUpdater
from apricotgap.jobs.documents import decode_split, encode_split
from apricotgap.jobs.model import Resources, StepSpec
from tests.conditional_store import ValueStore
from tests.jobs_harness import FAR_MS, SERVICE, entry, job
from tests.test_idle_shares import Store, request_allowance, team_limits
from tests.test_team_limit_rows import LimitRig, run

KEY = limit_key("bakers")
NEEDS = limit_needs_key("other")
# Of a limit of 4000, of which a shard keeps 800 without work.
TASK = (StepSpec(1, Resources(3500, 100), 9_000),)


class NeedsStore(ValueStore):
    """Counts the reads of splits and the writes of what is lacked."""

    def __init__(self):
        super().__init__()
        self.n_reads = self.n_published = 0

    async def read_key(self, key):
        self.n_reads += 1
        return await super().read_key(key)

    async def write(self, writes, timeout_ms=0):
        keys = (each.key for each in writes)
        self.n_published += any(key.startswith(LIMIT_NEEDS_PREFIX) for key in keys)
        return await super().write(writes)


class NeedsRig(LimitRig):
    """A shard whose owner tells others what it lacks, and sees what they lack."""

    def __init__(self):
        super().__init__(NeedsStore())
        view = ClusterView(self.store, self.clock)
        self.store.cluster_view = view
        ownership = Ownership(SERVICE, 1, self.store.revision, 1, 6_500)
        self.updater = TeamLimitUpdater(
            self.shard,
            ownership,
            self.store,
            self.clock,
            lambda: FAR_MS * 1_000,
            lambda service: True,
            lambda: None,
            LimitNeeds(ownership, self.store, view),
        )
        self.list_workers(entry("w1"))
        self.ready()

    @property
    def split(self):
        return decode_split(self.store.items[KEY].value)

    def set_other_row(self, cpu):
        rows = {**(self.split if KEY in self.store.items else {})}
        self.store.put(KEY, encode_split({**rows, "other": Resources(cpu)}))


def test_idle_part_that_another_shard_lacks_is_given_up():
    """Guards against a task of another shard that waits for good on a limit with room:
    owners without work do not read the split.
    """

    async def play(rig):
        await rig.play(1_000)
        rig.set_other_row(4_000 - rig.split[SERVICE].cpu)
        rig.store.put(NEEDS, encode_teams(frozenset({"bakers"})))
        await rig.play(3_000)
        assert rig.split[SERVICE].cpu == 0
        n_reads = rig.store.n_reads
        await rig.play(10_000)
        assert rig.split[SERVICE].cpu == 0
        assert rig.store.n_reads == n_reads

    run(play, NeedsRig)


def test_idle_part_that_nobody_lacks_costs_no_reads():
    """Guards against reads of each split by each shard without work: services times
    teams calls a second.
    """

    async def play(rig):
        await rig.play(1_000)
        row = rig.split[SERVICE].cpu
        rig.set_other_row(4_000 - row)
        n_reads = rig.store.n_reads
        await rig.play(10_000)
        assert rig.split[SERVICE].cpu == row > 0
        assert rig.store.n_reads == n_reads

    run(play, NeedsRig)


def test_idle_part_of_a_limit_with_room_is_read_ever_less_often():
    """Guards against reads in each pass while a shard lacks what no idle part can give:
    its own rows, as it gives them up and takes them again, leave room in the split.
    """

    async def play(rig):
        await rig.play(1_000)
        rig.store.put(NEEDS, encode_teams(frozenset({"bakers"})))
        n_reads = rig.store.n_reads
        await rig.play(30_000)
        assert rig.split[SERVICE].cpu > 0
        assert 1 <= rig.store.n_reads - n_reads <= 7

    run(play, NeedsRig)


def test_owner_tells_what_its_shard_lacks_until_the_task_starts():
    """Guards against owners that are not told of a task that waits for their parts, and
    against a key that is written in each pass, or that stays.
    """

    async def play(rig):
        await rig.play(1_000)
        rig.set_other_row(800)
        rig.submit(job(steps=TASK))
        await rig.play(3_000)
        assert cbor2.loads(rig.store.items[limit_needs_key(SERVICE)].value) == [
            "bakers"
        ]
        assert rig.store.n_published == 1
        assert not rig.schedule()
        rig.set_other_row(0)
        await rig.play(8_000)
        assert len(rig.schedule()) == 1
        assert limit_needs_key(SERVICE) not in rig.store.items
        assert rig.store.n_published == 2

    run(play, NeedsRig)


def test_unreadable_needs_name_no_team():
    """Guards against an odd record that ends the view of all instances."""

    async def play(rig):
        view = rig.store.cluster_view
        rig.store.put(NEEDS, b"\xff")
        assert view.limit_needs_beside(SERVICE) == frozenset()
        rig.store.put(NEEDS, encode_teams(frozenset({"bakers"})))
        assert view.limit_needs_beside(SERVICE) == {"bakers"}
        assert view.limit_needs_beside("other") == frozenset()
        rig.store.put(NEEDS, None)
        assert view.limit_needs_beside(SERVICE) == frozenset()

    run(play, NeedsRig)


def test_shards_that_gave_up_their_parts_start_tasks_again():
    """Guards against a shard that waits for good once it has given up its idle part,
    and against parts that move to and fro while one shard needs them.
    """
    store = Store()
    one, *others = (team_limits(name) for name in ("one", "two", "three", "four"))
    for at_ms in range(0, 10_000, 500):
        for limits in others:
            request_allowance(limits, store, 0, at_ms)
        request_allowance(one, store, 950, at_ms)
    revision = store.revision
    for at_ms in range(10_000, 20_000, 500):
        for limits in others:
            request_allowance(limits, store, 0, at_ms)
        request_allowance(one, store, 950, at_ms)
    assert store.revision == revision
    for at_ms in range(20_000, 25_000, 500):
        request_allowance(one, store, 450, at_ms)
        for limits in others:
            request_allowance(limits, store, 60, at_ms)
        assert sum(row.cpu for row in store.split.values()) <= 1000
    assert all(limits.allowed("bakers").cpu >= 60 for limits in others)
