"""Commands that run an entry instance and check its settings."""

import hashlib
import sys

import click

from apricotgap.errors import SettingsError
from apricotgap.settings import check_settings, load_settings

__all__ = ["entry", "serve", "settings"]


@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(dir_okay=False),
    help="Settings of this entry instance, in YAML.",
)
def entry(settings_path: str) -> None:
    """Run an entry instance until SIGTERM.

    Example: apricotgap entry --settings examples/himsurya/entry.yaml
    """
    # Imported here because the other commands do not need the daemon's libraries.
    from apricotgap.entry import main  # noqa: PLC0415

    try:
        main(load_settings(settings_path))
    except SettingsError as error:
        click.echo(f"settings: {error}", err=True)
        sys.exit(error.exit_code)
    except OSError as error:
        click.echo(
            f"cannot listen: {error.strerror or error};"
            " release the address or change it in the settings",
            err=True,
        )
        sys.exit(1)


@click.group()
def settings() -> None:
    """Check settings before an entry instance starts."""


@settings.command("check")
@click.argument("path", type=click.Path())
def check(path: str) -> None:
    """Check a settings file and list all errors.

    Example: apricotgap settings check examples/himsurya/entry.yaml
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
        click.echo(f"{path}: cannot be read: {reason}; name a readable file", err=True)
        sys.exit(SettingsError.exit_code)
    parsed, problems = check_settings(text)
    for problem in problems:
        click.echo(f"{path}: {problem}", err=True)
    if parsed is None:
        sys.exit(SettingsError.exit_code)
    click.echo(f"{path}: valid, entry instance {parsed.entry.name!r}")


@settings.command("digest")
def digest() -> None:
    """Read a credential from standard input and print its digest.

    Example: apricotgap settings digest < credential.txt
    """
    secret = sys.stdin.readline().strip()
    if not secret:
        click.echo("no credential on standard input; pipe one line to it", err=True)
        sys.exit(SettingsError.exit_code)
    click.echo(hashlib.sha256(secret.encode()).hexdigest())


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(dir_okay=False),
    help="Settings of this instance, in YAML; without it they have their defaults.",
)
def serve(settings_path: str | None) -> None:
    """Run an instance on the platform until SIGTERM.

    The environment variable APRICOTGAP_NODE_FILE names the settings file that the
    platform writes.

    Example: apricotgap serve --settings deploy/instance.yaml
    """
    # Imported here because the other commands do not need the daemon's libraries.
    from apricotgap.instance.instance import main  # noqa: PLC0415

    try:
        main(settings_path)
    except SettingsError as error:
        click.echo(f"settings: {error}", err=True)
        sys.exit(error.exit_code)
