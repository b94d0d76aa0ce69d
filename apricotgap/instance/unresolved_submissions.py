"""Submissions of which it is unknown whether they have taken effect."""

from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable

from apricotgap.clock import Clock
from apricotgap.jobs.service import SubmitOutcome, SubmitResult

__all__ = ["UnresolvedSubmissions"]

# A call or write without an answer may still be delivered for a while, as after a
# partition of the network.
RETENTION_MS = 10_000
MAX_SUBMISSIONS = 10_000


class UnresolvedSubmissions:
    """Keeps a job from being reported as not run because a later submission is refused.

    An earlier submission of the same job may be under way, or was sent without an
    answer.

    Parameters
    ----------
    clock : Clock
        Source of the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms: OrderedDict[str, int] = OrderedDict()
        self._n_running: Counter[str] = Counter()

    async def run(
        self, job_id: str, submit: Callable[[], Awaitable[SubmitOutcome]]
    ) -> SubmitOutcome:
        """Submit a job; the outcome is UNKNOWN instead of REFUSED if that may be wrong.

        A cancelled submission stays unresolved.
        """
        outcome: SubmitOutcome | None = None
        self._n_running[job_id] += 1
        try:
            outcome = await submit()
        finally:
            self._n_running[job_id] -= 1
            if not self._n_running[job_id]:
                del self._n_running[job_id]
            if outcome is None or outcome.result is SubmitResult.UNKNOWN:
                self._add(job_id)
        if outcome.result is SubmitResult.ACCEPTED:
            self._until_ms.pop(job_id, None)
            return outcome
        if self._has(job_id) or job_id in self._n_running:
            return SubmitOutcome(SubmitResult.UNKNOWN)
        return outcome

    def _add(self, job_id: str) -> None:
        self._until_ms[job_id] = self._clock.now_ms + RETENTION_MS
        self._until_ms.move_to_end(job_id)
        while len(self._until_ms) > MAX_SUBMISSIONS:
            self._until_ms.popitem(last=False)

    def _has(self, job_id: str) -> bool:
        while self._until_ms:
            oldest_id, until_ms = next(iter(self._until_ms.items()))
            if until_ms > self._clock.now_ms:
                break
            del self._until_ms[oldest_id]
        return job_id in self._until_ms
