"""Operator actions on configuration objects and on sets of them."""

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any, ClassVar

import msgspec

from apricotgap.core import config_writer
from apricotgap.core.arguments import convert, reject_unknown
from apricotgap.core.effects import AnswerOperator, Effect
from apricotgap.core.object_kinds import ObjectKind, object_kinds
from apricotgap.core.operators import Action, EditChange
from apricotgap.errors import ValidationError
from apricotgap.model import Configuration

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["Apply", "GrantKey", "WithdrawKey"]

Values = Mapping[str, Any]


class _ObjectAction(Action):
    kind: ClassVar[ObjectKind]


class _Put(_ObjectAction):
    changes = True
    takes_revision = True

    def run(
        self, state: "EntryState", call_id: str, values: Values, at_ms: int
    ) -> Iterable[Effect]:
        """Add an object, or change the given fields of one."""
        revision = self.read(values).revision()
        fields = {k: v for k, v in values.items() if k != "if_revision"}
        kind = self.kind

        def edit(config: Configuration) -> Configuration:
            return kind.put(config, fields)

        change = EditChange(call_id, edit, revision, {kind.noun: kind.identify(fields)})
        return config_writer.propose(state, change, at_ms)


class _Delete(_ObjectAction):
    changes = True
    takes_revision = True
    await_in_force: ClassVar[bool] = False

    def run(
        self, state: "EntryState", call_id: str, values: Values, at_ms: int
    ) -> Iterable[Effect]:
        """Remove an object."""
        revision = self.read(values).revision()
        kind = self.kind
        name = kind.identify(values)

        def edit(config: Configuration) -> Configuration:
            return kind.delete(config, name)

        change = EditChange(
            call_id, edit, revision, {kind.noun: name}, self.await_in_force
        )
        return config_writer.propose(state, change, at_ms)


class _List(_ObjectAction):
    def run(
        self, state: "EntryState", call_id: str, values: Values, at_ms: int
    ) -> Iterable[Effect]:
        """List the objects of the kind."""
        self.read(values)
        objects = self.kind.of(state.config)
        items = [msgspec.to_builtins(objects[name]) for name in sorted(objects)]
        result = {"revision": state.config.revision, "items": items}
        return (AnswerOperator(call_id, result),)


class GrantKey(_Put):
    """Adds a key by its digest."""

    name = "key.grant"
    kind = object_kinds()["key"]
    arguments = ("digest", "team", "label")


class WithdrawKey(_Delete):
    """Removes a key and reports where the withdrawal is in force."""

    name = "key.withdraw"
    kind = object_kinds()["key"]
    arguments = ("digest",)
    await_in_force = True


def _register(kind: ObjectKind) -> None:
    """Define the standard actions of a kind; keys have actions of their own."""
    bases: dict[str, tuple[type[_ObjectAction], tuple[str, ...]]] = {
        "list": (_List, ())
    }
    if kind.noun != "key":
        bases["put"] = (_Put, tuple(sorted(kind.fields)))
        bases["delete"] = (_Delete, (kind.id_field,))
    for verb, (base, arguments) in bases.items():
        name = f"{kind.noun}.{verb}"
        type(
            f"{type(kind).__name__}{verb.title()}",
            (base,),
            {"name": name, "kind": kind, "arguments": arguments},
        )


for _kind in object_kinds().values():
    _register(_kind)


class Apply(Action):
    """Puts a set of objects in one change."""

    name = "apply"
    arguments = tuple(kind.part for kind in object_kinds().values())
    changes = True
    takes_revision = True

    def run(
        self, state: "EntryState", call_id: str, values: Values, at_ms: int
    ) -> Iterable[Effect]:
        """Put all objects; they may refer to each other."""
        revision = self.read(values).revision()
        kinds = {kind.part: kind for kind in object_kinds().values()}
        objects: list[tuple[ObjectKind, dict[str, Any]]] = []
        for part, kind in kinds.items():
            items = convert(values.get(part, []), list[dict[str, Any]], f"{part}: ")
            objects.extend((kind, item) for item in items)
        if not objects:
            raise ValidationError("the set has no objects", "add at least one")
        for kind, item in objects:
            reject_unknown(item, kind.fields, f"{kind.noun}: ")
            kind.identify(item)

        def edit(config: Configuration) -> Configuration:
            for kind, item in objects:
                config = kind.put(config, item)
            return config

        change = EditChange(call_id, edit, revision, {"n_objects": len(objects)})
        return config_writer.propose(state, change, at_ms)
