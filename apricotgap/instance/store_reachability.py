"""Decides from the outcomes of calls whether the store counts as unreachable."""

from dataclasses import dataclass

from apricotgap.platform.call_observer import CallKind

__all__ = ["SILENCE_MS", "StoreReachability"]

# A call without an answer for this long is silent. The store answers in 300 ms while it
# is slow.
SILENCE_MS = 400
# A renewal of a lease is silent by itself after this time.
RENEWAL_SILENCE_MS = 600
# A single answer can be lost although the store is reachable.
MIN_SILENT_CALLS = 2


@dataclass(frozen=True, slots=True)
class _Call:
    kind: CallKind
    sent_ms: int


class StoreReachability:
    """Whether the store is reachable from this instance.

    The store counts as unreachable after two silent calls, or after one lease renewal
    that has failed or is silent, if no call has been answered since they were sent. A
    call is silent if it has failed or has had no answer for 400 ms. Any answer ends
    that, and any part of one. Watches wait for changes, so only their answers count.
    """

    def __init__(self) -> None:
        self._pending: dict[int, _Call] = {}
        self._answered_ms = -1
        self._n_failed = 0
        self._has_failed_renewal = False

    def record_start(self, call_id: int, kind: CallKind, at_ms: int) -> None:
        """Record that a call begins."""
        self._pending[call_id] = _Call(kind, at_ms)

    def record_answer(self, call_id: int, at_ms: int) -> None:
        """Record that a call was answered."""
        self._pending.pop(call_id, None)
        self.record_part(at_ms)

    def record_part(self, at_ms: int) -> None:
        """Record that a part of an answer has arrived."""
        self._answered_ms = at_ms
        self._n_failed = 0
        self._has_failed_renewal = False

    def record_failure(self, call_id: int) -> None:
        """Record that a call ended without an answer."""
        call = self._pending.pop(call_id, None)
        if call is not None and self._is_relevant(call):
            self._n_failed += 1
            if call.kind is CallKind.RENEWAL:
                self._has_failed_renewal = True

    def record_cancellation(self, call_id: int, at_ms: int) -> None:
        """Record that the caller has stopped waiting; tells nothing of a short wait."""
        call = self._pending.get(call_id)
        if call is not None and at_ms - call.sent_ms >= SILENCE_MS:
            self.record_failure(call_id)
        self._pending.pop(call_id, None)

    def has_silent_renewal(self, at_ms: int) -> bool:
        """Whether a lease renewal has failed or is silent since the last answer."""
        return self._has_failed_renewal or any(
            call.kind is CallKind.RENEWAL
            and at_ms - call.sent_ms >= RENEWAL_SILENCE_MS
            and self._is_relevant(call)
            for call in self._pending.values()
        )

    def is_unreachable(self, at_ms: int) -> bool:
        """Whether the store counts as unreachable."""
        if self.has_silent_renewal(at_ms):
            return True
        n_silent = self._n_failed + sum(
            at_ms - call.sent_ms >= SILENCE_MS
            for call in self._pending.values()
            if self._is_relevant(call)
        )
        return n_silent >= MIN_SILENT_CALLS

    def _is_relevant(self, call: _Call) -> bool:
        return call.kind is not CallKind.WATCH and call.sent_ms >= self._answered_ms
