"""One seeded run: clients, rounds of faults with calm between them, and the checks."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import trio

from soak.checks import find_problems
from soak.clients import Balancer, Client
from soak.connections import Ending
from soak.faults import Fault
from soak.fleet import open_fleet
from soak.layout import Layout
from soak.monitors import LagMonitor, ProcessMonitor, StalledTaskMonitor
from soak.operator import Operator
from soak.settlement import settle
from soak.state import SoakState
from soak.timeline import now_ms
from soak.work import WorkCatalogue

__all__ = ["Plan", "Report", "play"]

_N_SERIES = 3
_MAX_GAP_S = 1.2


@dataclass(frozen=True)
class Plan:
    """What a run plays; rounds of faults last `burst_s`, the calm between `calm_s`."""

    layout: Layout
    faults: tuple[Fault, ...]
    length_s: float
    burst_s: float = 10.0
    calm_s: float = 8.0
    n_series: int = _N_SERIES


@dataclass
class Report:
    """What callers and workers saw."""

    seed: int
    n_accepted: int = 0
    n_long_running: int = 0
    n_calls: int = 0
    n_starts: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)
    # Requests without an answer, by how they ended.
    endings: Counter[str] = field(default_factory=Counter)
    timeline: list[str] = field(default_factory=list)
    max_lag_ms: int = 0
    longest_outage_ms: int = 0
    longest_unhindered_ms: int = 0
    longest_unhindered: str = ""


async def play(seed: int, folder: str, plan: Plan) -> Report:
    """Play one seed.

    Parameters
    ----------
    seed : int
        Chooses faults and requests.
    folder : str
        Where settings and logs go.
    plan : Plan
        Size, faults and length.
    """
    random = Random(seed)
    work = WorkCatalogue()
    async with open_fleet(folder, plan.layout, work) as cluster:
        operator = Operator(cluster.platform, plan.layout)
        state = SoakState(plan.layout, cluster, operator, work)
        lag, stalls = LagMonitor(state), StalledTaskMonitor(state)
        balancer = Balancer(state)
        async with trio.open_nursery() as watchers:
            for run in (lag.run, stalls.run, ProcessMonitor(state).run, balancer.run):
                watchers.start_soon(run)
            await _run_traffic(state, balancer, random, plan)
            await settle(state, random)
            watchers.cancel_scope.cancel()
        report = _report(seed, state)
        report.max_lag_ms, report.longest_outage_ms = lag.max_ms, stalls.longest_ms
        report.longest_unhindered_ms = stalls.longest_unhindered_ms
        report.longest_unhindered = stalls.longest_unhindered
    return report


async def _run_traffic(
    state: SoakState, balancer: Balancer, random: Random, plan: Plan
) -> None:
    until_ms = now_ms() + int(plan.length_s * 1_000)
    async with trio.open_nursery() as nursery:
        for number in range(plan.layout.n_clients):
            client = Client(state, balancer, number, Random(random.random()))
            nursery.start_soon(client.run, until_ms)
        long_running = Random(random.random())
        nursery.start_soon(
            _submit_long_running, state, balancer, long_running, until_ms
        )
        nursery.start_soon(_inject_rounds, state, Random(random.random()), plan)
    state.end_ms = now_ms()


async def _submit_long_running(
    state: SoakState, balancer: Balancer, random: Random, until_ms: int
) -> None:
    async with trio.open_nursery() as nursery:
        for queue in state.layout.queues:
            for _ in range(state.layout.n_lasting_jobs if queue.is_lasting else 0):
                number = random.randrange(state.layout.n_teams)
                client = Client(state, balancer, number, Random(random.random()))
                nursery.start_soon(client.submit_lasting, queue, until_ms)


async def _inject_rounds(state: SoakState, random: Random, plan: Plan) -> None:
    until_ms = now_ms() + int(plan.length_s * 1_000)
    while plan.faults and now_ms() < until_ms:
        round_ms = min(until_ms, now_ms() + int(plan.burst_s * 1_000))
        async with trio.open_nursery() as nursery:
            for _ in range(plan.n_series):
                series = Random(random.random())
                nursery.start_soon(_inject_series, state, series, plan, round_ms)
        await trio.sleep(min(plan.calm_s, max(0, until_ms - now_ms()) / 1_000))


async def _inject_series(
    state: SoakState, random: Random, plan: Plan, until_ms: int
) -> None:
    while now_ms() < until_ms:
        fault = random.choice(plan.faults)
        with state.timeline.span(fault.name, fault.scope, fault.is_planned) as span:
            await fault.inject(state, random, span)
        await trio.sleep(random.uniform(0.1, _MAX_GAP_S))


def _report(seed: int, state: SoakState) -> Report:
    spans = state.timeline.spans
    accepted = [job for job in state.jobs.values() if job.accepted_ms is not None]
    return Report(
        seed,
        n_accepted=len(accepted),
        n_long_running=sum(job.plan.is_lasting for job in accepted),
        n_calls=state.n_calls,
        n_starts=sum(len(worker.starts) for worker in state.cluster.workers),
        faults=Counter(span.name for span in spans),
        problems=find_problems(state),
        endings=Counter(
            call.ending.value
            for call in state.unanswered
            if call.ending is not Ending.ANSWERED
        ),
        timeline=[
            f"{span.start_ms} {span.end_ms} {span.name} {sorted(span.instances)}"
            f" {span.detail}".rstrip()
            for span in spans
        ]
        + [
            f"{call.sent_ms} {call.ended_ms} {call.ending.value}: {call.method}"
            f" {call.path} at {call.instance}, call {call.n_before} of its connection"
            for call in state.unanswered
        ],
    )
