"""Events that drivers report to the core, as data."""

from apricotgap.core.events.base import (
    Event,
    Started,
    StopRequested,
    Tick,
)
from apricotgap.core.events.operators import (
    OperatorCalled,
)
from apricotgap.core.events.peers import (
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
)
from apricotgap.core.events.requests import (
    BodyFetched,
    CallerDisconnected,
    ForwardedRequestArrived,
    OutcomeQueried,
    RequestArrived,
    RequestCancelled,
    TicketRequested,
)
from apricotgap.core.events.store import (
    CasFinished,
    CasResult,
    KeyValue,
    LeaseGranted,
    LeaseLost,
    LeaseRenewed,
    StoreCallFailed,
    StoreChanged,
    StoreReadFinished,
    WatchBroken,
    WatchOpened,
)
from apricotgap.core.events.workers import (
    InstanceListRead,
    TaskCheckpointed,
    TaskCompleted,
    TaskFailed,
    TaskProbed,
    TaskRefusal,
    TaskRefused,
    TaskState,
    WorkerReported,
    WorkerUnreachable,
)

__all__ = [
    "BodyFetched",
    "CallerDisconnected",
    "CasFinished",
    "CasResult",
    "Event",
    "ForwardedRequestArrived",
    "InstanceListRead",
    "KeyValue",
    "LeaseGranted",
    "LeaseLost",
    "LeaseRenewed",
    "OperatorCalled",
    "OutcomeQueried",
    "PeerConnected",
    "PeerDisconnected",
    "PeerReceived",
    "RequestArrived",
    "RequestCancelled",
    "Started",
    "StopRequested",
    "StoreCallFailed",
    "StoreChanged",
    "StoreReadFinished",
    "TaskCheckpointed",
    "TaskCompleted",
    "TaskFailed",
    "TaskProbed",
    "TaskRefusal",
    "TaskRefused",
    "TaskState",
    "Tick",
    "TicketRequested",
    "WatchBroken",
    "WatchOpened",
    "WorkerReported",
    "WorkerUnreachable",
]
