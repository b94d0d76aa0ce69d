"""Faults and planned work of the soak, by name."""

from soak.faults import (
    instance_faults,
    operator_faults,
    planned_stops,
    power_faults,
    store_faults,
    worker_faults,
)
from soak.faults.base import FAULTS, Fault, choose_faults

__all__ = [
    "FAULTS",
    "Fault",
    "choose_faults",
    "instance_faults",
    "operator_faults",
    "planned_stops",
    "power_faults",
    "store_faults",
    "worker_faults",
]
