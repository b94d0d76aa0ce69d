"""Workers and machines as the platform reports them."""

import hashlib
from dataclasses import dataclass
from functools import lru_cache

from apricotgap.jobs.model import Resources

__all__ = ["Machine", "WorkerEntry"]

# Hexadecimal digits of the digest of a machine, enough to tell those of a pool apart.
_N_DIGEST_DIGITS = 8
# Digests that are kept, about as many as a large fleet has machines.
_N_CACHED_DIGESTS = 4_096


@lru_cache(maxsize=_N_CACHED_DIGESTS)
def _digest(name: str) -> str:
    # Surrogates have no UTF-8 form.
    data = name.encode("utf-8", "surrogatepass")
    return hashlib.sha256(data).hexdigest()[:_N_DIGEST_DIGITS]


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker as it registered itself.

    `free` is its whole capacity for runs, not what its present runs leave of it.
    `born_ms` identifies the incarnation: a restarted worker has lost its runs and
    their state.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str
    machine: str
    is_draining: bool
    free: Resources
    labels: tuple[str, ...]
    born_ms: int

    @property
    def machine_digest(self) -> str:
        """Digest of what all incarnations of the worker have in common."""
        return _digest(self.machine or self.worker_id)

    @property
    def rack(self) -> str:
        """Label of the rack, the second one by convention."""
        return self.labels[1] if len(self.labels) > 1 else ""

    @property
    def kind(self) -> str:
        """Label of the hardware kind, the first one by convention."""
        return self.labels[0] if self.labels else ""


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine and its pool; it is usable while `state` is ``up``."""

    name: str
    pool: str
    state: str
    data_centre: str
    labels: tuple[str, ...]
    free: Resources
    worker_id: str

    @property
    def rack(self) -> str:
        """Label of the rack, the second one by convention."""
        return self.labels[1] if len(self.labels) > 1 else ""

    @property
    def kind(self) -> str:
        """Label of the hardware kind, the first one by convention."""
        return self.labels[0] if self.labels else ""
