"""Starts without an answer: how many an owner sends, and what it learns of answers."""

from types import SimpleNamespace

import pytest
import trio

from apricotgap.instance.effect_runner import EffectRunner
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs import limits
from apricotgap.jobs.events import StartResult
from apricotgap.jobs.model import Resources, StepSpec
from apricotgap.jobs.scheduling import Scheduler
from apricotgap.jobs.start_window import MIN_STARTS, StartWindow
from apricotgap.metrics import Metrics
from tests.jobs_harness import SERVICE, Rig, entry, job

STEP = StepSpec(200, Resources(100, 10), 1_000)


def answer(window, n_answers, n_too_late=0):
    """Record the answers of starts, those that are too late first."""
    for number in range(n_answers):
        window.record_answer(number < n_too_late)


def shrink(window):
    """Let rounds of starts time out until the window is as small as it gets."""
    while window.size > MIN_STARTS:
        answer(window, window.size, window.size)


def test_window_shrinks_while_starts_time_out():
    """Guards against an owner that sends more starts than it can handle, and makes
    them again as they time out.
    """
    window = StartWindow()
    before = window.size
    answer(window, before, before)
    assert window.size == before // 2


def test_window_never_stops_all_starts():
    """Guards against a service in which nothing starts any more."""
    window = StartWindow()
    shrink(window)
    answer(window, 1_000, 1_000)
    assert window.n_free == MIN_STARTS


def test_window_grows_again_while_it_is_in_use():
    """Guards against an owner that stays slow after a short overload."""
    window = StartWindow()
    shrink(window)
    for _ in range(limits.MAX_STARTS_PER_PASS):
        window.record_pass(window.n_free, True)
        answer(window, window.size)
    assert window.size > limits.MAX_STARTS_PER_PASS


def test_window_that_is_not_in_use_stays():
    """Guards against a window that has grown without a sign that it may."""
    window = StartWindow()
    before = window.size
    for _ in range(500):
        window.record_pass(1, False)
        answer(window, 1)
    assert window.size == before


def test_single_worker_that_answers_no_start_shrinks_the_window_little():
    """Guards against a pool that one faulty worker slows down."""
    window = StartWindow()
    for _ in range(200):
        window.record_pass(window.n_free, True)
        answer(window, window.size, 1)
    assert window.size >= 2 * MIN_STARTS


def rig_with_window():
    """Return a rig with room for 200 tasks, and the window of its scheduler."""
    rig = Rig()
    rig.list_workers(entry("w1", free=Resources(100_000, 100_000)))
    rig.ready()
    window = StartWindow()
    rig.scheduler = Scheduler(rig.shard, overload=rig.overload, start_window=window)
    rig.submit(job(steps=(STEP,)))
    return rig, window


def test_tasks_beyond_the_window_wait_until_starts_are_answered():
    """Guards against starts that time out since too many are under way."""
    rig, window = rig_with_window()
    shrink(window)
    assert len(rig.schedule()) == MIN_STARTS
    assert not rig.schedule()
    assert window.is_blocking
    answer(window, 3)
    assert len(rig.schedule()) == 3


def test_owner_without_late_starts_sends_as_many_as_ever():
    """Guards against a limit that costs an owner without need of it."""
    rig, _ = rig_with_window()
    assert len(rig.schedule()) == limits.MAX_STARTS_PER_PASS


@pytest.mark.parametrize(
    ("kind", "took_ms", "is_answering", "is_too_late"),
    [
        ("unknown", 500, True, True),
        ("unknown", 500, False, False),
        ("busy", 300, True, True),
        ("busy", 5, True, False),
        ("late", 5, False, True),
        ("room", 5, True, False),
        ("ok", 400, True, False),
    ],
)
def test_only_starts_on_workers_that_are_there_count(
    kind, took_ms, is_answering, is_too_late
):
    """Guards against workers that are gone, or refuse, and slow down the others."""
    rig, window = rig_with_window()
    answer(window, window.size - 1)
    before = window.size
    start = rig.schedule()[0]
    clock = SimpleNamespace(now_ms=rig.now)

    class Client:
        async def start(self, order, token):
            clock.now_ms = rig.now = rig.now + took_ms
            if is_answering:
                rig.poll()
            return StartResult(kind)

        async def stop(self, order, token):
            return True

    runner = EffectRunner(
        rig.shard,
        Ownership(SERVICE, 1, 1, 1, 0),
        None,
        Client(),
        clock,
        Metrics("i1"),
        lambda: None,
        lambda: None,
        window,
    )

    async def main():
        async with trio.open_nursery() as nursery:
            runner.open(nursery)
            await runner._send_start(start)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert (window.size < before) == is_too_late
