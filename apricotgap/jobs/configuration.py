"""The part of the operators' configuration that job scheduling uses."""

from dataclasses import dataclass
from functools import cached_property

from apricotgap.jobs.model import Resources

__all__ = ["Configuration", "QueueSpec", "ServiceSpec", "Team", "Wave"]


@dataclass(frozen=True, slots=True)
class QueueSpec:
    """A queue; jobs of a queue with a lower `priority` value go first."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int
    target_latency_ms: int
    priority: int
    max_attempts: int
    slack_factor: float
    is_open: bool
    needs_ticket: bool


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service and its pool of workers.

    The machines of a spare pool are powered off. With `has_admission_check` the
    workers reject runs that exceed their capacity.
    """

    name: str
    has_admission_check: bool
    is_spare: bool


@dataclass(frozen=True, slots=True)
class Team:
    """A team; a limit of 0 means that this kind of resource is unlimited."""

    name: str
    keys: frozenset[str]
    share: float
    limit: Resources


@dataclass(frozen=True, slots=True)
class Wave:
    """A wave of machine maintenance requested by an operator.

    It should be complete after `duration_ms`, with at most `max_down` machines down
    at a time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_down: int


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration; version numbers increase monotonically."""

    version: int
    queues: tuple[QueueSpec, ...]
    services: tuple[ServiceSpec, ...]
    teams: tuple[Team, ...]

    @cached_property
    def team_of_key(self) -> dict[str, str]:
        """Team names by API key."""
        return {key: team.name for team in self.teams for key in team.keys}

    @cached_property
    def service_by_name(self) -> dict[str, ServiceSpec]:
        """Services by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def queue_by_name(self) -> dict[str, QueueSpec]:
        """Queues by name."""
        return {queue.name: queue for queue in self.queues}

    @cached_property
    def used_services(self) -> frozenset[str]:
        """Names of the services that a queue uses."""
        return frozenset(queue.service for queue in self.queues)

    @cached_property
    def working_services(self) -> tuple[str, ...]:
        """Sorted names of the services, spare ones excluded, that a queue uses."""
        return tuple(
            sorted(
                service.name
                for service in self.services
                if service.name in self.used_services and not service.is_spare
            )
        )

    @cached_property
    def spare_services(self) -> frozenset[str]:
        """Names of the services whose machines are powered off."""
        return frozenset(service.name for service in self.services if service.is_spare)

    @cached_property
    def _queues_by_host(self) -> dict[str, list[QueueSpec]]:
        found: dict[str, list[QueueSpec]] = {}
        for queue in sorted(self.queues, key=lambda queue: -len(queue.prefix)):
            found.setdefault(queue.host, []).append(queue)
        return found

    def queue_for(self, host: str, path: str) -> QueueSpec | None:
        """Return the queue of a host with the longest matching path prefix."""
        for queue in self._queues_by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None
