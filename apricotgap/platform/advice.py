"""Client of the platform's advice service."""

import msgspec

from apricotgap.decoding import DecodeError, Integer, decode_json
from apricotgap.platform.http import HttpClient, NoResponseError

__all__ = ["AdviceClient", "AdviceError"]

# The service handles calls one at a time, each taking time per listed worker.
CALL_TIMEOUT_MS = 5_000


class AdviceError(Exception):
    """The service returned no usable response."""


class _Approval(msgspec.Struct, rename={"validity_ms": "validityMs"}):
    approved: list[tuple[str, str]] = []
    validity_ms: Integer = 0


class AdviceClient:
    """Requests approval to run a step on workers.

    Parameters
    ----------
    address : str
        ``HOST:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._http = HttpClient(max_connections=2)

    async def fetch_approvals(
        self, step: str, worker_ids: list[str]
    ) -> tuple[dict[str, str], int]:
        """Return the tickets of the approved workers and their validity.

        Parameters
        ----------
        step : str
            Step to run.
        worker_ids : list of str
            Candidate workers.

        Returns
        -------
        tickets : dict of str to str
            Ticket by worker id; workers without approval are missing.
        validity_ms : int
            How long the tickets are valid, in milliseconds.

        Raises
        ------
        AdviceError
            No usable response.
        """
        body = msgspec.json.encode({"step": step, "workers": worker_ids})
        try:
            response = await self._http.call(
                "POST", self._address, "/v1/advise", body, CALL_TIMEOUT_MS
            )
        except NoResponseError as error:
            raise AdviceError(error.reason) from error
        if response.status != 200:
            raise AdviceError(f"status {response.status}")
        approval = decode_approval(response.body)
        return dict(approval.approved), approval.validity_ms


def decode_approval(body: bytes) -> _Approval:
    """Decode the tickets that the service has approved.

    Raises
    ------
    AdviceError
        The body is malformed.
    """
    try:
        return decode_json(body, _Approval)
    except DecodeError as error:
        raise AdviceError(str(error)) from error
