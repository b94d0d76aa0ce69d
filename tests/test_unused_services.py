"""Services that no queue uses any more: their jobs go on, and then they are left."""

import json
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
import trio.testing

import soak.cluster
from apricotgap.clock import FakeClock
from apricotgap.instance.cluster_view import FLEET_SHARD, ClusterView
from apricotgap.instance.job_router import JobRouter
from apricotgap.instance.keys import (
    SHARD_CLOSING,
    SHARD_OPEN,
    index_key,
    job_key,
    job_writes,
    owner_key,
    shard_key,
    tenure_key,
)
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.shard_retirement import (
    CHECK_INTERVAL_S,
    UNUSED_DELAY_MS,
    ShardRetirement,
    ShardUnusedError,
)
from apricotgap.jobs.configuration import Wave
from apricotgap.jobs.demand import MIN_WORKERS, Demand
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_plan import FleetPlanner
from apricotgap.jobs.machine_list import MachineList
from apricotgap.jobs.model import Resources
from apricotgap.jobs.service import SubmitResult
from apricotgap.jobs.shard import Shard
from apricotgap.platform.store import (
    Conflict,
    Item,
    Snapshot,
    Stored,
    StoreError,
    Write,
)
from tests.jobs_harness import MAX_LEASE_MS, SERVICE, Rig, configuration, job

UNUSED = replace(configuration(2), queues=())
WITHOUT_SERVICE = replace(UNUSED, services=())


class Store:
    """A store in memory that shows each change in the cluster view, if told to."""

    is_down = False

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.view = None
        self.is_view_current = True
        self.after_read = None
        self.error = None

    async def read_prefix(self, prefix):
        found = [item for key, item in self.items.items() if key.startswith(prefix)]
        if self.error is not None:
            raise self.error
        snapshot = Snapshot(tuple(found), self.revision)
        if self.after_read is not None:
            after_read, self.after_read = self.after_read, None
            await after_read()
        return snapshot

    async def write(self, writes, timeout_ms=0):
        # What a store makes of two changes of a key in one transaction is not defined.
        assert len({write.key for write in writes}) == len(writes)
        checked = [write for write in writes if write.expected_revision is not None]
        if any(self._revision_of(w.key) != w.expected_revision for w in checked):
            known = [self.items.get(write.key) for write in checked]
            return Conflict(tuple(filter(None, known)))
        self.revision += 1
        for write in writes:
            if not write.check_only:
                self._put(write.key, write.value)
        return Stored(self.revision)

    def _revision_of(self, key):
        return self.items[key].revision if key in self.items else 0

    def _put(self, key, value):
        item = Item(key, value, self.revision)
        self.items.pop(key, None)
        if value is not None:
            self.items[key] = item
        if self.is_view_current:
            self.view.apply(item)


class Owner:
    """Retirement of a shard without jobs, and a router at another instance."""

    def __init__(self, config):
        self.clock = FakeClock(100_000)
        self.store = Store()
        self.view = self.store.view = ClusterView(self.store, self.clock)
        self.view.config = config
        self.store._put(owner_key(SERVICE), b"owner")
        self.store._put(shard_key(SERVICE), SHARD_OPEN)
        self.shard = Shard(SERVICE, 1, MAX_LEASE_MS)
        self.ownership = Ownership(SERVICE, 1, self.store.revision, 1, 6_500)
        self.stored = SimpleNamespace(items={})
        self.retirement = ShardRetirement(
            self.shard,
            self.ownership,
            self.store,
            self.view,
            self.clock,
        )
        self.router = JobRouter("other", {}, self.view, self.store, None, self.clock)

    async def advance(self, span_ms):
        """Let the retirement check again and again; return whether it ended."""
        with trio.move_on_after(span_ms / 1000):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._advance_clock)
                try:
                    await self.retirement.run(self.stored)
                except ShardUnusedError:
                    nursery.cancel_scope.cancel()
                    return True
        return False

    async def retire(self):
        """Wait until the shard is unused, and give it up."""
        assert await self.advance(2 * UNUSED_DELAY_MS)
        await self.retirement.retire()

    async def _advance_clock(self):
        while True:
            await trio.sleep(CHECK_INTERVAL_S / 2)
            self.clock.advance(int(CHECK_INTERVAL_S * 500))

    @property
    def has_keys(self):
        return {owner_key(SERVICE), shard_key(SERVICE)} & set(self.store.items)


def run(check, config=UNUSED):
    async def main():
        await check(Owner(config))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))


def test_service_that_may_have_jobs_has_a_shard_without_a_queue():
    """Guards against jobs that no instance runs once their route has left."""
    view = ClusterView(Store(), FakeClock())
    view.system_mirror.loaded.set()
    view.config = UNUSED
    assert view.shards() == (FLEET_SHARD,)
    view.apply(Item(shard_key(SERVICE), SHARD_OPEN, 5))
    assert view.shards() == (SERVICE, FLEET_SHARD)
    view.config = configuration(3)
    assert view.shards() == (SERVICE, FLEET_SHARD)
    view.config = WITHOUT_SERVICE
    view.apply(Item(shard_key(SERVICE), None, 6))
    assert view.shards() == (FLEET_SHARD,)


QUEUE_OF_BUSY = {"name": "q", "prefix": "/q/", "service": "busy"}


def put_routes(view, version, *routes):
    """Show a view a configuration with these routes."""
    document = soak.cluster.configuration(version) | {"routes": routes}
    item = Item("op/config", json.dumps(document).encode(), version)
    view.operator_mirror.replace(Snapshot((item,), version))


def test_former_services_of_a_queue_are_those_that_may_have_its_jobs():
    """Guards against a count of waiting jobs without those of a queue that moved."""
    view = ClusterView(Store(), FakeClock())
    for name in (SERVICE, "idle", "busy"):
        view.apply(Item(shard_key(name), SHARD_OPEN, 5))
    (queue,) = soak.cluster.configuration()["routes"]
    put_routes(view, 1, queue | {"service": "gone"})
    put_routes(view, 2, queue | {"service": SERVICE})
    put_routes(view, 3, queue | {"service": "new"}, queue | QUEUE_OF_BUSY)
    assert view.former_services(queue["name"], "new") == (SERVICE, "idle")
    assert view.former_services("q", "busy") == (SERVICE, "idle")


def test_unused_shard_without_jobs_is_given_up_for_good():
    """Guards against owners that hold workers of a service without work forever."""

    async def check(owner):
        assert not await owner.advance(UNUSED_DELAY_MS // 2)
        owner.store._put(tenure_key(SERVICE), b"1")
        await owner.retire()
        assert not owner.has_keys
        assert tenure_key(SERVICE) not in owner.store.items
        assert owner.view.services() == ()

    run(check)


@pytest.mark.parametrize("config", [configuration(1), None])
def test_used_shard_is_kept(config):
    """Guards against a shard without an owner while a queue sends jobs to it."""

    async def check(owner):
        assert not await owner.advance(3 * UNUSED_DELAY_MS)
        assert len(owner.has_keys) == 2

    run(check, config)


def test_unused_shard_with_a_job_is_kept():
    """Guards against a long-running job that loses its owner with its queue."""

    async def check(owner):
        owner.shard.submit(job())
        assert not await owner.advance(3 * UNUSED_DELAY_MS)
        assert len(owner.has_keys) == 2

    run(check)


def test_unused_shard_with_a_stored_job_that_is_not_loaded_is_kept():
    """Guards against a job that this build can't read and no later one would find."""

    async def check(owner):
        owner.stored.items = {f"jobs/{SERVICE}/{'c' * 16}/cancel": None}
        assert await owner.advance(2 * UNUSED_DELAY_MS)
        owner.stored.items = {job_key(SERVICE, "c" * 16): None}
        assert not await owner.advance(3 * UNUSED_DELAY_MS)

    run(check)


def test_owner_that_gives_up_its_shard_accepts_no_further_job():
    """Guards against a job of the owner itself, after it has looked for jobs."""

    async def check(owner):
        async def submit():
            writes = job_writes(SERVICE, job().job_id, b"")
            outcome = await owner.store.write((owner.ownership.condition, *writes))
            assert isinstance(outcome, Conflict)

        owner.store.after_read = submit
        await owner.retire()
        assert not owner.has_keys

    run(check)


def test_shard_is_given_up_although_the_election_cancels_its_owner():
    """Guards against a shard that stays half given up, and is claimed again."""

    async def check(owner):
        assert await owner.advance(2 * UNUSED_DELAY_MS)
        with trio.CancelScope() as scope:

            async def cancel():
                scope.cancel()
                await trio.sleep(0.01)

            owner.store.after_read = cancel
            await owner.retirement.retire()
        assert not owner.has_keys

    run(check)


@pytest.mark.parametrize("is_read", [True, False])
def test_shard_that_can_not_be_given_up_is_claimed_again(is_read):
    """Guards against a job that the look misses, since the store did not answer."""

    async def check(owner):
        if is_read:
            await owner.store.write([Write(job_key(SERVICE, "c" * 16), b"")])
        else:
            owner.store.error = StoreError("busy")
        await owner.retire()
        assert owner.has_keys == {shard_key(SERVICE)}
        assert owner.view.services() == (SERVICE,)
        assert not owner.view.is_closing(SERVICE)

    run(check)


@pytest.mark.parametrize("is_view_current", [True, False])
def test_job_written_while_its_shard_is_given_up_keeps_the_shard(is_view_current):
    """Guards against a job that is accepted after its owner has looked for jobs.

    The view of the instance that writes the job shows the shard as closing or, with a
    delayed watch, still as open.
    """

    async def check(owner):
        async def submit():
            outcome = await owner.router.submit(job(), owner.clock.now_ms + 1_000)
            assert outcome.result is SubmitResult.ACCEPTED

        owner.store.is_view_current = is_view_current
        owner.store.after_read = submit
        await owner.retire()
        assert job_key(SERVICE, job().job_id) in owner.store.items
        assert owner.store.items[shard_key(SERVICE)].value == SHARD_OPEN

    run(check)


def test_job_written_by_an_instance_whose_view_is_behind_keeps_the_shard():
    """Guards against a job that is accepted and has no owner: the instance that writes
    it still sees the shard as open, while its owner has looked for jobs.
    """

    async def check(owner):
        behind = ClusterView(owner.store, owner.clock)
        behind.config = owner.view.config
        behind.apply(owner.view.shard_item(SERVICE))
        router = JobRouter("other", {}, behind, owner.store, None, owner.clock)

        async def submit():
            assert behind.shard_item(SERVICE).value == SHARD_OPEN
            outcome = await router.submit(job(), owner.clock.now_ms + 1_000)
            assert outcome.result is SubmitResult.ACCEPTED

        owner.store.after_read = submit
        await owner.retire()
        assert job_key(SERVICE, job().job_id) in owner.store.items
        assert owner.store.items[shard_key(SERVICE)].value == SHARD_OPEN

    run(check)


def test_job_written_after_its_shard_was_given_up_opens_it_again():
    """Guards against an accepted job of a service that no instance looks at."""

    async def check(owner):
        await owner.retire()
        await owner.router.submit(job(), owner.clock.now_ms + 1_000)
        assert owner.view.services() == (SERVICE,)

    run(check)


def test_job_written_directly_changes_no_key_that_all_instances_watch():
    """Guards against an event at each instance for each job while owners are away."""

    async def check(owner):
        before = owner.view.shard_item(SERVICE)
        await owner.router.submit(job(), owner.clock.now_ms + 1_000)
        assert index_key(job().job_id) in owner.store.items
        assert owner.view.shard_item(SERVICE) == before

    run(check)


def test_resubmitted_job_is_accepted_while_its_shard_is_closing():
    """Guards against a lost answer that becomes a refusal or a second job."""

    async def check(owner):
        deadline_ms = owner.clock.now_ms + 1_000
        await owner.router.submit(job(), deadline_ms)
        document = owner.store.items[job_key(SERVICE, job().job_id)]
        owner.store.is_view_current = False
        owner.store.revision += 1
        owner.store._put(shard_key(SERVICE), SHARD_CLOSING)
        outcome = await owner.router.submit(job(), deadline_ms)
        assert outcome.result is SubmitResult.ACCEPTED
        assert owner.store.items[document.key] == document

    run(check)


@pytest.mark.parametrize("config", [UNUSED, WITHOUT_SERVICE])
def test_job_of_an_unused_service_still_starts(config):
    """Guards against accepted jobs that wait forever for a dropped service."""
    rig = Rig().ready()
    rig.submit(job())
    rig.shard.config = config
    assert len(rig.schedule()) == 2


def test_unused_service_without_jobs_wants_no_workers():
    """Guards against machines that are paid for in a pool without work."""
    rig = Rig().ready()
    demand = Demand(rig.shard)
    rig.shard.config = UNUSED
    rig.submit(job())
    assert demand.wanted(rig.now) == MIN_WORKERS
    rig.shard.cancel(job().job_id, 0, rig.now)
    rig.now += 10_000
    assert demand.wanted(rig.now) == MIN_WORKERS
    rig.shard.forget(job().job_id)
    rig.now += 10_000
    assert demand.wanted(rig.now) == 0
    rig.shard.config = configuration(3)
    assert demand.wanted(rig.now) == MIN_WORKERS


@pytest.mark.parametrize("config", [UNUSED, WITHOUT_SERVICE])
@pytest.mark.parametrize("services, n_orders", [((SERVICE,), 0), ((), 1)])
def test_wave_spares_machines_of_an_unused_service_with_jobs(
    config, services, n_orders
):
    """Guards against maintenance that ends tasks of a service that left.

    Without jobs, nobody reports the pool, and its machines go down at once.
    """
    planner = FleetPlanner(1_500, 2_000)
    machine = Machine("m1", SERVICE, "up", "a", ("k", "r1"), Resources(8000), "w1")
    planner.set_waves([Wave(1, ("m1",), 60_000, 1)], {}, 100_000)
    orders, _ = planner.plan(
        100_000,
        100_000,
        config,
        MachineList({"m1": machine}),
        {},
        frozenset(),
        services,
    )
    assert len(orders) == n_orders
