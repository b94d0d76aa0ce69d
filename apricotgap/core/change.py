"""Base classes of configuration changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import TYPE_CHECKING, ClassVar

from apricotgap.core.effects import Effect
from apricotgap.errors import ApricotgapError
from apricotgap.model import Configuration

if TYPE_CHECKING:
    from apricotgap.core.state import EntryState

__all__ = ["Change", "RepublishView"]


class Change(ABC):
    """A configuration change that can be reapplied after a conflict.

    `apply` must depend only on its argument: it is called again with a newer
    configuration if another change was stored first. `finished` is called exactly
    once.
    """

    # Whether the change may be written over a store that was restored from an older
    # state.
    repairs_store: ClassVar[bool] = False

    @abstractmethod
    def apply(self, config: Configuration) -> Configuration:
        """Return the changed configuration; the writer sets its revision.

        Raises
        ------
        ApricotgapError
            If the change does not fit the configuration.
        """

    @abstractmethod
    def finished(
        self,
        state: EntryState,
        error: ApricotgapError | None,
        revision: int,
        at_ms: int,
    ) -> Iterable[Effect]:
        """Return the effects to run when the change has ended.

        Parameters
        ----------
        state : EntryState
            State of the entry instance.
        error : ApricotgapError or None
            None if the change was accepted; `OutcomeUnknownError` if that is
            unknown.
        revision : int
            Revision that contains the change, or the one in force here on an error.
        at_ms : int
            Monotonic time in milliseconds.
        """


class RepublishView(Change):
    """Writes the configuration in force over a store restored from an older state.

    Subclasses implement `finished`.
    """

    repairs_store = True

    def apply(self, config: Configuration) -> Configuration:
        """Return the configuration unchanged."""
        return config
