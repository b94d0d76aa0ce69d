"""Local copy of all store keys under a prefix."""

import hashlib
from collections.abc import Callable

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.prefix_reader import PrefixReader
from apricotgap.platform.store import (
    HistoryLostError,
    Item,
    RefusedError,
    Snapshot,
    StoreClient,
    StoreError,
)

__all__ = ["PrefixMirror"]

_RETRY_S = 0.2
# A store that refuses calls has too many of them: the pause doubles with each refusal
# in a row, and instances do not come back in step.
MAX_REFUSED_RETRY_S = 3.2
_MAX_COUNTED_REFUSALS = 8
# Failures in a row are logged at most this often.
_LOG_MS = 5_000
# A watch that returned changes proves freshness only up to when it was sent. The next
# watch waits no longer than this, so that freshness is proved again soon. So does one
# after a failure: while the store gives no answer, a long one would go on beyond its
# return.
_SHORT_WAIT_MS = 300


class PrefixMirror:
    """Keeps a copy of the keys under a prefix, by one read and then watches.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    prefix : str
        Prefix of the keys to copy.
    clock : Clock
        Measures the age of the copy.
    on_change : callable
        Called after each change with the changed items, and after a read of the whole
        prefix with all items that are not older than those known.
    wait_ms : int
        Longest wait of one watch, in milliseconds.
    pause_ms : int
        Pause in milliseconds after a watch that returned changes, so that the next one
        returns several at once.
    """

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        clock: Clock,
        on_change: Callable[[tuple[Item, ...]], None],
        wait_ms: int,
        pause_ms: int = 0,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._reader = PrefixReader(store, prefix)
        # When the present read of the whole prefix was begun.
        self._load_sent_ms = 0
        self._clock = clock
        self._on_change = on_change
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._revision: int | None = None
        self._log = structlog.get_logger().bind(prefix=prefix)
        self._n_failures = 0
        # Calls in a row that the store has refused.
        self._n_refusals = 0
        self._logged_ms = 0
        self._had_changes = False
        # Revisions of adopted items that no read or watch has reached yet.
        self._adopted: dict[str, int] = {}
        self.items: dict[str, Item] = {}
        self.fresh_as_of_ms: int | None = None
        self.loaded = trio.Event()

    def age_ms(self) -> int | None:
        """Return the age of the copy in milliseconds, None before the first read."""
        if self.fresh_as_of_ms is None:
            return None
        return self._clock.now_ms - self.fresh_as_of_ms

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        while True:
            try:
                if self._revision is None:
                    await self._load()
                else:
                    await self._watch(self._revision)
            except HistoryLostError:
                self._log.info("watch_history_lost", revision=self._revision)
                self._revision = None
            except StoreError as error:
                self._record_failure(error)
                await trio.sleep(self._pause_s(error))
                continue
            if self._is_disconnected:
                self._log.info(
                    "store_regained",
                    revision=self._revision,
                    n_failures=self._n_failures,
                )
                self._n_failures = self._n_refusals = 0

    def _pause_s(self, error: StoreError) -> float:
        """Return the pause after a failure, in seconds."""
        if not isinstance(error, RefusedError):
            self._n_refusals = 0
            return _RETRY_S
        longest_s = min(_RETRY_S * 2**self._n_refusals, MAX_REFUSED_RETRY_S)
        self._n_refusals = min(self._n_refusals + 1, _MAX_COUNTED_REFUSALS)
        # The clocks of instances differ, so that this spreads them.
        text = f"{self._prefix} {self._clock.now_ms}"
        digest = hashlib.blake2b(text.encode(), digest_size=2).digest()
        return longest_s * (1 + int.from_bytes(digest, "big") / 0xFFFF) / 2

    @property
    def _is_disconnected(self) -> bool:
        return self._n_failures > 0

    def _record_failure(self, error: StoreError) -> None:
        self._n_failures += 1
        if self._n_failures > 1 and self._clock.now_ms - self._logged_ms < _LOG_MS:
            return
        self._logged_ms = self._clock.now_ms
        self._log.warning(
            "store_lost",
            reason=str(error),
            stage=error.stage,
            n_received_bytes=error.n_received_bytes,
            n_failures=self._n_failures,
        )

    async def _load(self) -> None:
        if not self._reader.is_interrupted:
            self._load_sent_ms = self._clock.now_ms
        snapshot = await self._reader.read()
        self._log.info(
            "prefix_loaded",
            n_items=len(snapshot.items),
            n_bytes=sum(len(item.value or b"") for item in snapshot.items),
            took_ms=self._clock.now_ms - self._load_sent_ms,
        )
        self.replace(snapshot)
        self.fresh_as_of_ms = self._load_sent_ms
        self.loaded.set()

    def replace(self, snapshot: Snapshot) -> None:
        """Replace the copy by a read of the whole prefix."""
        self._revision = snapshot.revision
        current = {item.key: item for item in snapshot.items}
        removed = tuple(
            Item(key, None, snapshot.revision)
            for key in self.items
            if key not in current
        )
        self._apply((*snapshot.items, *removed))

    def adopt(self, item: Item) -> None:
        """Apply a change that an answer to another call has shown.

        Older reads and events do not undo it.
        """
        adopted = self._adopted.get(item.key, 0)
        self._adopted[item.key] = max(adopted, item.revision)
        self._apply((item,))

    def _apply(self, items: tuple[Item, ...]) -> None:
        changed = tuple(filter(self._is_current, items))
        for item in changed:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
        reached = self._revision or 0
        self._adopted = {
            key: revision
            for key, revision in self._adopted.items()
            if revision > reached
        }
        self._on_change(changed)

    def _is_current(self, item: Item) -> bool:
        known = self.items.get(item.key)
        known_revision = known.revision if known else 0
        return item.revision >= max(known_revision, self._adopted.get(item.key, 0))

    async def _watch(self, revision: int) -> None:
        sent_ms = self._clock.now_ms
        is_short = self._had_changes or (self._is_disconnected and not self._n_refusals)
        wait_ms = min(self._wait_ms, _SHORT_WAIT_MS) if is_short else self._wait_ms
        changes = await self._store.watch(self._prefix, revision, wait_ms)
        self._revision = max(revision, changes.revision)
        self._had_changes = bool(changes.items)
        if changes.items:
            self._apply(changes.items)
            self.fresh_as_of_ms = sent_ms
            if self._pause_ms:
                await trio.sleep(self._pause_ms / 1000)
            return
        self.fresh_as_of_ms = max(sent_ms, min(self._clock.now_ms, sent_ms + wait_ms))
