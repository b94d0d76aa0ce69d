"""The platform's key-value store: interface, client and driver."""

from apricotgap.drivers.etcd_store import EtcdStore
from apricotgap.drivers.store_api import (
    MAX_VALUE_BYTES,
    CasResponse,
    Lease,
    Snapshot,
    Store,
    StoreCallError,
)
from apricotgap.drivers.store_driver import StoreDriver

__all__ = [
    "MAX_VALUE_BYTES",
    "CasResponse",
    "EtcdStore",
    "Lease",
    "Snapshot",
    "Store",
    "StoreCallError",
    "StoreDriver",
]
