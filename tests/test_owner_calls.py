"""Calls to an owner that loses its shard: whether they may have been executed."""

from types import SimpleNamespace

import pytest
import trio

from apricotgap.clock import FakeClock
from apricotgap.instance.keys import Owner
from apricotgap.instance.owner_calls import OwnerCallError, OwnerCalls
from apricotgap.instance.ownership import OwnershipLostError
from apricotgap.jobs.documents import encode_job
from tests.jobs_harness import job

OWNER = Owner("other", "2-1", "other:1", 3)


class LosingOwner:
    """An owner that notices the loss of its shard after its first write."""

    def __init__(self):
        self.ready = trio.Event()
        self.ready.set()

    async def submit(self, job, deadline_ms):
        raise OwnershipLostError("replaced")


class Link:
    """Peers that are answered by the calls of another instance."""

    def __init__(self, calls):
        self._calls = calls

    async def call(self, address, operation, argument, timeout_ms):
        return await self._calls.handle(operation, argument)


def calls(owners, peers=None):
    view = SimpleNamespace(owner=lambda service: OWNER)
    return OwnerCalls(owners, view, peers, FakeClock())


@pytest.mark.parametrize("is_local", [True, False])
def test_submission_at_an_owner_that_lost_its_shard_may_be_stored(is_local):
    """Guards against a 503 for a job whose first write took effect unseen."""

    async def main():
        at_owner = calls({"s": LosingOwner()})
        caller = at_owner if is_local else calls({}, Link(at_owner))
        with pytest.raises(OwnerCallError) as caught:
            await caller.call("s", "submit", encode_job(job()), 1_000)
        assert caught.value.may_have_executed

    trio.run(main)


def test_submission_at_an_instance_that_is_not_the_owner_is_not_stored():
    """Guards against a 504 for a job that no owner has seen."""

    async def main():
        with pytest.raises(OwnerCallError) as caught:
            await calls({}, Link(calls({}))).call("s", "submit", b"", 1_000)
        assert not caught.value.may_have_executed

    trio.run(main)
