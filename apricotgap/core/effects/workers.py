"""Effects for backend servers and the platform."""

from dataclasses import dataclass

from apricotgap.core.effects.base import Effect
from apricotgap.model import Priority

__all__ = [
    "CheckpointTask",
    "Dispatch",
    "DropConnections",
    "ProbeTask",
    "ProbeWorker",
    "ReadInstanceList",
    "RebootInstance",
    "RenewTask",
    "StopTask",
    "ThrottleTask",
]


@dataclass(frozen=True, slots=True)
class Dispatch(Effect):
    """Sends a task to a backend server.

    Parameters
    ----------
    task_id : str
        Unique for each attempt.
    request_id : str
        The request whose body to send.
    instance : str
        Name of the instance.
    address : str
        ``host:port``.
    server_deadline_ms : int
        Start deadline in milliseconds of the server's clock.
    lease_ms : int
        Length of the task lease in milliseconds.
    priority : Priority
        Priority class.
    team : str
        Team, empty for queues open to all.
    timeout_ms : int
        Longest time without data, in milliseconds, before `TaskFailed` with
        `timed_out`.
    """

    task_id: str
    request_id: str
    instance: str
    address: str
    server_deadline_ms: int
    lease_ms: int
    priority: Priority
    team: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class _TaskCall(Effect):
    task_id: str
    instance: str
    address: str


@dataclass(frozen=True, slots=True)
class ProbeTask(_TaskCall):
    """Queries the state of a task over a new connection."""


@dataclass(frozen=True, slots=True)
class RenewTask(_TaskCall):
    """Renews a task lease."""


@dataclass(frozen=True, slots=True)
class CheckpointTask(_TaskCall):
    """Asks the server to checkpoint a task and free its slot."""


@dataclass(frozen=True, slots=True)
class ThrottleTask(_TaskCall):
    """Asks the server to throttle a task."""


@dataclass(frozen=True, slots=True)
class StopTask(_TaskCall):
    """Asks the server to stop a task."""


@dataclass(frozen=True, slots=True)
class ProbeWorker(Effect):
    """Reads the status of a server, over a new connection if `fresh`."""

    instance: str
    address: str
    fresh: bool = False


@dataclass(frozen=True, slots=True)
class DropConnections(Effect):
    """Closes pooled connections to a server so that none is reused."""

    instance: str
    address: str


@dataclass(frozen=True, slots=True)
class ReadInstanceList(Effect):
    """Reads the platform's list of live and leaving instances."""


@dataclass(frozen=True, slots=True)
class RebootInstance(Effect):
    """Asks the platform to reboot a drained instance; idempotent by `step_id`.

    Must not be sent from `until_ms` on: the lease of the runner may have ended, another
    one may have finished the step, and the instance may serve again.
    """

    instance: str
    step_id: str
    until_ms: int
