"""Stored list of a shard's workers: what the next owner is told of their leases."""

from base64 import b64decode

import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.decoding import decode_cbor
from apricotgap.instance.keys import owner_key, roster_key
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.roster import RosterWriter
from apricotgap.platform.store import StoreClient
from standins.transactional_store import TransactionalStore
from tests.jobs_harness import MAX_LEASE_MS, SERVICE, Rig


def test_worker_that_is_settled_no_more_is_taken_off_the_settled_ones():
    """Guards against a task that runs twice: the next incarnation of a worker holds the
    longest lease, and the next owner is still told that the worker is settled.
    """

    async def main():
        store = TransactionalStore()
        rig = Rig()
        clock = TrioClock()
        ownership = Ownership(
            SERVICE, 1, store.put(owner_key(SERVICE), b"me"), 1, MAX_LEASE_MS
        )

        def settled():
            item = store.items[f"{roster_key(SERVICE)}/settled"]
            return decode_cbor(b64decode(item.value))

        async with trio.open_nursery() as nursery:
            await nursery.start(store.listener.run)
            client = StoreClient(store.address)
            writer = RosterWriter(rig.shard, ownership, client, clock)
            nursery.start_soon(writer.run)
            await trio.sleep(0.5)
            assert settled() == [["w1", 1]]
            worker = rig.shard.workers["w1"]
            worker.longest_lease_until_ms = clock.now_ms + 60_000
            await trio.sleep(0.5)
            assert settled() == []
            nursery.cancel_scope.cancel()

    trio.run(main)
