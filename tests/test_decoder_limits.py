"""Limits of all documents: their size, their depth and the types in them."""

from typing import Any

import cbor2
import pytest

from apricotgap.decoding import (
    MAX_DOCUMENT_BYTES,
    DecodeError,
    decode_cbor,
    decode_json,
    refused_documents,
)
from apricotgap.drivers import peer_codec
from apricotgap.metrics import Metrics

N_LEVELS = 300
LONG_NUMBER = 10**5_000
# A list that is its only element.
CYCLIC = b"\xd8\x1c\x81\xd8\x1d\x00"
TAGGED = {
    "list that contains itself": CYCLIC,
    "number of 5,000 digits": cbor2.dumps(LONG_NUMBER),
    "decimal fraction": b"\xc4\x82\x21\x19\x6a\xb3",
    "regular expression": b"\xd8\x23\x61a",
    "set": b"\xd9\x01\x02\x80",
    "message": b"\xd8\x24\x62ab",
    "unknown tag": b"\xd9\x07\x08\x01",
}


@pytest.mark.parametrize("data", TAGGED.values(), ids=TAGGED)
def test_cbor_with_tags_is_malformed(data):
    """Guards against types of the library's choice in what peers and the store say."""
    with pytest.raises(DecodeError):
        decode_cbor(data)


def test_cbor_with_maps_as_keys_is_malformed():
    """Guards against keys that no JSON log line and no typed document can hold."""
    with pytest.raises(DecodeError):
        decode_cbor(b"\xa1\xa0\x01")


@pytest.mark.parametrize(
    ("decode", "data"),
    [
        (lambda data: decode_json(data, Any), b"[" * N_LEVELS + b"]" * N_LEVELS),
        (decode_cbor, b"\x81" * N_LEVELS + b"\x01"),
    ],
    ids=["json", "cbor"],
)
def test_depth_is_limited_far_below_the_stack(decode, data):
    """Guards against a document that decodes and overflows the stack of its reader."""
    with pytest.raises(DecodeError):
        decode(data)


@pytest.mark.parametrize("decode", [lambda data: decode_json(data, Any), decode_cbor])
def test_size_is_limited(decode):
    """Guards against a document that takes the memory of the process."""
    with pytest.raises(DecodeError, match="bytes, more than"):
        decode(b"0" * (MAX_DOCUMENT_BYTES + 1))


@pytest.mark.parametrize(
    ("decode", "name"),
    [(lambda data: decode_json(data, Any), "JSON"), (decode_cbor, "CBOR")],
)
def test_refused_documents_are_counted(decode, name):
    """Guards against unreadable records that no counter shows."""
    before = refused_documents().get(name, 0)
    for data in (b"", b"\xff", b"0" * (MAX_DOCUMENT_BYTES + 1)):
        with pytest.raises(DecodeError):
            decode(data)
    decode(b"\x30" if name == "JSON" else b"\x01")
    assert refused_documents()[name] == before + 3
    line = f'apricotgap_documents_refused_total{{format="{name}"}} {before + 3}'
    assert line in Metrics("i").render().splitlines()


@pytest.mark.parametrize("field", ["v", "type"])
def test_long_number_in_a_peer_message_is_a_typed_error(field):
    """Guards against a number that the error of the message can't print."""
    blob = cbor2.dumps({"v": 1, "type": "hello"} | {field: LONG_NUMBER})
    with pytest.raises(peer_codec.MalformedMessage):
        peer_codec.decode(blob)
