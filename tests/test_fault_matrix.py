"""The checks of the fault matrix can fail, and some of its cells pass."""

import subprocess
import sys
from dataclasses import replace

import pytest

from proof import fault_matrix
from proof.cells import SEED, all_cells, run_cell
from proof.fake_worker import FakeWorker, Run
from proof.faults import FAULTS
from proof.fleet import Fleet
from proof.steps import PLAN_STEPS

CELLS = {cell.name: cell for cell in all_cells()}


def _kinds(result):
    return {found.split()[0] for found in result.violations}


def test_worker_that_runs_a_task_twice_is_found(monkeypatch):
    """Guards against a check of at most once that counts too little."""
    run = FakeWorker._run

    def run_twice(worker, effect, post, link_ms):
        run(worker, effect, post, link_ms)
        first = worker._runs[-1]
        worker._runs.append(replace(first, ended_ms=first.started_ms))

    fleet = Fleet(SEED)
    monkeypatch.setattr(FakeWorker, "_run", run_twice)
    assert "I9" in _kinds(run_cell(CELLS["no fault @ plain/dispatch"], fleet=fleet))


def test_start_after_the_deadline_is_found():
    """Guards against a matrix that never delays a task past its start deadline."""
    cell = CELLS["tasks delayed @ plain/dispatch"]
    fleet = Fleet(SEED)
    for worker in fleet.harness.workers.values():
        worker.checks_deadline = False
    assert _kinds(run_cell(cell, fleet=fleet)) & {"I8", "I9"}


def test_store_without_compare_is_found():
    """Guards against a matrix in which the claim decides nothing."""
    fleet = Fleet(SEED)
    fleet.harness.store.checks_revision = False
    assert "I9" in _kinds(run_cell(CELLS["no fault @ key/repeat"], fleet=fleet))


def test_run_over_the_limit_is_found():
    """Guards against a check of upper limits that adds up nothing."""
    fleet = Fleet(SEED)
    at_ms = fleet.now_ms
    for i in range(13):
        request_id = next(iter(fleet.submissions))
        run = Run(f"x{i}", request_id, "alpha", "a-app1", at_ms, at_ms + 10)
        fleet.runs.append(run)
        fleet.task_entry[run.task_id] = "a1"
    assert "I5" in _kinds(run_cell(CELLS["no fault @ plain/answer"], fleet=fleet))


def test_lost_answer_is_found():
    """Guards against a request without an outcome that nobody counts."""
    fleet = Fleet(SEED)
    answer = fleet.harness._RUNNERS
    runners = {**answer}
    kind = next(k for k in runners if k.__name__ == "AnswerCaller")
    runners[kind] = type(fleet.harness)._ignore
    fleet.harness._RUNNERS = runners
    assert "outcome" in _kinds(run_cell(CELLS["no fault @ plain/answer"], fleet=fleet))


def test_disruption_without_budget_is_found():
    """Guards against a check of budgets that sees no planned disruption."""
    cell = CELLS["no fault @ plan/draining"]
    fleet = Fleet(SEED)

    class StaysDown(dict):
        def pop(self, key, default=None):
            return default

    names = [f"{dc}-app{i}" for dc in ("a", "c") for i in (1, 2, 3)]
    fleet.down_since = StaysDown(dict.fromkeys(names, -60_000))
    assert "I1" in _kinds(run_cell(cell, fleet=fleet))


def test_effect_without_runner_is_found():
    """Guards against effects that the harness drops."""
    fleet = Fleet(SEED)
    runners = {**fleet.harness._RUNNERS}
    del runners[next(k for k in runners if k.__name__ == "RenewTask")]
    del runners[next(k for k in runners if k.__name__ == "ProbeWorker")]
    fleet.harness._RUNNERS = runners
    assert "harness" in _kinds(run_cell(CELLS["no fault @ plain/arrival"], fleet=fleet))


@pytest.mark.parametrize(
    "name",
    [
        "no fault @ key/repeat",
        "entry killed @ key/dispatch",
        "tasks delayed @ plain/dispatch",
        "worker rebooted @ plain/running",
        "request kills workers @ plain/dispatch",
        "no fault @ plan/cancelled",
    ],
)
def test_cell_passes(name):
    """Guards against a fault of the product at a step that once passed."""
    assert run_cell(CELLS[name]).violations == []


def test_every_fault_meets_every_step():
    """Guards against a row or column of the tables without cells."""
    names = {(c.faults[0], c.column) for c in CELLS.values() if c.group == "plan"}
    assert len(names) == len(FAULTS) * len(PLAN_STEPS)


def test_listed_cells_must_exist(tmp_path):
    """Guards against a list of known failures that hides nothing by a typing error."""
    assert set(fault_matrix.known_red()) <= set(CELLS)
    path = tmp_path / "red.txt"
    path.write_text("other\nfault-matrix: a @ b | seed 7 | seen\n")
    assert fault_matrix.known_red(path) == {"a @ b": "seed 7 | seen"}


def test_trace_does_not_depend_on_the_hash_seed():
    """Guards against a verdict that changes from run to run."""
    command = [sys.executable, "-m", "proof.fault_matrix", "--cell"]
    command.append("entry restarted @ key/dispatch")
    traces = [
        subprocess.run(
            command,
            check=True,
            capture_output=True,
            text=True,
            env={"PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    ]
    assert traces[0] and traces[0] == traces[1]
