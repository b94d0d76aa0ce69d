"""What a team may use through runs of earlier owners that are not known yet."""

from apricotgap.jobs import limits
from apricotgap.jobs.model import NO_RESOURCES, Resources
from apricotgap.jobs.shard import Shard

__all__ = ["inherited_usage", "possible_usage"]


def inherited_usage(shard: Shard) -> dict[str, Resources]:
    """Return the most that unknown runs of earlier owners use, by team.

    They are tasks that wait here, on workers that have not answered this owner yet, and
    use no more than these workers hold. Tasks that may be copied may have several.
    """
    capacity = NO_RESOURCES
    for worker in shard.workers.values():
        if worker.is_unverified:
            capacity = capacity + worker.total
    if capacity == NO_RESOURCES:
        return {}
    found: dict[str, Resources] = {}
    for job in shard.open_jobs.values():
        if not job.is_inherited:
            continue
        team = job.spec.team
        for (occurrence, index), waiting in job.waiting.items():
            step = job.spec.steps[index]
            n_runs = len(waiting)
            if step.may_be_copied:
                # Known runs may have unknown copies.
                n_open = job.n_open_tasks((occurrence, index))
                n_runs = n_open * limits.MAX_RUNS_PER_TASK
            size = step.allocation.times(n_runs)
            found[team] = found.get(team, NO_RESOURCES) + size
    return {team: size.elementwise_min(capacity) for team, size in found.items()}


def possible_usage(shard: Shard) -> dict[str, Resources]:
    """Return the most that each team uses, by known and by unknown runs."""
    usage = dict(shard.team_usage)
    for team, size in inherited_usage(shard).items():
        usage[team] = usage.get(team, NO_RESOURCES) + size
    return usage
