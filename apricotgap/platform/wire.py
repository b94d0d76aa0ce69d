"""Decoding of platform documents into the product's types.

Each struct has the product's field names and maps them to the platform's names in
``rename``.
"""

from collections.abc import Callable
from ipaddress import IPv4Address
from typing import Annotated, Any, TypeVar

import msgspec

from apricotgap.decoding import (
    MAX_INTEGER,
    DecodeError,
    Integer,
    Number,
    decode_json,
)
from apricotgap.jobs.configuration import (
    Configuration,
    QueueSpec,
    ServiceSpec,
    Team,
    Wave,
)
from apricotgap.jobs.fleet import Machine, WorkerEntry
from apricotgap.jobs.model import Resources

__all__ = [
    "ConfigurationDocument",
    "WireError",
    "decode_configuration",
    "decode",
    "decode_machines",
    "decode_wave",
    "decode_worker",
    "is_address",
]

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
# Values of other writers are quoted in messages up to this length.
_MAX_QUOTED = 80
MAX_WAVE_S = 10 * 366 * 24 * 3_600

_T = TypeVar("_T")


class WireError(ValueError):
    """A platform document cannot be decoded."""


class _Resources(msgspec.Struct, rename={"memory_mb": "memMb"}):
    cpu: Integer = 0
    memory_mb: Integer = 0
    gpus: Integer = 0

    def resources(self) -> Resources:
        return Resources(self.cpu, self.memory_mb, self.gpus)


class _Queue(
    msgspec.Struct,
    rename={
        "target_latency_ms": "targetLatencyMs",
        "timeout_ms": "timeoutMs",
        "max_attempts": "maxAttempts",
        "slack_factor": "slackFactor",
        "is_open": "public",
    },
):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: Integer = 3000
    target_latency_ms: Integer = 1000
    priority: Integer = 0
    max_attempts: Integer = 3
    slack_factor: Number = 2.0
    is_open: bool = False
    advice: dict[str, Any] | None = None


class _Service(
    msgspec.Struct,
    rename={"has_admission_check": "admissionCheck", "is_spare": "standby"},
):
    name: str
    has_admission_check: bool = False
    is_spare: bool = False


class _Team(
    msgspec.Struct, rename={"keys": "apiKeys", "share": "weight", "limit": "maxCount"}
):
    name: str
    keys: list[str] = []
    share: Number = 1.0
    limit: _Resources = msgspec.field(default_factory=_Resources)


class ConfigurationDocument(
    msgspec.Struct, rename={"queues": "routes", "teams": "tenants"}
):
    """The operators' configuration with the platform's names."""

    version: Integer
    queues: list[_Queue] = []
    services: list[_Service] = []
    teams: list[_Team] = []


class _Worker(
    msgspec.Struct,
    rename={
        "data_centre": "zone",
        "free": "freeCapacity",
        "clock_ms": "clockMs",
        "born_ms": "born",
        "drain_left_ms": "drainRemainingMs",
    },
):
    service: str
    address: str
    state: str
    free: _Resources
    data_centre: str = ""
    machine: str = ""
    labels: list[str] = []
    clock_ms: Integer = 0
    born_ms: Integer = 0
    drain_left_ms: Integer = 0


class _Machine(
    msgspec.Struct,
    rename={
        "name": "machine",
        "data_centre": "zone",
        "free": "freeCapacity",
        "worker_id": "id",
    },
):
    name: str
    pool: str
    state: str
    data_centre: str = ""
    labels: list[str] = []
    free: _Resources = msgspec.field(default_factory=_Resources)
    worker_id: str | None = None


class _MachineName(msgspec.Struct, rename={"name": "machine"}):
    name: str


class _MachinePage(msgspec.Struct, rename={"next_page": "nextPageToken"}):
    machines: list[msgspec.Raw]
    next_page: str | None = None


class _Wave(msgspec.Struct, rename={"number": "wave", "max_down": "maxCount"}):
    # An order of wave 0 is a move.
    number: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
    machines: list[str]
    durationS: Annotated[float, msgspec.Meta(ge=0, le=MAX_WAVE_S)]  # noqa: N815
    max_down: Integer = 1


def decode(struct_type: type[_T], data: bytes) -> _T:
    """Decode a JSON document into a struct.

    Raises
    ------
    WireError
        The document is malformed or does not fit the struct.
    """
    try:
        return decode_json(data, struct_type)
    except DecodeError as error:
        raise WireError(str(error)) from error


def decode_configuration(data: bytes) -> Configuration:
    """Decode the operators' configuration.

    Raises
    ------
    WireError
        The document cannot be decoded.
    """
    wire = decode(ConfigurationDocument, data)
    return Configuration(
        wire.version,
        tuple(
            QueueSpec(
                queue.name,
                queue.host.lower(),
                queue.prefix,
                queue.service,
                queue.timeout_ms,
                queue.target_latency_ms,
                queue.priority,
                queue.max_attempts,
                queue.slack_factor,
                queue.is_open,
                bool(queue.advice),
            )
            for queue in wire.queues
        ),
        tuple(
            ServiceSpec(service.name, service.has_admission_check, service.is_spare)
            for service in wire.services
        ),
        tuple(
            Team(team.name, frozenset(team.keys), team.share, team.limit.resources())
            for team in wire.teams
        ),
    )


def is_address(address: str) -> bool:
    """Whether a connection to ``IPV4:PORT`` can be tried without a name lookup."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS):
        return False
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= _MAX_PORT


def decode_worker(worker_id: str, data: bytes) -> WorkerEntry:
    """Decode the entry with which a worker registers itself in the store.

    Raises
    ------
    WireError
        The entry cannot be decoded, or its state or address is invalid.
    """
    wire = decode(_Worker, data)
    if wire.state not in ("ready", "draining"):
        raise WireError(f"unknown state {wire.state[:_MAX_QUOTED]!r}")
    if not is_address(wire.address):
        quoted = repr(wire.address[:_MAX_QUOTED])
        raise WireError(f"address is not IPV4:PORT: {quoted}")
    return WorkerEntry(
        worker_id,
        wire.service,
        wire.address,
        wire.data_centre,
        wire.machine,
        wire.state == "draining",
        wire.free.resources(),
        tuple(wire.labels),
        wire.born_ms,
    )


def _ignore(_name: str, _error: WireError) -> None:
    pass


def decode_machines(
    data: bytes, on_unreadable: Callable[[str, WireError], None] = _ignore
) -> tuple[list[Machine], str]:
    """Decode one page of the list of machines.

    Parameters
    ----------
    data : bytes
        The page.
    on_unreadable : callable, optional
        Called with the name and the error of each machine that cannot be decoded, which
        is left out. The name is empty if the row does not show it.

    Returns
    -------
    machines : list of Machine
        Readable machines on this page.
    next_page : str
        Token of the next page, empty on the last one.

    Raises
    ------
    WireError
        The response cannot be decoded.
    """
    page = decode(_MachinePage, data)
    machines = []
    for row in page.machines:
        try:
            machines.append(_decode_machine(bytes(row)))
        except WireError as error:
            on_unreadable(_machine_name(bytes(row)), error)
    return machines, page.next_page or ""


def _machine_name(data: bytes) -> str:
    """Return the name in a row that cannot be decoded otherwise, empty without one."""
    try:
        return decode(_MachineName, data).name
    except WireError:
        return ""


def _decode_machine(data: bytes) -> Machine:
    machine = decode(_Machine, data)
    if not machine.name:
        raise WireError("a machine has no name")
    return Machine(
        machine.name,
        machine.pool,
        machine.state,
        machine.data_centre,
        tuple(machine.labels),
        machine.free.resources(),
        machine.worker_id or "",
    )


def decode_wave(data: bytes) -> Wave:
    """Decode a maintenance wave ordered by operators.

    Raises
    ------
    WireError
        The document cannot be decoded.
    """
    wire = decode(_Wave, data)
    return Wave(
        wire.number, tuple(wire.machines), int(wire.durationS * 1000), wire.max_down
    )
