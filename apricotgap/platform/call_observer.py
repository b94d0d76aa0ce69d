"""Observer of the outcomes of calls to the store."""

from abc import ABC, abstractmethod
from enum import Enum, auto

__all__ = ["CallKind", "CallObserver", "NoObserver"]


class CallKind(Enum):
    """Kind of a call, as far as it tells when an answer is due."""

    PROMPT = auto()
    RENEWAL = auto()
    WATCH = auto()


class CallObserver(ABC):
    """Is told of each call to the store and of its end."""

    @property
    @abstractmethod
    def is_unreachable(self) -> bool:
        """Whether the store counts as unreachable."""

    @abstractmethod
    def record_start(self, kind: CallKind) -> int:
        """Record that a call begins; returns its id."""

    @abstractmethod
    def record_part(self, call_id: int) -> None:
        """Record that a part of the answer to a call has arrived."""

    @abstractmethod
    def record_answer(self, call_id: int) -> None:
        """Record that a call was answered, with any status."""

    @abstractmethod
    def record_failure(self, call_id: int) -> None:
        """Record that a call ended without an answer."""

    @abstractmethod
    def record_cancellation(self, call_id: int) -> None:
        """Record that the caller has stopped waiting."""


class NoObserver(CallObserver):
    """Observes nothing; the store never counts as unreachable."""

    @property
    def is_unreachable(self) -> bool:
        """Whether the store counts as unreachable."""
        return False

    def record_start(self, kind: CallKind) -> int:
        """Record that a call begins; returns its id."""
        return 0

    def record_part(self, call_id: int) -> None:
        """Record that a part of the answer to a call has arrived."""

    def record_answer(self, call_id: int) -> None:
        """Record that a call was answered, with any status."""

    def record_failure(self, call_id: int) -> None:
        """Record that a call ended without an answer."""

    def record_cancellation(self, call_id: int) -> None:
        """Record that the caller has stopped waiting."""
