"""Stand-in for backend servers: several instances in one process."""

from pathlib import Path
from typing import Any
from urllib.parse import quote, unquote

import click
import msgspec
import trio
import yaml

from standins.backend_instance import BackendInstance, InstanceSettings
from standins.serving import Exchange, Listener, run_until_signal

__all__ = ["BackendServers", "main"]


class BackendServers:
    """The instances of one process and its control address.

    The control address stays reachable while an instance is down.

    Parameters
    ----------
    settings : list of InstanceSettings
        Instances; names must be unique.
    nursery : trio.Nursery
        Runs the tasks.
    control_address : str
        ``host:port`` of the control address.
    """

    def __init__(
        self,
        settings: list[InstanceSettings],
        nursery: trio.Nursery,
        control_address: str = "127.0.0.1:0",
    ) -> None:
        self.instances = {s.name: BackendInstance(s, nursery) for s in settings}
        if len(self.instances) != len(settings):
            raise ValueError("instance names must be unique")
        self.control = Listener(self.handle, control_address)

    @property
    def listeners(self) -> list[Listener]:
        """Listeners of the instances and the control address."""
        return [i.listener for i in self.instances.values()] + [self.control]

    def control_url(self, name: str) -> str:
        """Control URL of an instance, for its registration at the platform."""
        return f"http://{self.control.address}/standin/{quote(name, safe='')}"

    def ready(self) -> dict[str, object]:
        """Return the addresses for the line on standard output."""
        return {
            "ready": "backend_server",
            "control": f"http://{self.control.address}",
            "instances": {
                name: {
                    "address": instance.listener.address,
                    "control": self.control_url(name),
                }
                for name, instance in self.instances.items()
            },
        }

    async def handle(self, exchange: Exchange) -> None:
        """Answer ``/standin/{instance}/...``."""
        parts = [unquote(part) for part in exchange.path.strip("/").split("/")]
        instance = self.instances.get(parts[1]) if len(parts) > 2 else None
        if parts[0] != "standin" or instance is None:
            await exchange.answer_json(404, {"message": "unknown instance or path"})
            return
        await instance.control(exchange, parts[2:])

    async def watch_faults(self) -> None:
        """Open listeners again when a timed fault ends."""
        while True:
            await trio.sleep(0.05)
            for instance in self.instances.values():
                instance.switch_listener()


def _load(path: Path) -> tuple[str, list[InstanceSettings]]:
    document: Any = yaml.safe_load(path.read_text(encoding="utf-8"))
    try:
        instances = msgspec.convert(document["instances"], list[InstanceSettings])
        return str(document.get("control", "127.0.0.1:0")), instances
    except (msgspec.ValidationError, KeyError, TypeError, AttributeError) as error:
        raise click.BadParameter(f"{path}: {error}") from error


def _parse_option(text: str) -> InstanceSettings:
    pairs = [pair.partition("=") for pair in text.split(",")]
    fields = {name: value for name, _, value in pairs}
    try:
        return msgspec.convert(fields, InstanceSettings, strict=False)
    except msgspec.ValidationError as error:
        raise click.BadParameter(f"{text}: {error}") from error


async def _run(control: str, settings: list[InstanceSettings]) -> None:
    async with trio.open_nursery() as nursery:
        servers = BackendServers(settings, nursery, control)
        nursery.start_soon(servers.watch_faults)
        await run_until_signal(servers.listeners, servers.ready)
        nursery.cancel_scope.cancel()


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="YAML file with `instances` and optionally `control`.",
)
@click.option(
    "--instance",
    "options",
    multiple=True,
    help="name=NAME,address=HOST:PORT,slots=8,...; repeat for more instances.",
)
@click.option("--control", default=None, help="Control address.")
def main(path: Path | None, options: tuple[str, ...], control: str | None) -> None:
    """Run stand-in backend servers."""
    control_address, settings = _load(path) if path else ("127.0.0.1:0", [])
    settings += [_parse_option(option) for option in options]
    if not settings:
        raise click.UsageError("give --settings or at least one --instance")
    trio.run(_run, control or control_address, settings)


if __name__ == "__main__":
    main()
