"""Limit on the starts of an owner that have no answer yet."""

from apricotgap.jobs import limits

__all__ = ["MIN_STARTS", "StartWindow"]

# The window never gets smaller: starts go on where each takes its whole time limit, and
# a few of them that get no answer do not stop the others.
MIN_STARTS = 8
# Part of the window that is left when all starts of a round are without an answer.
_FULL_DECREASE = 0.5


class StartWindow:
    """Adapts the number of starts under way to what the owner can handle in time.

    More starts at a time than a process can send, and read the answers of, time out and
    are made again, which costs the process more than it lacks. A round is as many
    answers as the window is large. After each, the window shrinks by half the share of
    starts that were too late, and grows by one start if it was in use. So a single
    worker that answers no start does not shrink it for the others.
    """

    def __init__(self) -> None:
        self._size: float = limits.MAX_STARTS_PER_PASS
        self._n_open = 0
        self._n_answers = 0
        self._n_too_late = 0
        self._was_full = False
        self._is_blocking = False

    @property
    def size(self) -> int:
        """Most starts that may have no answer yet."""
        return int(self._size)

    @property
    def n_free(self) -> int:
        """Number of starts that may be sent now."""
        return max(0, self.size - self._n_open)

    @property
    def is_blocking(self) -> bool:
        """Whether the last scheduling pass left starts that found no place."""
        return self._is_blocking

    def record_pass(self, n_starts: int, is_blocking: bool) -> None:
        """Record the end of a scheduling pass.

        Parameters
        ----------
        n_starts : int
            Starts that were decided, each of which gets an answer recorded.
        is_blocking : bool
            Whether it left starts that found no place in the window.
        """
        self._n_open += n_starts
        self._is_blocking = is_blocking
        self._was_full = self._was_full or is_blocking

    def record_answer(self, is_too_late: bool) -> None:
        """Record that a start has its answer, or has none in time.

        Parameters
        ----------
        is_too_late : bool
            Whether a worker that is there got the start, or the owner its answer, too
            late.
        """
        self._n_open = max(0, self._n_open - 1)
        self._n_answers += 1
        self._n_too_late += is_too_late
        if self._n_answers >= self.size:
            self._end_round()

    def _end_round(self) -> None:
        decrease = _FULL_DECREASE * self._n_too_late / self._n_answers
        growth = 1 if self._was_full else 0
        self._size = max(MIN_STARTS, self._size * (1 - decrease) + growth)
        self._n_answers = self._n_too_late = 0
        self._was_full = self._is_blocking
