"""Client of the platform's machine interface."""

import msgspec

from apricotgap.jobs.fleet import Machine
from apricotgap.jobs.fleet_orders import MachineOrder
from apricotgap.platform.http import HttpClient, NoAnswerError
from apricotgap.platform.wire import WireError, decode_machines

__all__ = ["MachineClient", "MachineListError"]

CALL_TIMEOUT_MS = 1_500


class MachineListError(Exception):
    """The list of machines cannot be read."""


class MachineClient:
    """Lists machines and orders moves and upkeep.

    Parameters
    ----------
    address : str
        ``HOST:PORT``.
    holder : str
        Name that orders carry.
    """

    def __init__(self, address: str, holder: str) -> None:
        self._address = address
        self._holder = holder
        self._http = HttpClient()

    async def machines(self) -> dict[str, Machine]:
        """Return all machines by name.

        Raises
        ------
        MachineListError
            No usable answer.
        """
        found: dict[str, Machine] = {}
        page = ""
        while True:
            target = "/v1/machines" + (f"?pageToken={page}" if page else "")
            try:
                answer = await self._http.call(
                    "GET", self._address, target, timeout_ms=CALL_TIMEOUT_MS
                )
            except NoAnswerError as error:
                raise MachineListError(error.reason) from error
            if answer.status != 200:
                raise MachineListError(f"status {answer.status}")
            try:
                machines, page = decode_machines(answer.body)
            except WireError as error:
                raise MachineListError(str(error)) from error
            found.update((machine.name, machine) for machine in machines)
            if not page:
                return found

    async def send_order(self, order: MachineOrder, token: int) -> str:
        """Send an order and return the kind of its outcome.

        ``ok`` also stands for an order that was carried out before, ``unknown``
        for one that may have been carried out or may still be.
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
            answer = await self._http.call(
                "POST",
                self._address,
                path,
                msgspec.json.encode(body),
                CALL_TIMEOUT_MS,
                headers,
            )
        except NoAnswerError as error:
            return "unknown" if error.sent else "unavailable"
        if answer.status == 200:
            return "ok"
        if answer.status == 400:
            return "gone"
        if answer.status == 409:
            return _reason(answer.body)
        if answer.status >= 500 and answer.status != 503:
            return "unknown"
        return "unavailable"


def _reason(body: bytes) -> str:
    try:
        reason = msgspec.json.decode(body).get("reason")
    except (msgspec.MsgspecError, ValueError, AttributeError):
        reason = None
    return str(reason or "conflict")
