"""The lease of an instance in the store."""

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.platform.store import Lease, StoreClient, StoreError

__all__ = ["InstanceLease"]

# The shards of a lost instance have no owner for about this time. The leases of workers
# outlast it.
LEASE_TTL_MS = 3_000
RENEW_INTERVAL_MS = 800
_RENEW_TIMEOUT_MS = 600
_RETRY_S = 0.2


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
    """

    def __init__(self, store: StoreClient, clock: Clock, min_ttl_ms: int) -> None:
        self._store = store
        self._clock = clock
        self._ttl_ms = max(LEASE_TTL_MS, min_ttl_ms)
        self._log = structlog.get_logger()
        self._is_revoked = False
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
        while not self._is_revoked:
            try:
                await self._renew_or_acquire()
            except StoreError as error:
                self._log.warning(
                    "lease_renewal_failed",
                    lease=self.lease_id,
                    left_ms=self.valid_until_ms - self._clock.now_ms,
                    reason=str(error),
                    stage=error.stage,
                )
                await trio.sleep(_RETRY_S)
                continue
            await trio.sleep(RENEW_INTERVAL_MS / 1000)

    async def _renew_or_acquire(self) -> None:
        sent_ms = self._clock.now_ms
        if self.lease_id:
            is_renewed = await self._store.renew_lease(self.lease_id, _RENEW_TIMEOUT_MS)
            if self._is_revoked:
                return
            if is_renewed:
                self.valid_until_ms = sent_ms + self._ttl_ms
                return
            self._log.warning("lease_ended", lease=self.lease_id)
            self._set(0, 0)
            sent_ms = self._clock.now_ms
        lease_id, ttl_ms = await self._store.grant_lease(self._ttl_ms)
        if self._is_revoked:
            return
        self._ttl_ms = ttl_ms
        self._set(lease_id, sent_ms + ttl_ms)
        self._log.info("lease_granted", lease=lease_id, ttl_ms=ttl_ms)

    def _set(self, lease_id: int, valid_until_ms: int) -> None:
        self.lease_id = lease_id
        self.valid_until_ms = valid_until_ms

    def abandon(self) -> int:
        """Renew the lease no more and acquire no new one; return its id, 0 for none."""
        self._is_revoked = True
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
