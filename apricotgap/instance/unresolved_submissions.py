"""Submissions of which it is unknown whether they have taken effect."""

from collections import OrderedDict
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

    async def run(
        self, job_id: str, submit: Callable[[], Awaitable[SubmitOutcome]]
    ) -> SubmitOutcome:
        """Submit a job; the outcome is UNKNOWN instead of REFUSED if that may be wrong.

        A cancelled submission stays unresolved.
        """
        had_earlier = self._has(job_id)
        if not had_earlier:
            self._add(job_id)
        outcome = await submit()
        if outcome.result is SubmitResult.UNKNOWN:
            self._add(job_id)
        elif outcome.result is SubmitResult.REFUSED and had_earlier:
            return SubmitOutcome(SubmitResult.UNKNOWN)
        else:
            self._until_ms.pop(job_id, None)
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
