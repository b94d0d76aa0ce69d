"""Stand-in for the platform: key-value store, instance list and reboots."""

import json
from typing import Any
from urllib.parse import unquote

import click
import httpcore
import trio

from standins.faults import Faults
from standins.gateway import FAULT_KINDS, Gateway
from standins.key_values import MAX_HISTORY, KeyValues
from standins.serving import Exchange, Lagged, Listener, run_until_signal

__all__ = ["Platform", "main"]

REBOOT_TIMEOUT_S = 2.0

_InstanceList = dict[str, list[str]]


class Platform:
    """The platform's two listeners and their state.

    The store listens on its own address, so that refusing its connections leaves
    the instance list and the switches reachable.

    Parameters
    ----------
    store_address : str
        ``host:port`` of the store.
    platform_address : str
        ``host:port`` of the instance list, the reboots and the switches.
    list_lag_ms : int
        Lag of the instance list.
    max_history : int
        Most changes that a watch can start back from.
    """

    def __init__(
        self,
        store_address: str = "127.0.0.1:0",
        platform_address: str = "127.0.0.1:0",
        list_lag_ms: int = 0,
        max_history: int = MAX_HISTORY,
    ) -> None:
        self._faults = Faults(FAULT_KINDS | {"instances_down"}, self._faults_changed)
        self._state = KeyValues(max_history)
        self._gateway = Gateway(self._state, self._faults)
        self._instances: dict[str, dict[str, str]] = {}
        self._list: Lagged[_InstanceList] = Lagged(
            {"live": [], "leaving": []}, list_lag_ms
        )
        self._reboots: dict[str, str] = {}
        self._reboot_lock = trio.Lock()
        self.store = Listener(self._gateway.handle, store_address)
        self.platform = Listener(self.handle, platform_address)

    @property
    def listeners(self) -> list[Listener]:
        """Both listeners."""
        return [self.store, self.platform]

    def ready(self) -> dict[str, object]:
        """Return the addresses for the line on standard output."""
        return {
            "ready": "platform",
            "store": f"http://{self.store.address}",
            "platform": f"http://{self.platform.address}",
        }

    async def watch_faults(self) -> None:
        """Open the store's listener again when a timed refusal ends."""
        while True:
            await trio.sleep(0.05)
            self._switch_listener()

    async def handle(self, exchange: Exchange) -> None:
        """Answer the instance list, reboots and switches."""
        match exchange.method, exchange.path.strip("/").split("/"):
            case "GET", ["v1", "instances"]:
                await self._answer_list(exchange)
            case "POST", ["v1", "instances", name, "reboot"]:
                await self._reboot(exchange, unquote(name))
            case "POST", ["standin", "instances"]:
                self._register(exchange.json())
                await exchange.answer_json(200, {"n_instances": len(self._instances)})
            case "POST", ["standin", "faults"]:
                await exchange.answer_json(200, self._faults.apply(exchange.json()))
            case "GET", ["standin", "faults"]:
                await exchange.answer_json(200, self._faults.describe())
            case "GET", ["standin", "counters"]:
                reboots = {"reboots": len(self._reboots)}
                await exchange.answer_json(200, self._gateway.counters() | reboots)
            case _:
                await exchange.answer_json(404, {"message": "unknown path"})

    async def _answer_list(self, exchange: Exchange) -> None:
        if await self._refused(exchange):
            return
        await exchange.answer_json(200, self._list.get())

    async def _refused(self, exchange: Exchange) -> bool:
        entry = exchange.header("apricotgap-entry")
        if self._faults.hit("instances_down", entry) is None:
            return False
        await exchange.answer_json(503, {"message": "the platform is unavailable"})
        return True

    def _register(self, body: dict[str, Any]) -> None:
        for instance in body["instances"]:
            state = instance.get("state", "live")
            if state not in ("live", "leaving", "gone"):
                raise ValueError(f"state must be live, leaving or gone, not {state}")
            known = self._instances.get(instance["name"], {})
            self._instances[instance["name"]] = {**known, **instance, "state": state}
        lists = {
            state: sorted(n for n, i in self._instances.items() if i["state"] == state)
            for state in ("live", "leaving")
        }
        if "lag_ms" in body:
            self._list.lag_ms = int(body["lag_ms"])
        self._list.put(lists, settled=bool(body.get("settled", False)))

    async def _reboot(self, exchange: Exchange, name: str) -> None:
        if await self._refused(exchange):
            return
        step_id = str(exchange.json()["step_id"])
        instance = self._instances.get(name)
        if instance is None or "control" not in instance:
            await exchange.answer_json(404, {"message": f"unknown instance {name}"})
            return
        async with self._reboot_lock:
            repeated = step_id in self._reboots
            if not repeated and not await _forward_reboot(instance["control"], step_id):
                await exchange.answer_json(502, {"message": f"{name} did not answer"})
                return
            self._reboots[step_id] = name
        await exchange.answer_json(200, {"instance": name, "repeated": repeated})

    def _faults_changed(self) -> None:
        self._switch_listener()
        self._state.wake()

    def _switch_listener(self) -> None:
        down = self._faults.active("store_down")
        if down is not None and down.options.get("mode", "refuse") == "refuse":
            self.store.close()
        else:
            self.store.reopen()


async def _forward_reboot(control_url: str, step_id: str) -> bool:
    try:
        with trio.fail_after(REBOOT_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                url = control_url.rstrip("/") + "/reboot"
                body = json.dumps({"step_id": step_id}).encode()
                return (await pool.request("POST", url, content=body)).status == 200
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        trio.TooSlowError,
    ):
        return False


async def _run(platform: Platform) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(platform.watch_faults)
        await run_until_signal(platform.listeners, platform.ready)
        nursery.cancel_scope.cancel()


@click.command()
@click.option("--store", default="127.0.0.1:0", help="Address of the store.")
@click.option("--platform", default="127.0.0.1:0", help="Address of the rest.")
@click.option("--list-lag-ms", default=0, help="Lag of the instance list.")
@click.option("--max-history", default=MAX_HISTORY, help="Changes kept for watches.")
def main(store: str, platform: str, list_lag_ms: int, max_history: int) -> None:
    """Run the platform stand-in."""

    async def run() -> None:
        await _run(Platform(store, platform, list_lag_ms, max_history))

    trio.run(run)


if __name__ == "__main__":
    main()
