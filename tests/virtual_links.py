"""What an instance calls, in virtual time: the store, workers and its peers."""

import json

import cbor2
import trio

from apricotgap.instance.peers import PeerCallError
from apricotgap.platform.call_timer import CallTimer
from apricotgap.platform.http import HttpResponse, NoResponseError
from tests.virtual_store import LINK_MS

TARGET_HEADER = "X-Apricotgap-Target-Instance"
# A write that arrives late does so within this time.
MAX_LATE_WRITE_MS = 2_500
# What a link carries of one response before that of another.
PART_BYTES = 65_536


class SharedLink:
    """The link of a machine towards the store, shared by all responses on it.

    `bytes_per_s` is None for a link without a limit.
    """

    def __init__(self):
        self.bytes_per_s = None
        self._lock = trio.Lock()

    async def carry(self, n_bytes, on_part):
        """Carry a response; `on_part` is told of each part and ends it by False."""
        if self.bytes_per_s is None:
            on_part(n_bytes)
            return
        while n_bytes > 0:
            part = min(n_bytes, PART_BYTES)
            async with self._lock:
                await trio.sleep(part / self.bytes_per_s)
            n_bytes -= part
            if not on_part(part):
                return


class Processor:
    """The processor share of a machine: what its process handles takes turns.

    Attributes
    ----------
    call_ms : float
        Time for each call to the store or a worker, in milliseconds.
    """

    def __init__(self):
        self.call_ms = 0
        self._lock = trio.Lock()

    async def handle(self, deadline_s, is_sent):
        """Handle an answer in its turn, or a call before it is sent.

        Raises
        ------
        NoResponseError
            The time of the call is over before.
        """
        if not self.call_ms:
            return
        with trio.CancelScope(deadline=deadline_s) as scope:
            async with self._lock:
                await trio.sleep(self.call_ms / 1000)
        if scope.cancelled_caught:
            raise NoResponseError("timeout", sent=is_sent)


class Link:
    """Calls of one process. One that has been killed sends nothing more.

    Parameters
    ----------
    world : OwnerWorld
        What is called.
    process : InstanceProcess
        The caller.
    """

    def __init__(self, world, process):
        self._world = world
        self._process = process

    def _begin(self, target):
        self._process.note_step(target)
        if self._process.is_killed:
            raise NoResponseError("killed", sent=False)

    async def aclose(self):
        """Close nothing: there are no connections."""


class StoreLink(Link):
    """Stands in for the HTTP client of a `StoreClient`."""

    async def call(
        self,
        method,
        address,
        target,
        body,
        timeout_ms,
        stall_ms=None,
        on_received=None,
    ):
        """Call the store; a call that was sent is carried out whoever waits for it."""
        self._begin(_store_step(target, body))
        results = []
        answered = trio.Event()
        timer = CallTimer(timeout_ms, stall_ms)
        scope = trio.CancelScope(deadline=timer.deadline_s)

        is_over = False

        def receive(n_bytes):
            if is_over or scope.cancel_called:
                return False
            if on_received is not None:
                on_received()
            scope.deadline = timer.record_bytes(n_bytes)
            return True

        async def carry_out():
            await trio.sleep((LINK_MS + self._late_ms(target)) / 1000)
            n_bytes = 0
            try:
                results.append(await self._world.store.answer(method, target, body))
                n_bytes = len(results[0].body)
            except NoResponseError as error:
                results.append(error)
            if self._world.rng.random() >= self._world.store.lost_share:
                await trio.sleep(LINK_MS / 1000)
                # What is sent to a process that is gone takes nothing from the next.
                if is_over:
                    return
                await self._process.link.carry(n_bytes, receive)
                answered.set()

        self._world.nursery.start_soon(carry_out)
        try:
            with scope:
                await answered.wait()
        finally:
            is_over = True
        if not answered.is_set():
            raise NoResponseError("timeout", sent=True)
        await self._process.processor.handle(scope.deadline, is_sent=True)
        if isinstance(results[0], NoResponseError):
            raise results[0]
        return results[0]

    def _late_ms(self, target):
        """A write may take effect after its caller has given it up."""
        rng = self._world.rng
        is_late = target == "/v1/kv-txn" and rng.random() < self._world.store.lost_share
        return rng.randrange(MAX_LATE_WRITE_MS) if is_late else 0


class WorkerLink(Link):
    """Stands in for the HTTP clients of a `WorkerClient`."""

    async def call(
        self, method, address, target, body, timeout_ms, headers=(), stall_ms=None
    ):
        """Call the worker at an address; its answer arrives at once or not at all."""
        self._begin(target)
        deadline_s = trio.current_time() + timeout_ms / 1000
        await self._process.processor.handle(deadline_s, is_sent=False)
        worker_id = dict(headers)[TARGET_HEADER]
        status, document = await self._world.call_worker(
            address, worker_id, target, json.loads(body), timeout_ms
        )
        return HttpResponse(status, json.dumps(document).encode())

    async def close_connections(self, address):
        """Close nothing: there are no connections."""


class PeerLink(Link):
    """Stands in for a `PeerClient`."""

    def _peer_at(self, address):
        peer = self._world.process_at(address)
        if peer is None or not peer.is_up or self._process.is_killed:
            raise PeerCallError("no connection", sent=False)
        return peer

    async def verify(self, address):
        """Check that another instance can be reached."""
        self._peer_at(address)
        await trio.sleep(2 * LINK_MS / 1000)

    async def call(self, address, operation, argument, timeout_ms):
        """Call another instance, which serves calls until its process is gone."""
        peer = self._peer_at(address)
        results = []
        answered = trio.Event()

        async def serve():
            encoded = cbor2.loads(cbor2.dumps(argument))
            results.append(await peer.router.handle_peer_call(operation, encoded))
            answered.set()

        await trio.sleep(LINK_MS / 1000)
        if not peer.is_up:
            raise PeerCallError("connection closed")
        peer.nursery.start_soon(serve)
        with trio.move_on_after(timeout_ms / 1000):
            await answered.wait()
        if not results:
            raise PeerCallError("timed out")
        return cbor2.loads(cbor2.dumps(results[0]))


def _store_step(target, body):
    """Return what a call to the store does, with the keys that it names."""
    if target != "/v1/kv-txn":
        return target
    document = json.loads(body)
    keys = [row["key"] for row in document["setKeys"]] + document["remove"]
    return " ".join(["write", *keys])


__all__ = ["PeerLink", "Processor", "SharedLink", "StoreLink", "WorkerLink"]
