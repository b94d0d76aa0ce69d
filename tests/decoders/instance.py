"""Decoders of the records and calls of instances."""

from typing import Any

import cbor2

from apricotgap.decoding import DecodeError
from apricotgap.instance import keys, peer_documents, pool_reports, roster
from apricotgap.instance.fleet_order_store import decode_orders
from apricotgap.instance.wave_store import decode_wave_progress
from apricotgap.jobs import documents
from apricotgap.jobs.documents import DocumentError, Progress, TaskRecord
from apricotgap.jobs.fleet import WorkerEntry
from apricotgap.jobs.fleet_view import PoolReport, ReportRequest
from apricotgap.jobs.model import JobPhase, JobSpec, Resources, StepSpec, TaskName
from apricotgap.jobs.service import CancelResult, SubmitOutcome
from apricotgap.platform.store import Item
from tests.decoders.entry import Decoder
from tests.document_strategies import (
    bytes_like,
    cbor_documents,
    texts,
    values,
)
from tests.jobs_harness import job

ID = "a" * 16


SAMPLE_JOB = job(
    ID, (StepSpec(2, Resources(1, 2, 3), 9), StepSpec(1, Resources(1), 9, (0,)))
)

SAMPLE_PROGRESS = Progress(
    JobPhase.RUNNING, {TaskName(ID, 0, 0, 1): TaskRecord(True, [3], "c", 1, 1)}
)


def _decode_job_progress(data: bytes) -> Progress:
    return documents.decode_progress(ID, data)


def _decode_roster(data: bytes) -> Any:
    return roster.decode_roster("s", data)


def _decode_epoch(data: bytes) -> int:
    return keys.decode_epoch(Item("epochs/s", data, 1))


DECODERS = (
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
        cbor_documents(["n", "i", "10.0.0.1:1", "a", 1_000]),
        keys.Member,
        (DecodeError,),
    ),
    Decoder(
        ("instance.keys:decode_owner",),
        keys.decode_owner,
        cbor_documents(["n", "i", "10.0.0.1:1", 4]),
        keys.Owner,
        (DecodeError,),
    ),
    Decoder(
        ("instance.keys:decode_refusal",),
        keys.decode_refusal,
        cbor_documents([4, 3_000, 1]),
        keys.Refusal,
        (DecodeError,),
    ),
    Decoder(
        ("instance.keys:decode_teams",),
        keys.decode_teams,
        cbor_documents(["t", "u"]),
        frozenset[str],
        (DecodeError,),
    ),
    Decoder(
        ("instance.roster:decode_roster", "instance.roster:_decode_entry"),
        _decode_roster,
        cbor_documents([["w", "10.0.0.1:80", "m", ["k"], 1, [1, 2, 3]]]),
        tuple[list[WorkerEntry], list[DecodeError]],
        (DecodeError,),
    ),
    Decoder(
        ("instance.roster:decode_settled",),
        roster.decode_settled,
        cbor_documents([["w", 1]]),
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
        ("instance.wave_store:decode_wave_progress",),
        decode_wave_progress,
        cbor_documents(["m1", "m2"]),
        tuple[str, ...],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_call",),
        peer_documents.decode_call,
        cbor_documents([1, "phase", ["s", "a", 5]]),
        tuple[int, str, Any],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_answer",),
        peer_documents.decode_answer,
        cbor_documents([1, ["ok", None]]),
        tuple[int, Any],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_owner_call",),
        peer_documents.decode_owner_call,
        values(["s", "a", 5]),
        tuple[str, Any, int],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_report_call",),
        peer_documents.decode_report_call,
        values(
            [["w"], ["v"], 5, {"other_use": {"t": 1.5}, "urgent": {"w": 1}}],
            [["w"], ["v"], 5],
        ),
        ReportRequest,
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_relay_call",),
        peer_documents.decode_relay_call,
        values([["s", "a"], 5]),
        tuple[Any, int],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_relayed_names",),
        peer_documents.decode_relayed_names,
        values(["s", "a"]),
        tuple[str, str],
        (DecodeError,),
    ),
    Decoder(
        ("instance.peer_documents:decode_outcome",),
        peer_documents.decode_outcome,
        values(["accepted", 1, ""], "accepted"),
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
            {
                "wanted": 1,
                "workers": [["w", 1, 0, True, False, True]],
                "team_cores": {"t": 1.5},
            },
            {"wanted": 1, "workers": [["w", 1, 0, True, False, True, 900]]},
            [1, [["w", 1, 0, True, False]]],
        ),
        PoolReport,
        (DecodeError,),
    ),
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
)
