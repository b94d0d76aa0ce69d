"""Owner of a shard beside the end of its lease."""

from types import SimpleNamespace

import pytest

from apricotgap.clock import FakeClock
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.instance.shard_owner import ShardOwner
from apricotgap.instance.worker_list import WorkerList
from apricotgap.jobs.demand import Demand
from apricotgap.jobs.fleet_view import ReportRequest
from apricotgap.jobs.limits import LEASE_MARGIN_MS
from apricotgap.jobs.migration import Migrator
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from apricotgap.metrics import Metrics
from tests.jobs_harness import (
    MAX_LEASE_MS,
    SERVICE,
    Rig,
    configuration,
    job,
    running,
    stops,
)

LEASE_ID = 7
NOW_MS = 10_000


def owner_with(lease_left_ms, overload=DEFAULT_OVERLOAD_OPTIONS):
    """Return an owner whose lease ends then, and that of another one much later."""
    bounds = SimpleNamespace(
        max_lease_ms=MAX_LEASE_MS,
        stop_timeout_ms=900,
        contact_ms=3_000,
        status_retention_ms=120_000,
    )
    ends = {LEASE_ID: NOW_MS + lease_left_ms}
    return ShardOwner(
        Ownership(SERVICE, 1, 5, LEASE_ID, MAX_LEASE_MS),
        SimpleNamespace(bounds=bounds, advice_address="", speed_milli=1_000),
        SimpleNamespace(),
        SimpleNamespace(valid_until_ms_of=lambda lease_id: ends.get(lease_id, 0)),
        SimpleNamespace(has_shard=lambda service: True, config_confirmed_ms=NOW_MS),
        SimpleNamespace(),
        SimpleNamespace(),
        FakeClock(NOW_MS),
        Metrics("me"),
        overload,
    )


@pytest.mark.parametrize("lease_left_ms", [-1, 0, LEASE_MARGIN_MS - 1])
def test_owner_whose_lease_ends_reports_no_worker_as_empty(lease_left_ms):
    """Guards against a machine order that ends tasks: a successor may have started them
    on a worker that this owner believes empty.
    """
    with pytest.raises(OwnershipLostError):
        owner_with(lease_left_ms).report(ReportRequest([], []))


def test_owner_with_a_valid_lease_reports():
    """Guards against a pool that is never resized."""
    assert owner_with(LEASE_MARGIN_MS).report(ReportRequest([], [])).workers == ()


@pytest.mark.parametrize(
    ("lease_left_ms", "n_stops"), [(MAX_LEASE_MS, 1), (LEASE_MARGIN_MS, 0)]
)
def test_request_that_reserves_a_worker_stops_its_runs_at_once(lease_left_ms, n_stops):
    """Guards against a machine that waits for the next tick of its shard to be emptied,
    and against stops whose tasks this owner may not start elsewhere.
    """
    rig = Rig(overload=OverloadOptions(stops_finite_runs=True)).ready()
    rig.shard.unix_offset_ms = -rig.now
    step = StepSpec(1, Resources(1000, 100), 9_000, checkpoints=True)
    rig.submit(job(steps=(step,)))
    (start,) = rig.schedule()
    rig.answer(start)
    rig.poll(running=[running(start, 10)])
    owner = owner_with(lease_left_ms)
    effects = []
    owner._effects = SimpleNamespace(execute=effects.extend)
    owner._shard, owner._clock = rig.shard, FakeClock(rig.now)
    owner._migrator = Migrator(rig.shard, rig.overload)
    owner._demand = Demand(rig.shard)
    owner._preemptor = SimpleNamespace(run=lambda at_ms: [])
    report = owner.report(ReportRequest(["w1"], [], 1, None, {"w1": 0}))
    assert len(stops(effects)) == n_stops
    (worker,) = report.workers
    assert worker.is_reserved
    assert worker.n_runs == 1
    assert worker.drain_ms == rig.shard.stop_listing_delay_ms


def test_list_of_workers_is_applied_again_with_a_new_configuration():
    """Guards against tasks that wait for the lease of a worker whose machine runs a
    later one of a service that only a newer configuration names.
    """
    owner = owner_with(MAX_LEASE_MS)
    workers = WorkerList(SimpleNamespace(), FakeClock(NOW_MS))
    owner._workers = workers
    owner._cluster_view = SimpleNamespace(config=None, evacuated=frozenset())
    assert workers.has_changed_for(SERVICE)
    owner._apply_configuration()
    assert not workers.has_changed_for(SERVICE)
    owner._cluster_view.config = configuration()
    owner._apply_configuration()
    assert workers.has_changed_for(SERVICE)
