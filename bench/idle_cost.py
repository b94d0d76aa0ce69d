"""Cost of an idle entry instance: processor, memory, bytes and store calls."""

import tempfile
from pathlib import Path
from statistics import median

import trio

from bench.deployment import Deployment, Usage
from bench.fleets import TARGET, Size
from bench.measuring import Check, Sample, linear_fit, table

__all__ = ["BUDGET_BYTES_PER_S", "BUDGET_CPU_PERCENT", "BUDGET_MEMORY_MB", "run"]

# Design, section 1.4: what control may cost a node.
BUDGET_CPU_PERCENT = 1.4
BUDGET_MEMORY_MB = 64.0
BUDGET_BYTES_PER_S = 7_000.0

SIZES = (
    Size(8, 4, 2, 1, 1),
    Size(200, 4, 2, 1, 1),
    Size(8, 330, 2, 1, 1),
    Size(8, 4, 292, 1, 1),
    Size(8, 4, 2, 1, 3),
    Size(8, 4, 2, 1, 6),
    Size(22, 4, 2, 11, 11),
    Size(22, 4, 2, 22, 22),
    TARGET,
)
SETTLE_S = 6.0
WINDOW_S = 4.0
N_WINDOWS = 3
_KINDS = ("peer", "store", "platform", "backend")


class Measured:
    """Medians over the windows, for the relay and for the median other entry."""

    def __init__(self, deployment: Deployment, usages: list[Usage]) -> None:
        self._usages = usages
        names = sorted(deployment.entries)
        # The lowest name of a data centre is its relay; dc00 has running servers.
        here = [n for n in names if deployment.centre_of[n] == "dc00"]
        self.relay = here[0]
        self.plain = here[1:]
        last, first = usages[-1], usages[0]
        elapsed_s = last.at_s - first.at_s
        self.calls = {
            kind: (last.counters[kind] - first.counters[kind]) / elapsed_s
            for kind in ("reads", "writes", "keep_alives")
        }
        self.calls["waiting_watches"] = last.counters["waiting_watches"]

    def cpu(self, names: list[str]) -> Sample:
        """Percent of a core; the median entry of each window."""
        pairs = zip(self._usages[1:], self._usages, strict=False)
        shares = [later.cpu_share(earlier) for later, earlier in pairs]
        return Sample(tuple(median(s[n] for n in names) for s in shares))

    def memory(self, names: list[str]) -> float:
        """Resident megabytes."""
        return float(median(self._usages[-1].memory_mb[n] for n in names))

    def n_bytes(self, names: list[str], kind: str) -> float:
        """Bytes a second in both directions."""
        rates = self._usages[-1].bytes_per_s(self._usages[0])
        return float(
            median(
                rates[n].get(f"{kind}_sent", 0) + rates[n].get(f"{kind}_received", 0)
                for n in names
            )
        )


async def _measure(size: Size) -> Measured:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), size)
        try:
            await deployment.start()
            await trio.sleep(SETTLE_S + size.n_entries / 10)
            usages = [await deployment.usage()]
            for _ in range(N_WINDOWS):
                await trio.sleep(WINDOW_S)
                usages.append(await deployment.usage())
            return Measured(deployment, usages)
        finally:
            with trio.CancelScope(shield=True):
                await deployment.stop()


def _row(size: Size, role: str, measured: Measured, names: list[str]) -> list[object]:
    cpu = measured.cpu(names)
    sizes = (size.n_workers, size.n_teams, size.n_pools)
    return [
        *sizes,
        size.n_data_centres,
        size.n_entries,
        role,
        cpu.median,
        cpu.spread,
        measured.memory(names),
        *(measured.n_bytes(names, kind) for kind in _KINDS),
    ]


def _slopes(found: dict[Size, Measured]) -> list[list[object]]:
    """Slopes between sizes that differ in one number only."""
    first = SIZES[0]
    rows: list[list[object]] = []
    for name in ("n_workers", "n_teams", "n_pools", "n_entries"):
        others = [
            s
            for s in found
            if s.n_data_centres == 1 and getattr(s, name) != getattr(first, name)
        ]
        rows.append(_slope(name, [first, *others], name, found))
    wide = [s for s in found if s.n_teams == 4 and s.n_data_centres > 1]
    rows.append(_slope("data centres with an entry", wide, "n_data_centres", found))
    return rows


def _slope(
    label: str, sizes: list[Size], field: str, found: dict[Size, Measured]
) -> list[object]:
    numbers = [float(getattr(s, field)) for s in sizes]
    row: list[object] = [label]
    relays = [(found[s], [found[s].relay]) for s in sizes]
    row.append(linear_fit(numbers, [m.cpu(n).median for m, n in relays])[1])
    row.append(linear_fit(numbers, [m.memory(n) for m, n in relays])[1])
    for kind in _KINDS:
        row.append(linear_fit(numbers, [m.n_bytes(n, kind) for m, n in relays])[1])
    return row


def run(sizes: tuple[Size, ...] = SIZES) -> list[Check]:
    """Print the cost at each size and check the target size."""
    rows, calls, found = [], [], {}
    for size in sizes:
        measured = trio.run(_measure, size)
        found[size] = measured
        rows.append(_row(size, "relay", measured, [measured.relay]))
        if measured.plain:
            rows.append(_row(size, "plain", measured, measured.plain))
        calls.append([size.label, *measured.calls.values()])
    header = ["workers", "teams", "pools", "dcs", "entries", "role", "cpu_%", "spread"]
    header += ["memory_mb", *(f"{kind}_B/s" for kind in _KINDS)]
    print(table("idle entry instance", header, rows))
    header = ["size", "reads/s", "writes/s", "keep_alives/s", "waiting_watches"]
    print(table("store calls of all entry instances", header, calls))
    if set(SIZES) <= set(found):
        header = ["for each", "cpu_%", "memory_mb", *(f"{k}_B/s" for k in _KINDS)]
        print(table("slopes at the relay", header, _slopes(found)))
    return _checks(found[TARGET]) if TARGET in found else []


def _checks(measured: Measured) -> list[Check]:
    checks = []
    for role, names in (("relay", [measured.relay]), ("plain", measured.plain)):
        n_bytes = sum(measured.n_bytes(names, kind) for kind in _KINDS)
        label = f"idle {role} at the target size"
        cpu, memory = measured.cpu(names).median, measured.memory(names)
        checks += [
            Check(f"{label}, percent of a core", cpu, BUDGET_CPU_PERCENT),
            Check(f"{label}, memory MB", memory, BUDGET_MEMORY_MB),
            Check(f"{label}, bytes a second", n_bytes, BUDGET_BYTES_PER_S),
        ]
    return checks
