"""Decoding of the answers of the platform's key-value store."""

from base64 import b64decode
from typing import Annotated, TypeVar

import msgspec
import structlog

from apricotgap.decoding import DecodeError, decode_json
from apricotgap.platform.store_types import Item, Snapshot, StoreError

__all__ = [
    "decode_changes",
    "decode_item",
    "decode_lease",
    "decode_page",
    "decode_revision",
]

_T = TypeVar("_T")
_Revision = Annotated[int, msgspec.Meta(ge=0)]


class _Item(msgspec.Struct):
    key: str
    revision: _Revision = 0
    value: str | None = None
    created: _Revision = 0
    tombstone: bool = False

    def item(self) -> Item:
        if self.tombstone or self.value is None:
            return Item(self.key, None, self.revision)
        return Item(self.key, self._bytes(self.value), self.revision, self.created)

    def _bytes(self, text: str) -> bytes:
        try:
            return b64decode(text)
        except ValueError as error:
            # The key exists. Readers of its value report an empty one as unreadable.
            structlog.get_logger().error(
                "store_value_unreadable", key=self.key, error=str(error)
            )
            return b""


class _Page(msgspec.Struct, rename={"has_more": "hasMore"}):
    at: _Revision = 0
    items: list[_Item] = []
    has_more: bool = False


class _Changes(msgspec.Struct):
    at: _Revision
    events: list[_Item] = []


class _RevisionBody(msgspec.Struct):
    revision: _Revision


class _LeaseBody(msgspec.Struct, rename={"ttl_ms": "ttlMs"}):
    ttl_ms: Annotated[int, msgspec.Meta(ge=0)]
    lease: int = 0


_ITEM_DECODER = msgspec.json.Decoder(_Item)
_PAGE_DECODER = msgspec.json.Decoder(_Page)
_CHANGES_DECODER = msgspec.json.Decoder(_Changes)
_REVISION_DECODER = msgspec.json.Decoder(_RevisionBody)
_LEASE_DECODER = msgspec.json.Decoder(_LeaseBody)


def decode_item(body: bytes) -> Item:
    """Decode one key.

    Raises
    ------
    StoreError
        The answer is malformed, as for all functions of this module.
    """
    return _decode(_ITEM_DECODER, body).item()


def decode_page(body: bytes) -> tuple[Snapshot, bool]:
    """Decode one page of keys, and whether there are more pages."""
    page = _decode(_PAGE_DECODER, body)
    items = tuple(wire.item() for wire in page.items)
    return Snapshot(items, page.at), page.has_more


def decode_changes(body: bytes) -> Snapshot:
    """Decode the changes that a watch has seen, and how far it has come."""
    changes = _decode(_CHANGES_DECODER, body)
    return Snapshot(tuple(wire.item() for wire in changes.events), changes.at)


def decode_revision(body: bytes) -> int:
    """Decode the revision at which a transaction was committed."""
    return _decode(_REVISION_DECODER, body).revision


def decode_lease(body: bytes) -> tuple[int, int]:
    """Decode the id of a lease and its TTL in milliseconds."""
    wire = _decode(_LEASE_DECODER, body)
    if wire.lease <= 0:
        raise StoreError("malformed response: no id of a lease")
    return wire.lease, wire.ttl_ms


def _decode(decoder: "msgspec.json.Decoder[_T]", body: bytes) -> _T:
    try:
        return decode_json(body, decoder)
    except DecodeError as error:
        raise StoreError(f"malformed response: {error}") from error
