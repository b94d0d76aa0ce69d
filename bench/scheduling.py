"""Cost of scheduling steps at several sizes; run by ``python -m bench.scheduling``."""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from time import perf_counter
from unittest.mock import patch

from apricotgap.core import (
    allotments,
    claims,
    fair_queue,
    membership,
    task_events,
    worker_events,
)
from apricotgap.core.effects import Dispatch
from apricotgap.core.events import TaskCompleted, Tick, WorkerReported
from apricotgap.core.reducer import Reducer
from apricotgap.core.state import EntryState, Identity
from apricotgap.model import Configuration, DataCentre, Instance, Pool, Queue, Request
from apricotgap.model import Team as TeamRecord

__all__ = ["main"]

SIZES = ((10, 40, 5), (330, 40, 5), (10, 2_100, 292), (330, 2_100, 292))
N_STEPS = 20_000
N_DATA_CENTRES = 4
RUN_MS = 100


@contextmanager
def _without_other_modules() -> Iterator[None]:
    """Replace the modules around the scheduler, whose cost is measured alone."""
    with (
        patch.multiple(
            allotments,
            create=True,
            headroom=lambda *_: 1,
            note_started=lambda *_: None,
            note_finished=lambda *_: None,
            set_waiting=lambda *_: None,
        ),
        patch.object(claims, "conclude", lambda *_: (), create=True),
        patch.object(membership, "live_entries_of", lambda *_: {}, create=True),
    ):
        yield


def _configuration(n_teams: int, n_workers: int, n_pools: int) -> Configuration:
    data_centres = [f"d{i}" for i in range(N_DATA_CENTRES)]
    return Configuration(
        data_centres={name: DataCentre(name) for name in data_centres},
        instances={
            f"w{i}": Instance(
                f"w{i}",
                f"w{i}:1",
                data_centres[i // n_pools % N_DATA_CENTRES],
                "r",
                f"p{i % n_pools}",
            )
            for i in range(n_workers)
        },
        pools={f"p{i}": Pool(f"p{i}", spare=i == 0) for i in range(n_pools)},
        teams={f"t{i}": TeamRecord(f"t{i}", 1 + i % 5, 1_000) for i in range(n_teams)},
        queues={
            f"q{i}": Queue(f"q{i}", f"p{i}", max_length=10**6) for i in range(n_pools)
        },
    )


def _mean_us(reducer: Reducer, events: list) -> float:
    started = perf_counter()
    for event in events:
        reducer.step(event)
    return (perf_counter() - started) / len(events) * 1e6


def _measure(n_teams: int, n_workers: int, n_pools: int) -> tuple[float, ...]:
    rng = Random(1)
    state = EntryState(Identity("e1", "e1.1", "d0"), rng)
    state.config = _configuration(n_teams, n_workers, n_pools)
    handlers = [
        getattr(module, name)
        for module in (task_events, worker_events)
        for name in module.__all__
        if name.startswith("Handle")
    ]
    reducer = Reducer(state, handlers)
    at_ms = 1_000
    for i in range(2 * N_STEPS + 10 * n_workers):
        request = Request(f"r{i}", f"q{i % n_pools}", max_wait_ms=10**8)
        team = f"t{rng.randrange(n_teams)}"
        list(fair_queue.enqueue(state, request, team, at_ms))
    running: list[str] = []
    for name in state.config.instances:
        report = WorkerReported(at_ms, name, at_ms, 8, 0, boot_id="b")
        effects = reducer.step(report)
        running += [e.task_id for e in effects if isinstance(e, Dispatch)]
    started, n_done = perf_counter(), 0
    for task_id in running:
        if n_done == N_STEPS:
            break
        n_done += 1
        effects = reducer.step(TaskCompleted(at_ms, task_id, 200, 1, RUN_MS))
        running += [e.task_id for e in effects if isinstance(e, Dispatch)]
    completed_us = (perf_counter() - started) / n_done * 1e6
    names = rng.choices(list(state.config.instances), k=2_000)
    reports = [WorkerReported(at_ms, name, at_ms, 8, 8, boot_id="b") for name in names]
    reported_us = _mean_us(reducer, reports)
    tick_us = _mean_us(reducer, [Tick(at_ms + 100 * i) for i in range(20)])
    return completed_us, reported_us, tick_us


def main() -> None:
    """Print the mean cost of a step for each size."""
    with _without_other_modules():
        for size in SIZES:
            completed_us, reported_us, tick_us = _measure(*size)
            print(
                "scheduling: teams={} workers={} pools={}".format(*size),
                f"completed_us={completed_us:.0f} reported_us={reported_us:.0f}"
                f" tick_us={tick_us:.0f}",
            )


if __name__ == "__main__":
    main()
