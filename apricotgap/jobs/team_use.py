"""What the teams run in a shard."""

from apricotgap.jobs.limits import RUNS_PER_EPOCH
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.team_shares import TeamUse

__all__ = ["team_use"]


def team_use(shard: Shard) -> dict[str, TeamUse]:
    """Return the cores that each team uses by the runs of a shard."""
    first_own = (shard.epoch - 1) * RUNS_PER_EPOCH
    cores: dict[str, list[float]] = {}
    for worker in shard.workers.values():
        for run in worker.runs.values():
            amount = run.allocation.core_equivalents
            found = cores.setdefault(run.team, [0.0, 0.0, 0.0])
            if run.step.is_long_running:
                found[1] += amount
                continue
            found[0] += amount
            if run.run_id <= first_own:
                found[2] += amount
    return {team: TeamUse(*amounts) for team, amounts in cores.items()}
