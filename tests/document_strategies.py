"""Documents that are nearly sound, and bytes that are none, for the decoders' fuzz."""

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import cbor2
from hypothesis import strategies as st

N_LEVELS = 10_000
# Written as they stand, since no Python value gives them.
ODD_JSON_NUMBERS = (
    "1e400",
    "-1e400",
    "NaN",
    "Infinity",
    "9" * 5_000,
    "1." + "0" * 5_000,
)
ODD_VALUES = (
    *(None, True, False, 0, 1, -1, 65_536, 99_999, 2**31, 2**53, 2**63, -(2**63)),
    *(0.5, 1e300, -1e300, "", "x", "é", "\0", "\ud7ff", "9" * 5_000, "x" * 100_000),
    *("10.0.0.1:99999", "a.0.0.0", "١٢", [], {}, [[]], [None], {"": None}, 10**12),
)
ODD_CBOR_VALUES = (
    *(float("nan"), float("inf"), -float("inf"), b"", b"x", b"\xff" * 100, 10**5_000),
    *(cbor2.undefined, cbor2.CBORTag(1, 0), cbor2.CBORTag(1800, 0), {1: 1}, {b"x": 1}),
)
WHOLE = (
    *(b"", b"\xff\xfe", b"\0", b"null", b"0", b"[]", b"{}", b'""', b"1e400", b"-"),
    *(b"[" * N_LEVELS, b"[" * N_LEVELS + b"]" * N_LEVELS, b'{"a":' * N_LEVELS),
    *(b'{"a":' * N_LEVELS + b"1" + b"}" * N_LEVELS, b"9" * 5_000, b"-" * 5_000),
    *(b"\x81" * N_LEVELS + b"\x01", b"\xa1\x61a" * N_LEVELS + b"\x01", b"\x9b" * 9),
    *(b"\x5b" + b"\x7f" * 8, b"\xd8\x1c\x81\xd8\x1d\x00", b"\xc1" * N_LEVELS),
    cbor2.dumps(10**5_000),
)


class RawJson:
    """Text to be written into a JSON document as it stands."""

    def __init__(self, text: str) -> None:
        self.text = text


def write_json(value: Any) -> bytes:
    """Encode a value, with the raw texts in it."""
    return _write(value).encode("utf-8", "surrogatepass")


def _write(value: Any) -> str:
    if isinstance(value, RawJson):
        return value.text
    if isinstance(value, dict):
        fields = (f"{json.dumps(key)}:{_write(each)}" for key, each in value.items())
        return "{" + ",".join(fields) + "}"
    if isinstance(value, list):
        return "[" + ",".join(map(_write, value)) + "]"
    if isinstance(value, bytes):
        return json.dumps(value.decode("latin-1"))
    return json.dumps(value, ensure_ascii=False)


def paths_of(value: Any, path: tuple = ()) -> list[tuple]:
    """Return the path to each element of nested lists and maps."""
    if not isinstance(value, dict | list):
        return []
    elements = list(value.items() if isinstance(value, dict) else enumerate(value))
    found = [(*path, key) for key, _ in elements]
    for key, inner in elements:
        found += paths_of(inner, (*path, key))
    return found


def copy_of(value: Any) -> Any:
    """Return a copy that shares no list or map with the value."""
    if isinstance(value, dict):
        return {key: copy_of(inner) for key, inner in value.items()}
    if isinstance(value, list | tuple):
        return [copy_of(inner) for inner in value]
    return value


def change(draw: Any, value: Any, odd: st.SearchStrategy) -> Any:
    """Return a copy with one element replaced, removed, repeated or added."""
    value = copy_of(value)
    paths = paths_of(value)
    if not paths:
        return draw(odd)
    path = draw(st.sampled_from(paths))
    inner = value
    for key in path[:-1]:
        inner = inner[key]
    action = draw(st.sampled_from(("replace", "replace", "remove", "add", "nest")))
    if action == "replace":
        inner[path[-1]] = draw(odd)
    elif action == "remove":
        del inner[path[-1]]
    elif action == "nest":
        inner[path[-1]] = [inner[path[-1]]]
    elif isinstance(inner, list):
        inner.append(draw(odd))
    else:
        inner["added"] = draw(odd)
    return value


@st.composite
def damaged(draw: Any, sound: st.SearchStrategy[bytes]) -> bytes:
    """Bytes that are cut, have odd ones among them, or are left as they are."""
    data = draw(sound)
    action = draw(st.sampled_from(("none", "none", "none", "cut", "insert", "repeat")))
    at = draw(st.integers(0, max(0, len(data) - 1)))
    if action == "cut":
        return data[:at]
    if action == "insert":
        return data[:at] + draw(st.binary(max_size=4)) + data[at:]
    return data + data if action == "repeat" else data


@st.composite
def changed(draw: Any, samples: tuple, odd_values: tuple, encode: Any) -> bytes:
    """A sound document with up to three odd elements."""
    value = draw(st.sampled_from(samples))
    odd = st.sampled_from(odd_values)
    for _ in range(draw(st.integers(0, 3))):
        value = change(draw, value, odd)
    return encode(value)


@dataclass(frozen=True)
class Inputs:
    """Random inputs, and a grid of each odd value in each place of the samples."""

    random: st.SearchStrategy[Any]
    grid: Callable[[], Iterable[Any]] = tuple


def _grid(samples: tuple, odd_values: tuple, encode: Any) -> Iterator[Any]:
    for sample in samples:
        for path in paths_of(copy_of(sample)):
            for odd in odd_values:
                value = copy_of(sample)
                inner = value
                for key in path[:-1]:
                    inner = inner[key]
                inner[path[-1]] = odd
                yield encode(value)


def json_documents(*samples: Any) -> Inputs:
    """Nearly sound JSON documents, and bytes that are none."""
    odd = (*ODD_VALUES, *map(RawJson, ODD_JSON_NUMBERS), RawJson("[" * N_LEVELS))
    nearly = changed(samples, odd, write_json)
    random = damaged(nearly) | st.sampled_from(WHOLE) | st.binary(max_size=40)
    return Inputs(random, lambda: _grid(samples, odd, write_json))


def cbor_documents(*samples: Any) -> Inputs:
    """Nearly sound CBOR documents, and bytes that are none."""
    odd = (*ODD_VALUES, *ODD_CBOR_VALUES)
    nearly = changed(samples, odd, cbor2.dumps)
    random = damaged(nearly) | st.sampled_from(WHOLE) | st.binary(max_size=40)
    return Inputs(random, lambda: _grid(samples, odd, cbor2.dumps))


def values(*samples: Any) -> Inputs:
    """What a sound CBOR message may hold in place of the samples."""
    odd = (*ODD_VALUES, *ODD_CBOR_VALUES[:6])
    random = changed(samples, odd, copy_of) | st.sampled_from(odd)
    return Inputs(random, lambda: _grid(samples, odd, copy_of))


def bytes_like(*samples: bytes) -> Inputs:
    """Damaged samples, and bytes that resemble none."""
    sound = st.sampled_from(samples)
    nearly = damaged(damaged(sound))
    return Inputs(nearly | st.sampled_from(WHOLE) | st.binary(max_size=40))


def texts(*samples: str) -> Inputs:
    """Damaged samples as text, and other texts."""
    encoded = bytes_like(*(sample.encode() for sample in samples)).random
    decoded = encoded.map(lambda data: data.decode("latin-1"))
    odd = st.sampled_from(("9" * 5_000, "١", "²"))
    return Inputs(decoded | st.text(max_size=20) | odd)
