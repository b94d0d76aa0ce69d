"""Sending of many starts through instances near the workers.

The owner of a busy shard decides hundreds of starts a second. Sending each of them
takes more of its processor time than deciding them, while most instances are idle. It
therefore hands the starts of a large pass to instances in the data centres of the
workers. The epoch and the deadline of a start hold wherever it is sent from.
"""

import hashlib
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Any

import structlog
import trio

from apricotgap.clock import Clock
from apricotgap.instance.cluster_view import ClusterView
from apricotgap.instance.keys import Member
from apricotgap.instance.peers import PeerCallError, PeerClient
from apricotgap.jobs.effects import StartRun
from apricotgap.jobs.events import StartResult
from apricotgap.jobs.model import TaskName
from apricotgap.platform.workers import START_TIMEOUT_MS, WorkerClient

__all__ = ["StartDelegate", "StartSender"]

# Up to this many starts of one pass are sent by the owner, without the extra hop.
MAX_DIRECT_STARTS = 4
# An instance that gave no answer gets no starts for this long.
AVOID_MS = 3_000
# Part of the time for a call that is left for the way there and back.
_HOP_MARGIN_MS = 200

ReportResult = Callable[[StartRun, StartResult], None]


class StartSender:
    """Sends the starts of a shard's owner, large numbers through other instances.

    Parameters
    ----------
    name : str
        Name of this instance.
    epoch : int
        Fencing token of the owner.
    client, peers, cluster_view, clock
        Dependencies.
    report : callable
        Called with each start and its result.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        client: WorkerClient,
        peers: PeerClient,
        cluster_view: ClusterView,
        clock: Clock,
        report: ReportResult,
    ) -> None:
        self._name = name
        self._epoch = epoch
        self._client = client
        self._peers = peers
        self._cluster_view = cluster_view
        self._clock = clock
        self._report = report
        self._avoided_until_ms: dict[str, int] = {}
        self._log = structlog.get_logger()

    def send(
        self,
        starts: Sequence[tuple[StartRun, str]],
        nursery: trio.Nursery,
    ) -> None:
        """Begin to send starts, each given with the data centre of its worker."""
        if len(starts) <= MAX_DIRECT_STARTS:
            for start, _ in starts:
                nursery.start_soon(self._send_direct, start)
            return
        candidates = self._candidates()
        batches: dict[Member, list[StartRun]] = defaultdict(list)
        for start, data_centre in starts:
            member = _choose(candidates.get(data_centre, ()), start.worker_id)
            if member is None:
                nursery.start_soon(self._send_direct, start)
            else:
                batches[member].append(start)
        for member, batch in batches.items():
            nursery.start_soon(self._send_batch, member, batch)

    def _candidates(self) -> dict[str, list[Member]]:
        """Return the instances that may send starts, by data centre."""
        now_ms = self._clock.now_ms
        found: dict[str, list[Member]] = defaultdict(list)
        for member in self._cluster_view.members():
            if member.name == self._name or not member.has_second_protocol:
                continue
            if self._avoided_until_ms.get(member.name, 0) > now_ms:
                continue
            if self._cluster_view.n_owned_by(member.name) == 0:
                found[member.data_centre].append(member)
        return found

    async def _send_direct(self, start: StartRun) -> None:
        self._report(start, await self._client.start(start, self._epoch))

    async def _send_batch(self, member: Member, starts: list[StartRun]) -> None:
        try:
            rows = await self._peers.call(
                member.address,
                "start-runs",
                encode_starts(starts, self._epoch),
                START_TIMEOUT_MS + _HOP_MARGIN_MS,
            )
            results = [StartResult(kind, clock_ms) for kind, clock_ms in rows]
        except (PeerCallError, TypeError, ValueError) as error:
            self._log.info(
                "starts_unanswered",
                peer=member.name,
                n=len(starts),
                reason=str(error),
            )
            self._avoided_until_ms[member.name] = self._clock.now_ms + AVOID_MS
            results = []
        results += [StartResult("unknown")] * (len(starts) - len(results))
        for start, result in zip(starts, results, strict=False):
            self._report(start, result)


class StartDelegate:
    """Sends starts on behalf of the owner of a shard.

    Parameters
    ----------
    client, clock
        Dependencies.
    """

    def __init__(self, client: WorkerClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    async def send(self, argument: Any) -> list[list[Any]]:
        """Send the starts of a call and return the kind and clock of each result.

        Raises
        ------
        ValueError, TypeError, KeyError
            The argument is malformed.
        """
        received_ms = self._clock.now_ms
        starts, epoch = decode_starts(argument)
        results = [StartResult("unknown")] * len(starts)

        async def send_one(index: int) -> None:
            if self._clock.now_ms - received_ms > START_TIMEOUT_MS:
                # The process was suspended; the owner has given the start up.
                return
            results[index] = await self._client.start(starts[index], epoch)

        with trio.move_on_after(START_TIMEOUT_MS / 1000):
            async with trio.open_nursery() as nursery:
                for index in range(len(starts)):
                    nursery.start_soon(send_one, index)
        return [[result.kind, result.clock_ms] for result in results]


def _choose(candidates: Sequence[Member], worker_id: str) -> Member | None:
    """Return the same instance for a worker each time, to use its connections again."""
    if not candidates:
        return None

    def rank(member: Member) -> bytes:
        text = f"{member.name}/{worker_id}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return min(candidates, key=rank)


def encode_starts(starts: Sequence[StartRun], epoch: int) -> dict[str, Any]:
    """Encode starts; the content that the tasks of a job share is sent once."""
    contents: dict[str, int] = {}
    rows = [
        [
            start.worker_id,
            start.address,
            start.born_ms,
            list(start.name),
            start.run_id,
            contents.setdefault(start.content, len(contents)),
            start.deadline_ms,
            start.checkpoint,
            start.ticket,
        ]
        for start in starts
    ]
    return {"epoch": epoch, "contents": list(contents), "starts": rows}


def decode_starts(argument: Any) -> tuple[list[StartRun], int]:
    """Decode starts and the epoch of their owner.

    Raises
    ------
    ValueError, TypeError, KeyError
        The argument is malformed.
    """
    contents = argument["contents"]
    starts = []
    for row in argument["starts"]:
        worker_id, address, born_ms, name, run_id, content, *rest = row
        if not 0 <= content < len(contents):
            raise ValueError(f"no content with number {content}")
        deadline_ms, checkpoint, ticket = rest
        starts.append(
            StartRun(
                worker_id,
                address,
                born_ms,
                TaskName(*name),
                run_id,
                contents[content],
                deadline_ms,
                checkpoint,
                ticket,
            )
        )
    return starts, argument["epoch"]
