"""Interface of the configuration writer."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import TYPE_CHECKING

from apricotgap.core.effects import Effect
from apricotgap.errors import ApricotgapError, UnavailableError
from apricotgap.model import Configuration

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["Change", "propose"]


class Change(ABC):
    """A change of the configuration; `apply` may run several times."""

    @abstractmethod
    def apply(self, config: Configuration) -> Configuration:
        """Return the changed configuration or raise an `ApricotgapError`."""

    @abstractmethod
    def finished(
        self,
        state: "EntryState",
        error: ApricotgapError | None,
        revision: int,
        at_ms: int,
    ) -> Iterable[Effect]:
        """React to the acceptance (`error` is None) or the refusal."""


def propose(state: "EntryState", change: Change, at_ms: int) -> Iterable[Effect]:
    """Refuse the change, since this build cannot write the configuration."""
    error = UnavailableError("no configuration writer", "use a complete build")
    return change.finished(state, error, state.config.revision, at_ms)
