"""The steps of a request's and of a plan's life, as data; a new row is a new column."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core.plan_steps import Configuration
from apricotgap.model import DataCentreState, InstanceState, StepKind, StepState
from proof.fake_worker import Run
from proof.faults import Target
from proof.fleet import Fleet
from proof.harness import FakeEntry

__all__ = [
    "KINDS",
    "PLAN_STEPS",
    "REQUEST_STEPS",
    "PlanLife",
    "RequestKind",
    "RequestLife",
]

TARGET_RUN_MS = 700
REPEAT_AFTER_MS = 200
REPEAT_UNANSWERED_MS = 4_000
Strike = Callable[[Target], None]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """How the request under test is sent and to which entries."""

    name: str
    idempotent: bool = False
    key: bool = False
    ticket: bool = False
    entry: str = "a1"
    minter: str = "a1"
    repeat: str = "b1"


KINDS = {
    kind.name: kind
    for kind in (
        RequestKind("idempotent", idempotent=True),
        RequestKind("plain"),
        RequestKind("key", key=True),
        RequestKind("ticket", ticket=True),
        RequestKind("remote ticket", ticket=True, entry="b1", repeat="c1"),
    )
}


class Life(ABC):
    """A request or plan under test; `struck` tells whether its step was reached."""

    def __init__(self, fleet: Fleet, step: str, strike: Strike) -> None:
        self.fleet = fleet
        self.struck = False
        self._step = step
        self._strike = strike

    @abstractmethod
    def start(self) -> None:
        """Begin."""

    @property
    @abstractmethod
    def ended(self) -> bool:
        """Whether nothing is left to happen."""

    def _reached(self, step: str, entry: str, worker: str = "a-app1") -> None:
        if step == self._step and not self.struck:
            self.struck = True
            self._strike(Target(self.fleet, entry, worker))

    def _later(self, delay_ms: int, action: Callable[[], None]) -> None:
        self.fleet.harness.schedule.after(delay_ms, action)


class RequestLife(Life):
    """A request of one kind, and its repetition if the kind has any."""

    def __init__(
        self, fleet: Fleet, kind: RequestKind, step: str, strike: Strike
    ) -> None:
        super().__init__(fleet, step, strike)
        self.kind = kind
        self.logical = "target"
        self.sent: list[str] = []
        self._refused = False
        self._fields: dict[str, Any] = {"idempotent": kind.idempotent}
        self._repeated = not (kind.key or kind.ticket)

    def start(self) -> None:
        """Get a ticket if need be, strike before arrival, or send."""
        harness = self.fleet.harness
        harness.effect_watchers.append(self._see_effect)
        harness.event_watchers.append(self._see_event)
        self.fleet.run_watchers.append(self._see_run)
        if self.kind.key:
            self._fields["idempotency_key"] = "target-key"
        if self._step == "waiting":
            self._fill()
        if self.kind.ticket:
            minter = harness.entries[self.kind.minter]
            minter.post(
                lambda at: ev.TicketRequested(at, "mint", self.fleet.digest("alpha"))
            )
            answer = harness.queries["mint"]
            assert isinstance(answer, fx.AnswerTicket) and answer.ticket
            self._fields["ticket"] = answer.ticket
        self._reached("arrival", self._serving)
        self._later(300 if self.struck else 0, lambda: self._send(self.kind.entry))

    @property
    def _serving(self) -> str:
        return self.kind.minter if self.kind.ticket else self.kind.entry

    @property
    def ended(self) -> bool:
        """Whether the request and its repetition were answered or cut off."""
        if not (self.sent or self._refused) or not self._repeated:
            return False
        return all(self._answered(request_id) for request_id in self.sent)

    def _answered(self, request_id: str) -> bool:
        submission = self.fleet.submissions[request_id]
        gone = not submission.entry.alive
        return gone or request_id in self.fleet.harness.outcomes

    def _fill(self) -> None:
        """Use the team's limit up, so that the request has to wait."""
        for name in self.fleet.live_entries():
            for _ in range(4):
                self.fleet.submit(name, "alpha", run_ms=900)

    def _send(self, entry: str) -> None:
        sent = self.fleet.submit(
            entry,
            "alpha",
            logical=self.logical,
            run_ms=TARGET_RUN_MS,
            max_wait_ms=15_000,
            **self._fields,
        )
        if sent is None:
            # The caller finds nobody at the entry.
            self._repeated = self._refused = True
            return
        self.sent.append(sent.request.request_id)
        if len(self.sent) == 1:
            self._later(40, self._check_waiting)
            if not self._repeated:
                self._later(REPEAT_UNANSWERED_MS, lambda: self._repeat(False))

    def _check_waiting(self) -> None:
        if not self._answered(self.sent[0]):
            self._reached("waiting", self._serving)

    def _repeat(self, answered: bool) -> None:
        if self._repeated:
            return
        if not answered and self._step == "repeat":
            # The step is the repetition after the answer.
            self._later(REPEAT_UNANSWERED_MS, lambda: self._repeat(False))
            return
        self._repeated = True
        self._reached("repeat", self._serving)
        self._later(50, lambda: self._send(self.kind.repeat))

    def _is_target(self, request_id: str) -> bool:
        return self.fleet.harness.bodies.get(request_id) == self.logical.encode()

    def _see_effect(self, entry: FakeEntry, effect: fx.Effect) -> None:
        name = entry.identity.entry
        if isinstance(effect, fx.StoreCas) and effect.key.startswith("claims/"):
            self._reached("claim", name)
        elif isinstance(effect, fx.Dispatch) and self._is_target(effect.request_id):
            self._reached("dispatch", name, effect.instance)
        elif isinstance(effect, fx.AnswerCaller) and effect.request_id in self.sent:
            self._later(REPEAT_AFTER_MS, lambda: self._repeat(True))

    def _see_run(self, run: Run) -> None:
        if self._is_target(run.request_id):
            entry = self.fleet.task_entry[run.task_id]
            self._later(150, lambda: self._reached("running", entry, run.worker))

    def _see_event(self, entry: FakeEntry, event: ev.Event) -> None:
        if not isinstance(event, ev.TaskCompleted):
            return
        for run in reversed(self.fleet.runs):
            if run.task_id == event.task_id:
                if self._is_target(run.request_id):
                    self._reached("answer", entry.identity.entry, run.worker)
                return


# The kinds of request that have the step.
REQUEST_STEPS: dict[str, tuple[str, ...]] = {
    "arrival": tuple(KINDS),
    "claim": ("key",),
    "waiting": tuple(KINDS),
    "dispatch": tuple(KINDS),
    "running": tuple(KINDS),
    "answer": tuple(KINDS),
    "repeat": ("key", "ticket", "remote ticket"),
}

Seen = Callable[[Configuration], bool]


def _has_instance(state: InstanceState) -> Seen:
    return lambda config: any(i.state is state for i in config.instances.values())


def _restores(config: Configuration) -> bool:
    return any(
        step.kind is StepKind.RESTORE and step.state is StepState.RUNNING
        for plan in config.active_plans.values()
        for step in plan.steps
    )


def _closes(config: Configuration) -> bool:
    return any(
        dc.state is DataCentreState.CLOSED for dc in config.data_centres.values()
    )


@dataclass(frozen=True, slots=True)
class PlanStep:
    """A step of a plan's life, reached when the stored configuration shows it."""

    name: str
    seen: Seen = lambda config: False
    intent: str = "drain_rack"
    target: str = "b-r1"


PLAN_STEPS = {
    step.name: step
    for step in (
        PlanStep("planned"),
        PlanStep("confirmed"),
        PlanStep("granted"),
        PlanStep("draining", _has_instance(InstanceState.DRAINING)),
        PlanStep("rebooting"),
        PlanStep("restoring", _restores),
        PlanStep("closing", _closes, "take_out_data_centre", "c"),
        PlanStep("cancelled"),
    )
}


class PlanLife(Life):
    """A plan whose operator plans again after a conflict or an outage."""

    def __init__(self, fleet: Fleet, step: PlanStep, strike: Strike) -> None:
        super().__init__(fleet, step.name, strike)
        self.plan_step = step
        self.plan_id = ""
        self.confirmed = False
        self.cancelled = False

    @property
    def ended(self) -> bool:
        """Whether the plan was confirmed and is no longer active."""
        return self.confirmed and self.plan_id not in self.fleet.config.active_plans

    def start(self) -> None:
        """Plan."""
        self.fleet.write_watchers.append(self._see_write)
        self.fleet.harness.effect_watchers.append(self._see_effect)
        self._plan()

    def _runner(self) -> str:
        document = self.fleet.harness.store.value("roles/waves")
        name = msgspec.json.decode(document)["entry"] if document else "a1"
        return name if self.fleet.harness.entries[name].alive else "a2"

    def _plan(self) -> None:
        if self.confirmed:
            return
        step = self.plan_step
        options = {"reboot": "true"} if step.intent == "drain_rack" else {}
        asked = {"kind": step.intent, "target": step.target, "options": options}
        entry = self.fleet.live_entries()[0]
        self._call(entry, "intent.plan", asked, self._planned)

    def _call(
        self,
        entry: str,
        action: str,
        arguments: dict[str, Any],
        answered: Callable[[fx.AnswerOperator], None],
    ) -> None:
        """Call, and plan again when no answer comes."""
        done = False

        def once(answer: fx.AnswerOperator | None) -> None:
            nonlocal done
            if done:
                return
            done = True
            if answer is not None:
                answered(answer)
            else:
                self._again()

        self.fleet.call_later(entry, action, arguments, once)
        self._later(9_000, lambda: once(None))

    def _again(self) -> None:
        if self.plan_id and self.plan_id in self.fleet.config.active_plans:
            self._note_confirmed()
        else:
            self._later(500, self._plan)

    def _planned(self, answer: fx.AnswerOperator) -> None:
        if answer.error_kind:
            self._again()
            return
        self.plan_id = answer.result["plan_id"]
        entry = self.fleet.live_entries()[0]
        self._reached("planned", entry)
        live = self.fleet.live_entries()
        entry = live[1] if len(live) > 1 else live[0]
        self._later(
            50,
            lambda: self._call(
                entry, "intent.confirm", {"id": self.plan_id}, self._answered
            ),
        )

    def _answered(self, answer: fx.AnswerOperator) -> None:
        if answer.error_kind:
            self._again()
        else:
            self._note_confirmed()

    def _note_confirmed(self) -> None:
        if not self.confirmed:
            self.confirmed = True
            self._reached("confirmed", self._runner())

    def _see_effect(self, entry: FakeEntry, effect: fx.Effect) -> None:
        name = entry.identity.entry
        if isinstance(effect, fx.StoreCas):
            if effect.key == "grants" and b'"instances":{}' not in effect.value:
                self._reached("granted", name, "b-app1")
        elif isinstance(effect, fx.RebootInstance):
            self._reached("rebooting", name, effect.instance)

    def _see_write(self, key: str, value: bytes) -> None:
        if key != "config/root" or not self.fleet.roots:
            return
        config = self.fleet.config
        if self.plan_id not in config.active_plans:
            return
        if self.plan_step.seen(config):
            worker = "c-app1" if self._step == "closing" else "b-app1"
            self._later(1, lambda: self._reached(self._step, self._runner(), worker))
        draining = _has_instance(InstanceState.DRAINING)(config)
        if self._step == "cancelled" and draining and not self.cancelled:
            self.cancelled = True
            self._later(100, self._cancel)

    def _cancel(self) -> None:
        entry = self.fleet.live_entries()[0]
        self.fleet.call_later(entry, "intent.cancel", {"id": self.plan_id})
        self._reached("cancelled", self._runner(), "b-app1")
