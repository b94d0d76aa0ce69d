"""Moves a team's limit between the shards as their demand changes."""

from collections.abc import Callable, Mapping

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.keys import limit_key
from apricotgap.instance.limit_needs import LimitNeeds
from apricotgap.instance.ownership import Ownership
from apricotgap.jobs.documents import DocumentError, decode_split, encode_split
from apricotgap.jobs.inherited_usage import possible_usage
from apricotgap.jobs.limits import START_WINDOW_MS
from apricotgap.jobs.model import Resources
from apricotgap.jobs.shard import Shard
from apricotgap.jobs.team_demand import team_demand
from apricotgap.jobs.team_limits import LimitChange
from apricotgap.jobs.workers import Worker
from apricotgap.platform.store import (
    Conflict,
    Item,
    StoreClient,
    Stored,
    StoreError,
    Write,
)

__all__ = ["TeamLimitUpdater"]

# Interval of checks. A task that a limit blocks triggers a check at once.
CHECK_INTERVAL_S = 0.5
# Least time between two passes, so that owners that compete for a limit do not retry in
# a busy loop.
MIN_PASS_INTERVAL_S = 0.05
MAX_ATTEMPTS = 4
# How often the splits of teams whose demand exceeds their allowance are read.
READ_INTERVAL_MS = 250
_RETRY_S = 0.15


class TeamLimitUpdater:
    """Raises and lowers the allowances of one shard, its parts of the teams' limits.

    Parameters
    ----------
    shard, ownership, store, clock
        Dependencies.
    lease_until_ms : callable
        Returns the end of the lease of the ownership.
    has_shard : callable
        Returns whether a service has a shard, with or without an owner.
    on_change : callable
        Called when blocked tasks may be able to start.
    needs : LimitNeeds, optional
        Which teams lack a part of their limit, and where. Without it, the splits of
        all idle parts are read from time to time.
    """

    def __init__(
        self,
        shard: Shard,
        ownership: Ownership,
        store: StoreClient,
        clock: Clock,
        lease_until_ms: Callable[[], int],
        has_shard: Callable[[str], bool],
        on_change: Callable[[], None],
        needs: LimitNeeds | None = None,
    ) -> None:
        self._shard = shard
        self._ownership = ownership
        self._store = store
        self._clock = clock
        self._lease_until_ms = lease_until_ms
        self._has_shard = has_shard
        # Without an owner the leases of workers end, and with them their runs.
        self._row_retention_ms = (
            Worker.lease_bound_ms(0, shard.max_lease_ms) + START_WINDOW_MS
        )
        self._on_change = on_change
        self._needs = needs
        self._wakeup = trio.Event()
        self._last_read_ms = -1_000_000
        self._log = structlog.get_logger().bind(
            shard=ownership.shard, epoch=ownership.epoch
        )

    def wake(self) -> None:
        """Check the limits at once."""
        self._wakeup.set()

    async def run(self) -> None:
        """Update the allowances until cancelled.

        Raises
        ------
        OwnershipLostError
            The store shows another owner.
        """
        while True:
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self._wakeup.wait()
            self._wakeup = trio.Event()
            now_ms = self._clock.now_ms
            if self._lease_until_ms() < now_ms or self._store.is_down:
                await trio.sleep(_RETRY_S)
                continue
            demand = team_demand(self._shard, now_ms)
            limits = self._shard.team_limits
            limits.record_shards(self._has_shard, now_ms, self._row_retention_ms)
            if self._needs is not None:
                limits.set_lacking(self._needs.of_others)
            for change in self._changes(demand, now_ms):
                await self._write_limit(change)
            if now_ms - self._last_read_ms >= READ_INTERVAL_MS:
                self._last_read_ms = now_ms
                teams = (*limits.unmet(demand), *limits.outdated(now_ms))
                for team in dict.fromkeys(teams):
                    await self._read(team)
            if self._needs is not None:
                await self._needs.publish(limits.short_teams(now_ms), now_ms)
            self._on_change()
            await trio.sleep(MIN_PASS_INTERVAL_S)

    def _changes(
        self, demand: Mapping[str, Resources], now_ms: int
    ) -> list[LimitChange]:
        # A worker that has not answered yet may run tasks of the previous owner.
        may_lower = not self._shard.has_unverified_workers
        return self._shard.team_limits.changes(
            demand, now_ms, possible_usage(self._shard), may_lower
        )

    async def _write_limit(self, change: LimitChange) -> None:
        limits = self._shard.team_limits
        for _ in range(MAX_ATTEMPTS):
            key = limit_key(change.team)
            outcome = await self._store.write(
                (
                    self._ownership.condition,
                    Write(
                        key,
                        encode_split(change.split),
                        expected_revision=change.revision,
                    ),
                )
            )
            if isinstance(outcome, Stored):
                limits.record_written(change, outcome.revision)
                return
            if not isinstance(outcome, Conflict):
                self._log.warning(
                    "limit_not_stored", team=change.team, outcome=repr(outcome)
                )
                return
            self._ownership.check(outcome)
            self._apply_conflict(change.team, outcome)
            now_ms = self._clock.now_ms
            demand = team_demand(self._shard, now_ms)
            # With the demand of all teams, or the others would count as without work.
            new_changes = self._changes(demand, now_ms)
            own_changes = [other for other in new_changes if other.team == change.team]
            if not own_changes:
                return
            change = own_changes[0]

    async def _read(self, team: str) -> None:
        """Read a split, in which other owners may have lowered their allowances."""
        try:
            item = await self._store.read_key(limit_key(team))
        except StoreError as error:
            self._log.warning("limit_not_read", team=team, reason=str(error))
            return
        self._apply_item(team, item)

    def _apply_conflict(self, team: str, conflict: Conflict) -> None:
        key = limit_key(team)
        found = [item for item in conflict.items if item.key == key]
        # A conflict shows no key that does not exist.
        self._apply_item(team, found[0] if found else Item(key, None, 0))

    def _apply_item(self, team: str, item: Item) -> None:
        if item.value is None:
            self._shard.team_limits.record_split(team, {}, 0)
            return
        try:
            split = decode_split(item.value)
        except DocumentError as error:
            self._log.error("limit_unreadable", team=team, error=str(error))
            split = {}
        self._shard.team_limits.record_split(team, split, item.revision)
