"""Local copies of the store's keys, beside what other answers of the store tell."""

import json
from itertools import pairwise

import pytest
import structlog
import trio
import trio.testing

from apricotgap.clock import FakeClock, TrioClock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import Owner, encode_owner, owner_key
from apricotgap.instance.mirror import MAX_REFUSED_RETRY_S, PrefixMirror
from apricotgap.platform.keys import CONFIGURATION_KEY
from apricotgap.platform.store import Item, RefusedError, Snapshot, StoreError
from soak.cluster import configuration

SHARD = "bakery"
KEY = owner_key(SHARD)


def owner(name):
    return encode_owner(Owner(name, "i1", "10.0.0.1:1", 1))


class WatchedStore:
    """Answers watches with the events that a test provides."""

    def __init__(self):
        self.events = ()

    async def watch(self, prefix, after, wait_ms):
        return Snapshot(self.events, max(item.revision for item in self.events))


@pytest.fixture
def store():
    return WatchedStore()


@pytest.fixture
def view(store):
    """Return a view that has been read at revision 10, without an owner."""
    view = ClusterView(store, FakeClock())
    view.system_mirror.replace(Snapshot((), 10))
    return view


def name_of(view):
    known = view.owner(SHARD)
    return known.name if known else None


def watch(view, store, *events):
    """Deliver events of one watch."""
    store.events = events
    with pytest.raises(StopIteration):
        view.system_mirror._watch(10).send(None)


def test_full_read_removes_an_owner_that_no_watch_has_delivered(view):
    """Guards against an owner that is long gone, after the store dropped its history.

    The instance would neither claim the shard nor pass its calls by.
    """
    view.apply(Item(KEY, owner("a"), 12))
    view.system_mirror.replace(Snapshot((), 20))
    assert name_of(view) is None
    assert view.owner_item(SHARD) is None


def test_full_read_keeps_a_claim_that_is_newer(view):
    """Guards against an owner that stops because a read is older than its claim."""
    view.apply(Item(KEY, owner("a"), 12))
    view.system_mirror.replace(Snapshot((Item(KEY, owner("b"), 5),), 11))
    assert name_of(view) == "a"
    view.system_mirror.replace(Snapshot((), 11))
    assert name_of(view) == "a"


def test_full_read_restores_nothing_that_was_removed_later(view):
    """Guards against a shard that counts as owned after its owner gave it up."""
    view.apply(Item(KEY, None, 12))
    view.system_mirror.replace(Snapshot((Item(KEY, owner("b"), 5),), 11))
    assert name_of(view) is None
    view.system_mirror.replace(Snapshot((Item(KEY, owner("c"), 15),), 16))
    assert name_of(view) == "c"


@pytest.mark.parametrize("late", [None, owner("b")])
def test_late_event_does_not_undo_a_newer_claim(view, store, late):
    """Guards against a claim that is hidden by the removal of the owner before it."""
    view.apply(Item(KEY, owner("a"), 12))
    watch(view, store, Item(KEY, late, 11))
    assert name_of(view) == "a"
    view.system_mirror.replace(Snapshot((), 20))
    assert name_of(view) is None


def test_late_event_does_not_bring_back_a_removed_owner(view, store):
    """Guards against a shard that is given up and seems to have an owner again."""
    view.apply(Item(KEY, None, 12))
    watch(view, store, Item(KEY, owner("b"), 11))
    assert name_of(view) is None
    watch(view, store, Item(KEY, owner("c"), 13))
    assert name_of(view) == "c"


def test_late_answer_with_an_older_change_does_not_undo_a_newer_one(view, store):
    """Guards against a removed owner that seems to be back: of two answers, the older
    one is applied last and lowers the revision below which events are ignored.
    """
    view.apply(Item(KEY, None, 14))
    view.apply(Item(KEY, owner("a"), 12))
    watch(view, store, Item(KEY, owner("b"), 13))
    assert name_of(view) is None


def test_older_configuration_does_not_come_into_force(view):
    """Guards against a key that is accepted again after it was withdrawn: an item with
    an older version is read after that of a newer one.
    """

    def read(version, revision):
        document = json.dumps(configuration(version)).encode()
        item = Item(CONFIGURATION_KEY, document, revision)
        view.operator_mirror.replace(Snapshot((item,), revision))

    read(7, 11)
    read(5, 12)
    assert view.config.version == 7
    read(9, 13)
    assert view.config.version == 9


def test_watch_after_a_failed_one_is_short(view):
    """Guards against a view that is stale for 5 s after an outage: a watch that was
    sent while the store gave no answer keeps it from asking again.
    """
    waits_ms = []

    class SilentStore:
        async def watch(self, prefix, after, wait_ms):
            waits_ms.append(wait_ms)
            if len(waits_ms) < 3:
                raise StoreError("timeout")
            await trio.sleep_forever()

    async def main():
        mirror = view.system_mirror
        mirror._store = SilentStore()
        with trio.move_on_after(2):
            await mirror.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert waits_ms[0] >= 4_000
    assert max(waits_ms[1:]) <= 300


def test_read_of_a_whole_prefix_is_logged_with_its_size_and_time():
    """Guards against reads that come near their limit and no line shows it."""

    class SlowStore:
        def __init__(self):
            self.is_failing = True

        async def read_prefix(self, prefix):
            await trio.sleep(0.5)
            if self.is_failing:
                self.is_failing = False
                raise StoreError("timeout")
            return Snapshot((Item("op/a", b"abc", 3),), 10)

        async def watch(self, prefix, after, wait_ms):
            await trio.sleep_forever()

    async def main():
        mirror = ClusterView(SlowStore(), TrioClock()).operator_mirror
        with trio.move_on_after(5):
            await mirror.run()

    with structlog.testing.capture_logs() as lines:
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    (line,) = [line for line in lines if line["event"] == "prefix_loaded"]
    assert (line["prefix"], line["n_items"], line["n_bytes"]) == ("op/", 1, 3)
    assert line["took_ms"] >= 500


class RefusingStore:
    """A store that has too many calls, and refuses all of these."""

    def __init__(self, error):
        self.error = error
        self.called_s = []

    async def read_prefix(self, prefix):
        self.called_s.append(trio.current_time())
        raise self.error


def called_s(error, prefix="p/", length_s=30):
    """Return when a mirror reads a prefix while each read fails."""
    store = RefusingStore(error)

    async def main():
        mirror = PrefixMirror(store, prefix, TrioClock(), lambda items: None, 1_000)
        with trio.move_on_after(length_s):
            await mirror.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return [at_s - store.called_s[0] for at_s in store.called_s]


def test_refused_reads_become_rare_and_come_out_of_step():
    """Guards against refused calls that are what the store has too many of, and take
    the place of the renewals of leases.
    """
    refused = RefusedError("status 429")
    first, second = called_s(refused, "p/"), called_s(refused, "q/")
    assert len(first) <= 20
    assert first != second
    gaps_s = [late - early for early, late in pairwise(first)]
    assert max(gaps_s) <= MAX_REFUSED_RETRY_S


def test_reads_without_an_answer_are_repeated_soon():
    """Guards against an instance that is late to see that the store is back."""
    gaps_s = [late - early for early, late in pairwise(called_s(StoreError("timeout")))]
    assert max(gaps_s) < 0.3
