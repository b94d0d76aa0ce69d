"""Seeded arrivals of requests."""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from measures.figures import Job

__all__ = ["BATCH_RUN_MS", "URGENT_RUN_MS", "Stream", "draw_jobs"]

BATCH_RUN_MS = 1_000
URGENT_RUN_MS = 200
IDEMPOTENT_SHARE = 0.7

Factor = Callable[[int], float]


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one team for one queue.

    Parameters
    ----------
    queue, team : str
        Where they go and who sends them.
    n_slots : float
        Slots that they keep busy at a factor of one.
    urgent : bool
        Whether they are urgent.
    factor : callable
        Factor on the rate at a time in milliseconds after the begin.
    max_factor : float
        Largest value of `factor`.
    """

    queue: str
    team: str
    n_slots: float
    urgent: bool = False
    factor: Factor = lambda _: 1.0
    max_factor: float = 1.0


def draw_jobs(
    streams: Iterable[Stream], begin_ms: int, duration_ms: int, rng: Random
) -> list[Job]:
    """Draw Poisson arrivals with exponential run times cut at four means."""
    drawn = []
    for stream in streams:
        mean_ms = URGENT_RUN_MS if stream.urgent else BATCH_RUN_MS
        rate = stream.n_slots * stream.max_factor / mean_ms
        if not rate:
            continue
        after_ms = rng.expovariate(rate)
        while after_ms < duration_ms:
            if rng.random() * stream.max_factor < stream.factor(int(after_ms)):
                run_ms = int(min(4, max(0.05, rng.expovariate(1))) * mean_ms)
                idempotent = rng.random() < IDEMPOTENT_SHARE
                drawn.append((begin_ms + int(after_ms), stream, run_ms, idempotent))
            after_ms += rng.expovariate(rate)
    drawn.sort(key=lambda item: item[0])
    numbers = itertools.count(1)
    return [
        Job(f"job-{next(numbers)}", at_ms, s.queue, s.team, s.urgent, run_ms, idem)
        for at_ms, s, run_ms, idem in drawn
    ]
