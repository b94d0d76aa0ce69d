"""Large reads over slow links: they end, and renewals of leases go on beside them."""

import json

import pytest
import trio

from apricotgap.platform.http import HttpClient, HttpResponse, NoResponseError
from apricotgap.platform.store import StoreClient, StoreError
from tests.jobs_harness import SERVICE
from tests.owner_world import play_day
from tests.power_losses import lose_power

# A configuration with a few thousand routes.
LARGE_BYTES = 600_000
# 2 Mbit/s: the configuration alone, as base64 text, takes 3.2 s.
LINK_BYTES_PER_S = 250_000
# From the return of power to a long-running task at work, beside a link that is busy
# for 3.2 s with the configuration.
MAX_AWAY_S = 9


def enlarge_configuration(world, n_bytes=LARGE_BYTES):
    """Let the operator add to the configuration what takes this many bytes."""
    world.configuration_padding = "x" * n_bytes
    world.configure({"plans": SERVICE})


def play(day, **numbers):
    """Play a day on slow links."""

    async def slow_day(world):
        world.has_late_calls = False
        for process in world.instances:
            process.link.bytes_per_s = LINK_BYTES_PER_S
        await day(world)

    return play_day(1, slow_day, **numbers)


def n_logged(world, event):
    return sum(line["event"] == event for _, line in world.log)


def test_instances_read_a_configuration_that_takes_longer_than_a_call():
    """Guards against instances that never have a configuration after a loss of power:
    each read of it takes longer than the limit of a call and begins anew.
    """

    async def day(world):
        world.submit(2, is_long_running=True)
        await trio.sleep(3)
        enlarge_configuration(world)
        await trio.sleep(6)
        lose_power(world, 1_000)
        await trio.sleep(1 + MAX_AWAY_S)
        assert world.owner() is not None
        await trio.sleep(8)
        world.observer.check_end()

    assert play(day).broken[:3] == []


def test_no_lease_is_lost_beside_a_large_read():
    """Guards against an owner that loses its shard since its renewals wait behind the
    configuration that all instances read at once.
    """

    async def day(world):
        await trio.sleep(3)
        enlarge_configuration(world)
        await trio.sleep(10)

    world = play(day)
    assert n_logged(world, "lease_ended") == 0
    assert n_logged(world, "shard_lost") == 0


class PartSender:
    """Sends a response in parts with pauses between them, on a socket."""

    def __init__(self, n_parts, pause_s, n_sent=None):
        self._n_parts = n_parts
        self._pause_s = pause_s
        self._n_sent = n_parts if n_sent is None else n_sent

    async def __call__(self, stream):
        await stream.receive_some(1_000)
        part = b"x" * 10_000
        length = self._n_parts * len(part)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        for _ in range(self._n_sent):
            await trio.sleep(self._pause_s)
            await stream.send_all(part)
        await trio.sleep_forever()


def call_sender(sender, **limits):
    """Return the response to a call, or the error that it raises."""
    results = []

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, sender, 0)
            port = listeners[0].socket.getsockname()[1]
            call = HttpClient().call("GET", f"127.0.0.1:{port}", "/", **limits)
            try:
                with trio.fail_after(10):
                    results.append(await call)
            except NoResponseError as error:
                results.append(error)
            nursery.cancel_scope.cancel()

    trio.run(main)
    return results[0]


def test_response_that_goes_on_arriving_is_not_given_up():
    """Guards against a large response that is thrown away just before its end."""
    response = call_sender(PartSender(10, 0.1), timeout_ms=500, stall_ms=500)
    assert response.status == 200
    assert len(response.body) == 100_000


def test_response_that_stops_arriving_is_given_up():
    """Guards against a call that waits for ever on a connection that went silent."""
    error = call_sender(PartSender(10, 0.1, n_sent=2), timeout_ms=500, stall_ms=500)
    assert error.has_timed_out
    assert error.n_received_bytes > 20_000


def test_response_that_arrives_too_slowly_is_given_up():
    """Guards against a server that keeps a call for ever by a byte now and then."""

    async def trickle(stream):
        await stream.receive_some(1_000)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        while True:
            await trio.sleep(0.05)
            await stream.send_all(b"x")

    assert call_sender(trickle, timeout_ms=300, stall_ms=300).has_timed_out


def test_limit_of_a_call_without_stall_time_holds_whatever_arrives():
    """Guards against an order that outlasts the permission it was sent by."""
    assert call_sender(PartSender(10, 0.1), timeout_ms=500).has_timed_out


class PagedHttp:
    """HTTP client of a store with pages of one item, of which some calls fail."""

    def __init__(self, n_pages, failing):
        self._n_pages = n_pages
        self._failing = set(failing)
        self.targets = []

    async def call(self, method, address, target, *_args, **_options):
        self.targets.append(target)
        if len(self.targets) in self._failing:
            raise NoResponseError("timeout", sent=True)
        after = target.partition("&after=")[2]
        number = int(after.removeprefix("p%2F")) + 1 if after else 0
        page = {
            "items": [{"key": f"p/{number}", "value": "", "revision": 3}],
            "hasMore": number + 1 < self._n_pages,
            "at": 10 + len(self.targets),
        }
        return page_response(page)


def page_response(page):
    return HttpResponse(200, json.dumps(page).encode())


def test_read_of_many_pages_goes_on_where_it_stopped():
    """Guards against a read that throws all pages away whenever one of them fails."""
    store = StoreClient("10.0.0.1:1")
    store._http = http = PagedHttp(5, failing=(3, 5))
    partial = None
    for _ in range(2):
        with pytest.raises(StoreError) as caught:
            trio.run(store.read_prefix, "p/", *([partial] if partial else []))
        partial = caught.value.partial
    snapshot = trio.run(store.read_prefix, "p/", partial)
    assert [item.key for item in snapshot.items] == [f"p/{n}" for n in range(5)]
    assert snapshot.revision == 11
    assert len(http.targets) == 7
