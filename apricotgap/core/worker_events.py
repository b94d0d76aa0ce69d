"""Event handlers for status reports of backend servers and the instance list."""

from collections.abc import Iterable
from typing import ClassVar

from apricotgap.core import (
    health,
    placement,
    polling,
    quarantine,
    task_loss,
    worker_index,
)
from apricotgap.core.effects import (
    DropConnections,
    Effect,
    LogChange,
    ReadInstanceList,
)
from apricotgap.core.events import (
    Event,
    InstanceListRead,
    Tick,
    WorkerReported,
    WorkerUnreachable,
)
from apricotgap.core.reducer import Handler
from apricotgap.core.state import EntryState

__all__ = [
    "HandleInstanceList",
    "HandleWorkerReported",
    "HandleWorkerTick",
    "HandleWorkerUnreachable",
]

# The interval grows with the size of the list, which bounds the bytes per second.
MIN_LIST_INTERVAL_MS = 2_000
LIST_INTERVAL_MS_PER_INSTANCE = 10


class HandleWorkerReported(Handler):
    """Processes a status report."""

    handles: ClassVar = (WorkerReported,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Update the health record, detect a restart and dispatch to free slots."""
        assert isinstance(event, WorkerReported)
        if event.instance not in state.config.instances:
            return
        worker_health = health.get_or_create(state, event.instance)
        restarted = (
            bool(worker_health.boot_id) and event.boot_id != worker_health.boot_id
        )
        if worker_health.n_failed_probes >= health.MIN_FAILED_PROBES_UNREACHABLE:
            yield LogChange("worker_reachable", {"instance": event.instance})
        worker_health.reported_ms = event.at_ms
        worker_health.server_now_ms = event.server_now_ms
        worker_health.n_slots = event.n_slots
        worker_health.n_others = self._n_others(
            state, event, worker_health.n_done_since_probe
        )
        worker_health.n_done_since_probe = 0
        worker_health.draining = event.draining
        worker_health.boot_id = event.boot_id
        worker_health.n_failed_probes = 0
        if restarted:
            yield from self._restarted(state, event)
        worker_index.refresh(state, event.instance, event.at_ms)
        yield from placement.schedule(state, event.at_ms)

    @staticmethod
    def _n_others(state: EntryState, event: WorkerReported, n_done: int) -> int:
        # Tasks of this entry that started or ended while the report was in transit may
        # or may not be included. All are assumed to be: if that is wrong, one task is
        # refused; the opposite assumption would leave a slot idle until the next
        # report.
        n_own = placement.n_in_flight(state, event.instance)
        return max(0, event.n_running - n_own - n_done)

    @staticmethod
    def _restarted(state: EntryState, event: WorkerReported) -> Iterable[Effect]:
        yield LogChange("worker_restarted", {"instance": event.instance})
        tasks = state.placement.by_instance.get(event.instance, {})
        for task in list(tasks.values()):
            if task.boot_id == event.boot_id:
                continue
            yield from task_loss.handle_server_restart(state, task, event.at_ms)


class HandleWorkerUnreachable(Handler):
    """Stops using an unreachable server and retries its idempotent tasks."""

    handles: ClassVar = (WorkerUnreachable,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Count the failed probe; after several, handle the tasks in flight.

        Tasks that are not idempotent keep their connections, since their responses
        arrive if the network recovers.
        """
        assert isinstance(event, WorkerUnreachable)
        instance = state.config.instances.get(event.instance)
        if instance is None:
            return
        worker_health = health.get_or_create(state, event.instance)
        worker_health.n_failed_probes += 1
        worker_index.refresh(state, event.instance, event.at_ms)
        if worker_health.n_failed_probes != health.MIN_FAILED_PROBES_UNREACHABLE:
            return
        yield LogChange("worker_unreachable", {"instance": event.instance})
        yield DropConnections(event.instance, instance.address)
        tasks = state.placement.by_instance.get(event.instance, {})
        for task in list(tasks.values()):
            quarantine.record_crash_under(state, task)
            if task.connection_lost:
                continue
            if not task.idempotent:
                placement.probe_at(state, task, event.at_ms)
            else:
                message = "the backend server became unreachable"
                yield from task_loss.handle_lost_task(state, task, message, event.at_ms)
        yield from placement.schedule(state, event.at_ms)


class HandleInstanceList(Handler):
    """Processes the platform's list of live and leaving instances."""

    handles: ClassVar = (InstanceListRead,)

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Update which instances are leaving; these get no new tasks."""
        assert isinstance(event, InstanceListRead)
        changed = state.health.leaving ^ event.leaving
        state.health.listed = event.live
        state.health.leaving = event.leaving
        for name in sorted(changed):
            worker_index.refresh(state, name, event.at_ms)
        yield from placement.schedule(state, event.at_ms)


class HandleWorkerTick(Handler):
    """Probes servers and reads the platform's instance list periodically."""

    handles: ClassVar = (Tick,)
    order: ClassVar = 40

    def apply(self, state: EntryState, event: Event) -> Iterable[Effect]:
        """Return the reads that are due."""
        n_instances = len(state.config.instances)
        interval_ms = max(
            MIN_LIST_INTERVAL_MS, n_instances * LIST_INTERVAL_MS_PER_INSTANCE
        )
        read_ms = state.health.list_read_ms
        if read_ms is None or event.at_ms - read_ms >= interval_ms:
            state.health.list_read_ms = event.at_ms
            yield ReadInstanceList()
        yield from polling.poll(state, event.at_ms)
