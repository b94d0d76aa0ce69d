"""Effects: operations that the core requests from drivers, as data."""

from apricotgap.core.effects.base import (
    Count,
    Effect,
    Exit,
    LogChange,
    Observe,
    SetReady,
)
from apricotgap.core.effects.operators import (
    AnswerOperator,
)
from apricotgap.core.effects.peers import (
    ConnectPeers,
    SendPeer,
)
from apricotgap.core.effects.requests import (
    AnswerCaller,
    AnswerQuery,
    AnswerTicket,
    FetchBody,
    ForwardRequest,
    ReleaseBodies,
    SendAnswerWithBody,
    StoreBody,
)
from apricotgap.core.effects.store import (
    GrantLease,
    OpenWatch,
    RenewLease,
    RevokeLease,
    StoreCas,
    StoreDelete,
    StoreGet,
    StoreList,
)
from apricotgap.core.effects.workers import (
    CheckpointTask,
    Dispatch,
    DropConnections,
    ProbeTask,
    ProbeWorker,
    ReadInstanceList,
    RebootInstance,
    RenewTask,
    StopTask,
    ThrottleTask,
)

__all__ = [
    "AnswerCaller",
    "AnswerOperator",
    "AnswerQuery",
    "AnswerTicket",
    "CheckpointTask",
    "ConnectPeers",
    "Count",
    "Dispatch",
    "DropConnections",
    "Effect",
    "Exit",
    "FetchBody",
    "ForwardRequest",
    "GrantLease",
    "RenewLease",
    "LogChange",
    "Observe",
    "OpenWatch",
    "ProbeTask",
    "ProbeWorker",
    "ReadInstanceList",
    "ReleaseBodies",
    "RebootInstance",
    "RenewTask",
    "RevokeLease",
    "SendAnswerWithBody",
    "SendPeer",
    "SetReady",
    "StopTask",
    "StoreBody",
    "StoreCas",
    "StoreDelete",
    "StoreGet",
    "StoreList",
    "ThrottleTask",
]
