"""Callers that record every request and its outcome."""

import hashlib
import itertools
import json
from collections import Counter, defaultdict
from dataclasses import dataclass
from random import Random

import httpcore
import trio

from demo.processes import Fleet

__all__ = ["Callers", "Record", "Source"]

_TRIES = 4
_FAILURES = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(slots=True)
class Record:
    """What a caller knows of one request."""

    digest: str
    queue: str
    once: bool
    outcome: str = "open"
    kind: str = ""
    started_s: float = 0.0
    ended_s: float = 0.0
    wrong_answer: bool = False


@dataclass(frozen=True, slots=True)
class Source:
    """A stream of requests.

    Parameters
    ----------
    queue : str
        Queue.
    team : str
        Team whose key is sent, empty for none.
    priority : str
        ``urgent`` or ``batch``.
    once : {"", "key", "ticket"}
        How an order is protected against running twice; empty for requests that
        may run again.
    rate_per_s : float
        Mean rate.
    run_ms : int
        Run time at the backend server.
    """

    queue: str
    team: str
    priority: str
    once: str
    rate_per_s: float
    run_ms: int


class Callers:
    """Sends requests through the entry instances as a load balancer would.

    Parameters
    ----------
    fleet : Fleet
        Addresses.
    keys : dict of str to str
        Keys by team.
    rng : Random
        Source of arrival times and choices.
    """

    def __init__(self, fleet: Fleet, keys: dict[str, str], rng: Random) -> None:
        self._fleet = fleet
        self._keys = keys
        self._rng = rng
        self._numbers = itertools.count(1)
        self.records: list[Record] = []
        self.stopping = False
        self.ready: list[str] = list(fleet.http)
        # One pool for each entry instance: the time to choose a connection grows
        # with the connections of a pool.
        self._pools: defaultdict[str, httpcore.AsyncConnectionPool] = defaultdict(
            lambda: httpcore.AsyncConnectionPool(max_connections=64)
        )

    async def watch_readiness(self) -> None:
        """Poll the readiness checks, as a load balancer does."""
        while True:
            ready = []
            for name, address in self._fleet.http.items():
                try:
                    response = await self._pools[name].request(
                        "GET",
                        f"http://{address}/readyz",
                        extensions={"timeout": _timeouts(0.5)},
                    )
                except _FAILURES:
                    continue
                if response.status == 200:
                    ready.append(name)
            self.ready = ready
            await trio.sleep(0.2)

    async def run(self, source: Source) -> None:
        """Send requests of one source until `stopping` is set."""
        async with trio.open_nursery() as nursery:
            while not self.stopping:
                await trio.sleep(self._rng.expovariate(source.rate_per_s))
                nursery.start_soon(self.send, source)

    async def send(self, source: Source) -> Record:
        """Send one request and record its outcome."""
        number = next(self._numbers)
        body = json.dumps(
            {"n": number, "queue": source.queue, "standin_run_ms": source.run_ms}
        ).encode()
        digest = hashlib.sha256(body).hexdigest()
        record = Record(digest, source.queue, bool(source.once))
        record.started_s = trio.current_time()
        self.records.append(record)
        headers = {
            "Apricotgap-Priority": source.priority,
            "Apricotgap-Idempotent": "false" if source.once else "true",
            "Apricotgap-Expected-Run-Ms": str(source.run_ms),
            "Apricotgap-Max-Wait-Ms": "8000",
        }
        if source.team:
            headers["Authorization"] = f"Bearer {self._keys[source.team]}"
        if source.once == "key":
            headers["Idempotency-Key"] = f"order-{number}"
        elif source.once == "ticket":
            ticket = await self._ticket(headers)
            if not ticket:
                record.outcome, record.kind = "refused", "no_ticket"
                return record
            headers["Apricotgap-Ticket"] = ticket
        await self._try(record, source, headers, body)
        record.ended_s = trio.current_time()
        return record

    async def _ticket(self, headers: dict[str, str]) -> str:
        for _ in range(_TRIES):
            try:
                status, _, data = await self._post("/v1/tickets", headers, b"")
            except _FAILURES:
                continue
            if status == 201:
                return str(json.loads(data)["ticket"])
        return ""

    async def _try(
        self, record: Record, source: Source, headers: dict[str, str], body: bytes
    ) -> None:
        path = f"/v1/queues/{source.queue}/requests"
        record.outcome = "refused"
        for _ in range(_TRIES):
            try:
                status, outcome, data = await self._post(path, headers, body)
            except httpcore.ConnectError:
                record.kind = "connect"
                continue
            except _FAILURES:
                # The entry may have run it; an order may be repeated only under
                # its key or ticket.
                record.outcome, record.kind = "unknown", "connection"
                continue
            self._note(record, outcome, data, body)
            if status not in (429, 503):
                return
            await trio.sleep(0.2)

    def _note(self, record: Record, outcome: str, data: bytes, body: bytes) -> None:
        if outcome == "completed":
            whole = hashlib.sha256(body).hexdigest().encode() + b"\n" + body
            record.outcome, record.kind = "answered", ""
            record.wrong_answer = data != whole
            return
        kind = str(json.loads(data).get("kind", ""))
        if outcome == "not_run" and record.outcome != "unknown":
            record.outcome, record.kind = "refused", kind
        elif outcome != "not_run":
            record.outcome, record.kind = "unknown", kind

    async def _post(
        self, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, str, bytes]:
        entry = self._rng.choice(self.ready or list(self._fleet.http))
        response = await self._pools[entry].request(
            "POST",
            f"http://{self._fleet.http[entry]}{path}",
            headers=list(headers.items()),
            content=body,
            extensions={"timeout": _timeouts(15.0)},
        )
        fields = {k.decode().lower(): v.decode() for k, v in response.headers}
        return (
            response.status,
            fields.get("apricotgap-outcome", "not_run"),
            response.content,
        )

    def kinds(self) -> Counter[str]:
        """Count refusals and unknown outcomes by kind."""
        return Counter(
            f"{r.outcome}:{r.kind}" for r in self.records if r.outcome != "answered"
        )


def _timeouts(read_s: float) -> dict[str, float]:
    return {"connect": 1.0, "read": read_s, "write": 5.0, "pool": 5.0}
