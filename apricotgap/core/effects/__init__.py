"""Everything that the core asks drivers to do, as data."""

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
)
from apricotgap.core.effects.store import (
    GrantLease,
    KeepLease,
    OpenWatch,
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
    "GrantLease",
    "KeepLease",
    "LogChange",
    "Observe",
    "OpenWatch",
    "ProbeTask",
    "ProbeWorker",
    "ReadInstanceList",
    "RebootInstance",
    "RenewTask",
    "RevokeLease",
    "SendPeer",
    "SetReady",
    "StopTask",
    "StoreCas",
    "StoreDelete",
    "StoreGet",
    "StoreList",
    "ThrottleTask",
]
