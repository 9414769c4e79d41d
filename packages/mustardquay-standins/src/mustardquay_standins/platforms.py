"""Platforms: stand-ins for all platform services in one process."""

import asyncio
import signal
from typing import Annotated

import typer

from mustardquay import Clock

from .instances import InstanceStandin
from .objects import ObjectStandin
from .tables import TableStandin
from .weights import WeightStandin

__all__ = ["PlatformStandin", "main", "wait_for_signal"]


class PlatformStandin:
    """The table service, object store, weight store and instance list."""

    def __init__(self, clock: Clock | None = None, seed: int = 0):
        self.tables = TableStandin(clock, seed)
        self.objects = ObjectStandin(clock, seed)
        self.weights = WeightStandin(clock, seed)
        self.instances = InstanceStandin(clock, seed)

    async def start(
        self, address: str = "127.0.0.1", ports: tuple[int, int, int, int] = (0,) * 4
    ) -> None:
        """Listen on ports for tables, objects, weights and instances, in this order."""
        servers = (self.tables, self.objects, self.weights, self.instances)
        for server, port in zip(servers, ports, strict=True):
            await server.start(address, port)

    async def close(self) -> None:
        """Close all four servers."""
        for server in (self.tables, self.objects, self.weights, self.instances):
            await server.close()


async def wait_for_signal() -> None:
    """Return at SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()


async def _run(address: str, ports: tuple[int, int, int, int], seed: int) -> None:
    platform = PlatformStandin(seed=seed)
    await platform.start(address, ports)
    typer.echo(
        f"platform ready tables={platform.tables.url} objects={platform.objects.url}"
        f" weights={platform.weights.url} instances={platform.instances.url}"
    )
    await wait_for_signal()
    await platform.close()


def main(
    address: str = "127.0.0.1",
    tables: Annotated[int, typer.Option(help="Port of the table service.")] = 0,
    objects: Annotated[int, typer.Option(help="Port of the object store.")] = 0,
    weights: Annotated[int, typer.Option(help="Port of the weight store.")] = 0,
    instances: Annotated[int, typer.Option(help="Port of the instance list.")] = 0,
    seed: int = 0,
) -> None:
    """Run the stand-ins of the platform until SIGTERM or SIGINT."""
    asyncio.run(_run(address, (tables, objects, weights, instances), seed))


if __name__ == "__main__":
    typer.run(main)
