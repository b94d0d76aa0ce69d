"""State of a worker at its shard: capacity, lease, clock and failure history."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from apricotgap.jobs import limits
from apricotgap.jobs.events import EndReport
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.model import NO_RESOURCES, Resources, RunEnd, TaskName
from apricotgap.jobs.runs import Run

__all__ = ["Obstacle", "Worker"]

RunKey = tuple[TaskName, int]


class Obstacle(Enum):
    """Why a worker may not be given new work."""

    UNACQUIRED = "unacquired"
    UNLISTED = "unlisted"
    RESERVED = "reserved"
    UNRECORDED = "unrecorded"
    DRAINING = "draining"
    BLOCKED = "blocked"
    SILENT = "silent"
    UNACKNOWLEDGED = "unacknowledged"
    SUSPECT = "suspect"


@dataclass(slots=True)
class Worker:
    """One incarnation of a worker.

    `total` is the capacity that the worker reported last; it may shrink and grow.
    `free` is what the known runs leave of it, negative when it has shrunk below them.

    `lease_until_ms` is the latest time, on the clock of the instance, until which the
    worker may keep executing runs; `offered_until_ms` is the value that a pending poll
    would set. `last_applied` is the number of the last end applied by the shard,
    `acknowledged` that of the last end in the store.

    `longest_lease_until_ms` is the latest end of a lease from a call that was meant for
    the incarnation before: an end on the clock of that one may be far ahead on the
    clock of this one.

    `silent_since_ms` is the time of the first poll that failed since the last response,
    None if none has. `may_be_cut_off` is set if it did not tell when the worker fell
    silent: that may have run on out of reach, and its runs may have ended before it
    crashed.

    `answer_due_ms` is the time by which the worker responds to a pending poll, unless
    something is wrong; None if no poll is pending.

    `withheld_since_ms` is the time since which each list of the worker has held ends
    that are acknowledged, None if the last one held none.

    `failing_since_ms` is the time of the first start that it turned away as unhealthy,
    or that got no answer, since the last one that it carried out; None if none did.

    `normal_end_ms` is the time of the last end of a run that was done after no unusual
    time, `found_slow_ms` the last time at which its runs showed that it is slow.

    An acquired worker has responded to a poll of this owner. An unverified one may
    still have runs of a previous owner: those that it was told to stop are in no list
    until `stops_until_ms`, set by its first response. Only a worker recorded in the
    stored roster, where the next owner finds it, gets work.
    """

    entry: WorkerEntry
    total: Resources
    lease_until_ms: int
    offered_until_ms: int = 0
    is_listed: bool = True
    is_acquired: bool = False
    is_unverified: bool = False
    stops_until_ms: int | None = None
    is_recorded: bool = False
    reserved_until_ms: int = -1_000_000
    answered_ms: int = -1_000_000
    silent_since_ms: int | None = None
    may_be_cut_off: bool = False
    answer_due_ms: int | None = None
    clock_ms: int = 0
    clock_at_ms: int = 0
    last_applied: int = 0
    acknowledged: int = 0
    longest_lease_until_ms: int = -1_000_000
    withheld_since_ms: int | None = None
    runs: dict[RunKey, Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    n_serving: int = 0
    n_long_running: int = 0
    n_copyable: int = 0
    blocked_until_ms: int = -1_000_000
    n_unanswered_starts: int = 0
    failing_since_ms: int | None = None
    slow_until_ms: int = -1_000_000
    normal_end_ms: int = -1_000_000
    found_slow_ms: int = -1_000_000
    suspect_since_ms: int | None = None
    recent_ends: deque[tuple[int, str, bool]] = field(default_factory=deque)
    paced_ms: int = -1_000_000
    trial: Run | None = None
    last_start_ms: int = -1_000_000
    free: Resources = NO_RESOURCES

    def __post_init__(self) -> None:
        self.set_total(self.total)

    @property
    def worker_id(self) -> str:
        """Id of the worker, shared by all its incarnations."""
        return self.entry.worker_id

    def set_total(self, total: Resources) -> None:
        """Set the total capacity and update the free capacity."""
        self.total = total
        self.free = total - self.used

    def is_on_trial(self, at_ms: int) -> bool:
        """Whether a start has to show first that others may follow.

        It is one of a task that may crash the worker, or the first after one that got
        no answer.
        """
        if self.n_unanswered_starts and self._has_unconfirmed_start:
            return True
        if self.trial is None or self.trial.is_started_up:
            return False
        return at_ms - self.trial.sent_ms <= limits.CRASH_SIGN_MS

    @property
    def _has_unconfirmed_start(self) -> bool:
        return any(not run.has_begun for run in self.runs.values())

    def has_recent_start(self, at_ms: int) -> bool:
        """Whether a task that was started last may have yet to start up."""
        return at_ms - self.last_start_ms <= limits.CRASH_SIGN_MS

    def has_just_answered(self, at_ms: int) -> bool:
        """Whether the worker is unlikely to have crashed since its last answer."""
        return at_ms - self.answered_ms <= limits.FRESH_ANSWER_MS

    @property
    def has_starting_long_running(self) -> bool:
        """Whether a long-running run is not at work yet."""
        if not self.n_long_running:
            return False
        return any(
            run.step.is_long_running and run.percent < 100 for run in self.runs.values()
        )

    @property
    def n_possible_runs(self) -> int:
        """Number of known runs; at least 1 while runs of a previous owner may exist."""
        return max(len(self.runs), int(self.is_unverified))

    def clock_now_ms(self, at_ms: int) -> int:
        """Return a lower bound of the current time on the worker's clock.

        Parameters
        ----------
        at_ms : int
            Current time on the clock of the instance.
        """
        elapsed = max(0, at_ms - self.clock_at_ms)
        return self.clock_ms + int(elapsed * (1 - limits.CLOCK_DRIFT))

    def record_clock(self, at_ms: int, clock_ms: int) -> None:
        """Raise the lower bound of the worker's clock.

        A response that was long on its way had left it too low, and starts that were
        sent by it come too late.
        """
        if self.clock_at_ms and clock_ms > self.clock_now_ms(at_ms):
            self.clock_ms, self.clock_at_ms = clock_ms, at_ms

    @staticmethod
    def lease_bound_ms(at_ms: int, lease_ms: int) -> int:
        """Return the latest end of a lease on the clock of the instance.

        Parameters
        ----------
        at_ms : int
            Time at which the lease is offered, on the clock of the instance.
        lease_ms : int
            Length of the lease on the worker's clock, in milliseconds.
        """
        return at_ms + int(lease_ms * limits.WORKER_LEASE_STRETCH) + 100

    def is_settled(self, at_ms: int) -> bool:
        """Whether all leases follow those of owners, whatever came before."""
        return at_ms > self.longest_lease_until_ms

    def record_start(self, at_ms: int) -> None:
        """Record that a start was sent; it extends the lease to the end of its window.

        The extension holds for all runs of the worker, even if it rejects the start.
        """
        window_end_ms = self.lease_bound_ms(at_ms, limits.START_WINDOW_MS)
        self.lease_until_ms = max(self.lease_until_ms, window_end_ms)

    @property
    def last_seen(self) -> int:
        """Number of the last end that the worker may drop at the next poll.

        Another incarnation may respond, whose numbers begin anew: after silence, or
        while a start may have reached it. Then the worker must not drop any end.
        """
        if self.silent_since_ms is not None:
            return 0
        if any(run.may_be_in_next_incarnation for run in self.runs.values()):
            return 0
        return self.acknowledged

    def record_listed_ends(self, at_ms: int, ends: Sequence[EndReport]) -> None:
        """Record whether the worker still lists ends that are acknowledged."""
        if not any(end.number <= self.acknowledged for end in ends):
            self.withheld_since_ms = None
        elif self.withheld_since_ms is None:
            self.withheld_since_ms = at_ms

    def awaits_acknowledgement(self, at_ms: int) -> bool:
        """Whether the starts of the worker keep it from dropping ends for too long."""
        if self.withheld_since_ms is None:
            return False
        return at_ms - self.withheld_since_ms > limits.MAX_WITHHELD_MS

    def record_failed_poll(self, at_ms: int, is_broken_off: bool = False) -> None:
        """Record that a poll of the worker got no response.

        One that `is_broken_off` tells when the worker fell silent, unless the response
        was overdue.
        """
        if self.silent_since_ms is not None:
            return
        is_dated = is_broken_off and not self.has_missed_poll(at_ms)
        self.may_be_cut_off = not is_dated and self._has_been_silent(at_ms)
        self.silent_since_ms = at_ms

    def may_have_run_on(self, at_ms: int) -> bool:
        """Whether runs may have ended unseen before the worker was found to be gone."""
        if self.silent_since_ms is not None:
            return self.may_be_cut_off
        return self._has_been_silent(at_ms)

    def _has_been_silent(self, at_ms: int) -> bool:
        return at_ms - self.answered_ms > limits.CRASH_SIGN_MS

    def record_poll(self, sent_ms: int, wait_ms: int) -> None:
        """Record that a poll was sent that may wait this long for its response."""
        self.answer_due_ms = sent_ms + wait_ms

    def is_answering(self, at_ms: int) -> bool:
        """Whether the worker has answered its last polls."""
        if not self.is_acquired or self.silent_since_ms is not None:
            return False
        return at_ms - self.answered_ms <= limits.SILENT_WORKER_MS

    def has_missed_answer(self, at_ms: int) -> bool:
        """Whether the worker has not answered although it should have.

        Polls wait for a run to end, so the age of the last answer alone says nothing.
        """
        if not self.is_acquired or at_ms - self.answered_ms < limits.COPY_SILENT_MS:
            return False
        return self.has_missed_poll(at_ms)

    def has_missed_poll(self, at_ms: int) -> bool:
        """Whether the last poll has failed or is overdue."""
        if self.silent_since_ms is not None:
            return True
        due_ms = self.answer_due_ms
        return due_ms is not None and at_ms - due_ms >= limits.MISSED_ANSWER_MS

    def block(self, until_ms: int) -> None:
        """Start nothing on the worker until then."""
        self.blocked_until_ms = max(self.blocked_until_ms, until_ms)

    def record_unanswered_start(self, at_ms: int) -> None:
        """Start nothing for a while, each time twice as long up to a maximum.

        Starts that were sent at one time count once.
        """
        if at_ms < self.blocked_until_ms:
            return
        factor = 2**self.n_unanswered_starts
        block_ms = min(limits.UNANSWERED_BLOCK_MS * factor, limits.MAX_UNANSWERED_MS)
        self.n_unanswered_starts += 1
        self.block(at_ms + block_ms)

    def record_answered_start(self) -> None:
        """Record that the worker has carried out a start."""
        self.n_unanswered_starts = 0
        self.failing_since_ms = None

    def record_failed_start(self, at_ms: int) -> None:
        """Record that a start was turned away as unhealthy or got no answer."""
        if self.failing_since_ms is None:
            self.failing_since_ms = at_ms

    def is_failing(self, at_ms: int) -> bool:
        """Whether starts of the worker have failed for a while, and none succeeded."""
        since_ms = self.failing_since_ms
        return since_ms is not None and at_ms - since_ms >= limits.FAILING_STARTS_MS

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.name, run.run_id] = run
        self.used = self.used + run.allocation
        self.free = self.total - self.used
        self.last_start_ms = max(self.last_start_ms, run.sent_ms)
        if run.is_on_trial:
            self.trial = run
        self.n_serving += run.step.target_ms > 0
        self.n_long_running += run.step.is_long_running
        self.n_copyable += run.step.may_be_copied

    def remove(self, run: Run) -> None:
        """Remove a run and release its resources."""
        if self.runs.pop((run.name, run.run_id), None) is None:
            return
        if self.trial is run:
            self.trial = None
        self.used = self.used - run.allocation
        self.free = self.total - self.used
        self.n_serving -= run.step.target_ms > 0
        self.n_long_running -= run.step.is_long_running
        self.n_copyable -= run.step.may_be_copied

    def record_end(self, at_ms: int, job_id: str, end: RunEnd) -> bool:
        """Add the end of a run to the history; returns whether this made it suspect.

        A worker is suspect when runs of several jobs failed on it within the window
        and more runs failed than succeeded. Failures of a single job do not count
        against the worker.
        """
        if end is RunEnd.DONE:
            self.suspect_since_ms = None
        if end not in (RunEnd.DONE, RunEnd.FAILED):
            return False
        recent = self.recent_ends
        recent.append((at_ms, job_id, end is RunEnd.FAILED))
        while recent and recent[0][0] < at_ms - limits.SUSPECT_WINDOW_MS:
            recent.popleft()
        failed = {job for _, job, is_failed in recent if is_failed}
        n_failed = sum(is_failed for _, _, is_failed in recent)
        if end is RunEnd.DONE or len(failed) < 2 or 2 * n_failed <= len(recent):
            return False
        was_suspect = self.suspect_since_ms is not None
        self.suspect_since_ms = at_ms
        return not was_suspect

    def is_reserved(self, at_ms: int) -> bool:
        """Whether the worker is reserved to be emptied."""
        return at_ms < self.reserved_until_ms

    def is_usable(self, at_ms: int, evacuated: frozenset[str]) -> bool:
        """Whether the worker counts towards the capacity of its pool."""
        if not self.is_listed or self.entry.is_draining:
            return False
        if self.entry.data_centre in evacuated or self.suspect_since_ms is not None:
            return False
        return at_ms - self.answered_ms <= limits.SILENT_WORKER_MS

    def _may_try_again(self, at_ms: int) -> bool:
        """Whether a suspect worker gets a task: one at a time, or after a while.

        Runs from before do not count, and no run counts for long: long-running tasks
        have no end that could clear the worker.
        """
        if self.suspect_since_ms is None:
            return True
        if at_ms - self.suspect_since_ms <= limits.PROBATION_MS:
            return False
        return self._has_no_trial or at_ms - self.last_start_ms > limits.PROBATION_MS

    @property
    def _has_no_trial(self) -> bool:
        """Whether a suspect worker has no task from after it became suspect."""
        since_ms = self.suspect_since_ms or 0
        return all(run.sent_ms <= since_ms for run in self.runs.values())

    def is_only_suspect(self, at_ms: int) -> bool:
        """Whether nothing but a suspicion of a while ago keeps the worker from work."""
        if self.suspect_since_ms is None or not self._has_no_trial:
            return False
        is_due = at_ms - self.suspect_since_ms > limits.POOL_PROBATION_MS
        return is_due and self.obstacle(at_ms) is Obstacle.SUSPECT

    def accepts(self, at_ms: int) -> bool:
        """Whether the worker may be given new work now."""
        return self.obstacle(at_ms) is None

    def obstacle(self, at_ms: int) -> Obstacle | None:
        """Return why the worker may not be given new work now, None if it may."""
        if not self.is_acquired:
            return Obstacle.UNACQUIRED
        if not self.is_listed:
            return Obstacle.UNLISTED
        if self.is_reserved(at_ms):
            return Obstacle.RESERVED
        if not self.is_recorded:
            return Obstacle.UNRECORDED
        if self.entry.is_draining:
            return Obstacle.DRAINING
        if at_ms < self.blocked_until_ms:
            return Obstacle.BLOCKED
        if self.awaits_acknowledgement(at_ms):
            return Obstacle.UNACKNOWLEDGED
        if self.silent_since_ms is not None:
            # It may have crashed, and a start there could not be told from the cause.
            return Obstacle.SILENT
        if at_ms - self.answered_ms > limits.SILENT_WORKER_MS:
            return Obstacle.SILENT
        if self.suspect_since_ms is None:
            return None
        return None if self._may_try_again(at_ms) else Obstacle.SUSPECT
