"""Command-line interface."""

import importlib
import importlib.util

import click

from apricotgap import __version__
from apricotgap.cli import configuration, diagnosis, intents, objects
from apricotgap.cli.context import CommandContext, ErrorGroup

__all__ = ["main"]

_DAEMON_COMMANDS = "apricotgap.cli.daemon"


@click.group(cls=ErrorGroup)
@click.version_option(__version__, prog_name="apricotgap")
@click.option(
    "--entry",
    "entries",
    multiple=True,
    envvar="APRICOTGAP_ENTRY",
    metavar="HOST:PORT",
    help="Address of an entry instance; repeat to add others to try on failure.",
)
@click.option(
    "--credential-file", help="File with the operator credential.", metavar="FILE"
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of tables.")
@click.option("--credential", envvar="APRICOTGAP_CREDENTIAL", hidden=True, default="")
@click.pass_context
def main(
    ctx: click.Context,
    entries: tuple[str, ...],
    credential_file: str | None,
    as_json: bool,
    credential: str,
) -> None:
    """Manage capacity and maintenance of a fleet.

    The operator credential is read from APRICOTGAP_CREDENTIAL or a file.

    Example: apricotgap --entry 10.0.0.1:8080 status
    """
    ctx.obj = CommandContext(entries, credential, credential_file, as_json)


objects.add_commands(main)
intents.add_commands(main)
diagnosis.add_commands(main)
configuration.add_commands(main)
if importlib.util.find_spec(_DAEMON_COMMANDS) is not None:
    daemon = importlib.import_module(_DAEMON_COMMANDS)
    main.add_command(daemon.entry)
    main.add_command(daemon.serve)
    main.add_command(daemon.settings)
