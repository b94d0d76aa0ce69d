"""Stored progress and status of the maintenance waves."""

from collections.abc import Callable, Mapping

import cbor2
import structlog

from apricotgap.decoding import decode_cbor
from apricotgap.instance.ownership import Ownership
from apricotgap.instance.prefix_reader import read_prefix
from apricotgap.jobs.wave_state import WaveState
from apricotgap.platform.keys import (
    WAVE_STATUS_PREFIX,
    decode_wave_status,
    encode_wave_status,
    wave_status_key,
)
from apricotgap.platform.store import (
    Conflict,
    Item,
    Snapshot,
    StoreClient,
    Stored,
    StoreError,
    Unknown,
    Write,
)

__all__ = ["WAVE_PROGRESS_PREFIX", "WaveStore", "decode_wave_progress"]

WAVE_PROGRESS_PREFIX = "waves/"


def decode_wave_progress(data: bytes) -> tuple[str, ...]:
    """Decode the names of the machines that a wave has had maintained.

    Raises
    ------
    DecodeError
        The data is malformed.
    """
    return decode_cbor(data, tuple[str, ...])


def _progress_key(number: int) -> str:
    return f"{WAVE_PROGRESS_PREFIX}{number}"


class WaveStore:
    """Stores which machines waves have had maintained, and whether waves succeeded.

    Both are written together, under the condition that the progress is as this owner
    last knew it: a write with an unknown outcome that takes effect late cannot replace
    a later one.

    Parameters
    ----------
    ownership : Ownership
        Ownership of the fleet shard.
    store : StoreClient
        Client of the store.
    """

    def __init__(self, ownership: Ownership, store: StoreClient) -> None:
        self._ownership = ownership
        self._store = store
        self._done: dict[int, tuple[str, ...]] = {}
        self._is_succeeded: dict[int, bool] = {}
        self._status_revisions: dict[int, int] = {}
        self._revisions: dict[int, int] = {}
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    @property
    def done(self) -> Mapping[int, tuple[str, ...]]:
        """Names of the maintained machines by wave, as they are stored."""
        return self._done

    def succeeded(self, ordered: Mapping[int, int]) -> frozenset[int]:
        """Return the waves whose success was stored after their last order.

        Parameters
        ----------
        ordered : mapping of int to int
            Store revision of the order of each wave.
        """
        return frozenset(
            number
            for number, is_succeeded in self._is_succeeded.items()
            if is_succeeded
            and number in ordered
            and self._status_revisions[number] > ordered[number]
        )

    async def load(self) -> None:
        """Read what earlier owners have stored; goes on until the store answers."""
        progress = await read_prefix(self._store, WAVE_PROGRESS_PREFIX, self._log)
        status = await read_prefix(self._store, WAVE_STATUS_PREFIX, self._log)
        self._load_items(progress, WAVE_PROGRESS_PREFIX, self._load_progress)
        self._load_items(status, WAVE_STATUS_PREFIX, self._load_status)

    def _load_items(
        self, snapshot: Snapshot, prefix: str, load: Callable[[int, Item], None]
    ) -> None:
        for item in snapshot.items:
            try:
                load(int(item.key[len(prefix) :]), item)
            except ValueError as error:
                self._log.error("wave_unreadable", key=item.key, error=str(error))

    def _load_progress(self, number: int, item: Item) -> None:
        self._revisions[number] = item.revision
        self._done[number] = decode_wave_progress(item.value or b"")

    def _load_status(self, number: int, item: Item) -> None:
        self._is_succeeded[number] = decode_wave_status(item.value or b"")
        self._status_revisions[number] = item.revision

    async def save(self, states: Mapping[int, WaveState]) -> None:
        """Write the waves whose progress or status has changed.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        for number, state in states.items():
            done = tuple(sorted(state.done))
            is_succeeded = state.is_finished
            if (
                self._done.get(number) != done
                or self._is_succeeded.get(number) != is_succeeded
            ):
                await self._write(number, done, is_succeeded)

    async def _write(
        self, number: int, done: tuple[str, ...], is_succeeded: bool
    ) -> None:
        key = _progress_key(number)
        outcome = await self._store.write(
            (
                self._ownership.condition,
                Write(
                    key,
                    cbor2.dumps(list(done)),
                    expected_revision=self._revisions.get(number, 0),
                ),
                Write(
                    wave_status_key(number), encode_wave_status(number, is_succeeded)
                ),
            )
        )
        if isinstance(outcome, Stored):
            self._revisions[number] = outcome.revision
            self._status_revisions[number] = outcome.revision
            self._done[number] = done
            if is_succeeded and not self._is_succeeded.get(number):
                self._log.info("wave_finished", wave=number)
            self._is_succeeded[number] = is_succeeded
            return
        self._log.warning("wave_not_stored", wave=number, outcome=repr(outcome)[:200])
        if isinstance(outcome, Conflict):
            self._ownership.check(outcome)
            self._revisions[number] = outcome.revision_of(key)
        elif isinstance(outcome, Unknown):
            await self._reread(number)

    async def _reread(self, number: int) -> None:
        try:
            item = await self._store.read_key(_progress_key(number))
        except StoreError as error:
            self._log.warning("wave_not_read", wave=number, reason=str(error))
            return
        self._revisions[number] = item.revision
