"""Snapshot of the machines and the reports of the pools for one planning pass."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.pool_shares import (
    FIRST_LEVEL,
    LATE_LEVEL,
    LEAST_URGENT,
    PoolWants,
)

__all__ = ["FleetView", "PoolReport", "ReportRequest", "WorkerReport"]


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """State of a worker reported by its shard; a suspect one failed several jobs.

    `drain_ms` is how long it takes to empty it of finite runs, 0 in reports of earlier
    builds.
    """

    worker_id: str
    n_runs: int
    n_long_running: int
    is_usable: bool
    is_reserved: bool
    is_suspect: bool = False
    drain_ms: int = 0


@dataclass(frozen=True, slots=True)
class PoolReport:
    """Number of workers that a shard needs, and the workers that it has.

    `wanted` are needed for long-running tasks, as the minimum and for jobs that can end
    in time: `wanted_first` for the first two and further ones by priority, each a pair
    of the priority and a number, in `wanted_by_priority`. Reports of earlier builds
    lack this division. `n_busy` of them jobs in time use now. `wanted_late` more are of
    use to jobs that can only end late, if no other pool needs them. `team_cores` has
    the mean use of each team in the shard, in cores.
    """

    wanted: int
    workers: tuple[WorkerReport, ...]
    wanted_late: int = 0
    wanted_first: int = 0
    wanted_by_priority: tuple[tuple[int, int], ...] = ()
    n_busy: int = 0
    team_cores: Mapping[str, float] = field(default_factory=dict)

    @property
    def wants(self) -> PoolWants:
        """What the pool wants by level; undivided demand counts as least urgent."""
        by_level = {FIRST_LEVEL: self.wanted_first, LATE_LEVEL: self.wanted_late}
        n_divided = self.wanted_first
        for priority, n in self.wanted_by_priority:
            level = min(priority, LEAST_URGENT)
            by_level[level] = by_level.get(level, 0) + n
            n_divided += n
        n_undivided = max(0, self.wanted - n_divided)
        by_level[LEAST_URGENT] = by_level.get(LEAST_URGENT, 0) + n_undivided
        return PoolWants(by_level, self.n_busy)


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """What the owner of the fleet tells a shard when it requests a report.

    `reserved` workers are to be drained: they get no new work. The machines of `ended`
    workers have been moved or taken down. `share` is the number of machines planned for
    the pool, `other_use` the cores that each team uses in the other shards; each is
    None in a request of an earlier build. `urgent` has, by worker, the most urgent
    priority of the jobs in time for which machines of reserved workers leave.
    """

    reserved: Sequence[str]
    ended: Sequence[str]
    share: int | None = None
    other_use: Mapping[str, float] | None = None
    urgent: Mapping[str, int] = field(default_factory=dict)


class FleetView:
    """Lookups for one planning pass, and the log lines that it collects.

    Parameters
    ----------
    at_ms : int
        Current time.
    listed_ms : int
        When the list of machines was requested.
    config : Configuration
        Source of the pools and which of them is spare.
    machines : mapping of str to Machine
        Machines by name.
    reports : mapping of str to PoolReport
        Reports by pool.
    evacuated : frozenset of str
        Data centres that get no work now.
    services : iterable of str
        Services that have a shard.
    registered : frozenset of str, optional
        Machines that registered workers name, None if they are unknown now.
    """

    def __init__(
        self,
        at_ms: int,
        listed_ms: int,
        config: Configuration,
        machines: Mapping[str, Machine],
        reports: Mapping[str, PoolReport],
        evacuated: frozenset[str],
        services: Iterable[str],
        registered: frozenset[str] | None = None,
    ) -> None:
        self.at_ms = at_ms
        self.listed_ms = listed_ms
        self.machines = machines
        self.reports = reports
        self.evacuated = evacuated
        self.registered = registered
        self.log_lines: list[LogDecision] = []
        self._services = config.service_by_name
        self._sharded = frozenset(services)
        self.spare_pool = next(
            (service.name for service in config.services if service.is_spare), ""
        )
        self._workers = {
            worker.worker_id: worker
            for report in reports.values()
            for worker in report.workers
        }

    def is_spare(self, pool: str) -> bool:
        """Whether a pool is the spare pool, whose machines are powered off."""
        service = self._services.get(pool)
        return service is not None and service.is_spare

    def worker(self, machine: Machine) -> WorkerReport | None:
        """Return the reported worker of a machine, None when no shard reports it."""
        return self._workers.get(machine.worker_id)

    def has_no_shard(self, machine: Machine) -> bool:
        """Whether a machine is in no shard's pool, so that nothing runs on it."""
        return self.is_spare(machine.pool) or machine.pool not in self._sharded

    def usable(self, pool: str) -> list[str]:
        """Return the names of a pool's machines whose workers are usable."""
        found = []
        for machine in self.machines.values():
            if machine.pool != pool or machine.state != "up":
                continue
            worker = self.worker(machine)
            if worker is not None and worker.is_usable:
                found.append(machine.name)
        return found

    def is_excluded(self, machine: Machine) -> bool:
        """Whether a machine that is up gets no work in its pool.

        Its data centre is evacuated, or its worker is suspect.
        """
        worker = self.worker(machine)
        if machine.state != "up" or worker is None:
            return False
        return machine.data_centre in self.evacuated or worker.is_suspect

    def is_only_suspect(self, machine: Machine) -> bool:
        """Whether a machine gets no work for nothing but a suspicion of its worker."""
        is_evacuated = machine.data_centre in self.evacuated
        return self.is_excluded(machine) and not is_evacuated

    def is_serving(self, machine: Machine) -> bool:
        """Whether a machine is in service; assumed for a pool without a report."""
        if machine.pool not in self.reports:
            return True
        worker = self.worker(machine)
        return worker is not None and worker.is_usable

    def pool_of(self, name: str) -> str:
        """Return the pool of a machine, an empty string for an unknown machine."""
        machine = self.machines.get(name)
        return machine.pool if machine else ""

    def n_long_running(self, machine: Machine) -> int:
        """Return the number of long-running runs on a machine."""
        worker = self.worker(machine)
        return worker.n_long_running if worker else 0

    def drain_cost(self, machine: Machine) -> tuple[int, int, int]:
        """Return a sort key: how long and how many runs keep a machine from leaving."""
        worker = self.worker(machine)
        if worker is None:
            return (0, 0, 0)
        return (worker.n_long_running, worker.drain_ms, worker.n_runs)
