"""Reasons for which accepted tasks wait, as the scheduler sees them.

Each reason is a class; the first of `REASONS` that applies to a step explains its wait.
"""

from typing import Any

from apricotgap.jobs import limits
from apricotgap.jobs.model import NO_RESOURCES
from apricotgap.jobs.tickets import StepName
from apricotgap.jobs.wait_case import Wait, WaitCase, WaitReason
from apricotgap.jobs.workers import Obstacle, Worker

__all__ = ["REASONS", "Wait", "WaitCase", "explain_wait"]

# Most workers that one reason names.
_MAX_NAMED_WORKERS = 4


class NotDue(WaitReason):
    """The start time of the occurrence has not come."""

    name = "not_due"
    is_expected = True

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        left_ms = case.job.spec.due_ms(case.key[0]) - case.shard.unix_of(case.at_ms)
        return {"due_in_ms": left_ms} if left_ms > 0 else None

    def next_look_ms(self, case: WaitCase) -> int:
        return case.job.spec.due_ms(case.key[0]) - case.shard.unix_offset_ms


class EarlierSteps(WaitReason):
    """A step that must be done first is not."""

    name = "earlier_steps"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        unix_ms = case.shard.unix_of(case.at_ms)
        if case.job.is_open(case.key, unix_ms):
            return None
        return {"after": list(case.step.after)}


class LeaseEnding(WaitReason):
    """The lease of the owner, or its view of the configuration, is about to end."""

    name = "lease_ending"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        left_ms = case.lease_until_ms - case.at_ms
        return {"left_ms": left_ms} if left_ms < limits.LEASE_MARGIN_MS else None


class NotConfigured(WaitReason):
    """No configuration is known, or it lacks the service."""

    name = "not_configured"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        config = case.shard.config
        if config is not None and case.shard.service in config.service_by_name:
            return None
        return {"version": config.version if config else 0}


class OldWorkerList(WaitReason):
    """The list of workers is too old to start by its capacities."""

    name = "old_worker_list"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if case.shard.knows_capacities(case.at_ms):
            return None
        return {"list_age_ms": case.at_ms - case.shard.list_fresh_ms}


class PreviousOwner(WaitReason):
    """Workers of the previous owner may still run tasks of the job."""

    name = "previous_owner"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if not case.job.is_inherited:
            return None
        unverified = self._unverified(case)
        if not unverified or self._may_be_copied(case):
            return None
        return {
            "n_workers": len(unverified),
            "workers": [w.worker_id for w in unverified[:_MAX_NAMED_WORKERS]],
            "lease_left_ms": self.next_look_ms(case) - case.at_ms,
        }

    def next_look_ms(self, case: WaitCase) -> int:
        return max(map(self._known_ms, self._unverified(case)))

    @staticmethod
    def _may_be_copied(case: WaitCase) -> bool:
        shard = case.shard
        if not (case.step.may_be_copied and shard.may_copy_unknown_runs(case.job)):
            return False
        return shard.lacks_only_silent_workers(case.at_ms)

    @staticmethod
    def _known_ms(worker: Worker) -> int:
        """Return when the runs of a worker are known, or its lease has ended."""
        if worker.stops_until_ms is None or worker.silent_since_ms is not None:
            return max(worker.lease_until_ms, worker.offered_until_ms)
        return worker.stops_until_ms

    @staticmethod
    def _unverified(case: WaitCase) -> list[Worker]:
        return [w for w in case.shard.workers.values() if w.is_unverified]


class ReservationsUnknown(WaitReason):
    """The fleet owner has not named the workers that are to be emptied."""

    name = "reservations_unknown"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        is_long_running = case.job.spec.is_long_running
        if not is_long_running or case.shard.knows_reservations(case.at_ms):
            return None
        return {"since_load_ms": case.at_ms - case.shard.loaded_ms}

    def next_look_ms(self, case: WaitCase) -> int:
        return case.shard.loaded_ms + limits.FIRST_REPORT_TIMEOUT_MS + 1


class CrashUnsaved(WaitReason):
    """A crash charged to the waiting tasks is not stored yet."""

    name = "crash_unsaved"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if not case.job.has_unsaved_crash:
            return None
        if not case.step.is_gang and not all(map(case.job.is_suspect, case.names)):
            return None
        n_unsaved = case.job.n_crashes - case.job.n_stored_crashes
        return {"n_unsaved": n_unsaved}


class GangIncomplete(WaitReason):
    """Members of the gang still run or are being stopped."""

    name = "gang_incomplete"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        n_waiting = len(case.job.waiting[case.key])
        if not case.step.is_gang or n_waiting == case.step.n_tasks:
            return None
        return {"n_waiting": n_waiting, "n_tasks": case.step.n_tasks}


class Probing(WaitReason):
    """Another task has failed on several workers, and is tried before all others."""

    name = "probing"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        probe = case.job.probe
        if probe is None or case.job.startable(case.key):
            return None
        return {
            "probe": str(probe),
            "n_failed": len(case.job.record(probe).failed_runs),
        }


class NoWorkerAccepts(WaitReason):
    """No worker of the pool takes new work."""

    name = "no_worker_accepts"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if case.accepting:
            return None
        return {"n_workers": len(case.shard.workers), "obstacles": case.obstacles()}

    def next_look_ms(self, case: WaitCase) -> int:
        """Return the first time at which a worker accepts by itself, if it is known."""
        times = [
            max(worker.reserved_until_ms, worker.blocked_until_ms)
            for worker in case.shard.workers.values()
            if worker.obstacle(case.at_ms) in (Obstacle.RESERVED, Obstacle.BLOCKED)
        ]
        return min(times, default=super().next_look_ms(case))


class TeamLimit(WaitReason):
    """The team has used up its allowance in this shard."""

    name = "team_limit"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        team = case.job.spec.team
        if case.shard.is_within_team_limit(team, case.required):
            return None
        limits_of_team = case.shard.team_limits
        allowance = limits_of_team.allowed(team) or NO_RESOURCES
        usage = case.shard.possible_usage_of(team)
        return {
            "team": team,
            "required_cpu": case.required.cpu,
            "allowance_cpu": allowance.cpu,
            "usage_cpu": usage.cpu,
            "limit_cpu": limits_of_team.limit(team).cpu,
            "split_cpu": limits_of_team.stored_cpu(team),
        }


class NoRoom(WaitReason):
    """No accepting worker has room for a task, or all together for a gang."""

    name = "no_room"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if _has_room(case, case.roomy):
            return None
        allocation = case.step.allocation
        free = [worker.free for worker in case.accepting]
        return {
            "n_accepting": len(free),
            "n_tasks": case.step.n_tasks if case.step.is_gang else 1,
            "required_cpu": allocation.cpu,
            "required_memory_mb": allocation.memory_mb,
            "free_cpu": max(each.cpu for each in free),
            "free_memory_mb": max(each.memory_mb for each in free),
            "obstacles": case.obstacles(),
        }


class MissingLabel(WaitReason):
    """No worker with room has the required label."""

    name = "missing_label"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if case.candidates:
            return None
        return {"label": case.step.required_label, "n_with_room": len(case.roomy)}


class WorkersOnTrial(WaitReason):
    """All workers with room have just started a task that may crash them."""

    name = "workers_on_trial"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        on_trial = [w for w in case.candidates if w.is_on_trial(case.at_ms)]
        if len(on_trial) < len(case.candidates):
            return None
        return {"workers": [w.worker_id for w in on_trial[:_MAX_NAMED_WORKERS]]}


class OtherMachineOnTrial(WaitReason):
    """Only machines that have crashed under the tasks are not on trial."""

    name = "other_machine_on_trial"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if not all(map(case.job.awaits_other_machine, case.names)):
            return None
        avoided = case.job.machines_to_avoid(case.names[0])
        others = [w for w in case.candidates if w.entry.machine_digest not in avoided]
        if not others or not all(w.is_on_trial(case.at_ms) for w in others):
            return None
        return {"workers": [w.worker_id for w in others[:_MAX_NAMED_WORKERS]]}


class KeptForGang(WaitReason):
    """Workers are left to a gang that has waited for longer; others lack room."""

    name = "kept_for_gang"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        kept = case.shard.kept_workers
        others = [w for w in case.candidates if w.worker_id not in kept]
        if not kept or _has_room(case, others):
            return None
        return {"n_with_room": len(case.candidates), "n_kept": len(kept)}


class NoFreshAnswer(WaitReason):
    """Earlier starts got no answer, and no worker with room has answered just now."""

    name = "no_fresh_answer"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if not all(map(case.job.needs_fresh_answer, case.names)):
            return None
        avoided = case.job.avoided_workers.get(case.names[0], ())
        fresh = [w for w in case.candidates if w.has_just_answered(case.at_ms)]
        stale = [w for w in case.candidates if not w.has_just_answered(case.at_ms)]
        awaits_better = any(w.worker_id not in avoided for w in stale)
        if any(w.worker_id not in avoided for w in fresh):
            return None
        if fresh and not awaits_better:
            return None
        ages = [case.at_ms - worker.answered_ms for worker in case.candidates]
        return {"n_with_room": len(ages), "answer_age_ms": min(ages)}


class WorkerShare(WaitReason):
    """Workers with room already run as many tasks of the step as one may."""

    name = "worker_share"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        most = case.step.max_per_worker
        prefix = (case.job.spec.job_id, *case.key)
        if not most or any(
            sum(name[:3] == prefix for name, _ in worker.runs) < most
            for worker in case.candidates
        ):
            return None
        return {"max_per_worker": most, "n_with_room": len(case.candidates)}


class NoTicket(WaitReason):
    """The advice service has given no valid ticket for a worker with room."""

    name = "no_ticket"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if not case.shard.needs_ticket(case.job.spec.queue):
            return None
        step = StepName(case.job.spec.job_id, *case.key)
        tickets = case.shard.tickets
        if any(tickets.holds(step, w, case.at_ms) for w in case.candidates):
            return None
        n_denied = sum(tickets.is_denied(step, worker) for worker in case.candidates)
        return {"n_with_room": len(case.candidates), "n_denied": n_denied}


class FirstSave(WaitReason):
    """The first progress of the job is not stored yet."""

    name = "first_save"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        if case.job.may_start:
            return None
        return {
            "is_requested": case.shard.is_first_save_pending(case.job),
            "n_pending": case.shard.n_pending_first_saves,
        }


class NextPass(WaitReason):
    """Nothing prevents a start: the next passes should start a task."""

    name = "next_pass"

    def inputs(self, case: WaitCase) -> dict[str, Any] | None:
        return {"n_with_room": len(case.candidates)}


# In the order in which the scheduler checks; the last one always applies.
REASONS: tuple[WaitReason, ...] = (
    NotDue(),
    EarlierSteps(),
    LeaseEnding(),
    NotConfigured(),
    OldWorkerList(),
    PreviousOwner(),
    ReservationsUnknown(),
    CrashUnsaved(),
    GangIncomplete(),
    Probing(),
    NoWorkerAccepts(),
    TeamLimit(),
    NoRoom(),
    MissingLabel(),
    WorkersOnTrial(),
    OtherMachineOnTrial(),
    KeptForGang(),
    NoFreshAnswer(),
    WorkerShare(),
    NoTicket(),
    FirstSave(),
    NextPass(),
)


def _has_room(case: WaitCase, workers: list[Worker]) -> bool:
    """Whether workers with room for a task have room for all members of a gang."""
    if not case.step.is_gang:
        return bool(workers)
    step = case.step
    most = step.max_per_worker or step.n_tasks
    n_places = sum(step.allocation.n_fitting(each.free, most) for each in workers)
    return n_places >= step.n_tasks


def explain_wait(case: WaitCase) -> Wait:
    """Return the first reason that explains the wait of a step."""
    for reason in REASONS:
        inputs = reason.inputs(case)
        if inputs is not None:
            return Wait(
                reason.name, reason.next_look_ms(case), inputs, reason.is_expected
            )
    raise AssertionError("the last reason always applies")
