"""Operator calls: the registry of actions and the pending calls."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, ClassVar

from apricotgap.core import config_view, config_writer
from apricotgap.core.arguments import Arguments
from apricotgap.core.effects import AnswerOperator, Effect
from apricotgap.core.fleet_facts import in_force_revision
from apricotgap.core.limits import IN_FORCE_BOUND_MS
from apricotgap.core.object_kinds import require_consistent
from apricotgap.errors import (
    ApricotgapError,
    ConflictError,
    NotFoundError,
    UnavailableError,
)
from apricotgap.model import Configuration, Plan

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "Action",
    "EditChange",
    "OperatorState",
    "PendingAnswer",
    "PlanCall",
    "actions",
    "answer_error",
    "answer_pending",
    "call",
]

_ACTIONS: dict[str, "Action"] = {}

Edit = Callable[[Configuration], Configuration]


@dataclass(slots=True)
class PlanCall:
    """A call that waits for the store.

    `purpose` is plan, confirm, show, result or list.
    """

    call_id: str
    purpose: str
    plan: Plan | None = None
    plan_id: str = ""


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """The answer to an accepted change, delayed until the change is in force."""

    call_id: str
    revision: int
    deadline_ms: int
    result: dict[str, Any]


@dataclass(slots=True)
class OperatorState:
    """Operator calls that have not been answered.

    Parameters
    ----------
    pending : list of PendingAnswer
        Answers to accepted changes, sent when the changes are in force.
    plan_calls : dict of str to PlanCall
        Calls that wait for the store, by identifier of the store call.
    """

    pending: list[PendingAnswer] = field(default_factory=list)
    plan_calls: dict[str, PlanCall] = field(default_factory=dict)


class Action(ABC):
    """An action that operators can call.

    A subclass declares its `name`, the `arguments` that it accepts, whether it
    `changes` anything and whether it `takes_revision`, the optional argument
    ``if_revision``, and is registered by its definition. `run` must validate
    every argument before it returns effects, and answer the call exactly once,
    directly or when its change or store call ends.
    """

    name: ClassVar[str]
    arguments: ClassVar[tuple[str, ...]] = ()
    changes: ClassVar[bool] = False
    takes_revision: ClassVar[bool] = False

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        if "name" in cls.__dict__:
            _ACTIONS[cls.name] = cls()

    @abstractmethod
    def run(
        self, state: "EntryState", call_id: str, values: Mapping[str, Any], at_ms: int
    ) -> Iterable[Effect]:
        """Validate and act, or raise an `ApricotgapError`."""

    def read(self, values: Mapping[str, Any]) -> Arguments:
        """Return the arguments, after rejecting unknown ones."""
        extra = ("if_revision",) if self.takes_revision else ()
        return Arguments(values, (*self.arguments, *extra))


class EditChange(config_writer.Change):
    """Applies an edit for one operator call, and answers the call.

    Parameters
    ----------
    call_id : str
        Call to answer.
    edit : callable
        Pure function from one configuration to the next.
    if_revision : int or None
        Revision that the configuration must have, None for any.
    result : dict of str to object or None
        Additional fields of the answer.
    await_in_force : bool
        Whether the answer is delayed until the change is in force, for at most
        `IN_FORCE_BOUND_MS`.
    """

    def __init__(
        self,
        call_id: str,
        edit: Edit,
        if_revision: int | None = None,
        result: dict[str, Any] | None = None,
        await_in_force: bool = False,
    ) -> None:
        self._call_id = call_id
        self._edit = edit
        self._if_revision = if_revision
        self._result = result or {}
        self._await_in_force = await_in_force

    def apply(self, config: Configuration) -> Configuration:
        """Check the revision, apply the edit and check all references."""
        if self._if_revision not in (None, config.revision):
            raise ConflictError(
                f"the configuration is at revision {config.revision}, "
                f"not {self._if_revision}",
                "read the objects again and repeat the change",
            )
        changed = self._edit(config)
        require_consistent(changed)
        return changed

    def finished(
        self,
        state: "EntryState",
        error: ApricotgapError | None,
        revision: int,
        at_ms: int,
    ) -> Iterable[Effect]:
        """Answer the call now, or once the change is in force."""
        if error is not None:
            yield answer_error(self._call_id, error)
            return
        pending = PendingAnswer(
            self._call_id, revision, at_ms + IN_FORCE_BOUND_MS, self._result
        )
        if self._await_in_force:
            state.operators.pending.append(pending)
        else:
            yield _accepted(state, pending, at_ms)


def _accepted(state: "EntryState", pending: PendingAnswer, at_ms: int) -> Effect:
    report = config_view.in_force_report(state, at_ms)
    result = {
        **pending.result,
        "accepted": True,
        "revision": pending.revision,
        "in_force": report,
    }
    return AnswerOperator(pending.call_id, result)


def answer_pending(state: "EntryState", at_ms: int) -> Iterator[Effect]:
    """Answer accepted changes that are in force or whose deadline has passed."""
    operators = state.operators
    if not operators.pending:
        return
    revision = in_force_revision(state, at_ms)
    waiting = []
    for pending in operators.pending:
        if revision >= pending.revision or at_ms >= pending.deadline_ms:
            yield _accepted(state, pending, at_ms)
        else:
            waiting.append(pending)
    operators.pending = waiting


def answer_error(call_id: str, error: ApricotgapError) -> AnswerOperator:
    """Return the answer that reports an error."""
    return AnswerOperator(
        call_id, error_kind=error.kind, message=error.message, remedy=error.remedy
    )


def actions() -> dict[str, Action]:
    """Return the registered actions by name."""
    return dict(_ACTIONS)


def call(
    state: "EntryState",
    call_id: str,
    name: str,
    values: Mapping[str, Any],
    at_ms: int,
) -> Iterator[Effect]:
    """Run the action of a call.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    call_id : str
        Identifier of the call.
    name : str
        Name of the action.
    values : mapping of str to object
        Arguments as decoded from JSON.
    at_ms : int
        Monotonic time in milliseconds.

    Yields
    ------
    Effect
        Effects of the action; they or later ones hold exactly one answer.
    """
    try:
        action = _ACTIONS.get(name)
        if action is None:
            raise NotFoundError(
                f"there is no action {name!r}", f"use one of {', '.join(_ACTIONS)}"
            )
        if action.changes:
            _require_store(state, at_ms)
        effects = tuple(action.run(state, call_id, values, at_ms))
    except ApricotgapError as error:
        yield answer_error(call_id, error)
        return
    yield from effects


def _require_store(state: "EntryState", at_ms: int) -> None:
    if config_view.view_case(state, at_ms) is not config_view.ViewCase.LINKED:
        raise UnavailableError(
            "the store cannot be reached, so no change can be accepted",
            "repeat the command when status shows the view as linked",
        )
