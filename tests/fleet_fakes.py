"""Small configurations and an in-memory cluster for operator and plan tests."""

from dataclasses import replace
from enum import StrEnum
from random import Random

from apricotgap.core import config_view, config_writer, health, placement
from apricotgap.core.effects import (
    AnswerOperator,
    GrantLease,
    ProbeWorker,
    RebootInstance,
    RenewLease,
    RevokeLease,
    StoreCas,
    StoreGet,
    StoreList,
)
from apricotgap.core.events import (
    CasFinished,
    CasResult,
    KeyValue,
    LeaseGranted,
    LeaseRenewed,
    OperatorCalled,
    StoreCallFailed,
    StoreReadFinished,
    Tick,
    WorkerReported,
)
from apricotgap.core.operator_handlers import (
    AnswerWhenInForce,
    IntentStoreAnswers,
    RunOperatorCall,
)
from apricotgap.core.reducer import Reducer
from apricotgap.core.state import EntryState, Identity
from apricotgap.core.wave_handlers import (
    RecordWorkerReport,
    RunnerStoreAnswers,
    RunPlans,
)
from apricotgap.errors import ApricotgapError, UnavailableError
from apricotgap.model import (
    Budget,
    Configuration,
    DataCentre,
    Instance,
    InstanceState,
    Pool,
    Team,
)

HANDLERS = (
    AnswerWhenInForce,
    RunOperatorCall,
    IntentStoreAnswers,
    RecordWorkerReport,
    RunPlans,
    RunnerStoreAnswers,
)


class ViewCase(StrEnum):
    LINKED = "linked"
    STORE_DOWN = "store_down"


def make_fleet(n_per_dc=3, budgets=(), spare=2):
    """Two data centres, each with `n_per_dc` instances in pool a and `spare` spares."""
    instances = {}
    for dc in ("d1", "d2"):
        names = [("a", i) for i in range(n_per_dc)] + [("s", i) for i in range(spare)]
        for pool, i in names:
            name = f"{dc}-{pool}{i}"
            rack = f"{dc}-r{i % 2}"
            instances[name] = Instance(name, "10.0.0.1:80", dc, rack, pool)
    return Configuration(
        revision=1,
        data_centres={"d1": DataCentre("d1"), "d2": DataCentre("d2")},
        instances=instances,
        pools={"a": Pool("a"), "s": Pool("s", spare=True)},
        teams={"t": Team("t", 1, 4)},
        budgets={b.name: b for b in budgets},
    )


KEEP_FIVE = Budget("keep", "pool", "a", min_available=5)


class FakeCluster:
    """In-memory store, backend servers and entry instances that run in lockstep."""

    def __init__(self, monkeypatch, config, n_entries=1):
        self.now_ms = 0
        self.config = config
        self.store: dict[str, tuple[bytes, int]] = {}
        self.n_writes = 0
        self.n_leases = 0
        self.renewed_ms: dict[int, int] = {}
        self.unrenewable_leases: set[int] = set()
        self.role_lease = 0
        self.failed: set[str] = set()
        self.missing: list[str] = []
        self.busy: set[str] = set()
        self.boots: dict[str, int] = {}
        self.rebooted_while_serving: list[str] = []
        self.answers: dict[str, AnswerOperator] = {}
        self.view = ViewCase.LINKED
        self.min_serving = len(config.instances)
        self.n_config_changes = 0
        self.reports_sent_ms = True
        self.n_lost_answers = 0
        self.fault_rng: Random | None = None
        self.unhealthy: set[str] = set()
        self.in_flight: set[str] = set()
        fakes = (
            (config_writer, "propose", self._propose),
            (config_view, "in_force_report", self._in_force_report),
            (config_view, "view_case", lambda s, t: self.view),
            (config_view, "ViewCase", ViewCase),
            (health, "is_available", self._is_available),
            (placement, "n_in_flight", lambda s, name: int(name in self.in_flight)),
        )
        for module, name, fake in fakes:
            monkeypatch.setattr(module, name, fake, raising=False)
        self.entries = [
            Reducer(EntryState(Identity(f"e{i}", f"e{i}.1", "d1"), Random(i)), HANDLERS)
            for i in range(n_entries)
        ]
        self._distribute_config()

    def _in_force_report(self, state, at_ms):
        return {
            "revision": self.config.revision,
            "in_force": not self.missing,
            "missing": self.missing,
            "isolated_data_centres": [],
        }

    def _is_available(self, state, name, at_ms):
        return name not in self.failed | self.unhealthy

    def _distribute_config(self):
        for entry in self.entries:
            entry.state.config = self.config

    def _fault(self, probability):
        return self.fault_rng is not None and self.fault_rng.random() < probability

    def _propose(self, state, change, at_ms):
        try:
            if self._fault(0.15):
                raise UnavailableError("the store is down", "wait")
            changed = change.apply(self.config)
        except ApricotgapError as error:
            return tuple(change.finished(state, error, self.config.revision, at_ms))
        self.config = replace(changed, revision=self.config.revision + 1)
        self.n_config_changes += 1
        self._distribute_config()
        return tuple(change.finished(state, None, self.config.revision, at_ms))

    def send(self, entry, event):
        for effect in entry.step(event):
            self._run(entry, effect)

    def _run(self, entry, effect):
        now = self.now_ms
        if isinstance(effect, StoreGet | GrantLease) and self._fault(0.1):
            self.send(entry, StoreCallFailed(now, effect.call_id))
        elif isinstance(effect, StoreGet):
            value, revision = self.store.get(effect.key, (b"", 0))
            items = (KeyValue(effect.key, value, revision),)
            self.send(entry, StoreReadFinished(now, effect.call_id, items, now))
        elif isinstance(effect, StoreList):
            items = tuple(
                KeyValue(k, *v)
                for k, v in sorted(self.store.items())
                if k.startswith(effect.prefix)
            )
            self.send(entry, StoreReadFinished(now, effect.call_id, items, now))
        elif isinstance(effect, StoreCas):
            self.send(entry, self._cas(effect))
        elif isinstance(effect, GrantLease):
            self.n_leases += 1
            self.renewed_ms[self.n_leases] = now
            event = LeaseGranted(now, effect.call_id, self.n_leases, 10_000, now)
            self.send(entry, event)
        elif isinstance(effect, RenewLease) and not self._fault(0.3):
            if effect.lease_id in self.unrenewable_leases:
                return
            self.renewed_ms[effect.lease_id] = now
            self.send(entry, LeaseRenewed(now, effect.lease_id, 10_000, now))
        elif isinstance(effect, RevokeLease):
            if effect.lease_id == self.role_lease:
                self.store.pop("roles/waves", None)
        elif isinstance(effect, ProbeWorker):
            self.report(entry, effect.instance)
        elif isinstance(effect, RebootInstance):
            self._reboot(effect.instance)
        elif isinstance(effect, AnswerOperator):
            assert effect.call_id not in self.answers, (
                "an operator call was answered twice"
            )
            self.answers[effect.call_id] = effect

    def _cas(self, effect):
        if self._fault(0.1):
            return CasFinished(
                self.now_ms, effect.call_id, effect.key, CasResult.UNKNOWN
            )
        if self.store.get(effect.key, (b"", 0))[1] != effect.expected_revision:
            return CasFinished(
                self.now_ms, effect.call_id, effect.key, CasResult.CONFLICT
            )
        if effect.key == "roles/waves":
            self.role_lease = effect.lease_id
        self.n_writes += 1
        self.store[effect.key] = (effect.value, self.n_writes)
        result = CasResult.STORED
        if self.n_lost_answers or self._fault(0.1):
            self.n_lost_answers = max(0, self.n_lost_answers - 1)
            result = CasResult.UNKNOWN
        return CasFinished(
            self.now_ms, effect.call_id, effect.key, result, self.n_writes
        )

    def _reboot(self, name):
        if self.config.instances[name].state is not InstanceState.REBOOTING:
            self.rebooted_while_serving.append(name)
        self.boots.setdefault(name, 1)

    def report(self, entry, name):
        if name in self.failed:
            return
        n_running = int(name in self.busy)
        report = WorkerReported(
            self.now_ms,
            name,
            self.now_ms + 77,
            8,
            n_running,
            boot_id=f"boot{self.boots.get(name, 0)}",
            sent_ms=self.now_ms if self.reports_sent_ms else None,
        )
        self.send(entry, report)

    def serving(self, pool="a"):
        return sum(
            i.pool == pool
            and i.state is InstanceState.IN_SERVICE
            and i.name not in self.failed
            and self.config.data_centres[i.data_centre].state == "open"
            for i in self.config.instances.values()
        )

    def n_planned_out(self, pool="a"):
        return sum(
            i.pool == pool
            and (
                i.state is not InstanceState.IN_SERVICE
                or self.config.data_centres[i.data_centre].state == "closed"
            )
            for i in self.config.instances.values()
        )

    def run(self, duration_ms, until=lambda: False):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms and not until():
            self.now_ms += 100
            if self.now_ms >= self.renewed_ms.get(self.role_lease, 0) + 10_000:
                self.store.pop("roles/waves", None)
            for entry in list(self.entries):
                self.send(entry, Tick(self.now_ms))
            self.min_serving = min(self.min_serving, self.serving())
        return until()

    def call(self, action, entry=0, **arguments):
        call_id = f"c{len(self.answers)}-{self.now_ms}-{action}"
        event = OperatorCalled(self.now_ms, call_id, action, arguments)
        self.send(self.entries[entry], event)
        return self.answers.get(call_id)

    def confirm(self, kind, target, **options):
        plan = self.call("intent.plan", kind=kind, target=target, options=options)
        assert not plan.error_kind, plan.message
        confirmed = self.call("intent.confirm", id=plan.result["plan_id"])
        assert not confirmed.error_kind, confirmed.message
        return plan.result["plan_id"]
