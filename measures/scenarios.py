"""Runs of a deployment, each with its figures."""

from collections import Counter
from collections.abc import Callable
from contextlib import nullcontext
from dataclasses import dataclass, field

from apricotgap.model import StepKind
from measures import figures
from measures.arrivals import BATCH_RUN_MS, Stream, draw_jobs
from measures.baselines import one_at_a_time_ms, run_in_order, static_split
from measures.figures import Job, Work
from measures.fleet import DEPLOYMENTS, REBOOT_MS, Fleet

__all__ = ["SCENARIOS", "Result", "run"]

MAX_WAIT_MS = 8_000
WARM_MS = 20_000
WINDOW_MS = 10_000
N_WINDOWS = 4
# Each team alone offers this part of a pool, so each one is above its share.
OFFERED_PER_TEAM = 0.8
URGENT_PART = 0.05
BURST_MS = 12_000
BURST_SETTLE_MS = 2_000
BURST_FACTOR = 5.0
LULL_FACTOR = 0.05
# Mean load of a queue as a part of its pool; a burst is twice the pool.
MEAN_PART = 0.4
LEDGER_PART = 0.4
CHANGE_LOAD = 0.85
I6_BOUND_MS = 5_000
ROLL_LOAD = 0.5
# A drain takes the remaining run time of the tasks, at least the mean run time.
DRAIN_MS = BATCH_RUN_MS


@dataclass(slots=True)
class Result:
    """Figures of one run.

    Parameters
    ----------
    lists : dict of str to list of float
        Samples that are joined over seeds.
    violations : dict of str to int
        Violations by invariant.
    """

    lists: dict[str, list[float]] = field(default_factory=dict)
    violations: dict[str, int] = field(default_factory=dict)

    def join(self, other: "Result") -> None:
        """Add the samples and violations of a run with another seed."""
        for name, values in other.lists.items():
            self.lists[name] = [*self.lists.get(name, []), *values]
        for name, n in other.violations.items():
            self.violations[name] = self.violations.get(name, 0) + n


def run(deployment: str, scenario: str, seed: int) -> Result:
    """Run a scenario with one seed."""
    return SCENARIOS[scenario](deployment, seed)


class _Queues:
    """Keyed queues of a deployment, their pools' slots and their teams."""

    def __init__(self, fleet: Fleet) -> None:
        document = fleet.document
        n_slots = Counter[str]()
        for item in document["instances"]:
            n_slots[item["pool"]] += item["slots"]
        spare = {p["name"] for p in document["pools"] if p["spare"]}
        keyed = [q for q in document["queues"] if not q.get("open_to_all")]
        self.n_slots = {q["name"]: n_slots[q["pool"]] for q in keyed}
        self.spare = [q["name"] for q in keyed if q["pool"] in spare]
        self.main = [q["name"] for q in keyed if q["pool"] not in spare]
        closed = {t for q in keyed if q["pool"] in spare for t in q["teams"]}
        every = [t["name"] for t in document["teams"] if t["name"] not in closed]
        self.teams = {q["name"]: q.get("teams") or every for q in keyed}


def _saturation_jobs(fleet: Fleet, duration_ms: int) -> list[Job]:
    queues = _Queues(fleet)
    streams = []
    for queue, teams in queues.teams.items():
        n_slots = queues.n_slots[queue]
        for team in teams:
            streams.append(Stream(queue, team, OFFERED_PER_TEAM * n_slots))
            n_urgent = URGENT_PART * n_slots / len(teams)
            streams.append(Stream(queue, team, n_urgent, urgent=True))
    return draw_jobs(streams, fleet.now_ms, duration_ms, fleet.rng)


def _burst_jobs(fleet: Fleet, duration_ms: int) -> list[Job]:
    queues = _Queues(fleet)
    streams = [
        Stream(q, team, LEDGER_PART * queues.n_slots[q])
        for q in queues.spare
        for team in queues.teams[q]
    ]
    for turn, queue in enumerate(queues.main):
        factor = _burst_factor(turn, len(queues.main))
        teams = queues.teams[queue]
        n_slots = MEAN_PART * queues.n_slots[queue] / len(teams)
        for team in teams:
            for urgent, part in ((False, 1 - URGENT_PART), (True, URGENT_PART)):
                streams.append(
                    Stream(queue, team, n_slots * part, urgent, factor, BURST_FACTOR)
                )
    return draw_jobs(streams, fleet.now_ms, duration_ms, fleet.rng)


def _burst_factor(turn: int, n_turns: int) -> Callable[[int], float]:
    def factor(at_ms: int) -> float:
        if at_ms // BURST_MS % n_turns == turn:
            return BURST_FACTOR
        return LULL_FACTOR

    return factor


def _limited(fleet: Fleet, work: Work, span: tuple[int, int]) -> set[str]:
    """Return teams that ran at their upper limit through the span."""
    used = Counter[str]()
    for name, start_ms, end_ms in work.spans:
        overlap = min(end_ms, span[1]) - max(start_ms, span[0])
        used[work.jobs[name].team] += max(0, overlap)
    length_ms = span[1] - span[0]
    return {t for t, n in fleet.limits().items() if used[t] >= 0.97 * n * length_ms}


def _distances(
    fleet: Fleet, work: Work, spans: list[tuple[str, tuple[int, int]]]
) -> list[float]:
    found = []
    for queue, span in spans:
        limited = _limited(fleet, work, span)
        found += figures.share_distances(work, queue, span, fleet.shares(), limited)
    return found


def _violations(fleet: Fleet, work: Work) -> dict[str, int]:
    return {
        "started_twice": figures.at_most_once_violations(work),
        "upper_limit": figures.limit_violations(work, fleet.limits()),
        "not_run": figures.not_run_violations(work),
        "budget": fleet.n_budget_violations,
        "cut": fleet.n_cut(),
    }


def _saturation(deployment: str, seed: int) -> Result:
    fleet = Fleet(DEPLOYMENTS[deployment], seed)
    begin_ms = fleet.now_ms
    duration_ms = WARM_MS + N_WINDOWS * WINDOW_MS
    jobs = _saturation_jobs(fleet, duration_ms)
    fleet.send(jobs)
    fleet.harness.run_for(duration_ms)
    end_ms = fleet.now_ms
    # Requests that arrived last need time to start or to expire.
    fleet.harness.run_for(MAX_WAIT_MS)
    queues = _Queues(fleet)
    first_ms = begin_ms + WARM_MS
    spans = [
        (queue, (first_ms + i * WINDOW_MS, first_ms + (i + 1) * WINDOW_MS))
        for queue in queues.main
        for i in range(N_WINDOWS)
    ]
    whole = (first_ms, end_ms)
    work = fleet.work()
    result = _compared(fleet, jobs, work, spans, whole)
    busy_ms = sum(
        max(0, min(end_ms, whole[1]) - max(start_ms, whole[0]))
        for _, start_ms, end_ms in work.spans
    )
    n_slots = 8 * len(fleet.document["instances"])
    result.lists["used"] = [busy_ms / (whole[1] - whole[0]) / n_slots]
    starts = sorted(start_ms for _, start_ms, _ in work.spans)
    n_half = n_slots // 2
    half_ms = starts[n_half] if len(starts) > n_half else fleet.now_ms
    result.lists["cold_start_s"] = [(half_ms - begin_ms) / 1000]
    return result


def _bursts(deployment: str, seed: int) -> Result:
    fleet = Fleet(DEPLOYMENTS[deployment], seed)
    begin_ms = fleet.now_ms
    n_main = len(_Queues(fleet).main)
    duration_ms = 2 * n_main * BURST_MS
    jobs = _burst_jobs(fleet, duration_ms)
    fleet.send(jobs)
    fleet.harness.run_for(duration_ms)
    end_ms = fleet.now_ms
    fleet.harness.run_for(MAX_WAIT_MS)
    spans = []
    for i in range(n_main, 2 * n_main):
        burst_ms = begin_ms + i * BURST_MS
        span = (burst_ms + BURST_SETTLE_MS, burst_ms + BURST_MS)
        spans.append((_Queues(fleet).main[i % n_main], span))
    whole = (begin_ms + n_main * BURST_MS, end_ms)
    work = fleet.work()
    result = _compared(fleet, jobs, work, spans, whole)
    result.lists["idle_spare"] = [_idle_spare(fleet, whole)]
    return result


def _idle_spare(fleet: Fleet, span: tuple[int, int]) -> float:
    """Return the mean part of all slots that stays idle on spare instances."""
    pools = {i["name"]: i["pool"] for i in fleet.document["instances"]}
    spare = {p["name"] for p in fleet.document["pools"] if p["spare"]}
    n_spare = sum(8 for pool in pools.values() if pool in spare)
    busy_ms = sum(
        max(0, min(run.ended_ms or span[1], span[1]) - max(run.started_ms, span[0]))
        for run in fleet.runs
        if pools[run.worker] in spare
    )
    return (n_spare - busy_ms / (span[1] - span[0])) / (8 * len(pools))


def _compared(
    fleet: Fleet,
    jobs: list[Job],
    work: Work,
    spans: list[tuple[str, tuple[int, int]]],
    whole: tuple[int, int],
) -> Result:
    n_slots = _Queues(fleet).n_slots
    in_order = run_in_order(jobs, n_slots, MAX_WAIT_MS)
    starts = figures.start_times_ms(work, whole)
    result = Result(violations=_violations(fleet, work))
    result.lists["distance"] = _distances(fleet, work, spans)
    result.lists["distance_in_order"] = _distances(fleet, in_order, spans)
    result.lists["urgent_ms"] = starts
    result.lists["urgent_ms_in_order"] = figures.start_times_ms(in_order, whole)
    goal_ms = figures.percentile(starts, 0.999)
    result.lists["fixed_reserve"] = [_fixed_reserve(jobs, n_slots, whole, goal_ms)]
    return result


def _fixed_reserve(
    jobs: list[Job], n_slots: dict[str, int], span: tuple[int, int], goal_ms: float
) -> float:
    """Return the smallest fixed reserve, as a part of all slots, that reaches a goal.

    Urgent jobs go first in the reserve baseline too, but batch never gives way.
    """
    for reserve in range(max(n_slots.values())):
        work = run_in_order(jobs, n_slots, MAX_WAIT_MS, reserve)
        if figures.percentile(figures.start_times_ms(work, span), 0.999) <= goal_ms:
            return reserve * len(n_slots) / sum(n_slots.values())
    return 1.0


def _change(deployment: str, seed: int) -> Result:
    return _data_centre_change(deployment, seed, split=False)


def _change_static(deployment: str, seed: int) -> Result:
    return _data_centre_change(deployment, seed, split=True)


def _data_centre_change(deployment: str, seed: int, *, split: bool) -> Result:
    n_entries = sum(DEPLOYMENTS[deployment].n_entries.values())
    with static_split(n_entries) if split else nullcontext():
        fleet = Fleet(DEPLOYMENTS[deployment], seed)
        queues = _Queues(fleet)
        centres = list(DEPLOYMENTS[deployment].n_entries)
        part = CHANGE_LOAD * (len(centres) - 1) / len(centres)
        streams = []
        for queue, teams in queues.teams.items():
            shares = {team: fleet.shares()[team] for team in teams}
            n_slots = part * queues.n_slots[queue]
            if queue in queues.spare:
                # The team of the spare pool stays within its upper limit.
                n_slots = min(n_slots, CHANGE_LOAD * fleet.limits()[teams[0]])
            streams += [
                Stream(queue, team, n_slots * share / sum(shares.values()))
                for team, share in shares.items()
            ]
        fleet.send(draw_jobs(streams, fleet.now_ms, WARM_MS + 60_000, fleet.rng))
        fleet.harness.run_for(WARM_MS)
        target = centres[seed % len(centres)]
        out_ms = fleet.now_ms
        fleet.start_plan("take_out_data_centre", target)
        accepted_ms = fleet.now_ms
        fleet.finish_plans(60_000)
        fleet.harness.run_for(max(0, out_ms + 25_000 - fleet.now_ms))
        closed = (accepted_ms + I6_BOUND_MS, fleet.now_ms)
        fleet.start_plan("bring_back_data_centre", target)
        fleet.finish_plans(60_000)
        fleet.harness.run_for(5_000)
        back_ms = fleet.now_ms
        fleet.harness.run_for(MAX_WAIT_MS + 5_000)
    work = fleet.work()
    arrived = [j for j in fleet.jobs.values() if out_ms <= j.at_ms < back_ms]
    done_ms = sum(j.run_ms for j in arrived if j.name in work.completed)
    result = Result(violations=_violations(fleet, work))
    result.violations["start_in_closed"] = sum(
        fleet.harness.worker_data_centre[r.worker] == target
        and closed[0] < r.started_ms < closed[1]
        for r in fleet.runs
    )
    result.lists["done"] = [done_ms / sum(j.run_ms for j in arrived)]
    return result


def _roll(deployment: str, seed: int) -> Result:
    fleet = Fleet(DEPLOYMENTS[deployment], seed)
    queues = _Queues(fleet)
    n_instances = len(fleet.document["instances"])
    pools = [p["name"] for p in fleet.document["pools"]]
    by_pool = Counter(i["pool"] for i in fleet.document["instances"])
    n_min = fleet.document["budgets"][0]["min_available"]
    n_waves = max(-(-by_pool[p] // (by_pool[p] - n_min)) for p in pools)
    bound_ms = n_waves * (DRAIN_MS + REBOOT_MS)
    streams = [
        Stream(queue, team, ROLL_LOAD * queues.n_slots[queue] / len(teams))
        for queue, teams in queues.teams.items()
        if queue not in queues.spare
        for team in teams
    ]
    jobs = draw_jobs(streams, fleet.now_ms, WARM_MS + bound_ms, fleet.rng)
    fleet.send(jobs)
    fleet.harness.run_for(WARM_MS)
    begin_ms = fleet.now_ms
    n_moves = 0
    for pool in pools:
        plan_id = fleet.start_plan("roll_pool", pool)
        steps = fleet.config.active_plans[plan_id].steps
        n_moves += sum(step.kind is StepKind.MOVE for step in steps)
    fleet.finish_plans(4 * bound_ms)
    took_ms = fleet.now_ms - begin_ms
    work = fleet.work()
    result = Result(violations=_violations(fleet, work))
    n_reboots = sum(w.n_reboots for w in fleet.harness.workers.values())  # type: ignore[attr-defined]
    result.lists = {
        "time": [took_ms / bound_ms],
        "time_one_at_a_time": [
            one_at_a_time_ms(n_instances, DRAIN_MS + REBOOT_MS) / bound_ms
        ],
        "moves": [float(n_moves)],
        "reboots": [n_reboots / n_instances],
    }
    return result


SCENARIOS: dict[str, Callable[[str, int], Result]] = {
    "roll": _roll,
    "saturation": _saturation,
    "bursts": _bursts,
    "change": _change,
    "change_static": _change_static,
}
