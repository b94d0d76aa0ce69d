"""Decoders of requests, responses, settings and log files."""

from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from hypothesis import strategies as st

from apricotgap import client, explain
from apricotgap.drivers import etcd_store, http, operators, request_headers
from apricotgap.drivers.http_exchange import HttpExchange, RequestError
from apricotgap.drivers.store_api import StoreCallError
from apricotgap.errors import (
    ApricotgapError,
    UnavailableError,
    ValidationError,
)
from apricotgap.model import Request
from apricotgap.settings import check_settings
from tests.decoders.entry import Decoder
from tests.decoders.one_read import OneRead, finish
from tests.document_strategies import (
    Inputs,
    bytes_like,
    json_documents,
    texts,
)

HEADERS = {
    "apricotgap-priority": "urgent",
    "apricotgap-idempotent": "true",
    "idempotency-key": "k",
    "apricotgap-cpu-milli": "5",
    "apricotgap-max-wait-ms": "9",
    "authorization": "Bearer k",
}

MAX_HEAD_BYTES = 65_536
SETTINGS = Path("examples/bogenwerk/entry.yaml").read_bytes()


def _parse_request(headers: dict[str, str]) -> Request:
    return request_headers.parse_request("r", "q", headers, b"x")


def _parse_number(text: str) -> int:
    return http.parse_number(text, 7)


def _headers_of(pairs: list) -> dict[str, str]:
    return http.headers_of({"headers": pairs})


def _parse_response(data: bytes) -> dict:
    return client._parse_response("e", 200, data)


def _parse_error(data: bytes) -> dict:
    return client._parse_response("e", 400, data)


def _parse_log(data: bytes) -> list:
    return list(explain._parse_lines([data.decode("utf-8", "replace")]))


def _check_settings(data: bytes) -> Any:
    return check_settings(data.decode("utf-8", "replace"))


def _changes(data: bytes) -> list:
    async def read() -> list:
        async def lines() -> AsyncIterator[bytes]:
            yield data

        changes = etcd_store._changes(lines())
        return [items async for items in changes]

    return finish(read())


def _receive_request(data: bytes) -> str:
    exchange = HttpExchange(OneRead(data), MAX_HEAD_BYTES)
    finish(exchange.receive_head())
    if exchange.scope is None:
        return ""
    http.headers_of(exchange.scope)
    while finish(exchange.receive()).get("more_body"):
        pass
    return exchange.scope["path"]


DECODERS = (
    Decoder(
        ("drivers.operators:_decode",),
        operators._decode,
        json_documents({"name": "a", "labels": {"a": "b"}}),
        dict,
        (ValidationError,),
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
        Inputs(
            st.dictionaries(
                st.sampled_from(sorted(HEADERS)),
                texts(*sorted(HEADERS.values())).random,
            )
        ),
        Request,
        (ValidationError,),
    ),
    Decoder(
        ("drivers.http:headers_of",),
        _headers_of,
        Inputs(
            st.lists(
                st.tuples(bytes_like(b"Host").random, bytes_like(b"h:80").random),
                max_size=3,
            )
        ),
        dict[str, str],
        (),
    ),
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
        ("settings_file:check_document",),
        _check_settings,
        bytes_like(
            SETTINGS, b"? [a]\n: b\n", b"a: 2001-99-99\n", b"a: &a [*a]\n", b"a: 0b\n"
        ),
        Any,
        (),
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
