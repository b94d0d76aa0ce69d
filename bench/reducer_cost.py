"""Processor time of the reducer for the events of a request's life."""

from random import Random
from time import thread_time_ns

import apricotgap.core.handlers  # noqa: F401  registers every handler
from apricotgap.core import config_codec, ledger_codec
from apricotgap.core import events as ev
from apricotgap.core.config_codec import ROOT_KEY, Root, Snapshot
from apricotgap.core.effects import StoreCas
from apricotgap.core.reducer import Reducer
from apricotgap.model import Completed, Configuration, Request
from apricotgap.model.ledger import DataCentreLedger, FleetLedger, Row, TeamRows
from bench.fleets import Size, configuration
from bench.measuring import MAX_GROWTH, Check, Sample, table
from proof.fake_worker import FakeWorker, Run
from proof.harness import FakeEntry, Harness

__all__ = ["run", "store_configuration"]

SIZES = (
    Size(40, 10, 5, 4),
    Size(400, 100, 50, 8),
    Size(2_100, 330, 292, 22),
    Size(40, 330, 5, 4),
    Size(2_100, 10, 292, 22),
)
N_REPEATS = 3
N_REQUESTS = 3_000
RUN_MS = 500
# Longer than it takes the entry to get a row for each team, a write a second.
MAX_WAIT_MS = 120_000
# Share of the slots of the data centre that the requests use.
LOAD = 0.3
_CENTRE, _HOLDER = "dc00", "e0/1-a"
LIFE = (
    ev.RequestArrived,
    ev.TaskCompleted,
    ev.TaskFailed,
    ev.TaskRefused,
    ev.TaskProbed,
)


class _TimedReducer:
    def __init__(self, reducer: Reducer) -> None:
        self._reducer = reducer
        self.state = reducer.state
        self.ns: dict[type, int] = {}
        self.n: dict[type, int] = {}

    def step(self, event: ev.Event) -> tuple:
        started = thread_time_ns()
        effects = self._reducer.step(event)
        kind = type(event)
        self.ns[kind] = self.ns.get(kind, 0) + thread_time_ns() - started
        self.n[kind] = self.n.get(kind, 0) + 1
        return effects


def store_configuration(harness: Harness, config: Configuration) -> None:
    """Write a configuration to the fake store as an operator's change would."""
    snapshot = config_codec.encode_snapshot(config, Snapshot())
    root = Root(1, snapshot.hashes, "bench")
    writes = {config_codec.part_key(h): blob for h, blob in snapshot.blobs.items()}
    writes[ROOT_KEY] = config_codec.encode_root(root)
    _store(harness, writes)


def _store(harness: Harness, writes: dict[str, bytes]) -> None:
    for key, value in writes.items():
        harness.store.call(
            StoreCas(key, key, 0, value),
            client="bench",
            reachable=lambda: True,
            link_ms=1,
            sent_ms=0,
            post=lambda build: None,
        )
    harness.run_for(10)


def _store_rows(harness: Harness, config: Configuration) -> None:
    """Give the entry a row for every team; it lowers rows without work later."""
    shares: dict[int, dict[str, dict[str, Row]]] = {}
    rows: dict[int, dict[str, TeamRows]] = {}
    for team in config.teams.values():
        bucket = ledger_codec.bucket_of(team.name)
        row = Row(team.upper_limit // 2, team.upper_limit, generation=1)
        shares.setdefault(bucket, {})[team.name] = {_CENTRE: row}
        rows.setdefault(bucket, {})[team.name] = TeamRows(row, {_HOLDER: row})
    writes = {
        ledger_codec.fleet_key(b): ledger_codec.encode(FleetLedger("bench", teams, 1))
        for b, teams in shares.items()
    } | {
        ledger_codec.data_centre_key(_CENTRE, b): ledger_codec.encode(
            DataCentreLedger("bench", teams)
        )
        for b, teams in rows.items()
    }
    _store(harness, writes)


def _start(size: Size, seed: int) -> tuple[Harness, FakeEntry]:
    harness = Harness(seed)
    config = configuration(size)
    store_configuration(harness, config)
    _store_rows(harness, config)
    runs: list[Run] = []
    for instance in config.instances.values():
        worker = FakeWorker(
            instance.name, harness.schedule, lambda _: RUN_MS, runs, instance.slots
        )
        harness.add_worker(instance.name, worker, instance.data_centre)
    entry = harness.add_entry("e0", _CENTRE, "1-a", {})
    # The first probes go out at 20/s; the last own server has answered after them.
    harness.run_for(8_000)
    return harness, entry


def _submit(harness: Harness, seed: int, n: int, label: str) -> None:
    rng = Random(seed)
    config = harness.entries["e0"].state.config
    # Callers use the queues whose pools have servers in the data centre.
    local = [i for i in config.instances.values() if i.data_centre == _CENTRE]
    pools = sorted({i.pool for i in local})
    digests = sorted(config.keys)
    n_slots = sum(i.slots for i in local)
    for i in range(n):
        digest = digests[i % len(digests)]
        queue = f"queue-{rng.choice(pools)}"
        request = Request(f"{label}{i}", queue, digest, max_wait_ms=MAX_WAIT_MS)
        delay_ms = i * RUN_MS / (n_slots * LOAD)
        harness.schedule.after(delay_ms, lambda r=request: harness.submit("e0", r))


def _measure(size: Size, seed: int) -> tuple[float, float, float]:
    harness, entry = _start(size, seed)
    timed = _TimedReducer(entry.reducer)
    entry.reducer = timed  # type: ignore[assignment]
    _submit(harness, seed + 1, N_REQUESTS, "r")
    harness.run_for(MAX_WAIT_MS + 10_000)
    n_done = sum(isinstance(o, Completed) for _, o in harness.outcomes.values())
    if n_done < N_REQUESTS * 0.99:
        raise RuntimeError(f"only {n_done} of {N_REQUESTS} requests ran")
    life_us = sum(timed.ns.get(kind, 0) for kind in LIFE) / N_REQUESTS / 1000
    tick_us = timed.ns[ev.Tick] / timed.n[ev.Tick] / 1000
    report_us = timed.ns[ev.WorkerReported] / timed.n[ev.WorkerReported] / 1000
    return life_us, tick_us, report_us


def run() -> list[Check]:
    """Print the cost at each size and return the check of flatness."""
    rows, medians = [], {}
    for size in SIZES:
        measured = [_measure(size, seed) for seed in range(N_REPEATS)]
        life, tick, report = (
            Sample(tuple(values)) for values in zip(*measured, strict=True)
        )
        medians[size] = life.median
        rows.append(
            (size.n_teams, size.n_workers, size.n_pools, life.median)
            + (life.spread, tick.median, report.median)
        )
    header = ("teams", "workers", "pools", "life_us", "spread", "tick_us", "report_us")
    print(table("reducer, processor time of a request's life", header, rows))
    smallest, largest = SIZES[0], SIZES[2]
    growth = medians[largest] / medians[smallest]
    return [
        Check("reducer: life of a request, largest to smallest", growth, MAX_GROWTH)
    ]
