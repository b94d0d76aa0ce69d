"""Election of the maintenance runner, by a store lease and a fencing epoch."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from apricotgap.core.budgets import (
    GRANTS_KEY,
    Grants,
    decode_grants,
    encode_grants,
)
from apricotgap.core.effects import (
    Effect,
    GrantLease,
    LogChange,
    RenewLease,
    RevokeLease,
    StoreCas,
    StoreGet,
)
from apricotgap.core.events import CasResult, KeyValue, LeaseGranted
from apricotgap.core.limits import (
    CAS_TIMEOUT_MS,
    DRIFT_FACTOR,
    RUNNER_LEASE_MS,
    RUNNER_RETRY_MS,
)
from apricotgap.decoding import DecodeError, decode_json
from apricotgap.errors import ValidationError

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = [
    "CALL_PREFIX",
    "ROLE_KEY",
    "RoleDocument",
    "RolePhase",
    "RoleState",
    "call_failed",
    "cas_finished",
    "lease_granted",
    "lease_kept",
    "lease_lost",
    "maintain",
    "read_finished",
]

ROLE_KEY = "roles/waves"
CALL_PREFIX = "waves/"


class RolePhase(StrEnum):
    """State of the acquisition and use of the role."""

    IDLE = "idle"
    READ_ROLE = "read_role"
    LEASE = "lease"
    READ_GRANTS = "read_grants"
    TAKE = "take"
    FENCE = "fence"
    HELD = "held"
    WRITE = "write"
    RECHECK = "recheck"


@dataclass(frozen=True, slots=True)
class RoleDocument:
    """Value of ``roles/waves``."""

    entry: str
    incarnation: str
    epoch: int


@dataclass(slots=True)
class RoleState:
    """Phase of the role, its lease and the grants document as last read.

    `expires_ms` is the earliest time, by the local clock, at which the lease may
    have expired, and `fenced` tells whether the grants document holds the epoch of
    this runner.
    """

    phase: RolePhase = RolePhase.IDLE
    call_id: str = ""
    n_calls: int = 0
    deadline_ms: int = 0
    next_attempt_ms: int = 0
    lease_id: int = 0
    expires_ms: int = 0
    next_renewal_ms: int = 0
    epoch: int = 0
    grants: Grants = field(default_factory=Grants)
    grants_revision: int = 0
    written: Grants | None = None
    fenced: bool = False

    def is_held(self, at_ms: int) -> bool:
        """Return whether this entry instance may act as the runner."""
        return self.fenced and at_ms < self.expires_ms

    @property
    def may_write(self) -> bool:
        """Whether no call for the grants document is pending."""
        return self.phase is RolePhase.HELD

    def begin_call(self, phase: RolePhase) -> str:
        """Enter a phase that waits for a call; responses to older calls are ignored."""
        self.phase = phase
        self.n_calls += 1
        self.call_id = f"{CALL_PREFIX}{phase}/{self.n_calls}"
        return self.call_id

    def begin_write(self, grants: Grants, at_ms: int) -> Effect:
        """Return the effect that writes the grants document."""
        call_id = self.begin_call(RolePhase.WRITE)
        self.deadline_ms = at_ms + 2 * CAS_TIMEOUT_MS
        self.written = replace(grants, writer=call_id)
        encoded = encode_grants(self.written)
        return StoreCas(call_id, GRANTS_KEY, self.grants_revision, encoded)


def maintain(state: "EntryState", wanted: bool, at_ms: int) -> Iterator[Effect]:
    """Renew, acquire or release the role.

    Parameters
    ----------
    state : EntryState
        State of the entry instance.
    wanted : bool
        Whether a runner is needed here.
    at_ms : int
        Monotonic time in milliseconds.

    Yields
    ------
    Effect
        Store calls.
    """
    role = state.waves.role
    if role.lease_id and at_ms >= role.expires_ms:
        yield from _release_role(state, at_ms, "lease expired")
    if role.lease_id and at_ms >= role.next_renewal_ms:
        role.next_renewal_ms = at_ms + RUNNER_LEASE_MS // 3
        yield RenewLease(role.lease_id)
    if role.phase is RolePhase.HELD and not wanted:
        yield from _release_role(state, at_ms, "no active plans, or stopping")
    elif role.phase is RolePhase.IDLE and wanted and at_ms >= role.next_attempt_ms:
        yield from _call(state, RolePhase.READ_ROLE, at_ms)
    elif role.phase not in (RolePhase.IDLE, RolePhase.HELD) and (
        at_ms >= role.deadline_ms
    ):
        yield from call_failed(state, role.call_id, at_ms)


def _call(state: "EntryState", phase: RolePhase, at_ms: int) -> Iterator[Effect]:
    """Send the call of a phase."""
    role = state.waves.role
    call_id = role.begin_call(phase)
    role.deadline_ms = at_ms + 2 * CAS_TIMEOUT_MS
    if phase is RolePhase.READ_ROLE:
        yield StoreGet(call_id, ROLE_KEY)
    elif phase is RolePhase.LEASE:
        yield GrantLease(call_id, RUNNER_LEASE_MS)
    elif phase in (RolePhase.READ_GRANTS, RolePhase.RECHECK):
        yield StoreGet(call_id, GRANTS_KEY)
    elif phase is RolePhase.TAKE:
        identity = state.identity
        value = RoleDocument(identity.entry, identity.incarnation, role.epoch)
        encoded = msgspec.json.encode(value)
        yield StoreCas(call_id, ROLE_KEY, 0, encoded, role.lease_id)
    else:
        role.written = replace(
            role.grants,
            epoch=role.epoch,
            holder=state.identity.incarnation,
            writer=call_id,
        )
        encoded = encode_grants(role.written)
        yield StoreCas(call_id, GRANTS_KEY, role.grants_revision, encoded)


def _release_role(state: "EntryState", at_ms: int, reason: str) -> Iterator[Effect]:
    """Release the role; the epoch prevents late writes from taking effect."""
    role = state.waves.role
    if role.fenced:
        yield LogChange("runner_role_lost", {"reason": reason, "epoch": role.epoch})
    if role.lease_id:
        yield RevokeLease(role.lease_id)
    role.phase = RolePhase.IDLE
    role.fenced = False
    role.call_id = ""
    role.lease_id = 0
    role.expires_ms = 0
    # The random delay keeps entry instances from calling the store simultaneously.
    role.next_attempt_ms = at_ms + state.rng.randint(
        RUNNER_RETRY_MS, 2 * RUNNER_RETRY_MS
    )


def read_finished(
    state: "EntryState", call_id: str, items: Iterable[KeyValue], at_ms: int
) -> Iterator[Effect]:
    """Handle the role or grants document that was read."""
    role = state.waves.role
    if call_id != role.call_id:
        return
    item = next(iter(items), None)
    value = item.value if item is not None else b""
    if role.phase is RolePhase.READ_ROLE:
        yield from _role_read(state, value, at_ms)
        return
    try:
        grants = decode_grants(value)
    except ValidationError as error:
        yield from _release_role(state, at_ms, error.message)
        return
    role.grants = grants
    role.grants_revision = item.revision if item is not None else 0
    if role.phase is RolePhase.READ_GRANTS:
        role.epoch = grants.epoch + 1
        yield from _call(state, RolePhase.TAKE, at_ms)
    elif _is_own(state, grants):
        role.phase = RolePhase.HELD
        role.fenced = True
    elif grants.epoch < role.epoch:
        yield from _call(state, RolePhase.FENCE, at_ms)
    else:
        yield from _release_role(state, at_ms, "a newer runner wrote the grants")


def _is_own(state: "EntryState", grants: Grants) -> bool:
    return (
        grants.epoch == state.waves.role.epoch
        and grants.holder == state.identity.incarnation
    )


def _role_read(state: "EntryState", value: bytes, at_ms: int) -> Iterator[Effect]:
    role = state.waves.role
    if not value:
        # A write whose answer was lost may take effect late, under the present lease.
        phase = RolePhase.READ_GRANTS if role.lease_id else RolePhase.LEASE
        yield from _call(state, phase, at_ms)
        return
    try:
        holder = decode_json(value, RoleDocument)
    except DecodeError:
        yield from _release_role(state, at_ms, f"the document {ROLE_KEY} is malformed")
        return
    own = holder.incarnation == state.identity.incarnation
    if own and role.lease_id and holder.epoch == role.epoch:
        yield from _call(state, RolePhase.FENCE, at_ms)
    else:
        yield from _release_role(state, at_ms, "another runner holds the role")


def lease_granted(state: "EntryState", event: LeaseGranted) -> Iterator[Effect]:
    """Record the lease, and read the grants document for its epoch."""
    role = state.waves.role
    if event.call_id != role.call_id:
        if event.call_id.startswith(CALL_PREFIX):
            yield RevokeLease(event.lease_id)
        return
    role.lease_id = event.lease_id
    role.expires_ms = event.sent_ms + int(event.ttl_ms / DRIFT_FACTOR)
    role.next_renewal_ms = event.at_ms + RUNNER_LEASE_MS // 3
    yield from _call(state, RolePhase.READ_GRANTS, event.at_ms)


def lease_kept(state: "EntryState", lease_id: int, ttl_ms: int, sent_ms: int) -> None:
    """Extend the lease."""
    role = state.waves.role
    if lease_id == role.lease_id:
        role.expires_ms = max(role.expires_ms, sent_ms + int(ttl_ms / DRIFT_FACTOR))


def lease_lost(state: "EntryState", lease_id: int, at_ms: int) -> Iterator[Effect]:
    """Release the role after its lease was lost."""
    if lease_id and lease_id == state.waves.role.lease_id:
        yield from _release_role(state, at_ms, "lease lost")


def cas_finished(
    state: "EntryState", call_id: str, result: CasResult, revision: int, at_ms: int
) -> Iterator[Effect]:
    """Handle the result of a write of the role or grants document."""
    role = state.waves.role
    if call_id != role.call_id:
        return
    if role.phase is RolePhase.TAKE:
        if result is CasResult.STORED:
            yield from _call(state, RolePhase.FENCE, at_ms)
        elif result is CasResult.UNKNOWN:
            yield from _call(state, RolePhase.READ_ROLE, at_ms)
        else:
            yield from _release_role(state, at_ms, "another runner took the role")
    elif result is CasResult.STORED and role.written is not None:
        if role.phase is RolePhase.FENCE:
            yield LogChange("runner_role_taken", {"epoch": role.epoch})
        role.grants = role.written
        role.grants_revision = revision
        role.fenced = True
        role.phase = RolePhase.HELD
    else:
        yield from _call(state, RolePhase.RECHECK, at_ms)


def call_failed(state: "EntryState", call_id: str, at_ms: int) -> Iterator[Effect]:
    """Retry later, or read the grants again if the role may be held."""
    role = state.waves.role
    if call_id != role.call_id:
        return
    if role.fenced or role.phase in (RolePhase.FENCE, RolePhase.RECHECK):
        yield from _call(state, RolePhase.RECHECK, at_ms)
    else:
        yield from _release_role(state, at_ms, "the store did not respond")
