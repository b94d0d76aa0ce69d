"""Every fault at every step of a request and of a plan, on the real reducer."""

import argparse
import multiprocessing
import sys
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from proof.cells import SEED, Cell, CellResult, all_cells, columns, run_cell
from proof.fleet import Fleet

__all__ = ["known_red", "main"]

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
_PREFIX = "fault-matrix: "
N_PROCESSES = 4
_WARM: dict[int, Fleet] = {}


def known_red(path: Path = KNOWN_RED) -> dict[str, str]:
    """Return what was seen of each listed cell.

    A line is ``fault-matrix: CELL | seed N | what was seen``.
    """
    if not path.exists():
        return {}
    lines = path.read_text().splitlines()
    own = [x.removeprefix(_PREFIX) for x in lines if x.startswith(_PREFIX)]
    return {x.split(" | ")[0]: x.split(" | ", 1)[1] for x in own if " | " in x}


def _kinds(violations: Iterable[str]) -> str:
    return ",".join(sorted({found.split()[0] for found in violations}))


def _print_table(group: str, cells: list[Cell], found: dict[str, CellResult]) -> None:
    names = columns(group)
    print(f"\n{group} cells; columns:")
    for i, name in enumerate(names, 1):
        print(f"  {i:>2} {name}")
    print(" " * 34 + " ".join(f"{i:>4}" for i in range(1, len(names) + 1)))
    for row in dict.fromkeys(cell.row for cell in cells):
        shown = [
            _kinds(found[cell.name].violations) or "ok"
            for cell in cells
            if cell.row == row
        ]
        print(f"{row:<34}" + " ".join(f"{text:>4}" for text in shown))


def _report(cells: list[Cell], results: list[CellResult], seconds: float) -> int:
    found = {result.name: result for result in results}
    red = known_red()
    for group in dict.fromkeys(cell.group for cell in cells):
        _print_table(group, [c for c in cells if c.group == group], found)
    failed = [r for r in results if r.violations]
    for result in failed:
        mark = "known red" if result.name in red else "FAILED"
        print(f"{mark}: {result.name}: {'; '.join(result.violations[:3])}")
    for name in sorted(set(red) & {r.name for r in results if not r.violations}):
        print(f"listed in {KNOWN_RED.name} but passed: {name}")
    n_red = sum(r.name in red for r in failed)
    virtual_s = sum(r.virtual_ms for r in results) / 1000
    by_group = Counter(cell.group for cell in cells)
    print(f"\ncells by group: {dict(by_group)}; virtual time {virtual_s:.0f} s")
    print(f"run time {seconds:.0f} s on {N_PROCESSES} processes")
    n_passed = len(results) - len(failed)
    print(f"fault-matrix: cells={len(results)} passed={n_passed} known_red={n_red}")
    return 1 if len(failed) > n_red else 0


def main(argv: list[str] | None = None) -> int:
    """Run the matrix or one cell.

    Returns
    -------
    int
        Exit code: 1 when a cell fails that is not listed as known red.
    """
    parser = argparse.ArgumentParser(prog="python -m proof.fault_matrix")
    parser.add_argument("--cell", help="run one cell and print its trace")
    parser.add_argument("--list", action="store_true", help="print the cell names")
    parser.add_argument("--group", choices=("request", "plan", "pair"))
    parser.add_argument("--seed", type=int, default=SEED)
    options = parser.parse_args(argv)
    cells = [c for c in all_cells() if options.group in (None, c.group)]
    if options.list:
        print("\n".join(cell.name for cell in cells))
        return 0
    if options.cell is not None:
        return _run_one(cells, options.cell, options.seed)
    started = time.monotonic()
    _WARM[options.seed] = Fleet(options.seed)
    context = multiprocessing.get_context("fork")
    with context.Pool(N_PROCESSES, maxtasksperchild=1) as pool:
        jobs = [(cell, options.seed) for cell in cells]
        results = pool.starmap(_run_warm, jobs, chunksize=1)
    return _report(cells, results, time.monotonic() - started)


def _run_warm(cell: Cell, seed: int) -> CellResult:
    """Run a cell in a process of its own, which inherits the warmed-up fleet."""
    return run_cell(cell, seed, fleet=_WARM.pop(seed))


def _run_one(cells: list[Cell], name: str, seed: int) -> int:
    cell = next((c for c in cells if c.name == name), None)
    if cell is None:
        print(f"there is no cell {name!r}; see --list", file=sys.stderr)
        return 2
    result = run_cell(cell, seed, trace=True)
    print("\n".join([*result.trace, *result.violations]))
    print(f"{name}: {'failed' if result.violations else 'ok'}")
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
