"""A worker of the platform in virtual time, as the contract describes it."""

from dataclasses import dataclass, field

from apricotgap.jobs.events import EndReport
from apricotgap.jobs.model import RunEnd
from tests.jobs_harness import MAX_LEASE_MS

# Moment at which a world begins.
ZERO_MS = 100_000


@dataclass
class SimWorker:
    """A worker as the contract describes it; times are those of the world."""

    worker_id: str
    drift: float
    born_ms: int = 1
    is_up: bool = True
    began_ms: float = ZERO_MS - 50_000
    lease_until: int = 0
    running: dict = field(default_factory=dict)
    stopping: dict = field(default_factory=dict)
    highest: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    n_ends: int = 0
    # Ids of jobs that cannot be done.
    hopeless: set = field(default_factory=set)
    max_lease_ms: int = MAX_LEASE_MS

    def clock(self, now):
        """Return the worker's own clock, which starts anew with each incarnation.

        It serves no call in the first millisecond of an incarnation.
        """
        return 1 + int((now - self.began_ms) * (1 - self.drift))

    def begin_incarnation(self, now, born_ms):
        """Run and know nothing of before."""
        self.is_up, self.born_ms, self.began_ms = True, born_ms, now
        self.lease_until = self.n_ends = 0
        for each in (self.running, self.stopping, self.highest):
            each.clear()
        self.ends = []

    def extend(self, now, deadline):
        """Lengthen the lease, by no more than the maximum."""
        until = min(deadline, self.clock(now) + self.max_lease_ms)
        self.lease_until = max(self.lease_until, until)

    def end(self, key, how):
        """List the end of a run."""
        self.running.pop(key, None)
        self.stopping.pop(key, None)
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.n_ends += 1
        self.ends.append(EndReport(self.n_ends, *key, how, ""))

    def advance(self, now):
        """End what is due: tasks, stops and the lease."""
        for key, until in list(self.running.items()):
            if now >= until:
                is_hopeless = key[0].job_id in self.hopeless
                self.end(key, RunEnd.FAILED if is_hopeless else RunEnd.DONE)
        for key, until in list(self.stopping.items()):
            if now >= until:
                self.end(key, RunEnd.STOPPED)
        if self.clock(now) > self.lease_until:
            for key in [*self.running, *self.stopping]:
                self.end(key, RunEnd.LAPSED)


__all__ = ["ZERO_MS", "SimWorker"]
