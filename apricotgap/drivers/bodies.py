"""Buffer for request and response bodies, which are not passed to the core."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["BackendResponse", "BodyBuffer"]


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """Complete response of a backend server."""

    status: int
    content_type: str
    body: bytes


class BodyBuffer:
    """Buffers bodies of open requests and retains responses for later queries.

    Parameters
    ----------
    max_retained_bytes : int
        Maximum size in bytes of the responses retained after their requests ended;
        the oldest are dropped first.
    """

    def __init__(self, max_retained_bytes: int) -> None:
        self._max_retained_bytes = max_retained_bytes
        self._requests: dict[str, bytes] = {}
        self._responses: dict[str, BackendResponse] = {}
        self._retained: OrderedDict[str, BackendResponse] = OrderedDict()
        self._n_retained_bytes = 0

    def put_request(self, request_id: str, body: bytes) -> None:
        """Buffer the body of a request."""
        self._requests[request_id] = body

    def request(self, request_id: str) -> bytes | None:
        """Return the body of a request, None if it is not buffered."""
        return self._requests.get(request_id)

    def drop_request(self, request_id: str) -> None:
        """Drop the body of a request."""
        self._requests.pop(request_id, None)

    def put_response(self, task_id: str, response: BackendResponse) -> None:
        """Buffer the response to a task until its request ends."""
        self._responses[task_id] = response

    def pop_response(self, task_id: str) -> BackendResponse | None:
        """Remove and return the response to a task."""
        return self._responses.pop(task_id, None)

    def retain_response(self, request_id: str, response: BackendResponse) -> None:
        """Retain the response to a request for later queries."""
        self._drop_retained(request_id)
        self._retained[request_id] = response
        self._n_retained_bytes += len(response.body)
        while self._n_retained_bytes > self._max_retained_bytes:
            self._drop_retained(next(iter(self._retained)))

    def retained_response(self, request_id: str) -> BackendResponse | None:
        """Return the retained response to a request, None if it was dropped."""
        return self._retained.get(request_id)

    def _drop_retained(self, request_id: str) -> None:
        response = self._retained.pop(request_id, None)
        if response is not None:
            self._n_retained_bytes -= len(response.body)
