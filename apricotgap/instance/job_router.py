"""Routes job calls to the owner of the shard, or to the store if there is none."""

from collections.abc import Mapping
from functools import partial
from typing import Any

import structlog

from apricotgap.clock import Clock
from apricotgap.decoding import DecodeError
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.direct_submissions import DirectSubmissions
from apricotgap.instance.keys import cancel_key
from apricotgap.instance.owner_calls import (
    PEER_TIMEOUT_MS,
    OwnerCallError,
    OwnerCalls,
)
from apricotgap.instance.peer_documents import (
    decode_cancel_result,
    decode_count,
    decode_outcome,
    decode_phase,
    decode_relay_call,
    decode_relayed_names,
)
from apricotgap.instance.peers import PeerCallError, PeerClient
from apricotgap.instance.pool_reports import decode_pool_report, encode_report_call
from apricotgap.instance.relays import RELAY_MARGIN_MS, Relays
from apricotgap.instance.repeated_calls import RepeatedCalls
from apricotgap.instance.shard_owner import ShardOwner
from apricotgap.instance.stored_jobs import StoredJobs
from apricotgap.instance.unresolved_submissions import UnresolvedSubmissions
from apricotgap.jobs.documents import decode_job, encode_job
from apricotgap.jobs.fleet_view import PoolReport, ReportRequest
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

_STORE_TIMEOUT_MS = 700
_ACCEPTED = SubmitOutcome(SubmitResult.ACCEPTED)


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
        self._owner_calls = OwnerCalls(owners, cluster_view, peers, clock)
        self._cluster_view = cluster_view
        self._store = store
        self._relays = Relays(name, cluster_view, peers, clock)
        self._repeated = RepeatedCalls(self._relays, clock)
        self._stored_jobs = StoredJobs(store, clock)
        self._direct_submissions = DirectSubmissions(cluster_view, store, clock)
        self._unresolved = UnresolvedSubmissions(clock)
        self._clock = clock
        self._log = structlog.get_logger()

    async def submit(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        """Accept a job; REFUSED guarantees that it never runs."""
        return await self._unresolved.run(
            job.job_id, partial(self._submit, job, deadline_ms)
        )

    async def _submit(self, job: JobSpec, deadline_ms: int) -> SubmitOutcome:
        document = encode_job(job)
        outcome = await self._submit_without_relay(job, document, deadline_ms)
        if outcome.result is SubmitResult.ACCEPTED or outcome.reason:
            return outcome
        result = outcome.result
        if result is SubmitResult.REFUSED and self._store.is_down:
            # Nothing was sent. The caller finds another instance sooner than this one.
            return outcome
        for member in self._relays.choose(job.service):
            if deadline_ms - self._clock.now_ms <= 0:
                break
            try:
                relayed = decode_outcome(
                    await self._relays.call(
                        member,
                        "submit",
                        document,
                        deadline_ms,
                        PEER_TIMEOUT_MS,
                        about=job.job_id,
                    )
                ).result
            except PeerCallError as error:
                if error.sent:
                    result = SubmitResult.UNKNOWN
                continue
            except DecodeError:
                result = SubmitResult.UNKNOWN
                continue
            if relayed is SubmitResult.ACCEPTED:
                return _ACCEPTED
            if relayed is SubmitResult.UNKNOWN:
                result = relayed
        return SubmitOutcome(result)

    async def _submit_without_relay(
        self, job: JobSpec, document: bytes, deadline_ms: int
    ) -> SubmitOutcome:
        """Submit to the owner; if none answers, write the job to the store.

        Only a refusal by the owner itself has a reason, which may have come through the
        store.
        """
        may_be_stored = False
        try:
            outcome = decode_outcome(
                await self._owner_calls.call(
                    job.service,
                    "submit",
                    document,
                    deadline_ms,
                    about=job.job_id,
                    is_verified=self._store.is_down,
                )
            )
            if outcome.result is not SubmitResult.UNKNOWN:
                return outcome
            may_be_stored = True
        except OwnerCallError as error:
            may_be_stored = error.may_have_executed
        except DecodeError as error:
            self._log.error("owner_answer_odd", shard=job.service, error=str(error))
            may_be_stored = True
        outcome = await self._direct_submissions.submit(job, document, deadline_ms)
        if outcome.result is SubmitResult.REFUSED and may_be_stored:
            return SubmitOutcome(SubmitResult.UNKNOWN)
        return outcome

    async def _handle_relay(self, operation: str, argument: Any) -> list[Any]:
        payload, left_ms = decode_relay_call(argument)
        deadline_ms = self._clock.now_ms + left_ms - RELAY_MARGIN_MS
        if operation == "relay-submit":
            job = decode_job(payload)
            outcome = await self._submit_without_relay(job, payload, deadline_ms)
            return ["ok", outcome.result.value]
        try:
            return ["ok", await self._relayed(operation, payload, deadline_ms)]
        except StoreError:
            return ["not reached", None]

    async def _relayed(
        self, operation: str, payload: Any, deadline_ms: int
    ) -> str | int | None:
        service, name = decode_relayed_names(payload)
        if operation == "relay-phase":
            phase = await self._phase(service, name, deadline_ms)
            return phase.value if phase else None
        if operation == "relay-cancel":
            return (await self._cancel(service, name, deadline_ms)).name
        if operation == "relay-pending":
            return await self._n_pending(service, name, deadline_ms)
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
        return await self._repeated.run(
            "phase",
            [service, job_id],
            partial(self._phase, service, job_id, deadline_ms),
            decode_phase,
            deadline_ms,
        )

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
            return decode_phase(
                await self._owner_calls.call(
                    service, "phase", job_id, deadline_ms, about=job_id
                )
            )
        except (OwnerCallError, DecodeError):
            return await self._stored_jobs.phase_of(service, job_id)

    async def cancel(self, service: str, job_id: str, deadline_ms: int) -> CancelResult:
        """Cancel a job."""
        try:
            return await self._repeated.run(
                "cancel",
                [service, job_id],
                partial(self._cancel, service, job_id, deadline_ms),
                decode_cancel_result,
                deadline_ms,
            )
        except UnreadableError as error:
            self._log.warning("cancel_unresolved", job=job_id, reason=str(error))
            return CancelResult.UNKNOWN

    async def _cancel(
        self, service: str, job_id: str, deadline_ms: int
    ) -> CancelResult:
        if await self._cancel_at(service, job_id, deadline_ms):
            return CancelResult.DONE
        actual = await self._stored_jobs.service_of(job_id)
        if actual is None:
            return CancelResult.NO_SUCH_JOB
        if actual != service and await self._cancel_at(actual, job_id, deadline_ms):
            return CancelResult.DONE
        write = Write(cancel_key(actual, job_id), b"1")
        outcome = await self._store.write((write,), _STORE_TIMEOUT_MS)
        if isinstance(outcome, Stored):
            return CancelResult.DONE
        raise StoreError(f"cancellation not stored: {outcome}")

    async def _cancel_at(self, service: str, job_id: str, deadline_ms: int) -> bool:
        # The store is written to if the owner's own writes take too long.
        limit_ms = min(deadline_ms, self._clock.now_ms + PEER_TIMEOUT_MS)
        try:
            answer = await self._owner_calls.call(
                service, "cancel", job_id, limit_ms, about=job_id
            )
        except OwnerCallError:
            return False
        return answer is True

    async def n_pending(self, service: str, queue: str, deadline_ms: int) -> int:
        """Return the number of jobs of a queue without a started task.

        Jobs that were accepted for a former service of the queue count too.

        Raises
        ------
        UnreadableError
            Neither an owner nor the store answered.
        """
        return await self._repeated.run(
            "pending",
            [service, queue],
            partial(self._n_pending, service, queue, deadline_ms),
            decode_count,
            deadline_ms,
        )

    async def _n_pending(self, service: str, queue: str, deadline_ms: int) -> int:
        former = self._cluster_view.former_services(queue, service)
        return sum(
            [
                await self._n_pending_of(each, queue, deadline_ms)
                for each in (service, *former)
            ]
        )

    async def _n_pending_of(self, service: str, queue: str, deadline_ms: int) -> int:
        try:
            return decode_count(
                await self._owner_calls.call(
                    service, "pending", queue, deadline_ms, about=queue
                )
            )
        except (OwnerCallError, DecodeError):
            return await self._stored_jobs.n_pending(service, queue)

    async def pool_report(
        self, service: str, request: ReportRequest
    ) -> PoolReport | None:
        """Send a shard owner the plan for its pool and return its report.

        Parameters
        ----------
        service : str
            Service of the shard.
        request : ReportRequest
            The plan, and the use of the teams in other shards.

        Returns
        -------
        PoolReport or None
            None if no owner gave a usable answer.
        """
        deadline_ms = self._clock.now_ms + PEER_TIMEOUT_MS
        try:
            data = await self._owner_calls.call(
                service, "report", encode_report_call(request), deadline_ms
            )
            return decode_pool_report(data)
        except OwnerCallError:
            return None
        except DecodeError as error:
            self._log.error("pool_report_unreadable", shard=service, error=str(error))
            return None

    async def handle_peer_call(self, operation: str, argument: Any) -> list[Any]:
        """Answer a peer's call on a shard of this instance, or a relayed call."""
        if operation.startswith("relay-"):
            return await self._handle_relay(operation, argument)
        return await self._owner_calls.handle(operation, argument)
