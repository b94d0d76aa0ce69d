"""Commands for configuration objects."""

from dataclasses import fields
from pathlib import Path
from types import UnionType
from typing import Any, get_args, get_type_hints

import click
import yaml

from apricotgap.cli.context import CommandContext, pass_context
from apricotgap.client import make_key
from apricotgap.core.object_kinds import ObjectKind, object_kinds
from apricotgap.errors import SettingsError
from apricotgap.model import Resources

__all__ = ["add_commands"]

_EXAMPLES = {
    "pool": "apricotgap pool put backoffice --spare",
    "instance": (
        "apricotgap instance put w1 --address 10.0.0.7:8000 --data-centre dc1 "
        "--rack r1 --pool orders --cpu-milli 64000 --memory-mb 128000"
    ),
    "team": "apricotgap team put bakers --share 3 --upper-limit 40",
    "queue": "apricotgap queue put orders --pool orders --teams bakers",
    "budget": "apricotgap budget put keep --kind pool --target '*' --min-available 6",
    "data_centre": "apricotgap data-centre put dc1 --region gandaki",
    "key": "apricotgap key grant bakers --label till",
}

_IF_REVISION = click.option(
    "--if-revision", type=int, help="Fail unless the configuration has this revision."
)


def _make_option(name: str, hint: Any) -> click.Option:
    flag = f"--{name.replace('_', '-')}"
    if isinstance(hint, UnionType):
        hint = next(t for t in get_args(hint) if t is not type(None))
    if hint is bool:
        return click.Option([f"{flag}/--no-{flag[2:]}"], default=None)
    if hint is int:
        return click.Option([flag], type=int)
    if get_args(hint):
        return click.Option([flag], multiple=True, help="May be repeated.")
    return click.Option([flag])


def _drop_unset(values: dict[str, Any]) -> dict[str, Any]:
    """Drop options that were not given, so that the fields keep their values."""
    return {k: v for k, v in values.items() if v is not None and v != ()}


def _put_command(kind: ObjectKind) -> click.Command:
    hints = get_type_hints(kind.model)
    names = [f.name for f in fields(kind.model) if f.name in kind.fields]
    resources = [f.name for f in fields(Resources)] if "capacity" in names else []
    options: list[click.Parameter] = [click.Argument(["name"])]
    options += [
        _make_option(n, hints[n]) for n in names if n not in ("capacity", kind.id_field)
    ]
    options += [_make_option(n, int) for n in resources]

    @pass_context
    def run(context: CommandContext, **values: Any) -> None:
        given = _drop_unset(values)
        capacity = {n: given.pop(n) for n in resources if n in given}
        if capacity:
            given["capacity"] = capacity
        context.show(context.call(f"{kind.noun}.put", given))

    command = click.Command(
        "put",
        params=options,
        callback=run,
        help=f"Create {_display_name(kind)} NAME or change the given fields.\n\n"
        f"Example: {_EXAMPLES[kind.noun]}",
    )
    return _IF_REVISION(command)


def _delete_command(kind: ObjectKind) -> click.Command:
    @click.command(
        "delete", help=f"Delete {_display_name(kind)} NAME, unless it is in use."
    )
    @click.argument("name")
    @_IF_REVISION
    @pass_context
    def delete(context: CommandContext, name: str, if_revision: int | None) -> None:
        arguments = _drop_unset({kind.id_field: name, "if_revision": if_revision})
        context.show(context.call(f"{kind.noun}.delete", arguments))

    return delete


def _list_command(kind: ObjectKind) -> click.Command:
    @click.command("list", help=f"List every {_display_name(kind)}.")
    @pass_context
    def list_objects(context: CommandContext) -> None:
        context.show(context.call(f"{kind.noun}.list", {}))

    return list_objects


def _display_name(kind: ObjectKind) -> str:
    return kind.noun.replace("_", " ")


@click.command("grant")
@click.argument("team")
@click.option("--label", default="", help="Who or what uses the key.")
@pass_context
def _grant(context: CommandContext, team: str, label: str) -> None:
    """Create a key for TEAM; its secret is shown once and not stored.

    Example: apricotgap key grant bakers --label till
    """
    secret, digest = make_key()
    arguments = {"team": team, "digest": digest, "label": label}
    result = context.call("key.grant", arguments)
    context.show({"key": secret, "digest": digest, "revision": result["revision"]})


@click.command("withdraw")
@click.argument("digest")
@pass_context
def _withdraw(context: CommandContext, digest: str) -> None:
    """Withdraw the key with DIGEST and show which instances have yet to apply it."""
    context.show(context.call("key.withdraw", {"digest": digest}))


@click.command("apply")
@click.argument("file", type=click.Path(dir_okay=False))
@_IF_REVISION
@pass_context
def _apply(context: CommandContext, file: str, if_revision: int | None) -> None:
    """Create or change all objects in a YAML FILE in one change.

    The file maps pools, instances, teams, keys, queues, budgets and data_centres
    to lists of objects.

    Example: apricotgap apply fleet.yaml
    """
    try:
        objects = yaml.safe_load(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError(
            f"{file} cannot be read: {error}", "correct the file"
        ) from error
    if not isinstance(objects, dict):
        raise SettingsError(
            f"{file} is not a mapping of object lists", "see apricotgap apply --help"
        )
    arguments = objects | _drop_unset({"if_revision": if_revision})
    context.show(context.call("apply", arguments))


def add_commands(main: click.Group) -> None:
    """Add a group for each kind of object, and ``apply``."""
    for kind in object_kinds().values():
        group = click.Group(
            kind.noun.replace("_", "-"),
            help=f"Put, delete or list {_display_name(kind)} objects.\n\n"
            f"Example: {_EXAMPLES[kind.noun]}",
        )
        group.add_command(_list_command(kind))
        if kind.noun == "key":
            group.help = f"Grant, withdraw or list keys.\n\nExample: {_EXAMPLES['key']}"
            group.add_command(_grant)
            group.add_command(_withdraw)
        else:
            group.add_command(_put_command(kind))
            group.add_command(_delete_command(kind))
        main.add_command(group)
    main.add_command(_apply)
