"""Bodies of requests and answers, which never enter the core."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["BackendResponse", "BodyBuffer"]


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """A backend server's whole answer."""

    status: int
    content_type: str
    body: bytes


class BodyBuffer:
    """Holds request bodies while they are needed and answers for repeated queries.

    Parameters
    ----------
    max_retained_bytes : int
        Most bytes of answers kept after their requests ended; the oldest go first.
    """

    def __init__(self, max_retained_bytes: int) -> None:
        self._max_retained_bytes = max_retained_bytes
        self._requests: dict[str, bytes] = {}
        self._responses: dict[str, BackendResponse] = {}
        self._retained: OrderedDict[str, BackendResponse] = OrderedDict()
        self._n_retained_bytes = 0

    def put_request(self, request_id: str, body: bytes) -> None:
        """Hold the body of a request."""
        self._requests[request_id] = body

    def request(self, request_id: str) -> bytes | None:
        """Return the body of a request, None if it is not held."""
        return self._requests.get(request_id)

    def drop_request(self, request_id: str) -> None:
        """Forget the body of a request."""
        self._requests.pop(request_id, None)

    def put_response(self, task_id: str, response: BackendResponse) -> None:
        """Hold the answer of a task until its request is concluded."""
        self._responses[task_id] = response

    def pop_response(self, task_id: str) -> BackendResponse | None:
        """Return the answer of a task and stop holding it."""
        return self._responses.pop(task_id, None)

    def retain_response(self, request_id: str, response: BackendResponse) -> None:
        """Keep the answer of a request for later queries."""
        self._drop_retained(request_id)
        self._retained[request_id] = response
        self._n_retained_bytes += len(response.body)
        while self._n_retained_bytes > self._max_retained_bytes:
            self._drop_retained(next(iter(self._retained)))

    def retained_response(self, request_id: str) -> BackendResponse | None:
        """Return the kept answer of a request, None if it was dropped."""
        return self._retained.get(request_id)

    def _drop_retained(self, request_id: str) -> None:
        response = self._retained.pop(request_id, None)
        if response is not None:
            self._n_retained_bytes -= len(response.body)
