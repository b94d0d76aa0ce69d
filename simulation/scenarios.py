"""Scenarios: deployments with the load that they get."""

from dataclasses import dataclass, replace

from apricotgap.jobs.model import Resources
from apricotgap.jobs.overload_options import (
    DEFAULT_OVERLOAD_OPTIONS,
    OverloadOptions,
)
from simulation.deployment import Deployment, Sizes
from simulation.load import ARRIVALS, JobKind, jobs_of

__all__ = ["SCENARIOS", "Scenario"]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A deployment, its kinds of jobs and how their rate changes.

    `long_running` gives the number of tasks and the milli-cores of the long-running job
    of a service. After `length_ms` no more jobs arrive; what waits is played to its
    end.
    """

    name: str
    sizes: Sizes
    kinds: tuple[JobKind, ...]
    arrivals: str
    long_running: tuple[tuple[str, int, int], ...] = ()
    length_ms: int = 34_000
    settle_ms: int = 20_000

    def play(
        self, seed: int, overload: OverloadOptions = DEFAULT_OVERLOAD_OPTIONS
    ) -> Deployment:
        """Play the scenario to its end."""
        jobs = jobs_of(self.kinds, ARRIVALS[self.arrivals], self.length_ms, seed)
        long_running = {service: (n, cpu) for service, n, cpu in self.long_running}
        deployment = Deployment(self.sizes, jobs, long_running, overload=overload)
        deployment.run(self.length_ms + self.settle_ms)
        return deployment


def _two_of_a_kind(
    quick: JobKind, heavy: JobKind, services: tuple[str, str, str, str]
) -> tuple[JobKind, ...]:
    """Return quick and heavy queues in alternation, one for each service."""
    return tuple(
        replace(kind, queue=f"{kind.queue}-{service}", service=service)
        for kind, service in zip((quick, heavy, quick, heavy), services, strict=True)
    )


_SERVICES = ("plan", "forecast", "tray", "cloud")

_OVERLOAD = Scenario(
    "overload",
    Sizes(tuple((service, 12) for service in _SERVICES), 12),
    _two_of_a_kind(
        JobKind("quick", "", 2.8, 1.6, 8, 8_600, 640, 0, memory_mb=12_000),
        JobKind("heavy", "", 1.75, 2.0, 8, 19_000, 2_100, 1, memory_mb=30_000),
        _SERVICES,
    ),
    "turns",
    tuple((service, 7, 9_000) for service in _SERVICES),
)
_ROUNDS = Scenario(
    "rounds",
    Sizes(
        tuple((service, 6) for service in _SERVICES),
        6,
        Resources(16_000, 32_768),
    ),
    _two_of_a_kind(
        JobKind("quick", "", 5.5, 1.6, 6, 800, 640, 0),
        JobKind("heavy", "", 0.65, 2.0, 8, 1_700, 1_700, 1),
        _SERVICES,
    ),
    "turns",
    tuple((service, 5, 1_000) for service in _SERVICES),
)
_PEAKS = Scenario(
    "peaks",
    Sizes(tuple((service, 11) for service in _SERVICES), 4, Resources(16_000, 32_768)),
    _two_of_a_kind(
        JobKind("quick", "", 15, 1.6, 8, 800, 750, 0),
        JobKind("heavy", "", 7, 2.0, 8, 800, 1_700, 1, checkpoints=True),
        _SERVICES,
    ),
    "peaks",
    tuple((service, 3, 1_000) for service in _SERVICES),
    length_ms=32_000,
    settle_ms=12_000,
)
SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario for scenario in (_OVERLOAD, _ROUNDS, _PEAKS)
}
