"""Reading of a YAML settings file into a dataclass, with all of its errors."""

from collections.abc import Callable, Hashable
from pathlib import Path
from typing import Any, TypeVar

import yaml

from apricotgap.errors import SettingsError
from apricotgap.settings_reader import Problem, SettingsReader

__all__ = ["check_document", "load_document"]

_T = TypeVar("_T")


class _StrictLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys in a mapping."""

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        """Construct a mapping after checking that its keys are unique."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)  # type: ignore[no-untyped-call]
            if not isinstance(key, Hashable):
                raise yaml.MarkedYAMLError(
                    problem="a key that is a list or a mapping",
                    problem_mark=key_node.start_mark,
                )
            if key in seen:
                raise yaml.MarkedYAMLError(
                    problem=f"the key {key!r} is duplicated",
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def _check_nothing(_settings: Any, _reader: SettingsReader) -> None:
    pass


def check_document(
    text: str,
    settings_type: type[_T],
    check_consistency: Callable[[_T, SettingsReader], None] = _check_nothing,
) -> tuple[_T | None, list[Problem]]:
    """Parse and validate a settings document.

    Parameters
    ----------
    text : str
        YAML text.
    settings_type : type
        Dataclass with the fields of the document.
    check_consistency : callable, optional
        Adds the errors across fields to a reader.

    Returns
    -------
    settings : object of `settings_type`, or None
        Settings, None if the document has errors.
    problems : list of Problem
        All errors found.
    """
    reader = SettingsReader()
    try:
        data = yaml.load(text, Loader=_StrictLoader)  # noqa: S506
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark else "file"
        what = getattr(error, "problem", None) or "unreadable"
        reader.add_problem(place, what, "valid YAML", "correct the syntax there")
        return None, reader.problems
    except (ValueError, OverflowError, RecursionError) as error:
        # A date that does not exist, a number that is none, or deep nesting.
        what = str(error) or type(error).__name__
        reader.add_problem("file", what, "valid YAML", "correct the value")
        return None, reader.problems
    settings = reader.read("", data, settings_type)
    if settings is None:
        return None, reader.problems
    check_consistency(settings, reader)
    return (None if reader.problems else settings), reader.problems


def load_document(
    path: str | Path,
    settings_type: type[_T],
    check_consistency: Callable[[_T, SettingsReader], None] = _check_nothing,
) -> _T:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or Path
        Path of the file.
    settings_type, check_consistency
        As of `check_document`.

    Returns
    -------
    object of `settings_type`
        Validated settings.

    Raises
    ------
    SettingsError
        The file cannot be read or has errors; the message lists all of them.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: cannot be read ({getattr(error, 'strerror', None) or error})",
            "name a readable UTF-8 file with --settings",
        ) from None
    checked = check_document(text, settings_type, check_consistency)
    settings, problems = checked
    if settings is None:
        lines = "\n".join(f"  {problem}" for problem in problems)
        raise SettingsError(f"{path}:\n{lines}\n", "correct the lines above")
    return settings
