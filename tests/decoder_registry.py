"""All decoders of the package: their input, what they return and what they raise.

A new decoder gets an entry here: `tests/test_decoder_fuzz.py` finds the functions that
decode and fails for one that no entry covers.
"""

from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import cbor2
import httptools
import msgspec
from hypothesis import strategies as st

from apricotgap import client, explain
from apricotgap.core import (
    claim_document,
    config_codec,
    grants,
    ledger_codec,
    operator_intents,
    part_codec,
    registration,
    tickets,
)
from apricotgap.core.arguments import Arguments
from apricotgap.core.claim_document import ClaimDocument
from apricotgap.core.events import KeyValue
from apricotgap.decoding import DecodeError
from apricotgap.drivers import etcd_store, http, operators, peer_codec, request_headers
from apricotgap.drivers.http_exchange import HttpExchange, RequestError
from apricotgap.drivers.store_api import StoreCallError
from apricotgap.errors import (
    ApricotgapError,
    ConflictError,
    UnavailableError,
    ValidationError,
)
from apricotgap.instance import keys, peer_documents, pool_reports, roster
from apricotgap.instance.fleet_order_store import decode_orders
from apricotgap.instance.fleet_owner import decode_wave_progress
from apricotgap.jobs import documents
from apricotgap.jobs.configuration import Configuration, Wave
from apricotgap.jobs.documents import DocumentError, Progress, TaskRecord
from apricotgap.jobs.fleet import Machine, WorkerEntry
from apricotgap.jobs.fleet_view import PoolReport
from apricotgap.jobs.model import JobPhase, JobSpec, Resources, StepSpec, TaskName
from apricotgap.jobs.service import CancelResult, SubmitOutcome
from apricotgap.model import Intent, Plan, Pool, Request, Step, StepKind
from apricotgap.model.ledger import DataCentreLedger, FleetLedger
from apricotgap.model.peers import ClaimAnswer, ConfigParts, Heartbeat, Usage
from apricotgap.platform import advice, machines, store, store_answers, wire, workers
from apricotgap.platform import http as platform_http
from apricotgap.platform.job_wire import decode_job
from apricotgap.platform.store import Item, Snapshot, StoreError
from apricotgap.platform.wire import WireError
from apricotgap.platform.workers import PollResponse, WorkerError
from apricotgap.settings import check_settings
from tests.document_strategies import (
    bytes_like,
    cbor_documents,
    json_documents,
    texts,
    values,
)
from tests.jobs_harness import configuration, job

ID = "a" * 16
MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True)
class Decoder:
    """A decoder and what its callers rely on.

    Parameters
    ----------
    covers : tuple of str
        The functions that an example runs, as ``module:function``.
    decode : callable
        Called with an input.
    inputs : SearchStrategy
        Sound and odd inputs.
    returns : type
        Type of what it returns, with all that is in it.
    errors : tuple of type
        The errors that it may raise, not their subclasses.
    max_error_chars : int
        Longest message of an error; it reaches logs and must not repeat the input.
    """

    covers: tuple[str, ...]
    decode: Callable[[Any], Any]
    inputs: st.SearchStrategy
    returns: Any
    errors: tuple[type[Exception], ...]
    max_error_chars: int = 600


def row(*fields: Any) -> list:
    """Return a sample of a CBOR row."""
    return list(fields)


SAMPLE_JOB = job(
    ID, (StepSpec(2, Resources(1, 2, 3), 9), StepSpec(1, Resources(1), 9, (0,)))
)
SAMPLE_PROGRESS = Progress(
    JobPhase.RUNNING, {TaskName(ID, 0, 0, 1): TaskRecord(True, [3], "c", 1, 1)}
)
WORKER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "state": "ready",
    "freeCapacity": {"cpu": 1, "memMb": 2, "gpus": 3},
    "zone": "a",
    "machine": "m",
    "labels": ["k"],
    "born": 5,
}
CONFIGURATION = {
    "version": 4,
    "routes": [{"name": "a", "host": "h", "prefix": "/p/", "service": "s"}],
    "services": [{"name": "s", "admissionCheck": True}],
    "tenants": [{"name": "t", "apiKeys": ["k"], "weight": 2, "maxCount": {"cpu": 1}}],
}
WAVE = {"wave": 3, "machines": ["m"], "durationS": 2.5, "maxCount": 4}
MACHINES = {
    "machines": [{"machine": "m", "pool": "s", "state": "up", "id": "i"}],
    "nextPageToken": "2",
}
JOB = {
    "spec": "x",
    "steps": [{"count": 1, "cpu": 1}, {"count": 2, "after": [0], "gang": True}],
    "repeatCount": 2,
    "intervalMs": 5,
}
POLL = {
    "clockMs": 5,
    "born": 1,
    "running": [["a.0.1.2", 3, "saved", 40, 2.5]],
    "finished": [[7, "c.0.0.1", 2, "done", ""]],
}
ITEM = {"key": "k", "revision": 3, "value": "eA==", "created": 1}
HEADERS = {
    "apricotgap-priority": "urgent",
    "apricotgap-idempotent": "true",
    "idempotency-key": "k",
    "apricotgap-cpu-milli": "5",
    "apricotgap-max-wait-ms": "9",
    "authorization": "Bearer k",
}
PEER_MESSAGES = (
    Heartbeat("1", 2, 3, relayed_acks={"a": 1}),
    Usage({"a": 1}, {"a": 1}, {"a": 1}),
    ClaimAnswer("c", "running", 200, b"x"),
    ConfigParts({"h": b"x"}),
    peer_codec.Hello("e", "i", "d", b"n", b"m"),
)
LEDGER = {"writer": "w", "teams": {"t": {"d": {"n": 1, "basis": 2}}}}
SETTINGS = Path("examples/bogenwerk/entry.yaml").read_bytes()
PARSER_ERRORS = tuple(
    error
    for error in vars(httptools.parser.errors).values()
    if isinstance(error, type) and issubclass(error, httptools.HttpParserError)
)
SAMPLE_PLAN = Plan(
    "p",
    Intent("drain_rack", "r", {"a": "b"}),
    1,
    (Step(0, StepKind.MOVE, "i1", "p", 0, ("b",), "none"),),
)
POOLS = {name: Pool(name, False, 0) for name in ("p", "q")}
PART_NAME = config_codec.part_name("pools", "p", POOLS["p"])


def _sample_part() -> Any:
    group = {"p": POOLS["p"]}
    return cbor2.loads(part_codec.encode_part(PART_NAME, group, 1, frozenset())[1])


def _sample_steps() -> Any:
    group = {
        "0": Step(0, StepKind.MOVE, "i1", "p", 0, ("b",), "none"),
        "1": Step(1, StepKind.MOVE, "i2", "p", 0, ("b",), "none"),
    }
    return cbor2.loads(part_codec.encode_part("steps/0/p", group, 1, frozenset())[1])


def _decode_snapshot(blob: bytes) -> Any:
    digest = config_codec.sha256_hex(blob)
    root = config_codec.Root(1, {"steps/0/p": digest})
    blobs = {digest: blob}
    return config_codec.decode_snapshot(root, blobs, config_codec.Snapshot())


def _decode_worker(data: bytes) -> WorkerEntry:
    return wire.decode_worker("i-1", data)


def _decode_submission(data: bytes) -> JobSpec:
    return decode_job(data, ID, configuration().queues[0], "t", 0)


def _decode_job_progress(data: bytes) -> Progress:
    return documents.decode_progress(ID, data)


def _decode_roster(data: bytes) -> Any:
    return roster.decode_roster("s", data)


def _decode_epoch(data: bytes) -> int:
    return keys.decode_epoch(Item("epochs/s", data, 1))


def _parse_write(data: bytes) -> Any:
    return store._parse_write_outcome(412, data)


def _decode_part(data: bytes) -> Any:
    return part_codec.decode_part(PART_NAME, data)


def _parse_request(headers: dict[str, str]) -> Request:
    return request_headers.parse_request("r", "q", headers, b"x")


def _parse_number(text: str) -> int:
    return http.parse_number(text, 7)


def _headers_of(pairs: list) -> dict[str, str]:
    return http.headers_of({"headers": pairs})


def _arguments(document: Any) -> Any:
    arguments = Arguments(document, ("name", "labels", "if_revision"))
    return [
        arguments.name("name"),
        arguments.mapping("labels"),
        arguments.revision(),
    ]


def _parse_response(data: bytes) -> dict:
    return client._parse_response("e", 200, data)


def _parse_error(data: bytes) -> dict:
    return client._parse_response("e", 400, data)


def _parse_log(data: bytes) -> list:
    return list(explain._parse_lines([data.decode("utf-8", "replace")]))


def _check_settings(data: bytes) -> Any:
    return check_settings(data.decode("utf-8", "replace"))


def _decode_plan(data: bytes) -> Plan:
    return operator_intents._decode(KeyValue("plans/p", data, 1))


def _changes(data: bytes) -> list:
    async def read() -> list:
        async def lines() -> AsyncIterator[bytes]:
            yield data

        changes = etcd_store._changes(lines())
        return [items async for items in changes]

    return finish(read())


class OneRead:
    """A socket and a stream from which one piece of data arrives."""

    def __init__(self, data: bytes) -> None:
        self.pieces = [data]
        self.socket = self

    async def send(self, data: bytes) -> int:
        """Take all data."""
        return len(data)

    async def recv(self, _n_bytes: int) -> bytes:
        """Return the piece, then the end."""
        return self.pieces.pop() if self.pieces else b""

    send_all = send
    receive_some = recv

    def getpeername(self) -> tuple[str, int]:
        """Return an address."""
        return "10.0.0.1", 1

    getsockname = getpeername


def finish(call: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that waits for nothing."""
    try:
        call.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine waits")


def _exchange(data: bytes) -> Any:
    connection = platform_http._Connection(OneRead(data))
    return finish(connection.exchange(b"GET / HTTP/1.1\r\n\r\n"))


def _receive_request(data: bytes) -> str:
    exchange = HttpExchange(OneRead(data), MAX_HEAD_BYTES)
    finish(exchange.receive_head())
    if exchange.scope is None:
        return ""
    http.headers_of(exchange.scope)
    while finish(exchange.receive()).get("more_body"):
        pass
    return exchange.scope["path"]


JSON_DECODERS = (
    Decoder(
        ("platform.wire:decode_worker", "platform.wire:decode"),
        _decode_worker,
        json_documents(WORKER),
        WorkerEntry,
        (WireError,),
    ),
    Decoder(
        ("platform.wire:decode_configuration",),
        wire.decode_configuration,
        json_documents(CONFIGURATION),
        Configuration,
        (WireError,),
    ),
    Decoder(
        ("platform.wire:decode_wave",),
        wire.decode_wave,
        json_documents(WAVE),
        Wave,
        (WireError,),
    ),
    Decoder(
        ("platform.wire:decode_machines", "platform.wire:_decode_machine"),
        wire.decode_machines,
        json_documents(MACHINES),
        tuple[list[Machine], str],
        (WireError,),
    ),
    Decoder(
        ("platform.job_wire:decode_job",),
        _decode_submission,
        json_documents(JOB),
        JobSpec,
        (WireError,),
    ),
    Decoder(
        ("platform.workers:decode_poll",),
        workers.decode_poll,
        json_documents(POLL),
        PollResponse,
        (WorkerError,),
    ),
    Decoder(
        ("platform.workers:_decode_outcome",),
        workers._decode_outcome,
        json_documents({"clockMs": 5, "reason": "busy"}),
        workers._OutcomeBody,
        (),
    ),
    Decoder(
        ("platform.machines:_conflict_reason",),
        machines._conflict_reason,
        json_documents({"reason": "busy"}),
        str,
        (),
    ),
    Decoder(
        ("platform.advice:decode_approval",),
        advice.decode_approval,
        json_documents({"approved": [["w", "t"]], "validityMs": 5}),
        advice._Approval,
        (advice.AdviceError,),
    ),
    Decoder(
        (
            "platform.store_answers:decode_item",
            "platform.store_answers:_decode",
            "platform.store_answers:_Item._bytes",
        ),
        store_answers.decode_item,
        json_documents(ITEM),
        Item,
        (StoreError,),
    ),
    Decoder(
        ("platform.store_answers:decode_page",),
        store_answers.decode_page,
        json_documents({"at": 3, "items": [ITEM], "hasMore": False}),
        tuple[Snapshot, bool],
        (StoreError,),
    ),
    Decoder(
        ("platform.store_answers:decode_changes",),
        store_answers.decode_changes,
        json_documents({"at": 3, "events": [ITEM | {"tombstone": True}]}),
        Snapshot,
        (StoreError,),
    ),
    Decoder(
        ("platform.store_answers:decode_revision",),
        store_answers.decode_revision,
        json_documents({"revision": 3}),
        int,
        (StoreError,),
    ),
    Decoder(
        ("platform.store_answers:decode_lease",),
        store_answers.decode_lease,
        json_documents({"ttlMs": 3, "lease": 4}),
        tuple[int, int],
        (StoreError,),
    ),
    Decoder(
        ("platform.store:_parse_write_outcome", "platform.store:StoreClient.write"),
        _parse_write,
        json_documents({"at": 3, "items": [ITEM]}),
        store.Conflict,
        (StoreError,),
    ),
    Decoder(
        ("core.claim_document:ClaimDocument.decode",),
        ClaimDocument.decode,
        json_documents({"claimant": "a.b.1", "digest": "d", "status": 200}),
        claim_document.ClaimDocument | None,
        (),
    ),
    Decoder(
        ("core.grants:decode_grants",),
        grants.decode_grants,
        json_documents({"epoch": 1, "instances": {"i": {"plan_id": "p"}}}),
        grants.Grants,
        (ValidationError,),
    ),
    Decoder(
        ("drivers.operators:_decode",),
        operators._decode,
        json_documents({"name": "a", "labels": {"a": "b"}}),
        dict,
        (ValidationError,),
    ),
)

CBOR_DECODERS = (
    Decoder(
        ("jobs.documents:decode_job", "jobs.documents:_decode"),
        documents.decode_job,
        cbor_documents(cbor2.loads(documents.encode_job(SAMPLE_JOB))),
        JobSpec,
        (DocumentError,),
    ),
    Decoder(
        ("jobs.documents:decode_progress",),
        _decode_job_progress,
        cbor_documents(cbor2.loads(documents.encode_progress(SAMPLE_PROGRESS))),
        Progress,
        (DocumentError,),
    ),
    Decoder(
        ("jobs.documents:decode_split",),
        documents.decode_split,
        cbor_documents([1, {"s": [1, 2, 3]}]),
        dict[str, Resources],
        (DocumentError,),
    ),
    Decoder(
        ("instance.keys:decode_member",),
        keys.decode_member,
        cbor_documents(row("n", "i", "10.0.0.1:1", "a", 1_000)),
        keys.Member,
        (DecodeError,),
    ),
    Decoder(
        ("instance.keys:decode_owner",),
        keys.decode_owner,
        cbor_documents(row("n", "i", "10.0.0.1:1", 4)),
        keys.Owner,
        (DecodeError,),
    ),
    Decoder(
        ("instance.roster:decode_roster", "instance.roster:_decode_entry"),
        _decode_roster,
        cbor_documents([row("w", "10.0.0.1:80", "m", ["k"], 1, [1, 2, 3])]),
        tuple[list[WorkerEntry], list[DecodeError]],
        (DecodeError,),
    ),
    Decoder(
        ("instance.roster:decode_settled",),
        roster.decode_settled,
        cbor_documents([row("w", 1)]),
        set[tuple[str, int]],
        (DecodeError,),
    ),
    Decoder(
        ("instance.fleet_order_store:decode_orders",),
        decode_orders,
        cbor_documents(["m1", "m2"]),
        frozenset[str],
        (DecodeError,),
    ),
    Decoder(
        ("instance.fleet_owner:decode_wave_progress",),
        decode_wave_progress,
        cbor_documents(["m1", "m2"]),
        tuple[str, ...],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_call",),
        peer_documents.decode_call,
        cbor_documents(row(1, "phase", ["s", "a", 5])),
        tuple[int, str, Any],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_answer",),
        peer_documents.decode_answer,
        cbor_documents(row(1, ["ok", None])),
        tuple[int, Any],
        (DecodeError,),
    ),
    Decoder(
        ("drivers.peer_codec:decode",),
        peer_codec.decode,
        cbor_documents(*(cbor2.loads(peer_codec.encode(m)) for m in PEER_MESSAGES)),
        peer_codec.Message,
        (
            peer_codec.MalformedMessage,
            peer_codec.UnknownType,
            peer_codec.UnknownVersion,
        ),
    ),
    Decoder(
        ("core.registration:decode_member",),
        registration.decode_member,
        cbor_documents({"entry": "e", "incarnation": "1", "data_centre": "d"}),
        registration.Member | None,
        (),
    ),
    Decoder(
        ("core.ledger_codec:decode_fleet", "core.ledger_codec:_decode"),
        ledger_codec.decode_fleet,
        cbor_documents(LEDGER),
        FleetLedger,
        (ValidationError,),
    ),
    Decoder(
        ("core.ledger_codec:decode_ledger",),
        ledger_codec.decode_ledger,
        cbor_documents(
            {
                "writer": "w",
                "teams": {
                    "t": {
                        "cap": {"n": 1, "basis": 2},
                        "rows": {"e": {"n": 1, "basis": 2}},
                    }
                },
            }
        ),
        DataCentreLedger,
        (ValidationError,),
    ),
    Decoder(
        (
            "core.part_codec:decode_part",
            "core.part_codec:loads",
            "core.part_codec:convert",
        ),
        _decode_part,
        cbor_documents(_sample_part()),
        dict[str, Pool],
        (ValidationError,),
    ),
    Decoder(
        ("core.config_codec:decode_root",),
        config_codec.decode_root,
        cbor_documents(
            {
                "revision": 1,
                "parts": {"pools/1": b"x" * 32},
                "author": "a",
                "earlier_authors": ["b"],
                "superseded": [b"y" * 32],
            }
        ),
        config_codec.Root,
        (ValidationError,),
    ),
    Decoder(
        ("core.config_codec:decode_snapshot",),
        _decode_snapshot,
        cbor_documents(_sample_steps()),
        config_codec.Snapshot,
        (ValidationError,),
    ),
)

VALUE_DECODERS = (
    Decoder(
        ("instance.peer_documents:decode_owner_call",),
        peer_documents.decode_owner_call,
        values(row("s", "a", 5)),
        tuple[str, Any, int],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_report_call",),
        peer_documents.decode_report_call,
        values(row(["w"], ["v"], 5)),
        tuple[list[str], list[str], int],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_relay_call",),
        peer_documents.decode_relay_call,
        values(row(["s", "a"], 5)),
        tuple[Any, int],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_relayed_names",),
        peer_documents.decode_relayed_names,
        values(row("s", "a")),
        tuple[str, str],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_outcome",),
        peer_documents.decode_outcome,
        values(row("accepted", 1, "")) | st.sampled_from(["accepted", "x"]),
        SubmitOutcome,
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_phase",),
        peer_documents.decode_phase,
        values("running", None),
        JobPhase | None,
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_cancel_result",),
        peer_documents.decode_cancel_result,
        values("DONE", "UNKNOWN"),
        CancelResult,
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_count",),
        peer_documents.decode_count,
        values(5),
        int,
        (DecodeError,),
    ),
    Decoder(
        ("instance.pool_reports:decode_pool_report",),
        pool_reports.decode_pool_report,
        values(
            {"wanted": 1, "workers": [["w", 1, 0, True, False, True]]},
            [1, [["w", 1, 0, True, False]]],
        ),
        PoolReport,
        (DecodeError,),
    ),
    Decoder(
        ("core.arguments:Arguments.mapping", "core.arguments:convert"),
        _arguments,
        values({"name": "a", "labels": {"a": "b"}, "if_revision": 1}).filter(
            lambda value: (
                isinstance(value, dict) and all(isinstance(key, str) for key in value)
            )
        ),
        list,
        (ValidationError,),
    ),
)

TEXT_DECODERS = (
    Decoder(
        ("instance.keys:decode_epoch",),
        _decode_epoch,
        bytes_like(b"12"),
        int,
        (DecodeError,),
    ),
    Decoder(
        ("instance.keys:decode_service",),
        keys.decode_service,
        bytes_like(b"bakery", "bäckerei".encode()),
        str,
        (DecodeError,),
    ),
    Decoder(
        ("jobs.model:TaskName.parse",),
        TaskName.parse,
        texts("a.0.1.2"),
        TaskName,
        (ValueError,),
    ),
    Decoder(
        ("core.tickets:parse",),
        tickets.parse,
        texts("e1.1.2.mac"),
        tickets.ParsedTicket | None,
        (),
    ),
    Decoder(
        ("drivers.http:parse_number",),
        _parse_number,
        texts("120"),
        int,
        (),
    ),
    Decoder(
        (
            "drivers.request_headers:parse_request",
            "drivers.request_headers:_parse_choice",
            "drivers.request_headers:_parse_int",
            "drivers.request_headers:_parse_text",
        ),
        _parse_request,
        st.dictionaries(
            st.sampled_from(sorted(HEADERS)), texts(*sorted(HEADERS.values()))
        ),
        Request,
        (ValidationError,),
    ),
    Decoder(
        ("drivers.http:headers_of",),
        _headers_of,
        st.lists(st.tuples(bytes_like(b"Host"), bytes_like(b"h:80")), max_size=3),
        dict[str, str],
        (),
    ),
)

LIBRARY_DECODERS = (
    Decoder(
        ("client:_parse_response",),
        _parse_response,
        json_documents({"revision": 1}),
        dict,
        (UnavailableError,),
    ),
    Decoder(
        ("client:_parse_response",),
        _parse_error,
        json_documents({"kind": "invalid", "message": "m", "remedy": "r"}),
        dict,
        (UnavailableError, ValidationError, ApricotgapError),
        max_error_chars=5_000,
    ),
    Decoder(
        ("explain:_parse_lines",),
        _parse_log,
        json_documents({"timestamp": "2026-01-01T00:00:00Z", "event": "call"}),
        list[tuple[float, dict[str, Any]]],
        (),
    ),
    Decoder(
        ("settings:check_settings",),
        _check_settings,
        bytes_like(
            SETTINGS, b"? [a]\n: b\n", b"a: 2001-99-99\n", b"a: &a [*a]\n", b"a: 0b\n"
        ),
        Any,
        (),
    ),
    Decoder(
        ("core.operator_intents:_decode",),
        _decode_plan,
        json_documents(msgspec.to_builtins(SAMPLE_PLAN)),
        Plan,
        (ConflictError,),
    ),
    Decoder(
        (
            "drivers.etcd_store:_watch_result",
            "drivers.etcd_store:_key_value",
        ),
        _changes,
        json_documents(
            {
                "result": {
                    "events": [
                        {"kv": {"key": "YQ==", "value": "Yg==", "mod_revision": "1"}}
                    ]
                }
            }
        ),
        list,
        (StoreCallError,),
    ),
    Decoder(
        ("platform.http:_Connection.exchange",),
        _exchange,
        bytes_like(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            b"HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        ),
        tuple[platform_http.HttpResponse, bool],
        (ConnectionResetError, *PARSER_ERRORS),
    ),
    Decoder(
        (
            "drivers.http_exchange:HttpExchange._next_event",
            "drivers.http_exchange:HttpExchange._scope_of",
            "drivers.http:headers_of",
        ),
        _receive_request,
        bytes_like(
            b"POST /p/%41 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok",
            b"GET http://h/p?q HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
            b"PUT * HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx",
        ),
        str,
        (RequestError,),
    ),
)

DECODERS = (
    *JSON_DECODERS,
    *CBOR_DECODERS,
    *VALUE_DECODERS,
    *TEXT_DECODERS,
    *LIBRARY_DECODERS,
)

# Functions that decode and have no entry, and why.
WITHOUT_ENTRY = {
    "core.object_kinds:ObjectKind.put": "converts what `Arguments` has checked",
    "core.operator_objects:Apply.run": "converts what `Arguments` has checked",
    "core.runner_role:_role_read": "a step of the reducer; decodes by `decode_json`",
    "drivers.backends:BackendDriver._get": "a call; its readers catch each error",
    "drivers.etcd_store:EtcdStore._post": "a call; decodes by `decode_json`",
    "drivers.http_exchange:HttpExchange.finish_request": "reads on in a request",
    "drivers.instances:InstancesDriver._read": "a call; decodes by `decode_json`",
    "platform.settings:load_platform_settings": "tests/test_platform_settings.py",
    "instance.owner_calls:OwnerCalls._execute": "converts one text or bytes",
    "cli.objects:_apply": "a file of the operator who runs the command",
    "decoding:convert": "what all decoders use",
    "decoding:decode_cbor": "what all decoders use",
    "decoding:decode_json": "what all decoders use",
}
