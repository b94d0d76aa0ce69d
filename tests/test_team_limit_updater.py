"""Writes of the documents that split the teams' limits."""

import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.keys import limit_key
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.team_limit_updater import TeamLimitUpdater
from apricotgap.jobs.configuration import Team
from apricotgap.jobs.model import Resources
from tests.conditional_store import ConditionalStore
from tests.jobs_harness import FAR_MS, MAX_LEASE_MS, SERVICE, Rig, configuration, job

LIMIT = Resources(4000, 0, 0)
KEY = limit_key("bakers")


def limited():
    """Return a configuration in which the team has a limit."""
    found = configuration()
    team = Team("bakers", frozenset({"key"}), 1.0, LIMIT)
    return type(found)(1, found.queues, found.services, (team,))


def test_document_that_is_gone_is_written_anew():
    """Guards against tasks that wait for good on a limit with room: the stored split of
    their team no longer exists, and each raise of the allowance fails.
    """

    async def main():
        rig = Rig().ready()
        rig.shard.team_limits.set_configuration(limited())
        store = ConditionalStore()
        updater = TeamLimitUpdater(
            rig.shard,
            Ownership(SERVICE, 1, 5, 1, MAX_LEASE_MS),
            store,
            TrioClock(),
            lambda: FAR_MS * 1_000,
            lambda service: True,
            lambda: None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(updater.run)
            await trio.sleep(1)
            assert KEY in store.revisions
            del store.revisions[KEY]
            rig.submit(job())
            await trio.sleep(2)
            nursery.cancel_scope.cancel()
        assert KEY in store.revisions
        assert len(rig.schedule()) == 2

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.001))
