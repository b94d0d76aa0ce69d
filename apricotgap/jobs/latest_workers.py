"""The latest worker of each machine, as of the last list of workers."""

from collections.abc import Collection, Iterable

from apricotgap.jobs.fleet import WorkerEntry

__all__ = ["LatestWorkers"]


class LatestWorkers:
    """Tells which workers have ended since their machines run later ones.

    A machine runs one worker at a time, so that nothing runs on the earlier one,
    whatever is left of its lease.
    """

    def __init__(self) -> None:
        self._by_machine: dict[str, WorkerEntry] = {}
        self._born_ms: dict[str, int] = {}

    def record(self, entries: Iterable[WorkerEntry], services: Collection[str]) -> None:
        """Record a list of workers.

        Parameters
        ----------
        entries : iterable of WorkerEntry
            The workers of all services.
        services : collection of str
            Services that the configuration names. An entry of any other one may have
            been written by something that is no worker.
        """
        self._by_machine = {}
        self._born_ms = {}
        for entry in entries:
            self._born_ms[entry.worker_id] = entry.born_ms
            if not entry.machine or entry.service not in services:
                continue
            known = self._by_machine.get(entry.machine)
            if known is None or entry.born_ms > known.born_ms:
                self._by_machine[entry.machine] = entry

    def successor_of(self, entry: WorkerEntry) -> WorkerEntry | None:
        """Return the later worker of a worker's machine, None if none is known.

        None as well if the worker's id has a later incarnation: starts under way name
        the id only and may reach that one.
        """
        later = self._by_machine.get(entry.machine)
        if later is None or later.worker_id == entry.worker_id:
            return None
        has_incarnation = self._born_ms.get(entry.worker_id, 0) > entry.born_ms
        if later.born_ms <= entry.born_ms or has_incarnation:
            return None
        return later
