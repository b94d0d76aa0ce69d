"""Decoders of the core's documents and messages."""

from dataclasses import replace
from typing import Any

import cbor2
import msgspec

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
from apricotgap.drivers import peer_codec
from apricotgap.errors import (
    ConflictError,
    ValidationError,
)
from apricotgap.model import Intent, Plan, Pool, Step, StepKind
from apricotgap.model.ledger import DataCentreLedger, FleetLedger
from apricotgap.model.peers import ClaimAnswer, ConfigParts, Heartbeat, Usage
from tests.decoders.entry import Decoder
from tests.document_strategies import (
    Inputs,
    cbor_documents,
    json_documents,
    texts,
    values,
)

PEER_MESSAGES = (
    Heartbeat("1", 2, 3, relayed_acks={"a": 1}),
    Usage({"a": 1}, {"a": 1}, {"a": 1}),
    ClaimAnswer("c", "running", 200, b"x"),
    ConfigParts({"h": b"x"}),
    peer_codec.Hello("e", "i", "d", b"n", b"m"),
)

LEDGER = {"writer": "w", "teams": {"t": {"d": {"n": 1, "basis": 2}}}}

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
    plan = {"p": replace(SAMPLE_PLAN, steps=())}
    plan_digest, plan_blob = part_codec.encode_part("plans/p", plan, 1, frozenset())
    digest = config_codec.sha256_hex(blob)
    root = config_codec.Root(1, {"steps/0/p": digest, "plans/p": plan_digest})
    blobs = {digest: blob, plan_digest: plan_blob}
    return config_codec.decode_snapshot(root, blobs, config_codec.Snapshot())


def _decode_part(data: bytes) -> Any:
    return part_codec.decode_part(PART_NAME, data)


def _arguments(document: Any) -> Any:
    arguments = Arguments(document, ("name", "labels", "if_revision"))
    return [
        arguments.name("name"),
        arguments.mapping("labels"),
        arguments.revision(),
    ]


def _decode_plan(data: bytes) -> Plan:
    return operator_intents._decode(KeyValue("plans/p", data, 1))


DECODERS = (
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
    Decoder(
        ("core.arguments:Arguments.mapping", "core.arguments:convert"),
        _arguments,
        Inputs(
            values({"name": "a", "labels": {"a": "b"}, "if_revision": 1}).random.filter(
                lambda value: (
                    isinstance(value, dict)
                    and all(isinstance(key, str) for key in value)
                )
            )
        ),
        list,
        (ValidationError,),
    ),
    Decoder(
        ("core.tickets:parse",),
        tickets.parse,
        texts("e1.1.2.mac"),
        tickets.ParsedTicket | None,
        (),
    ),
    Decoder(
        ("core.operator_intents:_decode",),
        _decode_plan,
        json_documents(msgspec.to_builtins(SAMPLE_PLAN)),
        Plan,
        (ConflictError,),
    ),
)
