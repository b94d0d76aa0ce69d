"""Time to plan an intent at the target size, and bytes of the plan."""

from random import Random
from time import thread_time_ns

from apricotgap.core.planner import make_plan
from apricotgap.model import Configuration, Intent
from bench.fleets import TARGET, Size, configuration
from bench.measuring import Check, Sample, table

__all__ = ["run"]

# An operator waits for a plan, and the entry serves nothing else meanwhile.
MAX_PLAN_MS = 1_100.0
N_REPEATS = 5
SIZES = (Size(40, 10, 5, 4), Size(400, 100, 50, 8), TARGET)
INTENTS = (
    ("drain_instance", "worker-0000"),
    ("drain_rack", "dc00-r00"),
    ("roll_pool", "pool-001"),
    ("take_out_data_centre", "dc00"),
)


def _plan_ms(size: Size, kind: str, target: str) -> tuple[Sample, int]:
    config = configuration(size)
    names = sorted(config.instances)
    values, n_steps = [], 0
    for seed in range(N_REPEATS):
        # 17 failures a day last minutes each; two at once is already unusual.
        out = {n for n in Random(seed).sample(names, 2) if _is_remote(config, n)}
        started = thread_time_ns()
        plan = make_plan(config, Intent(kind, target, {}), out, f"p{seed}")
        values.append((thread_time_ns() - started) / 1e6)
        n_steps = len(plan.steps)
    return Sample(tuple(values)), n_steps


def _is_remote(config: Configuration, name: str) -> bool:
    """Tell whether an instance is outside what the intents target."""
    instance = config.instances[name]
    return instance.data_centre != "dc00" and instance.pool != "pool-001"


def run() -> list[Check]:
    """Print the planning time at each size and check the target size."""
    rows, slowest = [], 0.0
    for size in SIZES:
        for kind, target in INTENTS:
            planned, n_steps = _plan_ms(size, kind, target)
            rows.append(
                (size.n_workers, size.n_pools, kind, n_steps, planned.median)
                + (planned.spread,)
            )
            if size is TARGET:
                slowest = max(slowest, planned.median)
    header = ("workers", "pools", "intent", "steps", "plan_ms", "spread")
    print(table("planning, processor time", header, rows))
    return [
        Check("planning: slowest plan at the target size, ms", slowest, MAX_PLAN_MS)
    ]
