import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.core.effects import (
    GrantLease,
    OpenWatch,
    ReadInstanceList,
    RebootInstance,
    RenewLease,
    StoreCas,
    StoreGet,
)
from apricotgap.core.events import (
    CasFinished,
    CasResult,
    InstanceListRead,
    LeaseGranted,
    LeaseLost,
    StoreCallFailed,
    StoreChanged,
    StoreReadFinished,
    WatchBroken,
    WatchOpened,
)
from apricotgap.drivers.instances import InstancesDriver
from apricotgap.drivers.memory_store import MemoryStore
from apricotgap.drivers.store import EtcdStore, StoreCallError, StoreDriver
from apricotgap.drivers.store_api import Lease
from standins.platform import Platform
from standins.serving import Listener
from tests.loopback import call

FAR_MS = 10_000_000_000_000


def run_with_driver(check, **options):
    """Run a check on a driver with an in-memory store in virtual time."""

    async def main():
        store, events = MemoryStore(), []
        driver = StoreDriver(store, events.append, TrioClock(), **options)
        async with trio.open_nursery() as nursery:
            await nursery.start(driver.serve)
            await check(driver, store, events)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def run_with_platform(check, **options):
    async def main():
        platform = Platform(**options)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                for listener in platform.listeners:
                    await nursery.start(listener.run)
                nursery.start_soon(platform.watch_faults)
                await check(platform, nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


def of_type(events, kind):
    return [event for event in events if isinstance(event, kind)]


def test_effects_on_the_same_key_run_in_order():
    """Guards against a write that is sent before an earlier one to the same key."""

    async def check(driver, store, events):
        store.faults.slow_ms = 50
        driver.run(StoreCas("first", "a", 0, b"1"))
        driver.run(StoreCas("second", "a", 0, b"2"))
        driver.run(StoreGet("read", "a"))
        await trio.sleep(1)
        assert [event.call_id for event in events] == ["first", "second", "read"]
        assert [e.result for e in of_type(events, CasFinished)] == [
            CasResult.STORED,
            CasResult.CONFLICT,
        ]

    run_with_driver(check)


def test_excess_calls_fail_without_being_sent():
    """Guards against an unbounded queue of calls while the store is slow."""

    async def check(driver, store, events):
        store.faults.slow_ms = 100
        for n in range(8):
            driver.run(StoreGet(f"c{n}", f"k{n}"))
        assert events == []
        await trio.sleep(0.15)
        failed = {event.call_id for event in of_type(events, StoreCallFailed)}
        assert failed == {"c4", "c5", "c6", "c7"}
        assert len(of_type(events, StoreReadFinished)) == 2

    run_with_driver(check, max_concurrent=2, max_waiting=4)


def test_read_reports_the_time_at_which_it_was_sent():
    """Guards against a slow response that makes an old view look current."""

    async def check(driver, store, events):
        store.faults.slow_ms = 300
        driver.run(StoreGet("c", "a"))
        await trio.sleep(1)
        assert events[0].at_ms - events[0].sent_ms == 300

    run_with_driver(check)


def test_expired_lease_is_reported_lost():
    """Guards against a holder that continues after its lease expired."""

    async def check(driver, store, events):
        driver.run(GrantLease("g", 1_000))
        await trio.sleep(0.1)
        granted = of_type(events, LeaseGranted)[0]
        await trio.sleep(2)
        driver.run(RenewLease(granted.lease_id))
        await trio.sleep(0.1)
        assert of_type(events, LeaseLost)[0].lease_id == granted.lease_id

    run_with_driver(check)


def test_write_that_takes_effect_after_its_timeout_is_unknown():
    """Guards against a failure reported for a write that takes effect later."""

    async def check(driver, store, events):
        store.faults.n_late_effects = 1
        driver.run(StoreCas("c", "a", 0, b"1"))
        await trio.sleep(1.2)
        assert of_type(events, CasFinished)[0].result is CasResult.UNKNOWN
        assert (await store.get("a")).revision == 0
        await trio.sleep(1)
        assert (await store.get("a")).value == b"1"

    run_with_driver(check)


def test_memory_clients_share_writes_but_not_faults():
    """Guards against test faults that can only partition all clients at once."""

    async def check(driver, store, events):
        other = MemoryStore(store.state)
        store.faults.down = True
        await other.cas("a", 0, b"1")
        with pytest.raises(StoreCallError):
            await store.get("a")
        store.faults.down = False
        assert (await store.get("a")).value == b"1"

    run_with_driver(check)


def test_broken_watch_is_reported_and_can_be_reopened():
    """Guards against a watch that is reopened without an event and misses changes."""

    async def check(driver, store, events):
        driver.run(OpenWatch("w/"))
        await trio.sleep(0.1)
        await store.cas("w/a", 0, b"1")
        store.faults.down = True
        await trio.sleep(1)
        store.faults.down = False
        driver.run(OpenWatch("w/", 1))
        await trio.sleep(1)
        kinds = [type(event) for event in events if event.prefix == "w/"]
        assert kinds[0] is WatchOpened
        assert kinds[-3:] == [WatchBroken, WatchOpened, StoreChanged]

    run_with_driver(check)


def test_driver_stops_while_a_watch_is_silent():
    """Guards against a shutdown that hangs on a connection without deliveries."""

    async def check(platform, nursery):
        store, events = EtcdStore([f"http://{platform.store.address}"], "e1"), []
        driver = StoreDriver(store, events.append, TrioClock())
        await call(
            "POST",
            platform.platform.address,
            "/standin/faults",
            {"fault": "store_silent_watches"},
        )
        with trio.move_on_after(0.5) as scope:
            async with trio.open_nursery() as inner:
                await inner.start(driver.serve)
                driver.run(OpenWatch("w/"))
                await trio.sleep_forever()
        assert scope.cancelled_caught
        assert len(of_type(events, WatchOpened)) == 1
        driver.run(StoreGet("after", "a"))

    run_with_platform(check)


def test_watch_without_deliveries_fails():
    """Guards against a dead connection that is never detected."""

    async def check(platform, nursery):
        endpoint = f"http://{platform.store.address}"
        store = EtcdStore([endpoint], "e1", watch_idle_ms=200)
        with pytest.raises(StoreCallError):
            async with store.watch("w/") as changes:
                await anext(changes)

    run_with_platform(check)


def test_malformed_responses_are_store_errors():
    """Guards against a malformed response that crashes the process."""

    async def main():
        async def answer(exchange):
            document = {"result": [], "kvs": [{}], "ID": None}
            await exchange.answer_json(200, document)

        listener = Listener(answer)
        async with trio.open_nursery() as nursery:
            await nursery.start(listener.run)
            store = EtcdStore([f"http://{listener.address}"])
            for read in (store.get("a"), store.grant_lease(1), store.keep_alive(1)):
                with pytest.raises(StoreCallError):
                    await read
            with pytest.raises(StoreCallError):
                async with store.watch("a"):
                    pass
            assert (await store.cas("a", 0, b"")).result is CasResult.UNKNOWN
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_lease_without_an_id_is_no_lease():
    """Guards against a key that stays for good: a write under lease 0 has none."""

    async def main():
        async def answer(exchange):
            await exchange.answer_json(200, {"ID": "0", "TTL": "5"})

        listener = Listener(answer)
        async with trio.open_nursery() as nursery:
            await nursery.start(listener.run)
            with pytest.raises(StoreCallError):
                await EtcdStore([f"http://{listener.address}"]).grant_lease(1)
            nursery.cancel_scope.cancel()

    trio.run(main)
    with pytest.raises(ValueError, match="not the id of a lease"):
        Lease(0, 1_000)


def test_reads_and_unsent_writes_fail_over():
    """Guards against one unreachable endpoint that fails all calls."""

    async def check(platform, nursery):
        other = Platform()
        await nursery.start(other.store.run)
        closed_address = other.store.address
        other.store.close()
        await trio.sleep(0.1)
        open_url = f"http://{platform.store.address}"
        store = EtcdStore([f"http://{closed_address}", open_url], "e1")
        assert (await store.cas("a", 0, b"1")).result is CasResult.STORED
        store = EtcdStore([f"http://{closed_address}", open_url], "e1")
        assert (await store.get("a")).value == b"1"

    run_with_platform(check)


def test_fault_limited_to_an_entry_affects_only_that_entry():
    """Guards against partition tests that partition every entry instance."""

    async def check(platform, nursery):
        fault = {"fault": "store_down", "mode": "silent", "entries": ["e1"]}
        await call("POST", platform.platform.address, "/standin/faults", fault)
        endpoint = f"http://{platform.store.address}"
        cut_off = EtcdStore([endpoint], "e1", timeout_ms=200)
        assert (await cut_off.cas("a", 0, b"1")).result is CasResult.UNKNOWN
        with pytest.raises(StoreCallError):
            await cut_off.get("a")
        item = await EtcdStore([endpoint], "e2").get("a")
        assert item.revision == 0

    run_with_platform(check)


def test_counters_include_calls_and_waiting_watches():
    """Guards against uncounted calls in measurements of the load on the store."""

    async def check(platform, nursery):
        store = EtcdStore([f"http://{platform.store.address}"], "e1")
        await store.cas("a", 0, b"1")
        await store.get("a")
        path, address = "/standin/counters", platform.platform.address
        async with store.watch("a"):
            _, counters = await call("GET", address, path)
        assert (counters["reads"], counters["writes"]) == (1, 1)
        assert counters["waiting_watches"] == 1
        await trio.sleep(0.2)
        _, counters = await call("GET", address, path)
        assert counters["waiting_watches"] == 0

    run_with_platform(check)


def test_failed_reboot_is_not_repeated_after_the_permission_of_its_runner():
    """Guards against a reboot of an instance that serves again: its step has ended
    under another runner, and this entry instance repeats its own failed call.
    """

    async def check(platform, nursery):
        address, clock = platform.platform.address, TrioClock()
        driver = InstancesDriver(f"http://{address}", lambda event: None, clock, "e1")
        await nursery.start(driver.serve)
        driver.run(RebootInstance("b1", "step-1", clock.now_ms + 300))
        await trio.sleep(0.2)
        assert driver.n_failed == 1
        await trio.sleep(0.2)
        driver.run(ReadInstanceList())
        driver.run(RebootInstance("b1", "step-2", clock.now_ms))
        await trio.sleep(0.2)
        assert driver.n_failed == 1

    run_with_platform(check)


def test_instance_list_lags_and_failures_are_retried():
    """Guards against a lost reboot and against a stand-in list without lag."""

    async def check(platform, nursery):
        address, events = platform.platform.address, []
        driver = InstancesDriver(f"http://{address}", events.append, TrioClock(), "e1")
        await nursery.start(driver.serve)
        register = {"instances": [{"name": "b1"}, {"name": "b2", "state": "leaving"}]}
        await call("POST", address, "/standin/instances", register)
        driver.run(ReadInstanceList())
        driver.run(RebootInstance("b1", "step-1", FAR_MS))
        await trio.sleep(0.2)
        assert events[0].live == frozenset()
        assert driver.n_failed == 1
        await trio.sleep(0.3)
        driver.run(ReadInstanceList())
        await trio.sleep(0.2)
        assert driver.n_failed == 2
        last = of_type(events, InstanceListRead)[-1]
        assert (last.live, last.leaving) == ({"b1"}, {"b2"})

    run_with_platform(check, list_lag_ms=400)
