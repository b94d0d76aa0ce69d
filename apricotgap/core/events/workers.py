"""Events from backend servers and the platform's instance list."""

from dataclasses import dataclass
from enum import StrEnum

from apricotgap.core.events.base import Event

__all__ = [
    "InstanceListRead",
    "TaskCheckpointed",
    "TaskCompleted",
    "TaskFailed",
    "TaskProbed",
    "TaskRefused",
    "TaskRefusal",
    "TaskState",
    "WorkerReported",
    "WorkerUnreachable",
]


class TaskRefusal(StrEnum):
    """Why a backend server did not run a task.

    Each is proof that nothing ran, except ``duplicate``: the first copy may run.
    """

    FULL = "full"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    INFEASIBLE = "infeasible"
    DUPLICATE = "duplicate"


class TaskState(StrEnum):
    """State of a task as its backend server reports it."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class TaskCompleted(Event):
    """The complete response to a task arrived; the driver buffers the body."""

    task_id: str
    status: int
    n_body_bytes: int
    run_ms: int


@dataclass(frozen=True, slots=True)
class TaskRefused(Event):
    """The backend server refused the task before starting it."""

    task_id: str
    reason: TaskRefusal


@dataclass(frozen=True, slots=True)
class TaskFailed(Event):
    """No complete response to a task arrived.

    Parameters
    ----------
    task_id : str
        The task.
    sent : bool
        Whether any byte of the task may have reached the server; False is proof
        that nothing ran.
    timed_out : bool
        Whether the connection stayed silent until the timeout.
    message : str
        Cause of the failure.
    """

    task_id: str
    sent: bool
    timed_out: bool = False
    message: str = ""


@dataclass(frozen=True, slots=True)
class TaskProbed(Event):
    """Answer to `ProbeTask`; `state` is None when the server did not answer.

    ``unknown`` proves that a task never ran only if `boot_id` equals that of the
    status report before the dispatch, since a restarted server loses its tasks. An
    answer without `boot_id` proves nothing.
    """

    task_id: str
    state: TaskState | None
    server_now_ms: int = 0
    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class TaskCheckpointed(Event):
    """Answer to `CheckpointTask`.

    `stopped` tells whether the task was checkpointed and freed its slot; otherwise
    it continues to run. No other event of a stopped task follows.
    """

    task_id: str
    stopped: bool


@dataclass(frozen=True, slots=True)
class WorkerReported(Event):
    """A status report of a backend server.

    Parameters
    ----------
    instance : str
        The instance.
    server_now_ms : int
        Time of the server's clock in milliseconds when it answered.
    n_slots : int
        Slots of the server.
    n_running : int
        Tasks running for all entry instances.
    draining : bool
        Whether the server is leaving.
    boot_id : str
        Changes when the server restarts.
    n_running_by_team : dict of str to int
        Running tasks by team; may be outdated.
    sent_ms : int or None
        When the probe was sent; the report is not older. None if unknown.
    """

    instance: str
    server_now_ms: int
    n_slots: int
    n_running: int
    draining: bool = False
    boot_id: str = ""
    n_running_by_team: dict[str, int] | None = None
    sent_ms: int | None = None


@dataclass(frozen=True, slots=True)
class WorkerUnreachable(Event):
    """A status probe over a new connection failed."""

    instance: str


@dataclass(frozen=True, slots=True)
class InstanceListRead(Event):
    """The platform's instance list, which may lag behind, was read."""

    live: frozenset[str]
    leaving: frozenset[str]
