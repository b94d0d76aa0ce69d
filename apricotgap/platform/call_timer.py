"""Time limit of a call that grows with what the call carries."""

import trio

__all__ = ["MIN_BYTES_PER_S", "CallTimer", "transfer_ms"]

# A response that arrives at a lower rate on average is given up.
MIN_BYTES_PER_S = 16_384
# Bounds how long a call may wait for a server that has become silent.
MAX_TRANSFER_MS = 10_000


def transfer_ms(n_bytes: int) -> int:
    """Return the time that bytes may take to be sent, in milliseconds."""
    return min(n_bytes * 1000 // MIN_BYTES_PER_S, MAX_TRANSFER_MS)


class CallTimer:
    """Time at which a call is given up, on the clock of the trio loop.

    Without `stall_ms` the call has `timeout_ms` for everything. With it, `timeout_ms`
    limits the time until the first byte arrives. From then on the call may go on while
    bytes arrive: no pause may be longer than `stall_ms`, and the average rate may not
    fall below `MIN_BYTES_PER_S`.

    Parameters
    ----------
    timeout_ms : int
        Limit in milliseconds.
    stall_ms : int or None
        Longest pause between two parts of the response, in milliseconds.
    """

    def __init__(self, timeout_ms: int, stall_ms: int | None = None) -> None:
        self._stall_s = None if stall_ms is None else stall_ms / 1000
        self._latest_s = trio.current_time() + timeout_ms / 1000
        self.deadline_s = self._latest_s

    def record_bytes(self, n_bytes: int) -> float:
        """Count bytes that have arrived now; returns the time limit from now on."""
        if self._stall_s is None:
            return self.deadline_s
        self._latest_s += n_bytes / MIN_BYTES_PER_S
        stalled_s = trio.current_time() + self._stall_s
        self.deadline_s = min(self._latest_s, stalled_s)
        return self.deadline_s
