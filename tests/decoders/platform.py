"""Decoders of what the platform and its workers send."""

from typing import Any

import httptools
import trio

from apricotgap.decoding import DecodeError
from apricotgap.jobs.configuration import Configuration, Wave
from apricotgap.jobs.fleet import Machine, WorkerEntry
from apricotgap.jobs.model import JobSpec
from apricotgap.platform import (
    advice,
    configuration_errors,
    machines,
    store,
    store_answers,
    wire,
    workers,
)
from apricotgap.platform import http as platform_http
from apricotgap.platform.call_timer import CallTimer
from apricotgap.platform.job_wire import decode_job
from apricotgap.platform.keys import decode_wave_status
from apricotgap.platform.store import Item, Snapshot, StoreError
from apricotgap.platform.wire import WireError
from apricotgap.platform.workers import PollResponse, WorkerError
from tests.decoders.entry import Decoder
from tests.decoders.one_read import OneRead
from tests.document_strategies import (
    bytes_like,
    json_documents,
)
from tests.jobs_harness import configuration

ID = "a" * 16

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
    "routes": [
        {
            "name": "a",
            "host": "h",
            "prefix": "/p/",
            "service": "s",
            "timeoutMs": 5,
            "slackFactor": 1.5,
        }
    ],
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

PARSER_ERRORS = tuple(
    error
    for error in vars(httptools.parser.errors).values()
    if isinstance(error, type) and issubclass(error, httptools.HttpParserError)
)


def _decode_worker(data: bytes) -> WorkerEntry:
    return wire.decode_worker("i-1", data)


def _decode_submission(data: bytes) -> JobSpec:
    return decode_job(data, ID, configuration().queues[0], "t", 0)


def _parse_write(data: bytes) -> Any:
    return store._parse_write_outcome(412, data)


def _exchange(data: bytes) -> Any:
    async def exchange() -> Any:
        connection = platform_http._Connection(OneRead(data))
        request = b"GET / HTTP/1.1\r\n\r\n"
        return await connection.exchange(request, CallTimer(1_000))

    return trio.run(exchange)


DECODERS = (
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
        (
            "platform.configuration_errors:read_configuration",
            "platform.configuration_errors:_find_field_errors",
        ),
        configuration_errors.read_configuration,
        json_documents(CONFIGURATION),
        configuration_errors.Reading,
        (),
    ),
    Decoder(
        ("platform.wire:decode_wave",),
        wire.decode_wave,
        json_documents(WAVE),
        Wave,
        (WireError,),
    ),
    Decoder(
        ("platform.keys:decode_wave_status",),
        decode_wave_status,
        json_documents({"wave": 3, "state": "succeeded"}),
        bool,
        (DecodeError,),
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
        ("platform.http:_Connection._take",),
        _exchange,
        bytes_like(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            b"HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        ),
        tuple[platform_http.HttpResponse, bool],
        (ConnectionResetError, *PARSER_ERRORS),
    ),
)
