"""Client of the operator API, for programs and the command line."""

import contextlib
import hashlib
import json
import secrets
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import quote

import httpcore

from apricotgap import errors
from apricotgap.decoding import DecodeError, decode_json
from apricotgap.errors import ApricotgapError, UnavailableError, ValidationError

__all__ = ["OperatorClient", "make_key"]

# Of an error that an entry instance reports.
_MAX_MESSAGE_CHARS = 2_000

CONNECT_TIMEOUT_S = 2.0
# Longer than an entry instance waits for the result of a call.
READ_TIMEOUT_S = 20.0

Transport = Callable[[str, Mapping[str, str], bytes], tuple[int, bytes]]

_ERROR_TYPE_BY_KIND = {
    cls.kind: cls
    for cls in vars(errors).values()
    if isinstance(cls, type) and issubclass(cls, ApricotgapError)
}


def make_key() -> tuple[str, str]:
    """Generate a key for a team.

    Returns
    -------
    secret : str
        Secret for the team, to be shown once.
    digest : str
        SHA-256 digest in hexadecimal; only this is stored.
    """
    secret = secrets.token_urlsafe(32)
    return secret, hashlib.sha256(secret.encode()).hexdigest()


class OperatorClient:
    """Calls the operator API of any entry instance.

    Parameters
    ----------
    entries : iterable of str
        Addresses ``host:port`` or ``http://host:port``, tried in order.
    credential : str
        Operator credential.
    transport : callable or None
        Sends ``(url, headers, body)`` and returns status code and body; None uses
        HTTP.
    """

    def __init__(
        self,
        entries: Iterable[str],
        credential: str,
        transport: Transport | None = None,
    ) -> None:
        self._entries = tuple(entries)
        self._credential = credential
        self._transport = transport or _send

    def call(self, action: str, arguments: Mapping[str, Any]) -> dict[str, Any]:
        """Call an action of the operator API.

        The next entry instance is tried if the connection failed, since the call was
        then not received, and if the instance refused the call because it cannot
        reach the store, since nothing was then changed. After any other failure the
        call may have been executed and is not repeated.

        Parameters
        ----------
        action : str
            Name of the action, for example ``pool.put``.
        arguments : mapping of str to object
            Arguments that can be encoded as JSON.

        Returns
        -------
        dict of str to object
            Result of the action.

        Raises
        ------
        ApricotgapError
            Error returned by the entry instance, or `UnavailableError` if none could
            be reached.
        """
        if not self._entries:
            raise ValidationError(
                "no entry address is given", "use --entry or set APRICOTGAP_ENTRY"
            )
        headers = {
            "Authorization": f"Bearer {self._credential}",
            "Content-Type": "application/json",
        }
        body = json.dumps(arguments).encode()
        failures = []
        for entry in self._entries:
            base = entry if "://" in entry else f"http://{entry}"
            url = f"{base.rstrip('/')}/v1/operator/{quote(action)}"
            try:
                status, response = self._transport(url, headers, body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                failures.append(f"{entry}: {error or type(error).__name__}")
                continue
            except (httpcore.TimeoutException, httpcore.NetworkError) as error:
                raise _lost_response_error(entry, error) from error
            except httpcore.ProtocolError as error:
                raise _lost_response_error(entry, error) from error
            store_unavailable = _is_store_unavailable(status, response)
            if store_unavailable and entry != self._entries[-1]:
                failures.append(f"{entry}: unavailable")
                continue
            return _parse_response(entry, status, response)
        raise UnavailableError(
            f"no entry could be reached ({'; '.join(failures)})",
            "check the addresses given with --entry",
        )


def _is_store_unavailable(status: int, response: bytes) -> bool:
    """Return whether an entry instance refused a call as it cannot reach the store."""
    return status == UnavailableError.http_status and b'"unavailable"' in response


def _lost_response_error(entry: str, error: Exception) -> ApricotgapError:
    return UnavailableError(
        f"the response of {entry} was lost ({type(error).__name__}); "
        "a change may have been accepted",
        "check the current state with a list or show command before repeating it",
    )


def _parse_response(entry: str, status: int, response: bytes) -> dict[str, Any]:
    document: Any = None
    with contextlib.suppress(DecodeError):
        document = decode_json(response, Any)
    if not isinstance(document, dict):
        raise UnavailableError(
            f"{entry} returned status {status} without a JSON object",
            "check that the address is that of an entry instance",
        )
    if status == 200:
        return document
    error_type = _ERROR_TYPE_BY_KIND.get(str(document.get("kind")), ApricotgapError)
    raise error_type(
        str(document.get("message", f"status {status}"))[:_MAX_MESSAGE_CHARS],
        str(document.get("remedy", "see the log of the entry"))[:_MAX_MESSAGE_CHARS],
    )


def _send(url: str, headers: Mapping[str, str], body: bytes) -> tuple[int, bytes]:
    timeout = {
        "connect": CONNECT_TIMEOUT_S,
        "read": READ_TIMEOUT_S,
        "write": READ_TIMEOUT_S,
        "pool": CONNECT_TIMEOUT_S,
    }
    with httpcore.ConnectionPool() as pool:
        response = pool.request(
            "POST",
            url,
            headers=list(headers.items()),
            content=body,
            extensions={"timeout": timeout},
        )
        return response.status, response.content
