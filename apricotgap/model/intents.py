"""Operators' intents and the plans that answer them."""

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
    """What a step does."""

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
    """What an operator wants.

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
        What it does.
    target : str
        Instance or data centre.
    to_pool : str or None
        New pool of a move.
    wave : int
        Steps of one wave may run together.
    uses : tuple of str
        Names of the budgets that the step spends while it is under way.
    disturbs : str
        What callers notice, for the operator to read.
    state : StepState
        Progress.
    after_wave : int
        The step starts only when all steps of earlier waves up to and including
        this one are finished; -1 for none. Waves without such an order overlap as
        the budgets permit.
    lent_for : str
        Data centre whose take-out makes the move or drain necessary, else empty.
    boot_id : str
        Boot identifier of the server before its reboot, or `UNKNOWN_BOOT_ID` for one
        that was gone before it reported any.
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
        """Whether nothing is left to do."""
        return self.state in (StepState.DONE, StepState.SKIPPED)


@dataclass(frozen=True, slots=True)
class Plan:
    """The system's answer to an intent.

    Parameters
    ----------
    plan_id : str
        Unique identifier.
    intent : Intent
        What was asked.
    base_revision : int
        Configuration revision that the plan was made from.
    steps : tuple of Step
        Steps in order.
    state : PlanState
        Progress.
    paused_reason : str
        Why the plan does not go on, empty when it does.
    """

    plan_id: str
    intent: Intent
    base_revision: int
    steps: tuple[Step, ...]
    state: PlanState = PlanState.PROPOSED
    paused_reason: str = ""
