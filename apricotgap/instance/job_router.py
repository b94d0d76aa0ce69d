"""Routes job calls to the owner of the shard, or to the store if there is none."""

from collections.abc import Mapping
from random import Random
from typing import Any

import structlog

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.direct_submissions import DirectSubmissions
from apricotgap.instance.keys import (
    Member,
    cancel_key,
)
from apricotgap.instance.ownership import OwnershipLostError
from apricotgap.instance.peers import PeerCallError, PeerClient
from apricotgap.instance.pool_reports import (
    decode_pool_report,
    encode_first_report,
    encode_pool_report,
)
from apricotgap.instance.shard_owner import ShardOwner
from apricotgap.instance.stored_jobs import StoredJobs
from apricotgap.jobs.documents import decode_job, encode_job
from apricotgap.jobs.fleet_view import PoolReport
from apricotgap.jobs.model import JobPhase, JobSpec
from apricotgap.jobs.service import (
    CancelResult,
    SubmitOutcome,
    SubmitResult,
    UnreadableError,
)
from apricotgap.platform.store import (
    StoreClient,
    Stored,
    StoreError,
    Write,
)

__all__ = ["JobRouter"]

PEER_TIMEOUT_MS = 700
_STORE_TIMEOUT_MS = 700
# Largest number of other instances that are asked to relay a submission.
MAX_RELAYS = 2
_RELAY_MARGIN_MS = 50
# Names of calls to owners with the second version of the protocol, which answer more.
_SECOND_OPERATIONS = {"submit": "submit-job", "report": "pool-report"}
_ACCEPTED = SubmitOutcome(SubmitResult.ACCEPTED)


class _OwnerCallError(Exception):
    """No owner of the shard answered.

    `may_have_executed` tells whether the call was sent to one.
    """

    def __init__(self, may_have_executed: bool) -> None:
        super().__init__(may_have_executed)
        self.may_have_executed = may_have_executed


class JobRouter:
    """Serves the job calls of clients and of other instances.

    Parameters
    ----------
    name : str
        Name of this instance.
    owners : mapping of str to ShardOwner
        The shards that this instance owns, updated by the caller.
    cluster_view, store, peers, clock
        Dependencies.
    """

    def __init__(
        self,
        name: str,
        owners: Mapping[str, ShardOwner],
        cluster_view: ClusterView,
        store: StoreClient,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._name = name
        self._owners = owners
        self._random = Random()
        self._cluster_view = cluster_view
        self._store = store
        self._peers = peers
        self._stored_jobs = StoredJobs(store)
        self._direct_submissions = DirectSubmissions(cluster_view, store, clock)
        self._clock = clock
        self._log = structlog.get_logger()

    async def submit(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        """Accept a job; REFUSED guarantees that it never runs."""
        document = encode_job(job)
        outcome = await self._submit_without_relay(job, document, deadline_ms)
        if outcome.result is SubmitResult.ACCEPTED or outcome.reason:
            return outcome
        result = outcome.result
        for member in self._choose_relays(job.service):
            if deadline_ms - self._clock.now_ms <= 0:
                break
            try:
                answer = await self._relay(member, "submit", document, deadline_ms)
            except PeerCallError as error:
                self._log.info("relay_failed", peer=member.name, reason=str(error))
                result = SubmitResult.UNKNOWN
                continue
            relayed = SubmitResult(answer)
            if relayed is SubmitResult.ACCEPTED:
                return _ACCEPTED
            if relayed is SubmitResult.UNKNOWN:
                result = relayed
        return SubmitOutcome(result)

    async def _submit_without_relay(
        self, job: JobSpec, document: bytes, deadline_ms: int
    ) -> SubmitOutcome:
        """Submit to the owner; if none answers, write the job to the store.

        Only a refusal by the owner itself, for lack of capacity, has a reason.
        """
        may_be_stored = False
        try:
            outcome = _decode_outcome(
                await self._call_owner(job.service, "submit", document, deadline_ms)
            )
            if outcome.result is not SubmitResult.UNKNOWN:
                return outcome
            may_be_stored = True
        except _OwnerCallError as error:
            may_be_stored = error.may_have_executed
        result = await self._direct_submissions.submit(job, document, deadline_ms)
        if result is SubmitResult.REFUSED and may_be_stored:
            result = SubmitResult.UNKNOWN
        return SubmitOutcome(result)

    def _choose_relays(self, service: str) -> list[Member]:
        """Choose random instances that may reach the owner or the store."""
        owner = self._cluster_view.owner(service)
        avoided = {self._name, owner.name if owner else ""}
        members = [
            member
            for member in self._cluster_view.members()
            if member.name not in avoided
        ]
        return self._random.sample(members, min(MAX_RELAYS, len(members)))

    async def _relay(
        self, member: Member, operation: str, argument: Any, deadline_ms: int
    ) -> Any:
        left_ms = max(1, min(PEER_TIMEOUT_MS, deadline_ms - self._clock.now_ms))
        _, result = await self._peers.call(
            member.address, f"relay-{operation}", [argument, left_ms], left_ms
        )
        return result

    async def _handle_relay(self, operation: str, argument: list[Any]) -> list[Any]:
        payload, left_ms = argument
        deadline_ms = self._clock.now_ms + left_ms - _RELAY_MARGIN_MS
        if operation == "relay-submit":
            job = decode_job(payload)
            outcome = await self._submit_without_relay(job, payload, deadline_ms)
            return ["ok", outcome.result.value]
        raise ValueError(f"unknown operation {operation}")

    async def phase(
        self, service: str, job_id: str, deadline_ms: int
    ) -> JobPhase | None:
        """Return the state of a job, None for an unknown one.

        Raises
        ------
        UnreadableError
            Neither an owner nor the store answered.
        """
        try:
            return await self._phase(service, job_id, deadline_ms)
        except StoreError as error:
            raise UnreadableError(str(error)) from error

    async def _phase(
        self, service: str, job_id: str, deadline_ms: int
    ) -> JobPhase | None:
        phase = await self._read_phase_of(service, job_id, deadline_ms)
        if phase is not None:
            return phase
        actual = await self._stored_jobs.service_of(job_id)
        if actual is None:
            return None
        if actual != service:
            phase = await self._read_phase_of(actual, job_id, deadline_ms)
        return phase or JobPhase.PENDING

    async def _read_phase_of(
        self, service: str, job_id: str, deadline_ms: int
    ) -> JobPhase | None:
        try:
            result = await self._call_owner(service, "phase", job_id, deadline_ms)
        except _OwnerCallError:
            return await self._stored_jobs.phase_of(service, job_id)
        return JobPhase(result) if result is not None else None

    async def cancel(self, service: str, job_id: str, deadline_ms: int) -> CancelResult:
        """Cancel a job."""
        if await self._cancel_at(service, job_id, deadline_ms):
            return CancelResult.DONE
        try:
            actual = await self._stored_jobs.service_of(job_id)
        except StoreError as error:
            self._log.warning("cancel_unresolved", job=job_id, reason=str(error))
            return CancelResult.UNKNOWN
        if actual is None:
            return CancelResult.NO_SUCH_JOB
        if actual != service and await self._cancel_at(actual, job_id, deadline_ms):
            return CancelResult.DONE
        write = Write(cancel_key(actual, job_id), b"1")
        outcome = await self._store.write((write,), _STORE_TIMEOUT_MS)
        if isinstance(outcome, Stored):
            return CancelResult.DONE
        return CancelResult.UNKNOWN

    async def _cancel_at(self, service: str, job_id: str, deadline_ms: int) -> bool:
        try:
            return (
                await self._call_owner(service, "cancel", job_id, deadline_ms) is True
            )
        except _OwnerCallError:
            return False

    async def n_pending(self, service: str, queue: str, deadline_ms: int) -> int:
        """Return the number of jobs of a queue without a started task.

        Jobs that were accepted for a former service of the queue count too.

        Raises
        ------
        UnreadableError
            Neither an owner nor the store answered.
        """
        former = self._cluster_view.former_services(queue, service)
        return sum(
            [
                await self._n_pending_of(each, queue, deadline_ms)
                for each in (service, *former)
            ]
        )

    async def _n_pending_of(self, service: str, queue: str, deadline_ms: int) -> int:
        try:
            return int(await self._call_owner(service, "pending", queue, deadline_ms))
        except _OwnerCallError:
            pass
        try:
            return await self._stored_jobs.n_pending(service, queue)
        except StoreError as error:
            raise UnreadableError(str(error)) from error

    async def pool_report(
        self, service: str, reserved: list[str], ended: list[str], share: int
    ) -> PoolReport | None:
        """Send a shard owner the plan for its pool and return its report.

        Parameters
        ----------
        service : str
            Service of the shard.
        reserved, ended : list of str
            Workers to drain, and workers that orders have ended.
        share : int
            Number of machines planned for the pool.

        Returns
        -------
        PoolReport or None
            None if no owner gave a usable answer.
        """
        deadline_ms = self._clock.now_ms + PEER_TIMEOUT_MS
        try:
            data = await self._call_owner(
                service, "report", [reserved, ended, share], deadline_ms
            )
            return decode_pool_report(data)
        except _OwnerCallError:
            return None
        except ValueError as error:
            self._log.error("pool_report_unreadable", shard=service, error=str(error))
            return None

    async def _call_owner(
        self, service: str, operation: str, argument: Any, deadline_ms: int
    ) -> Any:
        """Call the owner of a shard, locally if it is this instance.

        Raises
        ------
        _OwnerCallError
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
                raise _OwnerCallError(False) from error
        owner = self._cluster_view.owner(service)
        if owner is None or local_owner is not None:
            raise _OwnerCallError(False)
        left_ms = min(PEER_TIMEOUT_MS, deadline_ms - self._clock.now_ms)
        if owner.has_second_protocol:
            operation = _SECOND_OPERATIONS.get(operation, operation)
        elif operation == "report":
            argument = argument[:2]
        try:
            kind, result = await self._peers.call(
                owner.address,
                operation,
                [service, argument, max(0, left_ms)],
                max(1, left_ms),
            )
        except PeerCallError as error:
            self._log.info(
                "owner_unreachable",
                shard=service,
                owner=owner.name,
                reason=str(error),
            )
            raise _OwnerCallError(True) from error
        if kind != "ok":
            raise _OwnerCallError(False)
        return result

    async def handle_peer_call(self, operation: str, argument: Any) -> list[Any]:
        """Answer a peer's call on a shard of this instance, or a relayed call."""
        if operation.startswith("relay-"):
            return await self._handle_relay(operation, argument)
        service, payload, left_ms = argument
        local_owner = self._owners.get(service)
        if local_owner is None or not local_owner.ready.is_set():
            return ["not owner", None]
        deadline_ms = self._clock.now_ms + left_ms
        try:
            return [
                "ok",
                await self._execute(local_owner, operation, payload, deadline_ms),
            ]
        except OwnershipLostError:
            return ["not owner", None]

    @staticmethod
    async def _execute(
        owner: ShardOwner, operation: str, argument: Any, deadline_ms: int
    ) -> Any:
        if operation in ("submit", "submit-job"):
            outcome = await owner.submit(decode_job(argument), deadline_ms)
            if operation == "submit":
                return outcome.result.value
            return [outcome.result.value, outcome.retry_after_ms, outcome.reason]
        if operation == "phase":
            phase = owner.phase(argument)
            return phase.value if phase else None
        if operation == "cancel":
            return await owner.cancel(argument, deadline_ms)
        if operation == "pending":
            return owner.n_pending(argument)
        if operation == "report":
            return encode_first_report(owner.report(*argument[:2]))
        if operation == "pool-report":
            reserved, ended, share = argument
            return encode_pool_report(owner.report(reserved, ended, int(share)))
        raise ValueError(f"unknown operation {operation}")


def _decode_outcome(answer: Any) -> SubmitOutcome:
    """Decode the answer of an owner; the first protocol has only the result."""
    if isinstance(answer, str):
        return SubmitOutcome(SubmitResult(answer))
    value, retry_after_ms, reason = answer
    return SubmitOutcome(SubmitResult(value), retry_after_ms, reason)
