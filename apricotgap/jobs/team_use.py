"""What the teams run and wait for in a shard."""

from apricotgap.jobs.limits import RUNS_PER_EPOCH
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.team_shares import TeamUse

__all__ = ["team_use"]


def team_use(shard: Shard) -> dict[str, TeamUse]:
    """Return the cores that each team uses in a shard, and its first waiting job."""
    first_own = (shard.epoch - 1) * RUNS_PER_EPOCH
    found: dict[str, list[float]] = {}
    for worker in shard.workers.values():
        for run in worker.runs.values():
            cores = run.allocation.core_equivalents
            use = found.setdefault(run.team, [0.0, 0.0, 0.0, 0.0])
            if run.step.is_long_running:
                use[1] += cores
                continue
            use[0] += cores
            if run.run_id <= first_own:
                use[2] += cores
    for team, core_ms in _next_core_ms(shard).items():
        found.setdefault(team, [0.0, 0.0, 0.0, 0.0])[3] = core_ms
    return {team: TeamUse(*use) for team, use in found.items()}


def _next_core_ms(shard: Shard) -> dict[str, float]:
    """Return the work of the waiting job of each team that is due first."""
    due: dict[str, tuple[int, float]] = {}
    for job in shard.open_jobs.values():
        spec = job.spec
        if spec.is_long_running:
            continue
        with shard.guard(job):
            first = due.get(spec.team)
            is_first = first is None or job.objective_ms < first[0]
            if is_first and any(job.waiting.values()):
                due[spec.team] = (job.objective_ms, job.remaining_core_ms())
    return {team: core_ms for team, (_, core_ms) in due.items()}
