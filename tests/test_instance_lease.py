"""Renewal, loss and revocation of the lease of an instance."""

from contextlib import suppress
from functools import partial

import pytest
import trio
import trio.testing

from apricotgap.clock import FakeClock, TrioClock
from apricotgap.instance.lease import (
    LEASE_TTL_MS,
    MAX_PENDING_RENEWALS,
    RENEW_INTERVAL_MS,
    InstanceLease,
)
from apricotgap.platform.store import StoreClient, StoreError


class Store:
    """Grants leases; a test expires them by clearing `alive`."""

    def __init__(self):
        self.alive = set()
        self.n_granted = 0
        self.n_waiting = 0
        self.is_down = False
        self.answer_delay_s = 0.0
        self.grant_delay_s = 0.0
        # Time until a renewal is sent.
        self.connect_s = 0.0
        self.n_renewed = 0

    async def grant_lease(self, ttl_ms, timeout_ms):
        await trio.sleep(min(self.grant_delay_s, timeout_ms / 1000))
        if self.grant_delay_s > timeout_ms / 1000:
            raise StoreError("timeout")
        self.n_granted += 1
        self.alive.add(self.n_granted)
        return self.n_granted, ttl_ms

    async def renew_lease(self, lease, timeout_ms):
        if self.is_down:
            raise StoreError("down")
        await trio.sleep(self.connect_s)
        self.n_renewed += 1
        self.n_waiting += 1
        await trio.sleep(min(self.answer_delay_s, timeout_ms / 1000))
        self.n_waiting -= 1
        if self.answer_delay_s > timeout_ms / 1000:
            raise StoreError("timeout")
        return lease in self.alive

    async def revoke_lease(self, lease):
        self.alive.discard(lease)


def run(check):
    async def main():
        store, clock = Store(), FakeClock(1_000)
        lease = InstanceLease(store, clock, 1_000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.run)
            await trio.testing.wait_all_tasks_blocked()
            await check(store, clock, lease)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))


def test_ownership_ends_with_the_lease_it_was_claimed_under():
    """Guards against an owner that continues under a later lease of its instance."""

    async def check(store, clock, lease):
        first = lease.lease_id
        store.alive.clear()
        await trio.sleep(2)
        assert lease.lease_id != first
        assert lease.is_valid
        assert lease.valid_until_ms_of(first) == 0
        assert lease.valid_until_ms_of(lease.lease_id) > clock.now_ms

    run(check)


def test_lease_duration_counts_from_before_the_renewal_was_sent():
    """Guards against a lease that the instance believes valid after it expired."""

    async def check(store, clock, lease):
        assert lease.valid_until_ms == 1_000 + LEASE_TTL_MS
        store.is_down = True
        clock.advance(LEASE_TTL_MS)
        await trio.sleep(2)
        assert not lease.is_valid

    run(check)


def test_no_lease_is_acquired_after_revocation():
    """Guards against a stopping instance that registers again."""

    async def check(store, clock, lease):
        await lease.revoke()
        await trio.sleep(5)
        assert not lease.is_valid
        assert store.n_granted == 1

    run(check)


def test_renewal_in_flight_does_not_revive_an_abandoned_lease():
    """Guards against an instance that stops and counts on its lease again, as the
    answer of a renewal comes after it has given up its shards.
    """

    async def check(store, clock, lease):
        store.answer_delay_s = 0.3
        await trio.sleep(RENEW_INTERVAL_MS / 1000 + 0.1)
        lease_id = lease.abandon()
        await trio.sleep(5)
        assert lease.valid_until_ms == 0
        assert lease.valid_until_ms_of(lease_id) == lease.valid_until_ms_of(0) == 0
        assert store.n_granted == 1

    run(check)


def test_renewal_that_was_not_sent_yet_is_not_sent_for_an_abandoned_lease():
    """Guards against shards of an instance that has stopped which wait for their next
    owner: a renewal that was waiting for its connection lengthens the abandoned lease.
    """

    async def check(store, clock, lease):
        store.connect_s = 1.0
        await trio.sleep(RENEW_INTERVAL_MS / 1000 + 0.1)
        n_renewed = store.n_renewed
        lease.abandon()
        await trio.sleep(5)
        assert store.n_renewed == n_renewed

    run(check)


def test_no_lease_is_requested_after_a_renewal_that_finds_it_ended():
    """Guards against a stopping instance that acquires one more lease."""

    async def check(store, clock, lease):
        store.alive.clear()
        store.answer_delay_s = 0.3
        await trio.sleep(RENEW_INTERVAL_MS / 1000 + 0.1)
        lease.abandon()
        await trio.sleep(5)
        assert not lease.is_valid
        assert store.n_granted == 1

    run(check)


@pytest.mark.parametrize("answer_delay_s", [0.9, 1.5, 2.0])
def test_late_answer_of_a_renewal_extends_the_lease(answer_delay_s):
    """Guards against an owner that loses its shard on a busy link: each renewal is
    answered in 0.9 s, and was given up after 0.6 s; or it was given up at the end of
    the lease as known when it was sent, which an earlier answer has put off since.
    """

    async def main():
        store, clock = Store(), TrioClock()
        lease = InstanceLease(store, clock, 1_000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.run)
            await trio.testing.wait_all_tasks_blocked()
            store.answer_delay_s = answer_delay_s
            for _ in range(200):
                await trio.sleep(0.1)
                assert lease.is_valid
            assert store.n_granted == 1
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))


def test_renewals_without_answers_are_bounded():
    """Guards against renewals that pile up while the store gives no answer."""

    async def check(store, clock, lease):
        store.answer_delay_s = 60
        await trio.sleep(20)
        assert store.n_waiting <= MAX_PENDING_RENEWALS

    run(check)


def test_renewal_that_finds_an_earlier_lease_ended_does_not_end_the_next():
    """Guards against a lease that is given up for a late answer about another one."""

    async def check(store, clock, lease):
        store.answer_delay_s = 1.0
        await trio.sleep(1.5)
        store.alive.clear()
        store.answer_delay_s = 0.0
        await trio.sleep(5)
        assert lease.lease_id in store.alive
        assert store.n_granted == 2

    run(check)


def test_lease_is_acquired_on_a_busy_link():
    """Guards against an instance that never gets a lease again, and owns no shard: each
    grant is answered in 1.2 s, was given up after 1 s and begun anew.
    """

    async def main():
        store = Store()
        store.grant_delay_s = store.answer_delay_s = 1.2
        lease = InstanceLease(store, TrioClock(), 1_000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.run)
            await trio.sleep(1.3)
            first = lease.lease_id
            for _ in range(100):
                await trio.sleep(0.1)
                assert lease.is_valid
            assert lease.lease_id == first
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))


class SilencedServer:
    """A store whose open connections go silent without a reset; new ones work."""

    def __init__(self):
        self.is_silent = False

    async def serve(self, stream):
        """Serve a connection until its client has closed it."""
        with suppress(trio.BrokenResourceError):
            await self._answer(stream)

    async def _answer(self, stream):
        is_old = not self.is_silent
        while await stream.receive_some(10_000):
            if self.is_silent and is_old:
                await trio.sleep_forever()
            # Calls at the same time get connections of their own.
            await trio.sleep(0.05)
            body = b'{"lease":7,"ttlMs":3000}'
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            await stream.send_all(head + body)


def run_silenced(check):
    """Run `check` with the client of a `SilencedServer` and a lease granted by it."""

    async def main():
        server = SilencedServer()
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(
                partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
            )
            store = StoreClient(f"127.0.0.1:{listener.socket.getsockname()[1]}")
            lease = InstanceLease(store, TrioClock(), 1_000)
            nursery.start_soon(lease.run)
            with trio.fail_after(10):
                while not lease.is_valid:
                    await trio.sleep(0.01)
                await check(server, store, lease)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def read(store):
    try:
        await store.read_key("k")
    except StoreError:
        return


def test_lease_outlasts_idle_connections_that_went_silent():
    """Guards against a lease that ends although the store answers on new connections:
    each renewal takes one of the idle connections that a burst of calls has left.
    """

    async def check(server, store, lease):
        async with trio.open_nursery() as reads:
            for _ in range(20):
                reads.start_soon(read, store)
        server.is_silent = True
        for _ in range(60):
            await trio.sleep(0.075)
            assert lease.is_valid

    run_silenced(check)


def test_what_is_left_at_a_renewal_is_reported():
    """Guards against a lease that comes near its end and no figure shows it."""
    left_ms = []

    async def main():
        store = Store()
        lease = InstanceLease(store, TrioClock(), 1_000, left_ms.append)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.run)
            await trio.testing.wait_all_tasks_blocked()
            store.answer_delay_s = 0.5
            await trio.sleep(5)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))
    # The renewal before was sent the interval and two answers earlier.
    expected_ms = LEASE_TTL_MS - RENEW_INTERVAL_MS - 2 * 500
    assert expected_ms - 50 < min(left_ms) <= expected_ms
