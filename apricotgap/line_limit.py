"""Limits how many similar lines a caller can cause in the log."""

__all__ = ["LineLimit"]

_PERIOD_MS = 5_000
# A tenth of the lines that a process may write on average.
_MAX_LINES = 200


class LineLimit:
    """Admits one line for each key and a limited number of lines in each period.

    Parameters
    ----------
    max_lines : int
        Largest number of lines in a period.
    period_ms : int
        Length of a period in milliseconds.
    """

    def __init__(
        self, max_lines: int = _MAX_LINES, period_ms: int = _PERIOD_MS
    ) -> None:
        self._max_lines = max_lines
        self._period_ms = period_ms
        self._ends_ms = 0
        self._keys: set[str] = set()
        self._n_omitted = 0

    def admit(self, key: str, now_ms: int) -> int | None:
        """Decide whether to write a line.

        Parameters
        ----------
        key : str
            What the line is about.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        int or None
            Number of lines omitted since the last one that was admitted, None if this
            line is to be omitted.
        """
        if now_ms >= self._ends_ms:
            self._ends_ms = now_ms + self._period_ms
            self._keys.clear()
        if key in self._keys or len(self._keys) >= self._max_lines:
            self._n_omitted += 1
            return None
        self._keys.add(key)
        n_omitted, self._n_omitted = self._n_omitted, 0
        return n_omitted
