"""Commands for intents, plans and status."""

from typing import Any

import click

from apricotgap.cli.context import CommandContext, pass_context
from apricotgap.core.planner import intent_kinds

__all__ = ["add_commands"]


@click.group("intent")
def _intent() -> None:
    """Plan intents, then confirm, show, cancel or list plans.

    Example: apricotgap intent plan drain-rack dc1-r2
    """


@_intent.command("plan")
@click.argument(
    "kind", type=click.Choice([k.replace("_", "-") for k in sorted(intent_kinds())])
)
@click.argument("target")
@click.option("--to-pool", help="Pool that gets the capacity (move-capacity).")
@click.option("--count", type=int, help="Instances to move (move-capacity).")
@click.option("--reboot", is_flag=True, help="Reboot and restore after the drain.")
@pass_context
def _plan(
    context: CommandContext, kind: str, target: str, reboot: bool, **options: Any
) -> None:
    """Create a plan for an intent; it takes effect once it is confirmed.

    Examples
    --------
    apricotgap intent plan drain-rack dc1-r2

    apricotgap intent plan move-capacity backoffice --to-pool orders --count 2
    """
    given = {k: str(v) for k, v in options.items() if v is not None}
    if reboot:
        given["reboot"] = "true"
    arguments = {"kind": kind, "target": target, "options": given}
    context.show(context.call("intent.plan", arguments))


def _add_id_command(name: str, doc: str) -> None:
    @_intent.command(name, help=f"{doc}\n\nExample: apricotgap intent {name} 3f9a")
    @click.argument("plan_id", metavar="ID")
    @pass_context
    def run(context: CommandContext, plan_id: str) -> None:
        context.show(context.call(f"intent.{name}", {"id": plan_id}))


_add_id_command("confirm", "Confirm a plan; fails if the configuration has changed.")
_add_id_command("cancel", "Cancel a plan; its instances return to service.")
_add_id_command("show", "Show a plan with its steps.")


@_intent.command("list")
@pass_context
def _list(context: CommandContext) -> None:
    """List active and proposed plans."""
    context.show(context.call("intent.list", {}))


@click.command("status")
@pass_context
def _status(context: CommandContext) -> None:
    """Show an entry instance's view of the configuration, fleet and active plans."""
    context.show(context.call("status", {}))


def add_commands(main: click.Group) -> None:
    """Add ``intent`` and ``status``."""
    main.add_command(_intent)
    main.add_command(_status)
