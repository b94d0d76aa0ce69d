"""What callers, workers and the store see of a day: each broken promise is noted.

The observer asks no owner. It knows what was accepted and cancelled, what runs on
workers, and what is in the store.
"""

from apricotgap.instance.keys import progress_key
from apricotgap.jobs.documents import decode_progress
from apricotgap.jobs.model import JobPhase, TaskName
from tests.jobs_harness import SERVICE
from tests.worker_pool import N_PLACES, STOP_MS

# A long-running task is back at work this long after its last run at most, the last
# part of that time in calm.
MAX_AWAY_MS = 9_000
CALM_MS = 7_000
# What runs of a cancelled job ends within this time of calm after its acknowledgement.
CANCEL_MS = 3_000
# Crashes under which a task may be given up.
N_CRASHES_OF_JOB = 2
N_CRASHES_OF_LASTING = 3
ENDED = {JobPhase.SUCCEEDED, JobPhase.FAILED, JobPhase.CANCELLED}


class Observer:
    """Checks the promises to callers.

    Parameters
    ----------
    world : OwnerWorld
        World to look at; what is found is added to its `broken`.
    """

    def __init__(self, world):
        self._world = world
        self.jobs = {}
        # Longest time that a long-running task was away in calm, beside room for it.
        self.longest_away_ms = 0
        # Longest time from the last run of one, whatever happened meanwhile.
        self.longest_absence_ms = 0
        self._at_work_ms = {}
        self._room_since_ms = None
        self._cancel_sent = set()
        self._cancelled_ms = {}
        self._phases = {}
        self._ended_ms = {}
        self._reported = set()

    def _break(self, kind, what, detail):
        if (kind, what) not in self._reported:
            self._reported.add((kind, what))
            self._world.broken.append(f"{kind} {self._world.now} {what} {detail}")

    # Events

    def accepted(self, spec):
        """Note that a job was accepted."""
        self.jobs[spec.job_id] = spec
        for name in _tasks_of(spec):
            self._at_work_ms.setdefault(name, self._world.now)

    def is_cancelled(self, job_id):
        """Whether the cancellation of a job was sent."""
        return job_id in self._cancel_sent

    def cancel_sent(self, job_id):
        """Note that the cancellation of a job was sent."""
        self._cancel_sent.add(job_id)

    def cancel_acknowledged(self, job_id):
        """Note that the cancellation of a job was acknowledged."""
        self._cancelled_ms[job_id] = self._world.now

    def started(self, order, worker, token):
        """Check that an order to start was given with a permission."""
        if (SERVICE, token) in self._world.store.lapsed_epochs:
            detail = f"on {worker.worker_id} by epoch {token}, whose lease had ended"
            self._break("PERMISSION", (order.name, order.run_id), detail)
        cancelled_ms = self._cancelled_ms.get(order.name.job_id)
        if cancelled_ms is not None and self._world.now > cancelled_ms + CANCEL_MS:
            self._break("UNASKED", order.name, "starts after its job was cancelled")

    # All through the day

    def check(self):
        """Check what has to hold at each moment."""
        running = self._running()
        self._check_phases()
        self._check_cancelled()
        self._check_lasting(running)

    def _calm_ms(self):
        world = self._world
        # No bound of time holds for orders that a worker carries out late.
        is_impaired = world.has_late_calls or not world.store.is_up
        return 0 if is_impaired else world.now - world.troubled_ms

    def _check_phases(self):
        """A job that has ended stays so, and readable for the time of the platform."""
        now_ms = self._world.now
        for job_id in self.jobs:
            phase = self._stored_phase(job_id)
            known = self._phases.get(job_id)
            if known in ENDED and phase is not known:
                kept_ms = now_ms - self._ended_ms[job_id]
                if phase is None and kept_ms > self._world.status_retention_ms:
                    continue
                self._break("CHANGED", job_id, f"was {known}, is {phase}")
            if phase in ENDED:
                self._ended_ms.setdefault(job_id, now_ms)
            self._phases[job_id] = phase

    def _stored_phase(self, job_id):
        data = self._world.store.value(progress_key(SERVICE, job_id))
        return decode_progress(job_id, data).phase if data else None

    def _check_cancelled(self):
        """Runs of cancelled jobs end, but for those that no call can reach."""
        for name in self._running(excluded=self._world.unreachable):
            since_ms = self._cancelled_ms.get(name.job_id)
            if since_ms is None:
                continue
            calm_ms = min(self._calm_ms(), self._world.now - since_ms)
            if calm_ms > CANCEL_MS + STOP_MS:
                self._break("CANCEL", name, "runs on after its job was cancelled")

    def _check_lasting(self, running):
        world = self._world
        has_room = self._has_room(running)
        if not has_room:
            self._room_since_ms = None
        elif self._room_since_ms is None:
            self._room_since_ms = world.now
        for spec in self.jobs.values():
            if not spec.is_long_running or spec.job_id in self._cancel_sent:
                continue
            for name in _tasks_of(spec):
                if name in running:
                    self._at_work_ms[name] = world.now
                elif has_room and self._may_not_be_given_up(name):
                    self._note_away(name)

    def _note_away(self, name):
        world = self._world
        away_ms = world.now - self._at_work_ms[name]
        calm_ms = min(self._calm_ms(), world.now - self._room_since_ms)
        self.longest_absence_ms = max(self.longest_absence_ms, away_ms)
        self.longest_away_ms = max(self.longest_away_ms, min(away_ms, calm_ms))
        if away_ms > MAX_AWAY_MS and calm_ms > CALM_MS:
            detail = f"lasts and is away for {away_ms} ms, {calm_ms} ms of them calm"
            self._break("AWAY", name, detail)

    def _may_not_be_given_up(self, name):
        return self._world._n_crashes.get(name, 0) < N_CRASHES_OF_LASTING

    def _has_room(self, running):
        """Whether less than half of the pool is in use."""
        world = self._world
        n_workers = sum(
            world.workers[worker_id].is_up and worker_id not in world.unreachable
            for worker_id, entry in world.entries.items()
            if entry.service == SERVICE
        )
        return 2 * len(running) + 2 < n_workers * N_PLACES

    def _running(self, excluded=frozenset()):
        return {
            name
            for worker in self._world.workers.values()
            if worker.is_up and worker.worker_id not in excluded
            for name, _ in (*worker.running, *worker.stopping)
        }

    # At the end of a day

    def check_end(self):
        """Each accepted job has succeeded or was cancelled, and nothing is left over.

        Excused is a job under one of whose tasks workers crashed again and again.
        """
        self._check_phases()
        for job_id, spec in self.jobs.items():
            phase = self._phases[job_id]
            if job_id in self._cancelled_ms:
                if phase not in ENDED:
                    self._break("CANCEL", job_id, f"is {phase}")
            elif spec.is_long_running:
                if phase in ENDED and self._n_crashes(job_id) < N_CRASHES_OF_LASTING:
                    self._break("LOST", job_id, f"lasts and is {phase}")
            elif (
                phase is not JobPhase.SUCCEEDED
                and job_id not in self._cancel_sent
                and self._n_crashes(job_id) < N_CRASHES_OF_JOB
            ):
                self._break("LOST", job_id, f"is {phase}")

    def _n_crashes(self, job_id):
        crashes = self._world._n_crashes.items()
        return max((n for name, n in crashes if name.job_id == job_id), default=0)


def _tasks_of(spec):
    return [
        TaskName(spec.job_id, occurrence, index, number)
        for occurrence in spec.occurrences
        for index, step in enumerate(spec.steps)
        for number in range(step.n_tasks)
    ]


__all__ = ["Observer"]
