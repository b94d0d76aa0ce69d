"""Throttling of best-effort tasks that share a worker with serving tasks."""

from apricotgap.jobs import limits
from apricotgap.jobs.effects import Effect, LogDecision, PaceRun
from apricotgap.jobs.runs import FULL_PACE, Run, RunPhase
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.workers import Worker

__all__ = ["Pacer"]

_DECREASE_FACTOR = 0.5
_INCREASE_PERCENT = 10


class Pacer:
    """Throttles best-effort tasks while a serving task is close to its latency target.

    For each worker, the pace is halved to slow down and raised in small steps
    (additive increase, multiplicative decrease).

    Parameters
    ----------
    shard : Shard
        State of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard

    def run(self, at_ms: int) -> list[Effect]:
        """Return the changes of pace that are due now."""
        effects: list[Effect] = []
        for worker in self._shard.workers.values():
            if at_ms - worker.paced_ms >= limits.PACE_INTERVAL_MS:
                effects.extend(self._pace_worker(worker, at_ms))
        return effects

    def _pace_worker(self, worker: Worker, at_ms: int) -> list[Effect]:
        runs = [run for run in worker.runs.values() if run.phase is RunPhase.RUNNING]
        best_effort_runs = [run for run in runs if run.step.is_best_effort]
        if not best_effort_runs:
            return []
        ratio = max(
            (run.usage / run.step.target_ms for run in runs if run.step.target_ms),
            default=0.0,
        )
        if limits.PACE_UP_AT <= ratio <= limits.PACE_DOWN_AT:
            return []
        worker.paced_ms = at_ms
        effects: list[Effect] = []
        for run in best_effort_runs:
            pace = self._next_pace(run, ratio)
            if pace == run.pace:
                continue
            run.pace = pace
            entry = worker.entry
            effects.append(
                PaceRun(
                    entry.worker_id,
                    entry.address,
                    entry.born_ms,
                    run.name,
                    run.run_id,
                    pace,
                )
            )
        if effects:
            effects.append(
                LogDecision(
                    "paced",
                    {
                        "worker": worker.worker_id,
                        "tail_to_target": round(ratio, 2),
                        "pace": best_effort_runs[0].pace,
                        "n_fillers": len(best_effort_runs),
                    },
                )
            )
        return effects

    @staticmethod
    def _next_pace(run: Run, ratio: float) -> int:
        current = FULL_PACE if run.pace is None else run.pace
        if ratio > limits.PACE_DOWN_AT:
            pace = int(current * _DECREASE_FACTOR)
            return pace if pace >= 5 else 0
        return min(FULL_PACE, current + _INCREASE_PERCENT)

    def handle_response(self, order: PaceRun, ok: bool) -> None:
        """Handle the response to an order; unless `ok`, it may not have arrived."""
        worker = self._shard.workers.get(order.worker_id)
        run = worker.runs.get((order.name, order.run_id)) if worker else None
        if run is not None and not ok:
            # The pace at the worker is unknown; a pace that differs from any order
            # makes the next pass send one again.
            run.pace = order.percent + 1
