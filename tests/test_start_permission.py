"""Permission of an owner to start tasks, when what it rests on is not renewed."""

from types import SimpleNamespace

import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.start_permission import MAX_VIEW_AGE_MS, StartPermission
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.platform.store import Snapshot, StoreError
from tests.jobs_harness import MAX_LEASE_MS, SERVICE, Rig, configuration, job

TTL_MS = 3_000
LEASE_ID = 7
# Time-out of a call to the store beyond the wait of a watch.
TIMEOUT_S = 1.0
SMALL = (StepSpec(1, Resources(1, 1), 800),)


class Store:
    """Serves an empty prefix; its watches end by a time-out while they are silent."""

    is_silent = False

    async def read_prefix(self, prefix):
        return Snapshot((), 1)

    async def watch(self, prefix, after, wait_ms):
        is_silent = self.is_silent
        await trio.sleep(wait_ms / 1000)
        if is_silent:
            await trio.sleep(TIMEOUT_S)
            raise StoreError("timeout")
        return Snapshot((), after)


def play(check):
    async def main():
        clock, store = TrioClock(), Store()
        view = ClusterView(store, clock)
        view.config = configuration()
        # The lease is renewed all the while; one of another owner is never valid.
        lease = SimpleNamespace(
            valid_until_ms_of=lambda lease_id: (
                clock.now_ms + TTL_MS if lease_id == LEASE_ID else 0
            )
        )
        ownership = Ownership(SERVICE, 1, 5, LEASE_ID, MAX_LEASE_MS)
        rig = Rig().ready()

        def n_starts():
            permission = StartPermission(ownership, lease, view)
            rig.now = clock.now_ms + 20_000
            rig.poll()
            left_ms = permission.until_ms - clock.now_ms
            rig.submit(job(f"{clock.now_ms:016x}", SMALL))
            return len(rig.schedule(rig.now + left_ms))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(view.operator_mirror.run)
            await trio.sleep(5)
            assert n_starts()
            await check(store, n_starts)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_nothing_starts_by_a_configuration_that_is_not_confirmed_any_more():
    """Guards against a team above a lowered limit: the store renews the lease of an
    instance and answers none of its watches.
    """

    async def check(store, n_starts):
        store.is_silent = True
        await trio.sleep((MAX_VIEW_AGE_MS + 2_000) / 1000)
        assert not n_starts()
        store.is_silent = False
        await trio.sleep(5)
        assert n_starts()

    play(check)


def test_one_silent_watch_stops_no_start():
    """Guards against a service that stands still since a connection has gone silent."""

    async def check(store, n_starts):
        store.is_silent = True
        await trio.sleep(2)
        store.is_silent = False
        for _ in range(50):
            await trio.sleep(0.1)
            assert n_starts()

    play(check)


def test_permission_ends_with_the_lease_of_the_ownership():
    """Guards against starts under a later lease of the instance."""
    clock = SimpleNamespace(now_ms=10_000)
    lease = SimpleNamespace(valid_until_ms_of=lambda lease_id: 0)
    view = SimpleNamespace(config_confirmed_ms=clock.now_ms)
    ownership = Ownership(SERVICE, 1, 5, LEASE_ID, MAX_LEASE_MS)
    assert StartPermission(ownership, lease, view).until_ms == 0
    view.config_confirmed_ms = None
    lease.valid_until_ms_of = lambda lease_id: clock.now_ms + TTL_MS
    assert StartPermission(ownership, lease, view).until_ms == 0
