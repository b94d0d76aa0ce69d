"""A deployment of examples/ on the real reducer in virtual time."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import yaml

from apricotgap.core import effects as fx
from apricotgap.core import events as ev
from apricotgap.core import handlers
from apricotgap.model import (
    Completed,
    Configuration,
    DataCentreState,
    Instance,
    InstanceState,
    NotRun,
    Priority,
    Request,
)
from measures.figures import Job, Work
from proof.fake_worker import FakeWorker, Run
from proof.harness import Harness

__all__ = ["DEPLOYMENTS", "Deployment", "Fleet"]

SETTLE_MS = 10_000
REBOOT_MS = 60_000
SAMPLE_MS = 250
STAGGER_MS = 200
_HANDLERS = handlers.__all__


@dataclass(frozen=True, slots=True)
class Deployment:
    """A fleet file and the number of entry instances in each data centre."""

    name: str
    n_entries: dict[str, int]

    def document(self) -> dict[str, Any]:
        """Return the content of the fleet file."""
        root = Path(__file__).resolve().parent.parent
        text = (root / "examples" / self.name / "fleet.yaml").read_text()
        return yaml.safe_load(text)


DEPLOYMENTS = {
    "himsurya": Deployment(
        "himsurya", {"pokhara": 3, "baglung": 2, "gorkha": 2, "lamjung": 2}
    ),
    "bogenwerk": Deployment("bogenwerk", {"graz": 3, "leoben": 3, "villach": 2}),
}


class _Worker(FakeWorker):
    """A backend server that takes `REBOOT_MS` to boot."""

    n_cut = 0
    n_reboots = 0

    def reboot(self) -> None:
        """Go down, and come up after the boot time."""
        self.n_cut += self.n_running
        self.n_reboots += 1
        self.kill()
        self._schedule.after(REBOOT_MS, super().reboot)


class Fleet:
    """Entry instances, backend servers and callers of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Which fleet.
    seed : int
        Seed of every random choice.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.document = deployment.document()
        self.harness = Harness(seed)
        self.rng = Random(f"{deployment.name}/{seed}")
        self.jobs: dict[str, Job] = {}
        self.runs: list[Run] = []
        self.n_budget_violations = 0
        self._n_calls = 0
        for item in self.document["instances"]:
            worker = _Worker(
                item["name"], self.harness.schedule, self._run_ms, self.runs
            )
            self.harness.add_worker(item["name"], worker, item["data_centre"])
        seeds = {
            f"{centre}-entry-{i}": f"{centre}-entry-{i}:1"
            for centre, n in deployment.n_entries.items()
            for i in range(n)
        }
        for name in seeds:
            centre = name.partition("-")[0]
            self.harness.add_entry(name, centre, f"{name}.{seed}", seeds)
            # Ticks in lockstep would make every store write meet a conflict.
            self.harness.run_for(self.rng.randrange(STAGGER_MS))
        self.entries = list(seeds)
        self._configure()

    @property
    def now_ms(self) -> int:
        """Virtual time."""
        return self.harness.now_ms

    @property
    def config(self) -> Configuration:
        """Newest configuration at any entry instance."""
        views = (e.state.config for e in self.harness.entries.values())
        return max(views, key=lambda config: config.revision)

    def shares(self) -> dict[str, int]:
        """Return the share of each team."""
        return {team["name"]: team["share"] for team in self.document["teams"]}

    def limits(self) -> dict[str, int]:
        """Return the upper limit of each team."""
        return {team["name"]: team["upper_limit"] for team in self.document["teams"]}

    def send(self, jobs: list[Job]) -> None:
        """Let jobs arrive at random entry instances."""
        for job in jobs:
            entry = self.rng.choice(self.entries)
            self.jobs[job.name] = job
            self.harness.schedule.after(
                job.at_ms - self.now_ms, lambda j=job, e=entry: self._submit(j, e)
            )

    def operate(self, action: str, arguments: dict[str, Any]) -> dict[str, Any]:
        """Run an operator call and return its answer.

        Raises
        ------
        RuntimeError
            If the call is refused or not answered.
        """
        entry = self.harness.entries[self.entries[0]]
        self._n_calls += 1
        call_id = f"call-{self._n_calls}"
        entry.post(lambda at: ev.OperatorCalled(at, call_id, action, arguments))
        self._until(lambda: call_id in entry.operator_answers, 20_000, action)
        answer: fx.AnswerOperator = entry.operator_answers[call_id]
        if answer.error_kind:
            raise RuntimeError(f"{action}: {answer.error_kind}: {answer.message}")
        return answer.result

    def start_plan(self, kind: str, target: str) -> str:
        """Plan and confirm an intent; plans again when the revision moved."""
        intent = {"kind": kind, "target": target, "options": {}}
        for _ in range(20):
            plan_id = self.operate("intent.plan", intent)["plan_id"]
            try:
                self.operate("intent.confirm", {"id": plan_id})
            except RuntimeError as error:
                if "conflict" not in str(error):
                    raise
                self.harness.run_for(100)
                continue
            return plan_id
        raise RuntimeError(f"{kind} {target}: each confirm met a conflict")

    def finish_plans(self, within_ms: int) -> None:
        """Wait until no plan is active.

        Raises
        ------
        RuntimeError
            If plans remain.
        """
        self._until(lambda: not self.config.active_plans, within_ms, "plans")

    def work(self) -> Work:
        """Return the records of the run so far."""
        work = Work(self.jobs)
        for run in self.runs:
            ended_ms = self.now_ms if run.ended_ms is None else run.ended_ms
            work.spans.append((run.request_id, run.started_ms, ended_ms))
        for name, (at_ms, outcome) in self.harness.outcomes.items():
            work.ended_ms[name] = at_ms
            if isinstance(outcome, Completed):
                work.completed.add(name)
            elif isinstance(outcome, NotRun):
                work.not_run.add(name)
        return work

    def n_cut(self) -> int:
        """Return the number of tasks that a planned reboot ended."""
        return sum(w.n_cut for w in self.harness.workers.values())  # type: ignore[attr-defined]

    def _configure(self) -> None:
        self.harness.run_for(SETTLE_MS // 2)
        self.operate("apply", self.document)
        for team in self.document["teams"]:
            key = {"digest": _digest(team["name"]), "team": team["name"]}
            self.operate("key.grant", key)
        self.harness.run_for(SETTLE_MS)
        self._sample()

    def _until(self, done: Callable[[], bool], within_ms: int, what: str) -> None:
        end_ms = self.now_ms + within_ms
        while not done():
            if self.now_ms >= end_ms:
                raise RuntimeError(f"{what}: not finished after {within_ms} ms")
            self.harness.run_for(50)

    def _run_ms(self, request_id: str) -> float:
        return self.jobs[request_id].run_ms

    def _submit(self, job: Job, entry: str) -> None:
        request = Request(
            request_id=job.name,
            queue=job.queue,
            key_digest=_digest(job.team),
            priority=Priority.URGENT if job.urgent else Priority.BATCH,
            idempotent=job.idempotent,
            max_wait_ms=8_000,
        )
        self.harness.submit(entry, request)

    def _sample(self) -> None:
        self.n_budget_violations += n_budgets_broken(self.config, self._is_out)
        self.harness.schedule.after(SAMPLE_MS, self._sample)

    def _is_out(self, instance: Instance) -> bool:
        centre = self.config.data_centres[instance.data_centre]
        return (
            instance.state is not InstanceState.IN_SERVICE
            or centre.state is not DataCentreState.OPEN
            or self.harness.workers[instance.name].down
        )


def n_budgets_broken(config: Configuration, is_out: Callable[[Instance], bool]) -> int:
    """Count the pool and data centre budgets that do not hold."""
    out = [i for i in config.instances.values() if is_out(i)]
    n_broken = 0
    for budget in config.budgets.values():
        if budget.max_groups_out is not None:
            n_groups = len({i.data_centre for i in out})
            n_broken += n_groups > budget.max_groups_out
        if budget.min_available is not None:
            for pool in config.pools:
                n_all = sum(i.pool == pool for i in config.instances.values())
                n_out = sum(i.pool == pool for i in out)
                n_broken += n_all - n_out < budget.min_available
    return n_broken


def _digest(team: str) -> str:
    return hashlib.sha256(team.encode()).hexdigest()
