"""Nearly sound and odd inputs for every decoder of the package.

In CI each decoder gets the same few inputs in each run. By hand, `make fuzz` spends
`FUZZ_S` seconds on others, from the seed `FUZZ_SEED` on, and prints their number.
"""

import ast
import os
import time
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, seed, settings

from tests.decoders import DECODERS, WITHOUT_ENTRY
from tests.typed_values import find_mistyped

N_EXAMPLES = 150
N_EXAMPLES_PER_ROUND = 400
FUZZ_S = float(os.environ.get("FUZZ_S", "0"))
FUZZ_SEED = int(os.environ.get("FUZZ_SEED", "0"))
PACKAGE = Path(__file__).parent.parent / "apricotgap"
# Calls that turn bytes or plain values of others into typed ones.
PRIMITIVES = {
    *("decode_json", "decode_cbor", "convert", "b64decode", "feed_data"),
    *("json.loads", "cbor2.loads", "yaml.load", "yaml.safe_load", "tomllib.load"),
    *("msgspec.convert", "msgspec.json.decode", "connection.next_event"),
    "self._connection.next_event",
}


def check(decoder, data):
    try:
        value = decoder.decode(data)
    except decoder.errors as error:
        assert type(error) in decoder.errors, f"{type(error).__name__} is a subclass"
        assert len(str(error)) <= decoder.max_error_chars
        return
    assert not find_mistyped(value, decoder.returns)


def run_round(decoder, options, round_seed=None):
    """Run one round of examples and return their number."""
    n_inputs = 0

    @settings(
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        **options,
    )
    @given(data=decoder.inputs.random)
    def run(data):
        nonlocal n_inputs
        n_inputs += 1
        check(decoder, data)

    (run if round_seed is None else seed(round_seed)(run))()
    return n_inputs


def run_by_hand(decoder):
    """Run rounds of new examples for the decoder's part of the time."""
    until_s = time.monotonic() + FUZZ_S / len(DECODERS)
    n_inputs = n_rounds = 0
    while time.monotonic() < until_s:
        options = {"max_examples": N_EXAMPLES_PER_ROUND}
        n_inputs += run_round(decoder, options, FUZZ_SEED + n_rounds)
        n_rounds += 1
    print(f"{decoder.covers[0]}: {n_inputs} inputs in {n_rounds} rounds")


@pytest.mark.timeout(60 + FUZZ_S)
@pytest.mark.parametrize("decoder", DECODERS, ids=lambda each: each.covers[0])
def test_decoder_returns_its_type_or_raises_its_error(decoder):
    """Guards against an input that raises what the reader of an item doesn't expect."""
    if FUZZ_S:
        run_by_hand(decoder)
        return
    run_round(decoder, {"derandomize": True, "max_examples": N_EXAMPLES})


@pytest.mark.parametrize("decoder", DECODERS, ids=lambda each: each.covers[0])
def test_decoder_holds_for_each_odd_value_in_each_place(decoder):
    """Guards against an odd value that the random inputs don't have in some place."""
    for data in decoder.inputs.grid():
        check(decoder, data)


def decoding_functions(tree):
    """Yield the names of functions that decode, or are named so."""

    def visit(node, names):
        for child in ast.iter_child_nodes(node):
            is_function = isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef)
            if not is_function and not isinstance(child, ast.ClassDef):
                continue
            inner = [*names, child.name]
            if is_function and (
                child.name.startswith(("decode_", "parse_")) or calls_primitive(child)
            ):
                yield ".".join(inner)
            yield from visit(child, inner)

    yield from visit(tree, [])


def calls_primitive(function):
    calls = (each for each in ast.walk(function) if isinstance(each, ast.Call))
    called = {ast.unparse(call.func) for call in calls}
    return any(
        name in PRIMITIVES or name.rpartition(".")[2] in ("b64decode", "feed_data")
        for name in called
    )


def test_every_decoder_has_an_entry():
    """Guards against a new decoder that no odd input is tried on."""
    found = set()
    for path in PACKAGE.rglob("*.py"):
        module = ".".join(path.relative_to(PACKAGE).with_suffix("").parts)
        tree = ast.parse(path.read_text())
        found.update(f"{module}:{name}" for name in decoding_functions(tree))
    covered = {name for decoder in DECODERS for name in decoder.covers}
    assert found - covered - set(WITHOUT_ENTRY) == set()
    assert set(WITHOUT_ENTRY) - found == set(), "entries of functions that are gone"
