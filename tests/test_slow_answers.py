"""Large answers of workers and of the platform that arrive slowly but arrive."""

import json

import pytest
import trio

from apricotgap.jobs.events import PollAnswered
from apricotgap.platform.http import NoResponseError
from apricotgap.platform.machines import MachineClient, MachineListError
from apricotgap.platform.workers import POLL_TIMEOUT_MARGIN_MS, WorkerClient
from tests.answering_http import Http
from tests.jobs_harness import FAR_MS, Rig

PAUSE_S = 0.15
N_PARTS = 10


def serve_slowly(document, check):
    """Run a check with the address of a server that answers in parts."""
    data = json.dumps(document).encode()
    size = -(-len(data) // N_PARTS)

    async def answer(stream):
        await stream.receive_some(10_000)
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data)
        )
        for start in range(0, len(data), size):
            await trio.sleep(PAUSE_S)
            await stream.send_all(data[start : start + size])

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, answer, 0)
            port = listeners[0].socket.getsockname()[1]
            with trio.fail_after(10):
                await check(f"127.0.0.1:{port}")
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_poll_with_many_ends_is_not_given_up_while_it_arrives():
    """Guards against a worker whose ends are never read: each answer takes longer than
    the limit of a poll, and is asked for again from its start.
    """
    assert N_PARTS * PAUSE_S > POLL_TIMEOUT_MARGIN_MS / 1_000
    rows = [[n, f"{'j' * 16}.0.1.{n}", n, "done", "c" * 16] for n in range(1, 501)]

    async def check(address):
        client = WorkerClient()
        response = await client.poll(address, "w1", 3, 0, 90_000, 0)
        assert len(response.ends) == 500

    serve_slowly({"clockMs": 50_000, "born": 1, "finished": rows}, check)


def test_lease_of_a_late_answer_counts_from_before_its_poll():
    """Guards against a worker that is believed to hold, or is offered, a lease that is
    longer by the time that its answer took.
    """
    rig = Rig().ready()
    worker = rig.shard.workers["w1"]
    sent_ms = rig.now
    rig.shard.offer_lease(worker, sent_ms, FAR_MS)
    bound_ms = worker.offered_until_ms
    late_ms = sent_ms + 4_000
    answer = PollAnswered(late_ms, "w1", 1, 1, sent_ms, worker.clock_ms, (), ())
    list(rig.shard.step(answer))
    assert worker.lease_until_ms == bound_ms
    # The answer shows the clock of the worker as it was at some time before.
    assert worker.clock_now_ms(late_ms) <= answer.clock_ms


def test_page_of_machines_is_not_given_up_while_it_arrives():
    """Guards against an owner of the fleet that never has a list of machines."""
    page = {
        "machines": [
            {"machine": f"m{n}", "pool": "s", "state": "up"} for n in range(500)
        ]
    }

    async def check(address):
        listed = await MachineClient(address, "me").machines()
        assert len(listed.machines) == 500

    serve_slowly(page, check)


class FailingHttp(Http):
    """Answers from a list; some calls, by their number from 1, fail."""

    def __init__(self, failing, *documents):
        super().__init__(*documents)
        self._failing = failing
        self.n_calls = 0

    async def call(self, *args, **options):
        self.n_calls += 1
        if self.n_calls in self._failing:
            raise NoResponseError("timeout", sent=True)
        return await super().call(*args, **options)


def pages(n_pages):
    """Return the pages of a list with one machine on each."""
    return [
        {"machines": [{"machine": f"m{n}", "pool": "s", "state": "up"}]}
        | ({"nextPageToken": str(n + 1)} if n + 1 < n_pages else {})
        for n in range(n_pages)
    ]


def list_machines(failing, n_pages=4):
    client = MachineClient("10.0.0.1:1", "me")
    client._http = FailingHttp(failing, *pages(n_pages))
    try:
        return sorted(trio.run(client.machines).machines), client._http.n_calls
    except MachineListError as error:
        return str(error), client._http.n_calls


def test_list_of_machines_goes_on_after_a_page_that_failed():
    """Guards against a list of many pages that begins anew with each lost answer."""
    assert list_machines({2, 5}) == (["m0", "m1", "m2", "m3"], 6)


@pytest.mark.parametrize(("failing", "n_calls"), [({1}, 1), ({2, 3}, 3)])
def test_list_of_machines_that_cannot_be_read_is_given_up(failing, n_calls):
    """Guards against a cycle of the fleet's owner that waits on a silent platform."""
    assert list_machines(failing) == ("timeout", n_calls)
