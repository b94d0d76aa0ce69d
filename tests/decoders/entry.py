"""An entry of the registry of decoders."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tests.document_strategies import Inputs


@dataclass(frozen=True)
class Decoder:
    """A decoder and what its callers rely on.

    Parameters
    ----------
    covers : tuple of str
        The functions that an example runs, as ``module:function``.
    decode : callable
        Called with an input.
    inputs : Inputs
        Sound and odd inputs.
    returns : type
        Type of what it returns, with all that is in it.
    errors : tuple of type
        The errors that it may raise, not their subclasses.
    max_error_chars : int
        Longest message of an error; it reaches logs and must not repeat the input.
    """

    covers: tuple[str, ...]
    decode: Callable[[Any], Any]
    inputs: Inputs
    returns: Any
    errors: tuple[type[Exception], ...]
    max_error_chars: int = 600
