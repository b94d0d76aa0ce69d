"""All event handlers of the reducer; importing this module registers them."""

from apricotgap.core import (
    admission,
    allotment_handlers,
    claim_handlers,
    config_handlers,
    lifecycle,
    membership_handlers,
    operator_handlers,
    plan_results,
    task_events,
    wave_handlers,
    worker_events,
)

__all__ = [
    "admission",
    "allotment_handlers",
    "claim_handlers",
    "config_handlers",
    "lifecycle",
    "membership_handlers",
    "operator_handlers",
    "plan_results",
    "task_events",
    "wave_handlers",
    "worker_events",
]
