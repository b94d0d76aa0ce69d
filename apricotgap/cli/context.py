"""Client, output and error handling shared by all operator commands."""

import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from apricotgap.client import OperatorClient
from apricotgap.errors import ApricotgapError, NotAuthorisedError, SettingsError

__all__ = ["CommandContext", "ErrorGroup", "pass_context"]


@dataclass(slots=True)
class CommandContext:
    """Global options of one invocation."""

    entries: tuple[str, ...]
    credential: str
    credential_file: str | None
    as_json: bool

    def call(self, action: str, arguments: Mapping[str, Any]) -> dict[str, Any]:
        """Call an action of the operator API with the given credential."""
        client = OperatorClient(self.entries, self._read_credential())
        return client.call(action, arguments)

    def show(self, result: Mapping[str, Any]) -> None:
        """Print a result as JSON, or as text with lists of objects as tables."""
        if self.as_json:
            click.echo(json.dumps(result, indent=2))
            return
        click.echo("\n".join(_format_result(result)))

    def _read_credential(self) -> str:
        if self.credential_file:
            try:
                return Path(self.credential_file).read_text(encoding="utf-8").strip()
            except (OSError, UnicodeDecodeError) as error:
                raise SettingsError(
                    f"the credential file cannot be read: {error}",
                    "correct --credential-file",
                ) from error
        if not self.credential:
            raise NotAuthorisedError(
                "no operator credential is given",
                "set APRICOTGAP_CREDENTIAL or use --credential-file",
            )
        return self.credential


pass_context = click.make_pass_decorator(CommandContext)


class ErrorGroup(click.Group):
    """Prints an `ApricotgapError` without a traceback and exits with its code."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except ApricotgapError as error:
            click.echo(f"error: {error.message}", err=True)
            click.echo(f"remedy: {error.remedy}", err=True)
            sys.exit(error.exit_code)


def _format_result(result: Mapping[str, Any]) -> list[str]:
    tables = {k: v for k, v in result.items() if _is_table(v)}
    plain = {k: v for k, v in result.items() if k not in tables}
    lines = [f"{key}: {_format_cell(value)}" for key, value in plain.items()]
    for key, rows in tables.items():
        lines += ([""] if lines else []) + ([key] if key != "items" else [])
        lines += _format_table(rows)
    return lines or ["nothing to show"]


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(row, dict) for row in value)
    )


def _format_table(rows: Sequence[Mapping[str, Any]]) -> list[str]:
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[_format_cell(row.get(column)) for column in columns] for row in rows]
    header = [column.upper() for column in columns]
    widths = [max(map(len, column)) for column in zip(header, *cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in (header, *cells)
    ]


def _format_cell(value: Any) -> str:
    if value is None or value in ("", [], {}):
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return " ".join(f"{k}={_format_cell(v)}" for k, v in value.items())
    if isinstance(value, list):
        return ",".join(_format_cell(v) for v in value)
    return str(value)
