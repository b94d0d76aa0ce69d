"""Calls to the owners of shards, in this instance or another one."""

from collections.abc import Mapping
from typing import Any

import structlog

from apricotgap.clock import Clock
from apricotgap.decoding import convert
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import Owner
from apricotgap.instance.ownership import OwnershipLostError
from apricotgap.instance.peer_documents import decode_owner_call, decode_report_call
from apricotgap.instance.peers import PeerCallError, PeerClient
from apricotgap.instance.pool_reports import encode_first_report, encode_pool_report
from apricotgap.instance.shard_owner import ShardOwner
from apricotgap.jobs.documents import decode_job
from apricotgap.platform.call_timer import transfer_ms

__all__ = ["PEER_TIMEOUT_MS", "OwnerCallError", "OwnerCalls"]

PEER_TIMEOUT_MS = 700
# Names of calls to owners with the second version of the protocol, which answer more.
_SECOND_OPERATIONS = {"submit": "submit-job", "report": "pool-report"}
# Answers of an instance that did not begin to execute the call, and of one that lost
# the shard while it did: an earlier write of it may have been stored.
_NOT_OWNER = "not owner"
_OWNERSHIP_LOST = "ownership lost"


class OwnerCallError(Exception):
    """No owner of the shard answered.

    `may_have_executed` tells whether the call was sent to one.
    """

    def __init__(self, may_have_executed: bool) -> None:
        super().__init__(may_have_executed)
        self.may_have_executed = may_have_executed


class OwnerCalls:
    """Calls owners, and answers calls of other instances to the owners of this one.

    Parameters
    ----------
    owners : mapping of str to ShardOwner
        The shards that this instance owns, updated by the caller.
    cluster_view, peers, clock
        Dependencies.
    """

    def __init__(
        self,
        owners: Mapping[str, ShardOwner],
        cluster_view: ClusterView,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._owners = owners
        self._cluster_view = cluster_view
        self._peers = peers
        self._clock = clock
        self._log = structlog.get_logger()

    async def call(
        self,
        service: str,
        operation: str,
        argument: Any,
        deadline_ms: int,
        *,
        about: str = "",
        is_verified: bool = False,
    ) -> Any:
        """Call the owner of a shard, locally if it is this instance.

        Parameters
        ----------
        service, operation, argument
            The call.
        deadline_ms : int
            When to give up, on the clock of the instance.
        about : str
            Job or queue that the call is about, for the log.
        is_verified : bool
            Whether to send nothing unless the owner's instance can be reached now.

        Raises
        ------
        OwnerCallError
            No owner answered.
        """
        local_owner = self._owners.get(service)
        if local_owner is not None and local_owner.ready.is_set():
            try:
                return await self._execute(
                    local_owner,
                    _SECOND_OPERATIONS.get(operation, operation),
                    argument,
                    deadline_ms,
                )
            except OwnershipLostError as error:
                raise OwnerCallError(True) from error
        owner = self._cluster_view.owner(service)
        if owner is None or local_owner is not None:
            raise OwnerCallError(False)
        if is_verified:
            try:
                await self._peers.verify(owner.address)
            except PeerCallError as error:
                raise self._unreachable(service, owner, about, error) from error
        left_ms = self._limit_ms(argument, deadline_ms)
        if operation == "report":
            argument = argument[: _n_report_elements(owner)]
        if owner.has_second_protocol:
            operation = _SECOND_OPERATIONS.get(operation, operation)
        try:
            answer = await self._peers.call(
                owner.address,
                operation,
                [service, argument, max(0, left_ms)],
                max(1, left_ms),
            )
        except PeerCallError as error:
            raise self._unreachable(service, owner, about, error) from error
        if not isinstance(answer, list) or len(answer) != 2:
            raise OwnerCallError(True)
        if answer[0] != "ok":
            raise OwnerCallError(answer[0] != _NOT_OWNER)
        return answer[1]

    def _limit_ms(self, argument: Any, deadline_ms: int) -> int:
        """Return the limit of a call, which grows with a document that it carries."""
        left_ms = deadline_ms - self._clock.now_ms
        timeout_ms = PEER_TIMEOUT_MS
        if isinstance(argument, bytes):
            # Half of the time is left to write the document to the store instead.
            share_ms = max(0, left_ms // 2 - PEER_TIMEOUT_MS)
            timeout_ms += min(transfer_ms(len(argument)), share_ms)
        return min(timeout_ms, left_ms)

    def _unreachable(
        self, service: str, owner: Owner, about: str, error: PeerCallError
    ) -> OwnerCallError:
        self._log.info(
            "owner_unreachable",
            shard=service,
            owner=owner.name,
            about=about,
            reason=str(error),
            sent=error.sent,
        )
        return OwnerCallError(error.sent)

    async def handle(self, operation: str, argument: Any) -> list[Any]:
        """Answer a peer's call on a shard of this instance."""
        service, payload, left_ms = decode_owner_call(argument)
        local_owner = self._owners.get(service)
        if local_owner is None or not local_owner.ready.is_set():
            return [_NOT_OWNER, None]
        deadline_ms = self._clock.now_ms + left_ms
        try:
            return [
                "ok",
                await self._execute(local_owner, operation, payload, deadline_ms),
            ]
        except OwnershipLostError:
            return [_OWNERSHIP_LOST, None]

    @staticmethod
    async def _execute(
        owner: ShardOwner, operation: str, argument: Any, deadline_ms: int
    ) -> Any:
        if operation in ("submit", "submit-job"):
            outcome = await owner.submit(
                decode_job(convert(argument, bytes)), deadline_ms
            )
            if operation == "submit":
                return outcome.result.value
            return [outcome.result.value, outcome.retry_after_ms, outcome.reason]
        if operation == "phase":
            phase = owner.phase(convert(argument, str))
            return phase.value if phase else None
        if operation == "cancel":
            return await owner.cancel(convert(argument, str), deadline_ms)
        if operation == "pending":
            return owner.n_pending(convert(argument, str))
        if operation == "report":
            return encode_first_report(owner.report(decode_report_call(argument)))
        if operation == "pool-report":
            return encode_pool_report(owner.report(decode_report_call(argument)))
        raise ValueError(f"unknown operation {operation}")


def _n_report_elements(owner: Owner) -> int:
    """Return how many elements of a call for a report an owner accepts."""
    if owner.accepts_report_options:
        return 4
    return 3 if owner.has_second_protocol else 2
