"""The cells of the fault matrix and how one is run."""

import itertools
from dataclasses import dataclass, field

from proof import invariants
from proof.faults import FAULTS, PAIRED, Fault, Target
from proof.fleet import LOWERED_LIMIT, Fleet, digest_of
from proof.steps import KINDS, PLAN_STEPS, REQUEST_STEPS, PlanLife, RequestLife

__all__ = ["Cell", "CellResult", "all_cells", "run_cell"]

SEED = 7
STEP_TIMEOUT_MS = 40_000
# After healing, new requests are answered and the request under test has ended.
REQUEST_LIVENESS_MS = 20_000
# A dead server's tasks hold a drain for the longest task lease, and the role of a
# dead runner is free after its lease.
PLAN_LIVENESS_MS = 90_000
SETTLE_MS = 25_000
_SLICE_MS = 250
_PAIR_STEPS = (
    "key/claim",
    "plain/dispatch",
    "remote ticket/running",
    "plan/draining",
    "plan/rebooting",
)


@dataclass(frozen=True, slots=True)
class Cell:
    """One or more faults at one step."""

    group: str
    faults: tuple[str, ...]
    column: str

    @property
    def row(self) -> str:
        """Name of the row."""
        return " + ".join(self.faults)

    @property
    def name(self) -> str:
        """Name for the command line."""
        return f"{self.row} @ {self.column}"


@dataclass(slots=True)
class CellResult:
    """What a cell showed."""

    name: str
    violations: list[str]
    virtual_ms: int
    trace: list[str] = field(default_factory=list)


def columns(group: str) -> list[str]:
    """Return the columns of a group."""
    if group == "pair":
        return list(_PAIR_STEPS)
    if group == "plan":
        return [f"plan/{step}" for step in PLAN_STEPS]
    return [
        f"{kind}/{step}"
        for kind in KINDS
        for step, kinds in REQUEST_STEPS.items()
        if kind in kinds
    ]


def all_cells() -> list[Cell]:
    """Return the cells of all groups, from the tables of faults and steps."""
    cells = [
        Cell(group, (fault,), column)
        for group in ("request", "plan")
        for fault in FAULTS
        for column in columns(group)
    ]
    pairs = itertools.combinations(PAIRED, 2)
    cells += [
        Cell("pair", pair, column) for pair in pairs for column in columns("pair")
    ]
    return cells


class _Run:
    """One cell in virtual time."""

    def __init__(self, cell: Cell, fleet: Fleet) -> None:
        self.cell = cell
        self.fleet = fleet
        self.found: list[str] = []
        self.healed_ms: int | None = None
        self.struck: Target | None = None
        self._probes: list[str] = []
        kind, step = cell.column.split("/")
        self.life: RequestLife | PlanLife
        if kind == "plan":
            self.life = PlanLife(self.fleet, PLAN_STEPS[step], self._strike)
        else:
            self.life = RequestLife(self.fleet, KINDS[kind], step, self._strike)

    def run(self) -> None:
        """Run to the step, through the fault, and until everything has ended."""
        fleet = self.fleet
        self.life.start()
        if not self._wait(lambda: self.healed_ms is not None, STEP_TIMEOUT_MS):
            self.found.append("step not reached")
            return
        fleet.harness.run_for(max(0, (self.healed_ms or 0) - fleet.now_ms))
        self._probe()
        if not self._wait(self._serves, REQUEST_LIVENESS_MS):
            self.found.append(f"liveness {self._not_serving()} do not serve")
        is_plan = isinstance(self.life, PlanLife)
        bound_ms = PLAN_LIVENESS_MS if is_plan else REQUEST_LIVENESS_MS
        if not self._wait(self._ended, bound_ms):
            self.found.append("liveness the request or plan under test did not end")
        # The withdrawn key and the lowered limit are checked beyond the bound.
        self._wait(self._changes_checked, 8_000)
        fleet.loaded = False
        self._wait(self._settled, SETTLE_MS)
        self.found += invariants.violations(fleet)

    def _ended(self) -> bool:
        return self.life.ended and not self.fleet.config.active_plans

    def _wait(self, until, bound_ms: int) -> bool:  # type: ignore[no-untyped-def]
        end_ms = self.fleet.now_ms + bound_ms
        while not until():
            if self.fleet.now_ms >= end_ms:
                return False
            self.fleet.harness.run_for(_SLICE_MS)
        return True

    def _strike(self, target: Target) -> None:
        fleet = self.fleet
        self.struck = target
        lasts_ms = 0
        for name in self.cell.faults:
            fault: Fault = FAULTS[name]
            fault.strike(target)
            heal = fault.heal
            fleet.harness.schedule.after(fault.lasts_ms, lambda heal=heal: heal(target))
            lasts_ms = max(lasts_ms, fault.lasts_ms)
        self.healed_ms = fleet.now_ms + lasts_ms + 1
        fleet.harness.schedule.after(300, self._change)

    def _change(self) -> None:
        """Withdraw a key and lower a limit, again until it is accepted."""
        fleet = self.fleet
        config = fleet.config
        live = fleet.live_entries()
        entry = live[len(live) // 2]
        if digest_of("gamma") in config.keys:
            fleet.call_later(entry, "key.withdraw", {"digest": digest_of("gamma")})
        if config.teams["epsilon"].upper_limit != LOWERED_LIMIT:
            lowered = {"name": "epsilon", "upper_limit": LOWERED_LIMIT}
            fleet.call_later(entry, "team.put", lowered)
        if not self._changed():
            fleet.harness.schedule.after(2_000, self._change)

    def _changed(self) -> bool:
        config = self.fleet.config
        lowered = config.teams["epsilon"].upper_limit == LOWERED_LIMIT
        return lowered and digest_of("gamma") not in config.keys

    def _changes_checked(self) -> bool:
        roots = self.fleet.roots
        if not self._changed():
            return False
        first = next(
            r.at_ms
            for r in roots
            if digest_of("gamma") not in r.config.keys
            and r.config.teams["epsilon"].upper_limit == LOWERED_LIMIT
        )
        return self.fleet.now_ms >= first + 6_500

    def _probe(self) -> None:
        """Send new requests to every entry until each has answered one."""
        if self._serves() and self._probes:
            return
        for name in self._not_serving():
            sent = self.fleet.submit(name, "alpha", run_ms=100, idempotent=True)
            if sent is not None:
                self._probes.append(sent.request.request_id)
        if self.fleet.now_ms < (self.healed_ms or 0) + REQUEST_LIVENESS_MS:
            self.fleet.harness.schedule.after(1_000, self._probe)

    def _not_serving(self) -> list[str]:
        fleet = self.fleet
        serving = {
            fleet.submissions[request_id].entry.identity.entry
            for request_id in self._probes
            if type(fleet.harness.outcomes.get(request_id, (0, None))[1]).__name__
            == "Completed"
        }
        return [name for name in fleet.live_entries() if name not in serving]

    def _serves(self) -> bool:
        return not self._not_serving()

    def _settled(self) -> bool:
        fleet = self.fleet
        stopped = all(not fleet.harness.entries[n].alive for n in fleet.stopping)
        return stopped and all(
            request_id in fleet.harness.outcomes
            or not (submission.entry.alive or submission.entry.exited)
            for request_id, submission in fleet.submissions.items()
        )


def run_cell(
    cell: Cell,
    seed: int = SEED,
    *,
    trace: bool = False,
    fleet: Fleet | None = None,
) -> CellResult:
    """Run a cell.

    Parameters
    ----------
    cell : Cell
        The cell.
    seed : int
        Seed of the fleet.
    trace : bool
        Whether to keep what happened to the request or plan under test.
    fleet : Fleet or None
        A fresh fleet of the seed, which the cell uses up; None builds one.

    Returns
    -------
    CellResult
        Its violations; none when it passed.
    """
    run = _Run(cell, fleet or Fleet(seed))
    try:
        run.run()
    except Exception as error:  # noqa: BLE001  a crash of the reducer is a violation
        run.found.append(f"crash {type(error).__name__}: {error}")
        if trace:
            raise
    lines = _trace(run) if trace else []
    return CellResult(cell.name, run.found, run.fleet.now_ms, lines)


def _trace(run: _Run) -> list[str]:
    fleet = run.fleet
    lines: list[tuple[int, str]] = []
    for root in fleet.roots:
        lines.append((root.at_ms, f"store root {root.config.revision}"))
    for name, entry in fleet.harness.entries.items():
        lines += [
            (at, f"{name} {event} {fields}") for at, event, fields in entry.changes
        ]
    for submission in fleet.submissions.values():
        if submission.logical != "target":
            continue
        request_id = submission.request.request_id
        where = submission.entry.identity.entry
        lines.append((submission.at_ms, f"{where} submitted {request_id}"))
        if request_id in fleet.harness.outcomes:
            at_ms, outcome = fleet.harness.outcomes[request_id]
            lines.append((at_ms, f"{where} answered {request_id}: {outcome}"))
    for item in fleet.runs:
        if fleet.logical_of(item.request_id) == "target":
            lines.append((item.started_ms, f"{item.worker} runs {item.task_id}"))
    if run.struck is not None and run.healed_ms is not None:
        lasts = run.healed_ms - max(FAULTS[f].lasts_ms for f in run.cell.faults) - 1
        where = f"{run.struck.entry} and {run.struck.worker}"
        lines.append((lasts, f"strike {run.cell.row} at {where}"))
        lines.append((run.healed_ms, "healed"))
    return [f"{at_ms:>7} {line}" for at_ms, line in sorted(lines)]
