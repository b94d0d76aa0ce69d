"""The state of an entry instance, owned by the reducer."""

from dataclasses import dataclass, field
from random import Random

from apricotgap.core.allotments import AllotmentState
from apricotgap.core.claims import ClaimState
from apricotgap.core.config_view import ViewState
from apricotgap.core.config_writer import WriterState
from apricotgap.core.fair_queue import QueueState
from apricotgap.core.health import HealthState
from apricotgap.core.lifecycle import LifecycleState
from apricotgap.core.membership import MembershipState
from apricotgap.core.operators import OperatorState
from apricotgap.core.placement import PlacementState
from apricotgap.core.waves import WaveState
from apricotgap.model import Configuration

__all__ = ["EntryState", "Identity"]


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this entry instance.

    Parameters
    ----------
    entry : str
        Name of the entry instance, from its settings.
    incarnation : str
        Unique for each start of the process.
    data_centre : str
        Data centre of the entry instance.
    peer_address : str
        ``host:port`` for other entry instances.
    http_address : str
        ``host:port`` for callers and operators.
    """

    entry: str
    incarnation: str
    data_centre: str
    peer_address: str = ""
    http_address: str = ""


@dataclass(slots=True)
class EntryState:
    """Complete state of an entry instance.

    `config` is replaced as a whole by the configuration view; every other part is
    owned by the module of its name. `rng` is seeded by the caller. `stopping` is set
    when a shutdown begins to release the allotment rows.
    """

    identity: Identity
    rng: Random
    config: Configuration = field(default_factory=Configuration)
    seeds: dict[str, str] = field(default_factory=dict)
    stopping: bool = False
    lifecycle: LifecycleState = field(default_factory=LifecycleState)
    view: ViewState = field(default_factory=ViewState)
    writer: WriterState = field(default_factory=WriterState)
    members: MembershipState = field(default_factory=MembershipState)
    allotments: AllotmentState = field(default_factory=AllotmentState)
    queues: QueueState = field(default_factory=QueueState)
    placement: PlacementState = field(default_factory=PlacementState)
    health: HealthState = field(default_factory=HealthState)
    claims: ClaimState = field(default_factory=ClaimState)
    waves: WaveState = field(default_factory=WaveState)
    operators: OperatorState = field(default_factory=OperatorState)
