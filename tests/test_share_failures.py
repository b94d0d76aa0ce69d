"""Shares of the teams while owners fail: the fleet owner, and that of a shard."""

from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance import fleet_owner
from apricotgap.instance.fleet_owner import FleetOwner
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.configuration import Team
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.fleet_view import PoolReport, ReportRequest
from apricotgap.jobs.limits import LEASE_MARGIN_MS
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.team_shares import MEMORY_MS
from apricotgap.jobs.team_use import team_use
from apricotgap.metrics import Metrics
from tests.jobs_harness import SERVICE, Rig, configuration, job, running
from tests.test_fleet_owner import EXCLUSION_MS, FAR_MS, SHARD, Fleet, SlowStore
from tests.test_shard_owner import owner_with

pytestmark = pytest.mark.usefixtures("overload_state")

POOLS = {"s1": {"a": 3.0}, "s2": {"a": 5.0, "b": 1.0}}


class TwoPools(Fleet):
    """Two pools whose owners report the use of their teams; s2 falls silent."""

    def __init__(self, clock, silent_from_ms):
        super().__init__(clock)
        self._silent_from_ms = silent_from_ms
        self.received = []

    async def report(self, pool, request):
        now_ms = self.clock.now_ms
        if pool == "s1":
            self.received.append((now_ms, request.other_use))
        elif now_ms >= self._silent_from_ms:
            return None
        return PoolReport(0, (), 0, team_cores=POOLS[pool])


def test_use_of_a_silent_shard_is_passed_on_for_three_seconds(monkeypatch):
    """Guards against a team that pays without end for use in a shard that has failed,
    and against one whose use is forgotten with the first report that is missing.
    """

    async def main():
        clock = TrioClock()
        begin_ms = clock.now_ms
        fleet = TwoPools(clock, begin_ms + 2_000)
        monkeypatch.setattr(fleet_owner, "MachineClient", lambda *_: fleet)
        bounds = SimpleNamespace(
            move_ms=1_500, upkeep_ms=2_000, holder_lease_ms=EXCLUSION_MS
        )
        owner = FleetOwner(
            Ownership(SHARD, 1, 1, 1, 6_500),
            SimpleNamespace(fleet_address="", name="me", bounds=bounds),
            SlowStore(5),
            SimpleNamespace(valid_until_ms_of=lambda lease_id: FAR_MS),
            SimpleNamespace(
                config=configuration(),
                waves={},
                waves_begun_ms={},
                wave_revisions={},
                evacuated=frozenset(),
                services=lambda: tuple(POOLS),
            ),
            SimpleNamespace(fresh_as_of_ms=None, add_reader=lambda reader: None),
            clock,
            Metrics("me"),
            fleet.report,
        )
        with trio.move_on_after(10):
            await owner.run()
        received = [(at_ms - begin_ms, use) for at_ms, use in fleet.received]
        assert received[1][1] == POOLS["s2"]
        passed_on = [at_ms for at_ms, use in received if use]
        assert 4_000 <= max(passed_on) <= 5_000
        assert received[-1][1] == {}

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_shard_without_a_fleet_owner_counts_its_own_use():
    """Guards against totals that outlive the fleet owner who has sent them."""
    owner = owner_with(LEASE_MARGIN_MS + 10_000)
    shares, clock = owner._scheduler.shares, owner._clock
    owner.report(ReportRequest([], [], 1, {"a": 40.0}))
    shares.record_start("a", 5_000, clock.now_ms)
    assert shares.tag("a", 0, clock.now_ms) == 40 * MEMORY_MS + 5_000
    clock.advance(3_001)
    assert 0 < shares.tag("a", 0, clock.now_ms) < 5_000
    # A fleet owner of an earlier build knows no use and says nothing of it.
    assert owner.report(ReportRequest([], [], 1)).team_cores == {
        "a": shares.own_cores("a", clock.now_ms)
    }


FINITE = StepSpec(4, Resources(1_000, 100), 2_000)
LIMIT = Resources(6_000, 0)


def shard_in_shortage(epoch):
    """Return a rig of eight cores with two teams; one has a limit of six cores."""
    rig = Rig(epoch=epoch)
    teams = (
        Team("burst", frozenset(), 1.0, LIMIT),
        Team("quiet", frozenset(), 1.0, Resources()),
    )
    rig.shard.config = replace(configuration(), teams=teams)
    rig.shard.team_limits.set_configuration(rig.shard.config)
    row = rig.shard.team_limits.limit("burst")
    rig.shard.team_limits.record_split("burst", {SERVICE: row}, 1)
    demand = Demand(rig.shard)
    demand.record_share(1)
    rig.scheduler = Scheduler(rig.shard, demand, rig.overload)
    return rig


def test_new_owner_in_a_shortage_goes_on_with_the_shares():
    """Guards against a takeover that lets the burst of a team begin anew: the new owner
    knows nothing of what its predecessor has started, and starts the team's jobs first,
    beyond its limit.
    """
    specs = [
        replace(job(f"{n:016x}", (FINITE,)), team=team, submitted_ms=10_000 + n)
        for n, team in enumerate(["burst"] * 4 + ["quiet"] * 2)
    ]
    first = shard_in_shortage(1)
    first.record_all()
    first.poll()
    for spec in specs[:4]:
        first.submit(spec)
    starts = first.schedule()
    assert len(starts) == 6

    second = shard_in_shortage(2)
    for spec in specs:
        second.shard.load(spec, None, 1)
    second.record_all()
    # Of the eight cores, six run what the previous owner has started.
    second.poll(running=map(running, starts))
    second.scheduler.shares.record_running(team_use(second.shard), second.now)
    started = [start.name.job_id for start in second.schedule()]
    assert started == [specs[4].job_id] * 2
    assert second.shard.team_usage["burst"].cpu <= LIMIT.cpu
    tags = [
        second.scheduler.shares.tag(team, 0, second.now) for team in ("burst", "quiet")
    ]
    assert tags[0] > tags[1]
