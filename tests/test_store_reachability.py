"""Whether the store counts as unreachable, from the outcomes of calls to it."""

from types import SimpleNamespace

import pytest
import trio
import trio.testing

from apricotgap.clock import TrioClock
from apricotgap.instance.store_monitor import PROBE_INTERVAL_MS, StoreMonitor
from apricotgap.instance.store_reachability import (
    RENEWAL_SILENCE_MS,
    SILENCE_MS,
    StoreReachability,
)
from apricotgap.metrics import Metrics
from apricotgap.platform.call_observer import CallKind
from apricotgap.platform.http import HttpResponse, NoResponseError
from apricotgap.platform.store import StoreClient, StoreError

PROMPT, RENEWAL, WATCH = CallKind.PROMPT, CallKind.RENEWAL, CallKind.WATCH


class Calls:
    """Calls in order of their start, answered after a delay or never."""

    def __init__(self, *calls):
        events = []
        for call_id, (kind, sent_ms, delay_ms) in enumerate(calls):
            events.append((sent_ms, 0, call_id, kind))
            if delay_ms is not None:
                events.append((sent_ms + delay_ms, 1, call_id, kind))
        self._events = sorted(events, key=lambda event: event[:3])

    def unreachable_at(self, until_ms):
        """Return the times, in steps of 10 ms, at which the store is unreachable."""
        reachability, events, found = StoreReachability(), list(self._events), []
        for at_ms in range(0, until_ms, 10):
            while events and events[0][0] <= at_ms:
                _, is_answer, call_id, kind = events.pop(0)
                if is_answer:
                    reachability.record_answer(call_id, at_ms)
                else:
                    reachability.record_start(call_id, kind, at_ms)
            if reachability.is_unreachable(at_ms):
                found.append(at_ms)
        return found


def test_cut_off_data_centre_finds_the_store_unreachable():
    """Guards against submissions that go on being sent to a store without a link.

    The callers of the data centre go on, and a call is made every 50 ms.
    """
    before = [(PROMPT, at_ms, 10) for at_ms in range(0, 500, 50)]
    after = [(PROMPT, at_ms, None) for at_ms in range(500, 2_000, 50)]
    found = Calls(*before, *after).unreachable_at(2_000)
    assert found == list(range(550 + SILENCE_MS, 2_000, 10))


@pytest.mark.parametrize("delay_ms", [300, 390, 600, 900])
def test_store_that_answers_slowly_is_reachable(delay_ms):
    """Guards against submissions that are refused although the store takes them."""
    calls = [(PROMPT, at_ms, delay_ms) for at_ms in range(0, 5_000, 50)]
    found = Calls(*calls).unreachable_at(5_000)
    # Until the first answer, a slow store cannot be told from one without a link.
    assert all(SILENCE_MS <= at_ms < delay_ms for at_ms in found)


@pytest.mark.parametrize("kind", [PROMPT, RENEWAL])
def test_single_lost_answer_is_no_outage(kind):
    """Guards against an outage that is taken from one answer lost in transit."""
    answered = [(PROMPT, at_ms, 10) for at_ms in range(0, 3_000, 100)]
    assert not Calls((kind, 250, None), *answered).unreachable_at(3_000)


def test_single_silent_call_of_an_idle_instance_is_no_outage():
    """Guards against an outage that is taken from one slow call."""
    assert not Calls((PROMPT, 0, None)).unreachable_at(3_000)


def test_watches_without_changes_are_no_outage():
    """Guards against taking a wait for changes as a missing answer."""
    assert not Calls((WATCH, 0, None), (WATCH, 0, None)).unreachable_at(3_000)


def test_answer_of_a_watch_ends_an_outage():
    """Guards against refusals although the store is known to answer again."""
    calls = Calls((PROMPT, 0, None), (PROMPT, 0, None), (WATCH, 0, 600))
    assert calls.unreachable_at(2_000) == list(range(SILENCE_MS, 600, 10))


def test_failed_lease_renewal_of_an_idle_instance_is_an_outage():
    """Guards against an instance without traffic that does not notice its cut."""
    reachability = StoreReachability()
    reachability.record_start(1, RENEWAL, 0)
    reachability.record_failure(1)
    assert reachability.is_unreachable(600)
    reachability.record_start(2, PROMPT, 650)
    reachability.record_answer(2, 660)
    assert not reachability.is_unreachable(660)


def test_silent_lease_renewal_of_an_idle_instance_is_an_outage():
    """Guards against an instance that notices its cut only as its lease ends."""
    calls = Calls((RENEWAL, 0, 1_500))
    assert calls.unreachable_at(2_000) == list(range(RENEWAL_SILENCE_MS, 1_500, 10))


def test_store_whose_answer_is_arriving_is_reachable():
    """Guards against submissions that are refused while a large answer arrives."""
    reachability = StoreReachability()
    for call_id in (1, 2, 3):
        reachability.record_start(call_id, PROMPT, 0)
    assert reachability.is_unreachable(SILENCE_MS)
    reachability.record_part(SILENCE_MS)
    assert not reachability.is_unreachable(2 * SILENCE_MS)


def test_failure_of_a_call_from_before_the_last_answer_does_not_count():
    """Guards against an outage that is taken from connections reset long ago."""
    reachability = StoreReachability()
    for call_id in (1, 2, 3):
        reachability.record_start(call_id, PROMPT, call_id)
    reachability.record_answer(3, 50)
    reachability.record_failure(1)
    reachability.record_failure(2)
    assert not reachability.is_unreachable(60)


def test_short_wait_that_its_caller_ended_tells_nothing():
    """Guards against an outage that is taken from callers that stop waiting."""
    reachability = StoreReachability()
    for call_id in range(5):
        reachability.record_start(call_id, PROMPT, 0)
        reachability.record_cancellation(call_id, SILENCE_MS - 1)
    assert not reachability.is_unreachable(5_000)


class SilentHttp:
    """HTTP client of a store without a link until a time."""

    def __init__(self, until_ms):
        self._until_ms = until_ms
        self.sent_ms = []

    async def call(self, method, address, target, body, timeout_ms, **_options):
        now_ms = trio.current_time() * 1_000
        self.sent_ms.append(now_ms)
        if now_ms < self._until_ms:
            await trio.sleep(timeout_ms / 1_000)
            raise NoResponseError("timeout", sent=True)
        return HttpResponse(404, b"")


def test_store_is_probed_until_it_answers(monkeypatch):
    """Guards against an instance that goes on refusing after a cut, and one that fills
    the log when the store comes and goes.
    """
    lines = []
    log = SimpleNamespace(
        warning=lambda event, **fields: lines.append(event),
        info=lambda event, **fields: lines.append(event),
    )
    monkeypatch.setattr(
        "apricotgap.instance.store_monitor.structlog.get_logger", lambda: log
    )

    async def main():
        clock, metrics = TrioClock(), Metrics("me")
        start_ms = clock.now_ms
        store = StoreClient("10.0.0.1:1")
        store._http = http = SilentHttp(start_ms + 3_000)
        monitor = StoreMonitor(store, clock, metrics)

        async def read():
            with pytest.raises(StoreError):
                await store.read_key("k")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run)
            nursery.start_soon(read)
            nursery.start_soon(read)
            await trio.sleep(0.5)
            assert store.is_down
            assert monitor.is_unreachable
            n_calls = len(http.sent_ms)
            await trio.sleep(2.0)
            assert len(http.sent_ms) - n_calls <= 2_000 / PROBE_INTERVAL_MS + 1
            await trio.sleep(0.5 + PROBE_INTERVAL_MS / 1_000 + 0.01)
            assert not monitor.is_unreachable
            await trio.sleep(0.2)
            nursery.cancel_scope.cancel()
        assert lines == ["store_unreachable", "store_reachable_again"]
        assert "apricotgap_store_unreachable_total" in metrics.render()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
