"""Reducer of a shard: the jobs of one service and the workers that run them."""

from collections.abc import Callable, Iterable

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect
from apricotgap.jobs.events import (
    PollAnswered,
    PollFailed,
    StartAnswered,
    StopAnswered,
    WorkersListed,
)
from apricotgap.jobs.fleet_view import WorkerReport
from apricotgap.jobs.job_state import JobState
from apricotgap.jobs.model import NO_RESOURCES, Resources
from apricotgap.jobs.shard_workers import ShardWorkers
from apricotgap.jobs.team_limits import TeamLimits
from apricotgap.jobs.workers import Worker

__all__ = ["Shard"]


class Shard(ShardWorkers):
    """State of one service's jobs, runs and workers, and its transitions.

    Each layer knows those below it: workers list runs, and runs belong to jobs.

    Parameters
    ----------
    service : str
        Name of the service.
    epoch : int
        Fencing token of this owner, greater than that of any previous owner.
    max_lease_ms : int
        Maximum length of a worker's lease.
    stop_ms : int
        Maximum time that a worker takes to stop a run.
    max_list_age_ms : int
        Maximum age of the list of workers by which tasks start on workers that do not
        check admission.
    inherited_lease_ms : int, optional
        Maximum time for which leases of workers last that previous owners gave, by
        default `max_lease_ms`.
    """

    def __init__(
        self,
        service: str,
        epoch: int,
        max_lease_ms: int,
        stop_ms: int = 1_000,
        max_list_age_ms: int = 3_000,
        inherited_lease_ms: int | None = None,
    ) -> None:
        super().__init__(service, epoch, max_lease_ms, stop_ms, inherited_lease_ms)
        self._max_list_age_ms = max_list_age_ms
        self.evacuated: frozenset[str] = frozenset()
        # Ids of the workers that the last scheduling pass left to a gang.
        self.kept_workers: frozenset[str] = frozenset()
        self.team_limits = TeamLimits(service)
        # What unknown runs of earlier owners may use, as of the last scheduling pass.
        self.inherited_usage: dict[str, Resources] = {}
        self._handlers: dict[type, Callable[..., Iterable[Effect]]] = {
            WorkersListed: self._workers_listed,
            PollAnswered: self._poll_answered,
            PollFailed: self._poll_failed,
            StartAnswered: self._start_answered,
            StopAnswered: self._stop_answered,
        }

    def knows_capacities(self, at_ms: int) -> bool:
        """Whether tasks may start by the capacities in the list of workers.

        A capacity may have shrunk since. Workers that check admission know their own.
        """
        if self.has_admission_check:
            return True
        return at_ms - self.list_fresh_ms <= self._max_list_age_ms

    def accepting_workers(self, at_ms: int) -> list[Worker]:
        """Return the workers that may be given new work now.

        While more than half of the pool is suspect, a suspect worker may try again
        sooner: rather the jobs are at fault than so many workers.
        """
        workers = [
            worker
            for worker in self.workers.values()
            if worker.entry.data_centre not in self.evacuated
        ]
        accepting = [worker for worker in workers if worker.accepts(at_ms)]
        n_suspect = sum(worker.suspect_since_ms is not None for worker in workers)
        if 2 * n_suspect <= len(workers):
            return accepting
        return accepting + [each for each in workers if each.is_only_suspect(at_ms)]

    def report_workers(
        self, at_ms: int, drain_ms: Callable[[Worker, int], int]
    ) -> tuple[WorkerReport, ...]:
        """Return the state of the workers for the owner of the fleet.

        Parameters
        ----------
        at_ms : int
            Current time.
        drain_ms : callable
            Returns how long it takes to empty a worker from a time on.
        """
        return tuple(
            WorkerReport(
                worker.worker_id,
                worker.n_possible_runs,
                worker.n_long_running,
                worker.is_usable(at_ms, self.evacuated),
                worker.is_reserved(at_ms),
                worker.suspect_since_ms is not None,
                drain_ms(worker, at_ms),
            )
            for worker in self.workers.values()
        )

    def is_within_team_limit(self, team: str, allocation: Resources) -> bool:
        """Whether a team may use this much more in this shard."""
        limit = self.team_limits.allowed(team)
        if limit is None:
            return True
        return (self.possible_usage_of(team) + allocation).fits(limit)

    def possible_usage_of(self, team: str) -> Resources:
        """Return the most that a team uses, by known and by unknown runs."""
        known = self.team_usage.get(team, NO_RESOURCES)
        return known + self.inherited_usage.get(team, NO_RESOURCES)

    def lacks_only_silent_workers(self, at_ms: int) -> bool:
        """Whether all workers have answered this owner that have not missed a poll."""
        if at_ms - self.loaded_ms < limits.COPY_SILENT_MS:
            return False
        return all(
            worker.is_acquired or worker.has_missed_poll(at_ms)
            for worker in self.workers.values()
            if worker.is_unverified
        )

    def may_copy_unknown_runs(self, job: JobState) -> bool:
        """Whether tasks of a job may start beside unknown runs of an earlier owner.

        A team with a limit might exceed it by them.
        """
        if self.team_limits.allowed(job.spec.team) is not None:
            return False
        return any(step.may_be_copied for step in job.spec.steps)

    def needs_ticket(self, queue: str) -> bool:
        """Whether starts of a queue's tasks need a ticket of the advice service."""
        spec = self.config.queue_by_name.get(queue) if self.config else None
        return spec is not None and spec.needs_ticket

    def step(self, event: object) -> list[Effect]:
        """Apply an event and return its effects."""
        return list(self._handlers[type(event)](event))
