"""Errors reported to callers and operators, each with a suggested remedy."""

from typing import ClassVar

__all__ = [
    "ApricotgapError",
    "ConflictError",
    "NotAuthorisedError",
    "NotFoundError",
    "OutcomeUnknownError",
    "SettingsError",
    "UnavailableError",
    "ValidationError",
    "quoted",
]

# Values of callers and other writers are quoted in messages up to this length.
_MAX_QUOTED = 80


def quoted(value: object) -> str:
    """Return a value for a message, cut to a short text."""
    return repr(value)[:_MAX_QUOTED]


class ApricotgapError(Exception):
    """Base class of all errors reported to callers and operators.

    A subclass declares its `kind`, a stable machine-readable identifier, its HTTP
    status code and the exit code of the command line.

    Parameters
    ----------
    message : str
        Description of the error.
    remedy : str
        Suggested action.
    """

    kind: ClassVar[str] = "error"
    http_status: ClassVar[int] = 500
    exit_code: ClassVar[int] = 1

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(ApricotgapError):
    """A settings file or another input file is unreadable or invalid."""

    kind = "settings"
    exit_code = 2


class ValidationError(ApricotgapError):
    """A request or document is malformed."""

    kind = "invalid"
    http_status = 400
    exit_code = 2


class ConflictError(ApricotgapError):
    """The configuration has changed since the plan or document was read."""

    kind = "conflict"
    http_status = 409
    exit_code = 3


class NotFoundError(ApricotgapError):
    """The named object does not exist."""

    kind = "not_found"
    http_status = 404
    exit_code = 4


class NotAuthorisedError(ApricotgapError):
    """The credential is missing or invalid."""

    kind = "not_authorised"
    http_status = 401
    exit_code = 5


class UnavailableError(ApricotgapError):
    """The store or an entry instance cannot be reached or gave no usable response."""

    kind = "unavailable"
    http_status = 503
    exit_code = 6


class OutcomeUnknownError(ApricotgapError):
    """A change may or may not have been accepted."""

    kind = "outcome_unknown"
    http_status = 504
    exit_code = 1
