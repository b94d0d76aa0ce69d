"""Inputs that the fuzz of the decoders has found to raise unexpected errors."""

import pytest

from apricotgap import client, explain
from apricotgap.core import config_codec, part_codec
from apricotgap.drivers.request_headers import parse_request
from apricotgap.errors import UnavailableError, ValidationError
from apricotgap.model import Intent, Plan, Step, StepKind
from apricotgap.settings import check_settings

NESTED = b"[" * 10_000
STEP = Step(0, StepKind.MOVE, "i1", "p", 0, ("b",), "none")
PLAN = Plan("p", Intent("drain_rack", "r", {}), 1, ())


@pytest.mark.parametrize(
    "text",
    ["? [a]\n: b\n", "a: 2001-99-99\n", "a: " + "[" * 10_000, "a: " + "9" * 5_000],
    ids=["list as key", "no date", "nested", "long number"],
)
def test_odd_settings_are_problems_of_the_file(text):
    """Guards against a traceback in place of the line to correct."""
    settings, problems = check_settings(text)
    assert settings is None
    assert problems


def test_nested_response_of_an_entry_is_no_usable_response():
    """Guards against a command that ends with a traceback."""
    with pytest.raises(UnavailableError):
        client._parse_response("e", 200, NESTED)


def test_nested_line_is_no_log_line():
    """Guards against one line of another program that ends the diagnosis."""
    line = '{"timestamp":"2026-01-01T00:00:00Z","event":"call"}'
    nested = '{"a":' * 10_000
    assert len(list(explain._parse_lines([nested, line]))) == 1


@pytest.mark.parametrize("key", ["x", "", "-1", "²"])
def test_step_whose_key_is_no_number_is_malformed(key):
    """Guards against a stored part that ends each instance that reads it."""
    digest, blob = part_codec.encode_part("steps/0/p", {key: STEP}, 1, frozenset())
    plan = {"p": PLAN}
    plan_digest, plan_blob = part_codec.encode_part("plans/p", plan, 1, frozenset())
    root = config_codec.Root(1, {"steps/0/p": digest, "plans/p": plan_digest})
    blobs = {digest: blob, plan_digest: plan_blob}
    with pytest.raises(ValidationError):
        config_codec.decode_snapshot(root, blobs, config_codec.Snapshot())


@pytest.mark.parametrize("value", ["١٢", "²", "x" * 10_000, "9" * 5_000])
def test_odd_number_in_a_header_is_refused_in_short(value):
    """Guards against digits of other scripts, and an answer as long as the header."""
    with pytest.raises(ValidationError) as caught:
        parse_request("r", "q", {"apricotgap-cpu-milli": value}, b"")
    assert len(str(caught.value)) < 300
