"""Health of backend servers: status reports, failures and ejection."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricotgap.core.effects import Count, Effect, LogChange
from apricotgap.core.limits import IN_FORCE_BOUND_MS, START_WINDOW_MS
from apricotgap.core.polling import PollState
from apricotgap.core.retry import RetryState
from apricotgap.model import DataCentreState, InstanceState

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "HealthState",
    "WorkerHealth",
    "can_take_work",
    "forget_report",
    "get_or_create",
    "has_recent_report",
    "is_available",
    "recent_failures",
    "record_failure",
    "record_success",
]

# Together with the start window, this age keeps the promised bound after which a
# draining server gets no new work.
MAX_REPORT_AGE_MS = IN_FORCE_BOUND_MS - START_WINDOW_MS
# A single lost probe is no evidence that a server and its tasks have failed.
MIN_FAILED_PROBES_UNREACHABLE = 3
MAX_CONSECUTIVE_FAILURES = 5
MAX_FAILURE_RATIO = 0.5
MIN_RATIO_WEIGHT = 10.0
MAX_EJECTED_SHARE = 0.3
EJECTION_MS = 5_000
MAX_EJECTION_MS = 300_000
_HALF_LIFE_MS = 10_000


@dataclass(slots=True)
class WorkerHealth:
    """Health record of a backend server.

    `n_others` is the number of tasks of other entry instances at the last report.
    `probation` lasts from the end of an ejection to the first success; meanwhile
    the server gets one task at a time. Failures and successes decay by half every
    ``_HALF_LIFE_MS``.
    """

    reported_ms: int | None = None
    server_now_ms: int = 0
    n_slots: int = 0
    n_others: int = 0
    n_done_since_probe: int = 0
    draining: bool = False
    boot_id: str = ""
    probe_sent_ms: int | None = None
    n_failed_probes: int = 0
    n_consecutive: int = 0
    n_ok: float = 0.0
    n_failed: float = 0.0
    decayed_ms: int = 0
    ejected_until_ms: int | None = None
    ejected_ms: int = 0
    n_ejections: int = 0
    probation: bool = False


@dataclass(slots=True)
class HealthState:
    """Health of all backend servers.

    `listed` and `leaving` are taken from the instance list of the platform; `listed`
    is None until it was read.
    """

    workers: dict[str, WorkerHealth] = field(default_factory=dict)
    ejected_by_pool: dict[str, dict[str, None]] = field(default_factory=dict)
    listed: frozenset[str] | None = None
    leaving: frozenset[str] = frozenset()
    list_read_ms: int | None = None
    retries: RetryState = field(default_factory=RetryState)
    polls: PollState = field(default_factory=PollState)


def get_or_create(state: "EntryState", instance: str) -> WorkerHealth:
    """Return the health record of a backend server, created if absent."""
    worker = state.health.workers.get(instance)
    if worker is None:
        worker = state.health.workers[instance] = WorkerHealth()
    return worker


def has_recent_report(state: "EntryState", instance: str, at_ms: int) -> bool:
    """Tell whether the last status report is recent enough for a dispatch."""
    worker = state.health.workers.get(instance)
    if worker is None or worker.reported_ms is None:
        return False
    return at_ms - worker.reported_ms <= MAX_REPORT_AGE_MS


def forget_report(state: "EntryState", instance: str) -> None:
    """Forget the status of a server that is no longer polled."""
    worker = state.health.workers.get(instance)
    if worker is None:
        return
    if instance not in state.config.instances:
        del state.health.workers[instance]
        _forget_ejection(state, instance)
        return
    worker.reported_ms = None
    worker.n_failed_probes = 0
    worker.draining = False


def can_take_work(state: "EntryState", instance: str, at_ms: int) -> bool:
    """Tell whether new tasks may be sent to an instance.

    It must be in service in an open data centre, reachable with a recent report and
    not ejected, and neither the platform's list nor its report may say that it is
    leaving.
    """
    return (
        _in_service(state, instance)
        and has_recent_report(state, instance, at_ms)
        and _serves(state, instance, at_ms)
    )


def is_available(state: "EntryState", instance: str, at_ms: int) -> bool:
    """Tell whether availability budgets count an instance as serving.

    For an instance that is not polled here, the platform's list decides.
    """
    listed = state.health.listed
    return (
        _in_service(state, instance)
        and (listed is None or instance in listed)
        and _serves(state, instance, at_ms)
    )


def recent_failures(state: "EntryState", instance: str, at_ms: int) -> float:
    """Return the decayed number of failures, which routing adds to the load."""
    worker = get_or_create(state, instance)
    _decay(worker, at_ms)
    return worker.n_failed


def record_success(state: "EntryState", instance: str, at_ms: int) -> None:
    """Count a task that a worker completed without an error."""
    worker = get_or_create(state, instance)
    _decay(worker, at_ms)
    worker.n_ok += 1
    worker.n_consecutive = 0
    if not worker.probation:
        return
    worker.probation = False
    worker.n_failed = 0.0
    _forget_ejection(state, instance)


def record_failure(
    state: "EntryState", instance: str, at_ms: int
) -> tuple[Effect, ...]:
    """Count a failed task or connection and eject the worker if it fails often."""
    worker = get_or_create(state, instance)
    _decay(worker, at_ms)
    worker.n_failed += 1
    worker.n_consecutive += 1
    total = worker.n_ok + worker.n_failed
    too_many = worker.n_consecutive >= MAX_CONSECUTIVE_FAILURES or (
        total >= MIN_RATIO_WEIGHT and worker.n_failed / total > MAX_FAILURE_RATIO
    )
    if not worker.probation and not (too_many and worker.ejected_until_ms is None):
        return ()
    return _eject(state, instance, worker, at_ms)


def _eject(
    state: "EntryState", instance: str, worker: WorkerHealth, at_ms: int
) -> tuple[Effect, ...]:
    from apricotgap.core import worker_index  # noqa: PLC0415

    configured = state.config.instances.get(instance)
    if configured is None:
        return ()
    ejected = state.health.ejected_by_pool.setdefault(configured.pool, {})
    n_members = len(worker_index.index_of(state).members.get(configured.pool, ()))
    n_allowed = max(1, int(MAX_EJECTED_SHARE * n_members)) if n_members > 1 else 0
    if instance not in ejected and len(ejected) >= n_allowed:
        return (Count("ejections_withheld", labels=(("pool", configured.pool),)),)
    ejected[instance] = None
    if at_ms - worker.ejected_ms > 2 * MAX_EJECTION_MS:
        worker.n_ejections = 0
    worker.ejected_ms = at_ms
    duration_ms = min(EJECTION_MS << min(worker.n_ejections, 16), MAX_EJECTION_MS)
    worker.n_ejections += 1
    worker.ejected_until_ms = at_ms + duration_ms
    worker.probation = False
    worker.n_consecutive = 0
    return (LogChange("worker_ejected", {"instance": instance, "for_ms": duration_ms}),)


def _forget_ejection(state: "EntryState", instance: str) -> None:
    for ejected in state.health.ejected_by_pool.values():
        ejected.pop(instance, None)


def _in_service(state: "EntryState", instance: str) -> bool:
    configured = state.config.instances.get(instance)
    if configured is None or configured.state is not InstanceState.IN_SERVICE:
        return False
    data_centre = state.config.data_centres.get(configured.data_centre)
    return data_centre is not None and data_centre.state is DataCentreState.OPEN


def _serves(state: "EntryState", instance: str, at_ms: int) -> bool:
    if instance in state.health.leaving:
        return False
    worker = state.health.workers.get(instance)
    if worker is None:
        return True
    if worker.draining or worker.n_failed_probes:
        return False
    if worker.ejected_until_ms is None:
        return True
    if at_ms < worker.ejected_until_ms:
        return False
    worker.ejected_until_ms = None
    worker.probation = True
    return True


def _decay(worker: WorkerHealth, at_ms: int) -> None:
    factor = 0.5 ** ((at_ms - worker.decayed_ms) / _HALF_LIFE_MS)
    worker.n_ok *= factor
    worker.n_failed *= factor
    worker.decayed_ms = at_ms
