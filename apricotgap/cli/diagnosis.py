"""Commands that analyse the log files of instances."""

import sys
from typing import TextIO

import click

from apricotgap.explain import explain

__all__ = ["add_commands"]


@click.command("explain")
@click.argument("request_id")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
def explain_request(request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Show the timeline of a request from the log files of instances.

    Lines marked with a bar do not name the request but are possible causes.

    Example: apricotgap explain 5c0e7a21d94b36f8 instance-*.log
    """
    timeline = explain((line for log in logs for line in log), request_id)
    if not timeline:
        click.echo(
            f"no line names {request_id}; give the logs of all instances", err=True
        )
        sys.exit(1)
    for entry in timeline:
        click.echo(str(entry))


def add_commands(group: click.Group) -> None:
    """Add the commands of this module."""
    group.add_command(explain_request)
