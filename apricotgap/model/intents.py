"""Operators' intents and the plans that carry them out."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "UNKNOWN_BOOT_ID",
    "Intent",
    "Plan",
    "PlanState",
    "Step",
    "StepKind",
    "StepState",
]

UNKNOWN_BOOT_ID = "unknown"


class StepKind(StrEnum):
    """Operation that a step performs."""

    MOVE = "move"
    DRAIN = "drain"
    REBOOT = "reboot"
    RESTORE = "restore"
    CLOSE_DATA_CENTRE = "close_data_centre"
    OPEN_DATA_CENTRE = "open_data_centre"


class StepState(StrEnum):
    """Progress of a step."""

    PENDING = "pending"
    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    SKIPPED = "skipped"


class PlanState(StrEnum):
    """Progress of a plan."""

    PROPOSED = "proposed"
    CONFIRMED = "confirmed"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Intent:
    """A maintenance operation that an operator requests.

    Parameters
    ----------
    kind : str
        Registered intent kind, for example ``drain_rack``.
    target : str
        Instance, rack, data centre or pool.
    options : dict of str to str
        Further options of the kind, for example ``to_pool`` and ``count``.
    """

    kind: str
    target: str
    options: dict[str, str]


@dataclass(frozen=True, slots=True)
class Step:
    """One idempotent step of a plan.

    Parameters
    ----------
    index : int
        Position in the plan.
    kind : StepKind
        Operation that the step performs.
    target : str
        Instance or data centre.
    to_pool : str or None
        New pool of a move.
    wave : int
        Number of the wave; steps of the same wave may run concurrently.
    uses : tuple of str
        Names of the budgets that the step uses while it runs.
    disturbs : str
        Effect on callers, as text for the operator.
    state : StepState
        Progress.
    after_wave : int
        Number of a wave that must be finished, with all earlier waves, before the
        step starts; -1 for none. Waves without such a dependency overlap as far as the
        budgets permit.
    lent_for : str
        Data centre because of whose removal from service the move or drain is needed,
        else empty.
    boot_id : str
        Boot identifier of the server before its reboot, or `UNKNOWN_BOOT_ID` if the
        server became unreachable before it reported one.
    """

    index: int
    kind: StepKind
    target: str
    to_pool: str | None = None
    wave: int = 0
    uses: tuple[str, ...] = ()
    disturbs: str = ""
    state: StepState = StepState.PENDING
    after_wave: int = -1
    lent_for: str = ""
    boot_id: str = ""

    @property
    def finished(self) -> bool:
        """Whether the step is done or was skipped."""
        return self.state in (StepState.DONE, StepState.SKIPPED)


@dataclass(frozen=True, slots=True)
class Plan:
    """The steps that carry out an intent.

    Parameters
    ----------
    plan_id : str
        Unique identifier.
    intent : Intent
        Operation that the operator requested.
    base_revision : int
        Configuration revision that the plan is based on.
    steps : tuple of Step
        Steps in order.
    state : PlanState
        Progress.
    paused_reason : str
        Why the plan is paused, empty if it is not.
    """

    plan_id: str
    intent: Intent
    base_revision: int
    steps: tuple[Step, ...]
    state: PlanState = PlanState.PROPOSED
    paused_reason: str = ""
