"""A deployment of a layout: its platform and its instances."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count

from soak.cluster import Cluster, Platform, run_cluster
from soak.layout import Layout
from soak.work import WorkCatalogue
from standins.machine_service import StandinMachine
from standins.task_worker import TaskWorker

__all__ = ["new_machine", "next_worker", "open_fleet"]

_N_RACKS = 4
_PAGE_SIZE = 50
# Entries end after three check-in intervals of 500 ms.
_SILENCE_MS = 1_500
_numbers = count()


def new_machine(
    layout: Layout, work: WorkCatalogue, service: str, data_centre: str
) -> StandinMachine:
    """Return a machine that no run has had before."""
    number = next(_numbers)
    name = f"m{number}"
    worker = TaskWorker(
        f"w{number}",
        cpu=layout.worker_cpu,
        work=work,
        gangs=work.gangs,
        zone=data_centre,
        rack=f"r-{data_centre}-{number % _N_RACKS}",
        machine=name,
    )
    return StandinMachine(name, service, worker)


def next_worker(worker: TaskWorker) -> TaskWorker:
    """Return the worker of the same machine that comes after this one."""
    return TaskWorker(
        f"w{next(_numbers)}",
        cpu=worker.cpu,
        born_ms=worker.born_ms + 1,
        work=worker.work,
        gangs=worker.gangs,
        zone=worker.zone,
        rack=worker.rack,
        machine=worker.machine,
    )


def _platform(layout: Layout, work: WorkCatalogue) -> Platform:
    machines = [
        new_machine(layout, work, pool.service, layout.data_centre(number))
        for pool in layout.pools
        for number in range(pool.n_workers)
    ]
    work.gangs.timeout_ms = layout.bound_ms("gangTimeoutMs")
    platform = Platform(layout.configuration(), machines, layout.spare_pool)
    platform.machines.page_size = _PAGE_SIZE
    platform.machines.silence_ms = _SILENCE_MS
    platform.machines.move_ms = layout.bound_ms("migrateS")
    platform.machines.upkeep_ms = layout.bound_ms("maintenanceS")
    return platform


@asynccontextmanager
async def open_fleet(
    folder: str, layout: Layout, work: WorkCatalogue
) -> AsyncIterator[Cluster]:
    """Run a deployment until the block ends."""
    platform = _platform(layout, work)
    places = [
        (layout.data_centre(number), layout.bounds)
        for number in range(layout.n_instances)
    ]
    async with run_cluster(folder, platform, places) as cluster:
        yield cluster
