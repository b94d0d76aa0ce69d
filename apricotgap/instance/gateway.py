"""Calls on jobs: at the owner of the shard, or at the store without one."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

import structlog

from apricotgap.clock import Clock
from apricotgap.instance.directory import Directory
from apricotgap.instance.keys import (
    cancel_key,
    job_key,
    jobs_prefix,
    progress_key,
    progress_prefix,
)
from apricotgap.instance.peers import PeerCallError, PeerClient
from apricotgap.instance.shard_owner import OwnershipLostError, ShardOwner
from apricotgap.jobs.documents import (
    DocumentError,
    decode_job,
    decode_progress,
    encode_job,
)
from apricotgap.jobs.model import JobPhase, JobSpec
from apricotgap.platform.store import (
    Conflict,
    StoreClient,
    Stored,
    StoreError,
    Unavailable,
    Unknown,
    Write,
)

__all__ = ["CancelResult", "Gateway", "SubmitResult"]

PEER_TIMEOUT_MS = 700
_STORE_TIMEOUT_MS = 700


class SubmitResult(Enum):
    """What became of a submission; REFUSED means that it never runs."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class CancelResult(Enum):
    """What became of a cancellation."""

    DONE = auto()
    NO_SUCH_JOB = auto()
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class _NoOwner(Exception):
    """No owner of the shard answered."""

    may_have_run: bool


class Gateway:
    """Serves callers and peers.

    Parameters
    ----------
    owners : mapping of str to ShardOwner
        The shards that this instance owns now.
    directory, store, peers, clock
        What it works with.
    """

    def __init__(
        self,
        owners: Mapping[str, ShardOwner],
        directory: Directory,
        store: StoreClient,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._owners = owners
        self._directory = directory
        self._store = store
        self._peers = peers
        self._clock = clock
        self._log = structlog.get_logger()

    async def submit(self, job: JobSpec, deadline_ms: int) -> SubmitResult:
        """Accept a job, or say truly that it never runs."""
        may_be_stored = False
        try:
            result = await self._ask(
                job.service, "submit", encode_job(job), deadline_ms
            )
            return SubmitResult(result)
        except _NoOwner as error:
            may_be_stored = error.may_have_run
        key = job_key(job.service, job.job_id)
        write = Write(key, encode_job(job), expected_revision=0)
        while True:
            left_ms = deadline_ms - self._clock.now_ms
            if left_ms <= 0:
                break
            outcome = await self._store.write((write,), min(left_ms, _STORE_TIMEOUT_MS))
            if isinstance(outcome, Stored | Conflict):
                return SubmitResult.ACCEPTED
            may_be_stored |= isinstance(outcome, Unknown)
            if isinstance(outcome, Unavailable):
                break
        return SubmitResult.UNKNOWN if may_be_stored else SubmitResult.REFUSED

    async def phase(
        self, service: str, job_id: str, deadline_ms: int
    ) -> JobPhase | None:
        """State of a job, None for an unknown one.

        Raises
        ------
        StoreError
            Neither an owner nor the store answered.
        """
        try:
            result = await self._ask(service, "phase", job_id, deadline_ms)
            if result is not None:
                return JobPhase(result)
        except _NoOwner:
            found = await self._stored_phase(service, job_id)
            if found is not None:
                return found
        item = await self._store.read_key(job_key(service, job_id), _STORE_TIMEOUT_MS)
        return JobPhase.PENDING if item.value is not None else None

    async def _stored_phase(self, service: str, job_id: str) -> JobPhase | None:
        key = progress_key(service, job_id)
        item = await self._store.read_key(key, _STORE_TIMEOUT_MS)
        if item.value is None:
            return None
        try:
            return decode_progress(job_id, item.value).phase
        except DocumentError as error:
            self._log.error("progress_unreadable", job=job_id, error=str(error))
            raise StoreError("unreadable progress") from error

    async def cancel(self, service: str, job_id: str, deadline_ms: int) -> CancelResult:
        """Cancel a job."""
        try:
            result = await self._ask(service, "cancel", job_id, deadline_ms)
            if result is True:
                return CancelResult.DONE
        except _NoOwner:
            pass
        try:
            item = await self._store.read_key(
                job_key(service, job_id), _STORE_TIMEOUT_MS
            )
        except StoreError as error:
            self._log.warning("cancel_unresolved", job=job_id, reason=str(error))
            return CancelResult.UNKNOWN
        if item.value is None:
            return CancelResult.NO_SUCH_JOB
        write = Write(cancel_key(service, job_id), b"1")
        outcome = await self._store.write((write,), _STORE_TIMEOUT_MS)
        if isinstance(outcome, Stored):
            return CancelResult.DONE
        return CancelResult.UNKNOWN

    async def n_pending(self, service: str, queue: str, deadline_ms: int) -> int:
        """Jobs of a queue of which no task has started.

        Raises
        ------
        StoreError
            Neither an owner nor the store answered.
        """
        try:
            return int(await self._ask(service, "pending", queue, deadline_ms))
        except _NoOwner:
            pass
        jobs = await self._store.read_prefix(jobs_prefix(service), _STORE_TIMEOUT_MS)
        progress = await self._store.read_prefix(
            progress_prefix(service), _STORE_TIMEOUT_MS
        )
        begun = {item.key.rpartition("/")[2] for item in progress.items}
        n_pending = 0
        for item in jobs.items:
            if item.key.count("/") != 2 or item.value is None:
                continue
            if item.key.rpartition("/")[2] in begun:
                continue
            try:
                n_pending += decode_job(item.value).queue == queue
            except DocumentError as error:
                self._log.error("job_unreadable", key=item.key, error=str(error))
        return n_pending

    async def _ask(
        self, service: str, operation: str, argument: Any, deadline_ms: int
    ) -> Any:
        """Ask the owner of a shard.

        Raises
        ------
        _NoOwner
            No owner answered.
        """
        local = self._owners.get(service)
        if local is not None and local.ready.is_set():
            try:
                return await self._serve(local, operation, argument, deadline_ms)
            except OwnershipLostError as error:
                raise _NoOwner(False) from error
        owner = self._directory.owner(service)
        if owner is None or local is not None:
            raise _NoOwner(False)
        left_ms = min(PEER_TIMEOUT_MS, deadline_ms - self._clock.now_ms)
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
            raise _NoOwner(True) from error
        if kind != "ok":
            raise _NoOwner(False)
        return result

    async def answer_peer(self, operation: str, argument: Any) -> list[Any]:
        """Serve a peer's call on a shard of this instance."""
        service, inner, left_ms = argument
        local = self._owners.get(service)
        if local is None or not local.ready.is_set():
            return ["not owner", None]
        deadline_ms = self._clock.now_ms + left_ms
        try:
            return ["ok", await self._serve(local, operation, inner, deadline_ms)]
        except OwnershipLostError:
            return ["not owner", None]

    @staticmethod
    async def _serve(
        owner: ShardOwner, operation: str, argument: Any, deadline_ms: int
    ) -> Any:
        if operation == "submit":
            return await owner.submit(decode_job(argument), deadline_ms)
        if operation == "phase":
            phase = owner.phase(argument)
            return phase.value if phase else None
        if operation == "cancel":
            return await owner.cancel(argument, deadline_ms)
        if operation == "pending":
            return owner.n_pending(argument)
        raise ValueError(f"unknown operation {operation}")
