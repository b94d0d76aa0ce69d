"""Figures computed from the records of a run."""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

__all__ = [
    "Job",
    "Work",
    "at_most_once_violations",
    "fill_by_weight",
    "limit_violations",
    "mean",
    "not_run_violations",
    "percentile",
    "served_ms",
    "share_distances",
    "start_times_ms",
]

Span = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Job:
    """A request that a caller sends.

    Parameters
    ----------
    name : str
        Request identifier.
    at_ms : int
        Time of arrival in milliseconds.
    queue : str
        Queue.
    team : str
        Team.
    urgent : bool
        Whether it is urgent.
    run_ms : int
        Run time on a slot in milliseconds.
    idempotent : bool
        Whether it may run more than once.
    """

    name: str
    at_ms: int
    queue: str
    team: str
    urgent: bool
    run_ms: int
    idempotent: bool


@dataclass(slots=True)
class Work:
    """What became of the jobs of a run.

    Parameters
    ----------
    jobs : dict of str to Job
        Jobs by name.
    spans : list of tuple
        Job name, start and end in milliseconds of each run on a slot.
    ended_ms : dict of str to int
        When the caller got an outcome, by job.
    completed : set of str
        Jobs that completed.
    not_run : set of str
        Jobs whose outcome says that nothing ran.
    """

    jobs: dict[str, Job]
    spans: list[tuple[str, int, int]] = field(default_factory=list)
    ended_ms: dict[str, int] = field(default_factory=dict)
    completed: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)

    def first_starts_ms(self) -> dict[str, int]:
        """Return the first start of each job that ran."""
        starts: dict[str, int] = {}
        for name, start_ms, _ in self.spans:
            starts[name] = min(start_ms, starts.get(name, start_ms))
        return starts


def percentile(values: Iterable[float], share: float) -> float:
    """Return the nearest-rank percentile; `share` is between 0 and 1."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def fill_by_weight(
    total: float, weights: Mapping[str, float], demands: Mapping[str, float]
) -> dict[str, float]:
    """Split `total` by weight; what a team does not demand goes to the others."""
    shares = dict.fromkeys(weights, 0.0)
    open_teams = {team for team in weights if demands.get(team, 0) > 0}
    left = total
    while open_teams and left > 1e-9:
        unit = left / sum(weights[team] for team in sorted(open_teams))
        full = {
            team for team in open_teams if demands[team] <= unit * weights[team] + 1e-9
        }
        if not full:
            for team in open_teams:
                shares[team] = unit * weights[team]
            break
        for team in sorted(full):
            shares[team] = demands[team]
            left -= demands[team]
        open_teams -= full
    return shares


def served_ms(work: Work, queue: str, span: Span) -> dict[str, float]:
    """Return the slot time of batch work of a queue in a span, by team."""
    served: dict[str, float] = {}
    for name, start_ms, end_ms in work.spans:
        job = work.jobs[name]
        if job.queue == queue and not job.urgent:
            overlap = min(end_ms, span[1]) - max(start_ms, span[0])
            if overlap > 0:
                served[job.team] = served.get(job.team, 0) + overlap
    return served


def share_distances(
    work: Work,
    queue: str,
    span: Span,
    weights: Mapping[str, float],
    limited: Iterable[str] = (),
) -> list[float]:
    """Return the distance of each team from its share of a queue's slot time.

    A team's demand is what it got and what of it still waits when the span ends.
    Teams in `limited` are at their upper limit and demand no more than they got.
    """
    got = served_ms(work, queue, span)
    total = sum(got.values())
    if not total:
        return []
    demands = dict(got)
    starts = work.first_starts_ms()
    for name, job in work.jobs.items():
        if job.queue != queue or job.urgent or job.at_ms >= span[1]:
            continue
        left_ms = min(starts.get(name, math.inf), work.ended_ms.get(name, math.inf))
        if left_ms > span[1] and job.team not in limited:
            demands[job.team] = demands.get(job.team, 0) + job.run_ms
    shares = fill_by_weight(total, {t: weights[t] for t in demands}, demands)
    return [abs(got.get(team, 0) - shares[team]) / total for team in sorted(shares)]


def start_times_ms(work: Work, span: Span) -> list[float]:
    """Return the time from arrival to start of urgent jobs; infinite if none."""
    starts = work.first_starts_ms()
    return [
        starts.get(name, math.inf) - job.at_ms
        for name, job in work.jobs.items()
        if job.urgent and span[0] <= job.at_ms < span[1]
    ]


def limit_violations(work: Work, limits: Mapping[str, int]) -> int:
    """Count the starts that put a team above its upper limit."""
    changes = sorted(
        (at_ms, step, work.jobs[name].team)
        for name, start_ms, end_ms in work.spans
        for at_ms, step in ((start_ms, 1), (end_ms, -1))
    )
    running: dict[str, int] = {}
    n_violations = 0
    for _, step, team in changes:
        running[team] = running.get(team, 0) + step
        n_violations += step > 0 and running[team] > limits[team]
    return n_violations


def at_most_once_violations(work: Work) -> int:
    """Count further starts of jobs that are not idempotent."""
    names = [n for n, _, _ in work.spans if not work.jobs[n].idempotent]
    return len(names) - len(set(names))


def not_run_violations(work: Work) -> int:
    """Count jobs that ran although their outcome says that nothing ran."""
    return len(work.not_run & {name for name, _, _ in work.spans})


def mean(values: Sequence[float]) -> float:
    """Return the mean, not a number for no values."""
    return sum(values) / len(values) if values else math.nan
