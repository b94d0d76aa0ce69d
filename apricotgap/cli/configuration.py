"""Commands for the operators' configuration as a file."""

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from apricotgap.cli.context import CommandContext, pass_context
from apricotgap.decoding import MAX_DOCUMENT_BYTES
from apricotgap.errors import SettingsError
from apricotgap.jobs.configuration_check import check_configuration
from apricotgap.jobs.configuration_diff import Change, compare
from apricotgap.jobs.configuration_finding import CheckCase, Finding
from apricotgap.platform.configuration_errors import (
    Reading,
    platform_path,
    read_configuration,
)

__all__ = ["add_commands"]

_FINDINGS_EXIT_CODE = 1


@click.group("configuration")
def _configuration() -> None:
    """Check a configuration before it is sent to the instances."""


@_configuration.command("check")
@click.argument("file", type=click.Path())
@click.option(
    "--against",
    type=click.Path(),
    metavar="OTHER",
    help="File with the version in force; shows what differs from it.",
)
@click.option(
    "--format",
    "output_format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
)
@pass_context
def _check(
    context: CommandContext, file: str, against: str | None, output_format: str
) -> None:
    """Check a configuration file and list all errors.

    The exit code is 0 without findings, 1 with findings and 2 if a file is unreadable.
    Differences from the version in force are no findings.

    Example: apricotgap configuration check new.json --against in-force.json
    """
    as_json = output_format == "json" or context.as_json
    reading = _read(file)
    other = Reading(None) if against is None else _read(against)
    report: dict[str, Any] = {
        "errors": _rows(file, reading.errors) + _rows(against, other.errors),
        "findings": _rows(file, reading.misspelt),
        "changes": [],
    }
    if reading.config is not None and not other.errors:
        case = CheckCase(reading.config, other.config)
        report["findings"] += _rows(file, check_configuration(case))
        if other.config is not None:
            changes = compare(other.config, reading.config)
            report["changes"] = list(map(_change_row, changes))
            if not as_json:
                _print_changes(report["changes"])
    if as_json:
        click.echo(json.dumps(report, indent=2))
    else:
        _print_findings(file, report)
    if report["errors"]:
        sys.exit(SettingsError.exit_code)
    if report["findings"]:
        sys.exit(_FINDINGS_EXIT_CODE)


def _read(path: str) -> Reading:
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        finding = Finding("file", (), reason, "a readable file", "name another file")
        return Reading(None, (finding,))
    return read_configuration(data)


def _rows(file: str | None, findings: tuple[Finding, ...]) -> list[dict[str, Any]]:
    return [
        asdict(each) | {"file": file, "path": platform_path(each.path)}
        for each in findings
    ]


def _print_findings(file: str, report: dict[str, Any]) -> None:
    for row in report["errors"] + report["findings"]:
        place = f"{row['file']}: {row['path']}".removesuffix(": ")
        click.echo(
            f"{place}: found {row['value']}, expected {row['expected']};"
            f" {row['remedy']}",
            err=True,
        )
    if not report["errors"]:
        click.echo(f"{file}: findings: {len(report['findings'])}")


def _change_row(change: Change) -> dict[str, Any]:
    row = asdict(change)
    for field in row["fields"]:
        # Without the list of which the entry is a part.
        field["path"] = platform_path(field["path"]).partition(".")[2]
    return row


def _print_changes(changes: list[dict[str, Any]]) -> None:
    for change in changes:
        click.echo(f"{change['action']} {change['kind']} {change['name']!r}")
        for field in change["fields"]:
            click.echo(f"  {field['path']}: {field['old']!r} -> {field['new']!r}")
        if keys := change["keys"]:
            digests = [f"+{each}" for each in keys["added"]]
            digests += [f"-{each}" for each in keys["removed"]]
            click.echo(
                f"  keys: {keys['n_old']} -> {keys['n_new']} ({' '.join(digests)})"
            )


def add_commands(group: click.Group) -> None:
    """Add ``configuration``."""
    group.add_command(_configuration)
