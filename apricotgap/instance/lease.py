"""The lease of an instance in the store."""

from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.platform.store import Lease, StoreClient, StoreError

__all__ = ["InstanceLease", "Renewal"]

# The shards of a lost instance have no owner for about this time. The leases of workers
# outlast it.
LEASE_TTL_MS = 3_000
RENEW_INTERVAL_MS = 800
# A renewal without an answer for this long is followed by another one. Its own answer
# still counts: it may only be late, on a link that is busy.
RENEW_SILENCE_MS = 600
# As many as are sent within the length of a lease.
MAX_PENDING_RENEWALS = 4
# The same for the request for a lease.
GRANT_SILENCE_MS = 1_000
MAX_PENDING_GRANTS = 3
_RETRY_S = 0.2


def _ignore(_left_ms: int) -> None:
    pass


@dataclass(slots=True)
class Renewal:
    """A renewal of a lease, and what has become of it."""

    lease_id: int
    is_renewed: bool = False
    has_ended: trio.Event = field(default_factory=trio.Event)


class InstanceLease:
    """Acquires and renews the lease that all keys of the instance are attached to.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    clock : Clock
        Must keep counting while the machine is suspended.
    min_ttl_ms : int
        Shortest lease that the store grants, in milliseconds.
    on_renewed : callable, optional
        Called with what was left of the lease, in milliseconds, as the answer to a
        renewal of it arrived; 0 if it may have ended.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        min_ttl_ms: int,
        on_renewed: Callable[[int], None] = _ignore,
    ) -> None:
        self._store = store
        self._clock = clock
        self._ttl_ms = max(LEASE_TTL_MS, min_ttl_ms)
        self._on_renewed = on_renewed
        self._log = structlog.get_logger()
        self._is_revoked = False
        self._calls = trio.CancelScope()
        # Renewals without an answer yet.
        self._n_pending = 0
        # Requests for a lease without one.
        self._n_requested = 0
        self._grant_ended = trio.Event()
        self.lease_id = 0
        self.valid_until_ms = 0

    @property
    def ttl_ms(self) -> int:
        """Length of the lease from its last renewal on, in milliseconds."""
        return self._ttl_ms

    @property
    def is_valid(self) -> bool:
        """Whether the lease cannot have expired yet."""
        return self.lease_id != 0 and self._clock.now_ms < self.valid_until_ms

    @property
    def current(self) -> Lease | None:
        """The lease that new keys may be attached to, None if it may have expired."""
        return Lease(self.lease_id) if self.is_valid else None

    def valid_until_ms_of(self, lease_id: int) -> int:
        """Return the earliest time at which a lease may expire.

        Returns 0 for a lease that was replaced: keys attached to an earlier lease are
        lost, whatever the expiry of the current one.
        """
        return self.valid_until_ms if lease_id == self.lease_id else 0

    async def run(self) -> None:
        """Renew the lease until cancelled; acquire a new one when it has expired."""
        with self._calls:
            await self._keep()

    async def _keep(self) -> None:
        async with trio.open_nursery() as nursery:
            while not self._is_revoked:
                if self.lease_id and self._n_pending < MAX_PENDING_RENEWALS:
                    pause_s = await self._begin_renewal(nursery)
                elif not self.lease_id and self._n_requested < MAX_PENDING_GRANTS:
                    pause_s = await self._begin_grant(nursery)
                else:
                    pause_s = _RETRY_S
                await trio.sleep(pause_s)

    async def _begin_grant(self, nursery: trio.Nursery) -> float:
        """Request a lease; return the pause until the next call, in seconds."""
        self._grant_ended = trio.Event()
        nursery.start_soon(self._acquire)
        with trio.move_on_after(GRANT_SILENCE_MS / 1000):
            await self._grant_ended.wait()
        if not self.lease_id:
            return _RETRY_S
        # Part of the lease may have passed until it was granted.
        return max(0, RENEW_INTERVAL_MS - self._ttl_ms + self._left_ms) / 1000

    async def _acquire(self) -> None:
        sent_ms = self._clock.now_ms
        self._n_requested += 1
        try:
            lease_id, ttl_ms = await self._store.grant_lease(
                self._ttl_ms, timeout_ms=self._ttl_ms
            )
        except StoreError as error:
            self._log_failure(0, error)
            self._grant_ended.set()
            return
        finally:
            self._n_requested -= 1
        # A lease that is not needed any more ends by itself.
        if self._is_revoked or self.lease_id:
            return
        self._ttl_ms = ttl_ms
        self._set(lease_id, sent_ms + ttl_ms)
        self._grant_ended.set()
        self._log.info("lease_granted", lease=lease_id, ttl_ms=ttl_ms)

    async def _begin_renewal(self, nursery: trio.Nursery) -> float:
        """Send a renewal; return the pause until the next call, in seconds."""
        renewal = Renewal(self.lease_id)
        nursery.start_soon(self._renew, renewal)
        with trio.move_on_after(RENEW_SILENCE_MS / 1000):
            await renewal.has_ended.wait()
        if renewal.is_renewed:
            return RENEW_INTERVAL_MS / 1000
        if not renewal.has_ended.is_set():
            self._log.warning(
                "lease_renewal_late", lease=renewal.lease_id, left_ms=self._left_ms
            )
        return _RETRY_S if self.lease_id else 0

    async def _renew(self, renewal: Renewal) -> None:
        sent_ms = self._clock.now_ms
        self._n_pending += 1
        try:
            # An answer is of use for the length of a lease: the present end of the
            # lease may be put off by an earlier answer until it comes.
            is_alive = await self._store.renew_lease(renewal.lease_id, self._ttl_ms)
        except StoreError as error:
            self._log_failure(renewal.lease_id, error)
            return
        finally:
            self._n_pending -= 1
            renewal.has_ended.set()
        if self._is_revoked or self.lease_id != renewal.lease_id:
            return
        if is_alive:
            renewal.is_renewed = True
            self._on_renewed(max(0, self._left_ms))
            self.valid_until_ms = max(self.valid_until_ms, sent_ms + self._ttl_ms)
            return
        self._log.warning("lease_ended", lease=renewal.lease_id)
        self._set(0, 0)

    @property
    def _left_ms(self) -> int:
        return self.valid_until_ms - self._clock.now_ms

    def _log_failure(self, lease_id: int, error: StoreError) -> None:
        self._log.warning(
            "lease_renewal_failed",
            lease=lease_id,
            left_ms=self._left_ms,
            reason=str(error),
            stage=error.stage,
        )

    def _set(self, lease_id: int, valid_until_ms: int) -> None:
        self.lease_id = lease_id
        self.valid_until_ms = valid_until_ms

    def abandon(self) -> int:
        """Renew the lease no more and acquire no new one; return its id, 0 for none."""
        self._is_revoked = True
        # A renewal that waits for a connection would still be sent, up to 1.8 s later.
        self._calls.cancel()
        lease_id = self.lease_id
        self._set(0, 0)
        return lease_id

    async def revoke(self) -> None:
        """Revoke the lease and acquire no new one, so that its keys go at once."""
        lease_id = self.abandon()
        if not lease_id:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except StoreError as error:
            self._log.warning("lease_not_ended", lease=lease_id, reason=str(error))
