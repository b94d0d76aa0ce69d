"""Client of the advice service."""

import msgspec

from apricotgap.platform.http import HttpClient, NoAnswerError

__all__ = ["AdviceClient", "AdviceError"]

# The service takes time for each worker named and serves calls in turn.
CALL_TIMEOUT_MS = 5_000


class AdviceError(Exception):
    """The service gave no usable answer."""


class _Approval(msgspec.Struct, rename={"validity_ms": "validityMs"}):
    approved: list[tuple[str, str]] = []
    validity_ms: int = 0


class AdviceClient:
    """Asks which workers may run a step.

    Parameters
    ----------
    address : str
        ``HOST:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._http = HttpClient(max_connections=2)

    async def fetch_approvals(self, step: str, worker_ids: list[str]) -> tuple[dict[str, str], int]:
        """Return tickets by worker and how long they are valid, in milliseconds.

        Raises
        ------
        AdviceError
            No usable answer.
        """
        body = msgspec.json.encode({"step": step, "workers": worker_ids})
        try:
            answer = await self._http.call(
                "POST", self._address, "/v1/advise", body, CALL_TIMEOUT_MS
            )
        except NoAnswerError as error:
            raise AdviceError(error.reason) from error
        if answer.status != 200:
            raise AdviceError(f"status {answer.status}")
        try:
            found = msgspec.json.decode(answer.body, type=_Approval)
        except (msgspec.MsgspecError, ValueError) as error:
            raise AdviceError(f"malformed answer: {error}") from error
        return dict(found.approved), found.validity_ms
