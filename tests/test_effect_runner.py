"""Effects of a call that outlives its owner."""

from types import SimpleNamespace

import pytest
import trio

from apricotgap.instance.effect_runner import EffectRunner
from apricotgap.instance.ownership import Ownership, OwnershipLostError
from apricotgap.jobs.effects import Count, LogDecision, StopRun
from apricotgap.metrics import Metrics
from tests.jobs_harness import SERVICE, task


def test_cancellation_at_an_owner_that_has_ended_counts_as_lost():
    """Guards against a 500 for a cancellation whose owner ends beneath it."""

    async def main():
        runner = EffectRunner(
            SimpleNamespace(has_unsaved=False),
            Ownership(SERVICE, 1, 1, 1, 0),
            *[None] * 6,
        )
        async with trio.open_nursery() as nursery:
            runner.open(nursery)
        with pytest.raises(OwnershipLostError):
            runner.execute([StopRun("w1", "w1:1", 1, task(0), 1)])

    trio.run(main)


def test_deferred_jobs_and_preempted_runs_are_counted():
    """Guards against an overload that the counters of an instance do not show."""
    metrics = Metrics("i1")
    runner = EffectRunner(
        SimpleNamespace(has_unsaved=False),
        Ownership(SERVICE, 1, 1, 1, 0),
        *[None] * 3,
        metrics,
        *[None] * 2,
    )
    runner.execute([Count("jobs_deferred", 3), LogDecision("run_preempted", {})])
    text = metrics.render()
    assert f'apricotgap_jobs_deferred_total{{shard="{SERVICE}"}} 3' in text
    assert f'apricotgap_runs_preempted_total{{shard="{SERVICE}"}} 1' in text
