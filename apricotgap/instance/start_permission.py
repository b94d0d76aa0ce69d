"""Until when the owner of a shard may start tasks."""

from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.lease import InstanceLease
from apricotgap.instance.ownership import Ownership

__all__ = ["StartPermission"]

# No start takes effect by a configuration that was confirmed longer ago than this. A
# watch that has gone silent ends after 2.5 s, and the next one confirms the view 1.7 s
# later. The last start is sent LEASE_MARGIN_MS before the end.
MAX_VIEW_AGE_MS = 6_000


class StartPermission:
    """Ends with the lease of the ownership, or as the configuration grows too old.

    Limits of teams may have been lowered since, and data centres taken out.

    Parameters
    ----------
    ownership, lease, cluster_view
        Dependencies.
    """

    def __init__(
        self, ownership: Ownership, lease: InstanceLease, cluster_view: ClusterView
    ) -> None:
        self._ownership = ownership
        self._lease = lease
        self._cluster_view = cluster_view

    @property
    def lease_until_ms(self) -> int:
        """Earliest time at which the lease of the ownership may end."""
        return self._lease.valid_until_ms_of(self._ownership.lease_id)

    @property
    def until_ms(self) -> int:
        """Time from which a start must not take effect any more, 0 for none."""
        confirmed_ms = self._cluster_view.config_confirmed_ms
        if confirmed_ms is None:
            return 0
        return min(self.lease_until_ms, confirmed_ms + MAX_VIEW_AGE_MS)
