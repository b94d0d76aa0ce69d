"""Machines and the pools' reports, as one planning pass looks at them."""

from collections.abc import Mapping
from dataclasses import dataclass

from apricotgap.jobs.configuration import Configuration
from apricotgap.jobs.effects import LogDecision
from apricotgap.jobs.fleet import Machine

__all__ = ["FleetView", "PoolReport", "WorkerReport"]


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker as its shard sees it; a suspect one fails what it starts."""

    worker_id: str
    n_runs: int
    n_long_running: int
    is_usable: bool
    is_reserved: bool
    is_suspect: bool = False


@dataclass(frozen=True, slots=True)
class PoolReport:
    """What a shard wants and has."""

    wanted: int
    workers: tuple[WorkerReport, ...]


class FleetView:
    """Lookups of one planning pass, and the lines it writes.

    Parameters
    ----------
    at_ms : int
        Now.
    config : Configuration
        Names the pools.
    machines : mapping of str to Machine
        The list of machines.
    reports : mapping of str to PoolReport
        Reports by pool.
    evacuated : frozenset of str
        Data centres whose machines serve nothing now.
    """

    def __init__(
        self,
        at_ms: int,
        config: Configuration,
        machines: Mapping[str, Machine],
        reports: Mapping[str, PoolReport],
        evacuated: frozenset[str],
    ) -> None:
        self.at_ms = at_ms
        self.machines = machines
        self.reports = reports
        self.evacuated = evacuated
        self.log_lines: list[LogDecision] = []
        self._services = config.service_by_name
        self.spare_pool = next(
            (service.name for service in config.services if service.is_spare), ""
        )
        self._workers = {
            worker.worker_id: worker
            for report in reports.values()
            for worker in report.workers
        }

    def is_spare(self, pool: str) -> bool:
        """Whether the machines of a pool are off."""
        service = self._services.get(pool)
        return service is not None and service.is_spare

    def worker(self, machine: Machine) -> WorkerReport | None:
        """Return the worker of a machine as its shard sees it."""
        return self._workers.get(machine.worker_id)

    def has_no_shard(self, machine: Machine) -> bool:
        """Whether a machine may be taken without asking a shard."""
        if self.is_spare(machine.pool):
            return True
        return machine.pool not in self._services

    def usable(self, pool: str) -> list[str]:
        """Return the machines of a pool whose workers take work."""
        found = []
        for machine in self.machines.values():
            if machine.pool != pool or machine.state != "up":
                continue
            worker = self.worker(machine)
            if worker is not None and worker.is_usable:
                found.append(machine.name)
        return found

    def is_excluded(self, machine: Machine) -> bool:
        """Whether a pool's machine gets no work where it is, though it is sound."""
        worker = self.worker(machine)
        if machine.state != "up" or worker is None:
            return False
        return machine.data_centre in self.evacuated or worker.is_suspect

    def is_serving(self, machine: Machine) -> bool:
        """Whether a machine does in its pool what it is there for."""
        if machine.pool not in self.reports:
            return True
        worker = self.worker(machine)
        return worker is not None and worker.is_usable

    def pool_of(self, name: str) -> str:
        """Return the pool of a machine, empty for an unknown one."""
        machine = self.machines.get(name)
        return machine.pool if machine else ""

    def n_long_running(self, machine: Machine) -> int:
        """Return the number of lasting runs on a machine."""
        worker = self.worker(machine)
        return worker.n_long_running if worker else 0

    def drain_cost(self, machine: Machine) -> tuple[int, int]:
        """Order machines by what would have to leave them."""
        worker = self.worker(machine)
        return (worker.n_long_running, worker.n_runs) if worker else (0, 0)
