"""Configuration of the fleet, as managed by operators."""

from dataclasses import dataclass, field
from enum import StrEnum

from apricotgap.model.intents import Plan
from apricotgap.model.work import Resources

__all__ = [
    "Budget",
    "Configuration",
    "CutOffPolicy",
    "DataCentre",
    "DataCentreState",
    "Instance",
    "InstanceState",
    "KeyRecord",
    "Pool",
    "Queue",
    "Team",
]


class InstanceState(StrEnum):
    """Administrative state of an instance."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"


class DataCentreState(StrEnum):
    """Administrative state of a data centre."""

    OPEN = "open"
    CLOSED = "closed"


class CutOffPolicy(StrEnum):
    """How an isolated data centre treats new requests that carry a key."""

    REFUSE = "refuse"
    SERVE = "serve"


@dataclass(frozen=True, slots=True)
class Instance:
    """A backend server instance; only `pool` records the pool that it belongs to.

    If the instance was drained, or moved to another pool, because a data centre was
    taken out of service, `lent_for` names that data centre. Bringing the data centre
    back returns the instance to `home_pool`.
    """

    name: str
    address: str
    data_centre: str
    rack: str
    pool: str
    slots: int = 8
    connections: int = 64
    capacity: Resources = Resources()
    state: InstanceState = InstanceState.IN_SERVICE
    home_pool: str = ""
    lent_for: str = ""


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of instances that serves queues."""

    name: str
    spare: bool = False
    urgent_reserve_slots: int = 1


@dataclass(frozen=True, slots=True)
class Team:
    """A team of callers.

    Parameters
    ----------
    name : str
        Name of the team.
    share : int
        Weight in fair queueing, relative to other teams.
    upper_limit : int
        Maximum number of concurrent tasks of the team in the whole fleet.
    when_cut_off : CutOffPolicy
        Treatment of new requests while the data centre is isolated.
    """

    name: str
    share: int = 1
    upper_limit: int = 1
    when_cut_off: CutOffPolicy = CutOffPolicy.REFUSE


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """A team's key, of which only the digest is stored."""

    digest: str
    team: str
    label: str = ""


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of requests served by one pool.

    Parameters
    ----------
    name : str
        Name of the queue.
    pool : str
        Pool that serves it.
    open_to_all : bool
        Whether requests need no key.
    teams : tuple of str
        Teams that may use it; if empty, every team with a key may.
    max_length : int
        Maximum number of waiting requests at one entry instance.
    """

    name: str
    pool: str
    open_to_all: bool = False
    teams: tuple[str, ...] = ()
    max_length: int = 1_000


@dataclass(frozen=True, slots=True)
class Budget:
    """An availability budget.

    Parameters
    ----------
    name : str
        Name of the budget.
    kind : str
        Registered budget kind: ``pool``, ``rack`` or ``data_centre``.
    target : str
        Pool, rack or data centre that it protects; ``*`` for each one of the kind.
    min_available : int or None
        Minimum number of instances that must be in service.
    max_unavailable : int or None
        Maximum number of instances that may be out of service at once.
    max_groups_out : int or None
        Maximum number of racks or data centres that may have instances out of service
        at once.
    """

    name: str
    kind: str
    target: str = "*"
    min_available: int | None = None
    max_unavailable: int | None = None
    max_groups_out: int | None = None


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and whether tasks may start in it."""

    name: str
    region: str = ""
    state: DataCentreState = DataCentreState.OPEN


@dataclass(frozen=True, slots=True)
class Configuration:
    """A consistent snapshot of all configuration at one revision.

    Mappings are keyed by object name (keys by digest, plans by plan id) and must
    not be modified in place.
    """

    revision: int = 0
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    keys: dict[str, KeyRecord] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    budgets: dict[str, Budget] = field(default_factory=dict)
    active_plans: dict[str, Plan] = field(default_factory=dict)
