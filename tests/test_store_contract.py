"""Contract tests of the in-memory store and of `EtcdStore` with the stand-in."""

from contextlib import asynccontextmanager

import pytest
import trio

from apricotgap.core.events import CasResult, KeyValue
from apricotgap.drivers.memory_store import MemoryState, MemoryStore
from apricotgap.drivers.store import MAX_VALUE_BYTES, EtcdStore, StoreCallError
from standins.platform import Platform
from tests.loopback import call

TIMEOUT_MS = 400


class MemoryCase:
    def __init__(self):
        self.store = MemoryStore(MemoryState(max_history=5), TIMEOUT_MS)

    async def fault(self, kind, **options):
        faults = self.store.faults
        faults.down = kind == "store_down"
        faults.silent_watches = kind == "store_silent_watches"
        faults.n_lost_answers = options.get("n", 0)
        if kind == "store_slow":
            faults.slow_ms = options["delay_ms"]


class StandinCase:
    def __init__(self, platform):
        self.platform = platform
        self.store = EtcdStore(
            [f"http://{platform.store.address}"], "e1", TIMEOUT_MS, watch_idle_ms=5_000
        )

    async def fault(self, kind, **options):
        body = {"fault": kind, **options}
        await call("POST", self.platform.platform.address, "/standin/faults", body)


@asynccontextmanager
async def open_case(kind):
    if kind == "memory":
        yield MemoryCase()
        return
    platform = Platform(max_history=5)
    async with trio.open_nursery() as nursery:
        for listener in platform.listeners:
            await nursery.start(listener.run)
        case = StandinCase(platform)
        yield case
        await case.store.aclose()
        nursery.cancel_scope.cancel()


@pytest.fixture(params=["memory", "standin"])
def run(request):
    def runner(check):
        async def main():
            with trio.fail_after(10):
                async with open_case(request.param) as case:
                    await check(case)

        trio.run(main)

    return runner


def test_cas_stores_once_and_rejects_a_stale_revision(run):
    """Guards against two concurrent writers whose writes both succeed."""

    async def check(case):
        first = await case.store.cas("a", 0, b"one")
        assert first.result is CasResult.STORED
        assert (await case.store.cas("a", 0, b"two")).result is CasResult.CONFLICT
        assert await case.store.get("a") == KeyValue("a", b"one", first.revision)
        second = await case.store.cas("a", first.revision, b"three")
        assert second.revision > first.revision

    run(check)


def test_absent_key_has_revision_zero(run):
    """Guards against an absent key that cannot be created by CAS."""

    async def check(case):
        assert await case.store.get("missing") == KeyValue("missing", b"", 0)

    run(check)


def test_list_returns_only_the_prefix_in_order(run):
    """Guards against a range end that includes a neighbouring prefix."""

    async def check(case):
        for key in ("p/b", "p/a", "p0", "o/z", "p/ÿ"):
            await case.store.cas(key, 0, b"\x00\xff")
        items = await case.store.list("p/")
        assert [item.key for item in items] == ["p/a", "p/b", "p/ÿ"]
        assert items[0].value == b"\x00\xff"

    run(check)


def test_delete_needs_the_current_revision(run):
    """Guards against a delete of a newer value."""

    async def check(case):
        stored = await case.store.cas("a", 0, b"one")
        stale = await case.store.delete("a", stored.revision + 7)
        assert stale.result is CasResult.CONFLICT
        deleted = await case.store.delete("a", stored.revision)
        assert deleted.result is CasResult.STORED
        assert (await case.store.get("a")).revision == 0

    run(check)


def test_too_large_value_is_an_error(run):
    """Guards against retries of a value that the store never accepts.

    An error, unlike an unknown result, shows that the value was not written.
    """

    async def check(case):
        with pytest.raises(StoreCallError):
            await case.store.cas("a", 0, b"x" * (MAX_VALUE_BYTES + 1))
        stored = await case.store.cas("a", 0, b"x" * MAX_VALUE_BYTES)
        assert stored.result is CasResult.STORED

    run(check)


def test_keys_are_deleted_when_their_lease_expires(run):
    """Guards against members that stay registered after their lease expired."""

    async def check(case):
        lease = await case.store.grant_lease(1_000)
        await case.store.cas("m", 0, b"x", lease.lease_id)
        await trio.sleep(0.6)
        assert await case.store.keep_alive(lease.lease_id) == 1_000
        await trio.sleep(0.6)
        assert (await case.store.get("m")).revision > 0
        await trio.sleep(0.6)
        assert (await case.store.get("m")).revision == 0
        assert await case.store.keep_alive(lease.lease_id) == 0

    run(check)


def test_revoked_lease_loses_its_keys_and_accepts_no_new_ones(run):
    """Guards against a write under a lease that no longer exists."""

    async def check(case):
        lease = await case.store.grant_lease(60_000)
        await case.store.cas("m", 0, b"x", lease.lease_id)
        await case.store.revoke(lease.lease_id)
        assert (await case.store.get("m")).revision == 0
        with pytest.raises(StoreCallError):
            await case.store.cas("n", 0, b"x", lease.lease_id)

    run(check)


def test_watch_reports_changes_in_order_from_a_past_revision(run):
    """Guards against missing a change between a read and the opening of a watch."""

    async def check(case):
        first = await case.store.cas("w/a", 0, b"1")
        await case.store.cas("other", 0, b"1")
        seen = []
        async with case.store.watch("w/", first.revision) as changes:
            second = await case.store.cas("w/a", first.revision, b"2")
            await case.store.delete("w/a", second.revision)
            while len(seen) < 3:
                seen += await anext(changes)
        assert [item.value for item in seen] == [b"1", b"2", b""]
        assert seen[2] == KeyValue("w/a", b"", 0)

    run(check)


def test_watch_from_the_revision_after_a_read_needs_no_old_history(run):
    """Guards against a watch on a rarely changed prefix that cannot be reopened.

    Changes of other keys remove the last revision of the prefix from the history.
    """

    async def check(case):
        await case.store.cas("w/0", 0, b"")
        for n in range(8):
            await case.store.cas(f"busy/{n}", 0, b"")
        snapshot = await case.store.read_key("w/1")
        await case.store.cas("w/1", 0, b"new")
        async with case.store.watch("w/", snapshot.revision + 1) as changes:
            items = await anext(changes)
        assert [item.value for item in items] == [b"new"]

    run(check)


def test_watch_from_a_compacted_revision_raises(run):
    """Guards against skipped changes that the history no longer contains."""

    async def check(case):
        first = await case.store.cas("w/0", 0, b"")
        for n in range(1, 8):
            await case.store.cas(f"w/{n}", 0, b"")
        with pytest.raises(StoreCallError, match="compact revision"):
            async with case.store.watch("w/", first.revision) as changes:
                await anext(changes)

    run(check)


def test_write_without_a_response_is_unknown(run):
    """Guards against a conflict or failure reported for a write that took effect."""

    async def check(case):
        await case.fault("store_lost_answers", n=1)
        assert (await case.store.cas("a", 0, b"one")).result is CasResult.UNKNOWN
        assert (await case.store.get("a")).value == b"one"

    run(check)


def test_timed_out_write_is_unknown_and_may_take_effect_later(run):
    """Guards against retrying a timed-out write as if it had failed."""

    async def check(case):
        await case.fault("store_slow", delay_ms=600, for_ms=300)
        with trio.fail_after(TIMEOUT_MS / 1000 + 0.3):
            response = await case.store.cas("a", 0, b"one")
        assert response.result is CasResult.UNKNOWN
        await case.fault("store_slow", delay_ms=1, n=1)
        await trio.sleep(0.4)
        assert (await case.store.get("a")).value == b"one"

    run(check)


def test_unreachable_store_fails_writes_and_watches(run):
    """Guards against an unknown result of a write that was never sent."""

    async def check(case):
        async with case.store.watch("w/") as changes:
            await case.fault("store_down", mode="refuse")
            with pytest.raises(StoreCallError):
                await anext(changes)
        with pytest.raises(StoreCallError):
            await case.store.get("a")
        with pytest.raises(StoreCallError):
            await case.store.cas("a", 0, b"one")

    run(check)


def test_silent_watch_can_be_cancelled(run):
    """Guards against a shutdown that hangs on a watch without deliveries."""

    async def check(case):
        await case.fault("store_silent_watches")
        with trio.move_on_after(0.3) as scope:
            async with case.store.watch("w/") as changes:
                await case.store.cas("w/a", 0, b"1")
                await anext(changes)
        assert scope.cancelled_caught

    run(check)
