"""Client of the platform's machine interface."""

from urllib.parse import quote

import msgspec
import structlog

from apricotgap.decoding import DecodeError, decode_json
from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import MachineOrder
from apricotgap.jobs.machine_list import MachineList
from apricotgap.platform.http import HttpClient, HttpResponse, NoResponseError
from apricotgap.platform.wire import WireError, decode_machines

__all__ = ["MachineClient", "MachineListError"]

CALL_TIMEOUT_MS = 1_500
# Longest pause within a page of the list of machines.
STALL_MS = 1_500
# Attempts to read each page after the first one.
MAX_PAGE_ATTEMPTS = 2
# Reasons of a refused order. Any other could be mistaken for a result of another kind.
_ORDER_REFUSALS = frozenset({"busy", "fence", "wave"})


class MachineListError(Exception):
    """The list of machines cannot be read."""


class MachineClient:
    """Lists machines and orders their move to another pool or their maintenance.

    Parameters
    ----------
    address : str
        ``HOST:PORT``.
    holder : str
        Name of this instance, sent with each order next to the fencing token.
    """

    def __init__(self, address: str, holder: str) -> None:
        self._address = address
        self._holder = holder
        self._http = HttpClient()
        self._n_unreadable = 0
        self._log = structlog.get_logger()

    async def machines(self) -> MachineList:
        """Return all machines, and which of them cannot be read.

        Raises
        ------
        MachineListError
            No usable response.
        """
        machines_by_name: dict[str, Machine] = {}
        unreadable: list[tuple[str, WireError]] = []

        def note(name: str, error: WireError) -> None:
            unreadable.append((name, error))

        page_token = ""
        seen_tokens = {page_token}
        while True:
            target = "/v1/machines"
            if page_token:
                target += f"?pageToken={quote(page_token, safe='')}"
            response = await self._read_page(
                target, MAX_PAGE_ATTEMPTS if page_token else 1
            )
            try:
                machines, page_token = decode_machines(response.body, note)
            except WireError as error:
                raise MachineListError(str(error)) from error
            machines_by_name.update((machine.name, machine) for machine in machines)
            if not page_token:
                self._log_unreadable([error for _, error in unreadable])
                names = [name for name, _ in unreadable]
                return MachineList(
                    machines_by_name, frozenset(filter(None, names)), names.count("")
                )
            if page_token in seen_tokens:
                raise MachineListError("the pages of the list have no end")
            seen_tokens.add(page_token)

    async def _read_page(self, target: str, n_attempts: int) -> HttpResponse:
        """Read one page.

        Raises
        ------
        MachineListError
            No attempt got a usable response.
        """
        reason = ""
        for _ in range(n_attempts):
            try:
                response = await self._http.call(
                    "GET",
                    self._address,
                    target,
                    timeout_ms=CALL_TIMEOUT_MS,
                    stall_ms=STALL_MS,
                )
            except NoResponseError as error:
                reason = error.reason
                continue
            if response.status == 200:
                return response
            reason = f"status {response.status}"
        raise MachineListError(reason)

    def _log_unreadable(self, errors: list[WireError]) -> None:
        """Log unreadable machines when their number changes."""
        if len(errors) == self._n_unreadable:
            return
        self._n_unreadable = len(errors)
        self._log.error(
            "machines_unreadable",
            n=len(errors),
            error=str(errors[0]) if errors else "",
        )

    async def send_order(
        self, order: MachineOrder, token: int, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> str:
        """Send an order.

        Parameters
        ----------
        order : MachineOrder
            A move, or maintenance if it names a wave.
        token : int
            Fencing token.
        timeout_ms : int
            Limit for the whole call, in milliseconds.

        Returns
        -------
        str
            Outcome. ``ok`` includes an order that had already been executed;
            ``unknown`` means that the order may have been executed or may yet be;
            ``unavailable`` means that it was not executed, ``gone`` that the platform
            rejected it with HTTP status 400. On HTTP status 409 the outcome is the
            reason given in the response.
        """
        if order.wave:
            path = "/v1/machine-upkeep"
            body: dict[str, object] = {"machine": order.machine, "wave": order.wave}
        else:
            path = "/v1/machine-move"
            body = {"machine": order.machine, "pool": order.pool}
        headers = (
            ("X-Apricotgap-Duty-Holder", self._holder),
            ("X-Apricotgap-Fencing-Token", str(token)),
        )
        try:
            response = await self._http.call(
                "POST",
                self._address,
                path,
                msgspec.json.encode(body),
                timeout_ms,
                headers,
            )
        except NoResponseError as error:
            return "unknown" if error.sent else "unavailable"
        if response.status == 200:
            return "ok"
        if response.status == 400:
            return "gone"
        if response.status == 409:
            return _conflict_reason(response.body)
        if response.status >= 500 and response.status != 503:
            return "unknown"
        return "unavailable"


class _Conflict(msgspec.Struct):
    reason: str | None = None


def _conflict_reason(body: bytes) -> str:
    try:
        reason = decode_json(body, _Conflict).reason
    except DecodeError:
        return "conflict"
    return reason if reason in _ORDER_REFUSALS else "conflict"
