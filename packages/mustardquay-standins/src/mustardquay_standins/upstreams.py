"""Upstreams: one engine or plain service in a separate process."""

import asyncio
from datetime import timedelta
from typing import Annotated

import typer

from .engines import EngineStandin
from .platforms import wait_for_signal
from .servers import StandinServer
from .services import ServiceStandin
from .states import EngineSetup

__all__ = ["main"]


async def _run(upstream: StandinServer, address: str, port: int) -> None:
    await upstream.start(address, port)
    typer.echo(f"upstream ready url={upstream.url}")
    await wait_for_signal()
    await upstream.close()


def main(
    kind: Annotated[str, typer.Option(help="engine or service")] = "engine",
    address: str = "127.0.0.1",
    port: int = 0,
    seed: int = 0,
    model: Annotated[str, typer.Option(help="Name of the loaded model.")] = "model",
    token_gap: Annotated[float, typer.Option(help="Seconds per token.")] = 0.002,
    prefill_rate: Annotated[float, typer.Option(help="Tokens per second.")] = 200_000.0,
    concurrency: Annotated[int, typer.Option(help="Concurrent requests.")] = 256,
    weights: Annotated[str, typer.Option(help="URL of the weight store.")] = "",
) -> None:
    """Run the stand-in for one upstream until SIGTERM or SIGINT."""
    upstream: StandinServer
    if kind == "engine":
        upstream = EngineStandin(
            seed=seed,
            setup=EngineSetup(models={model: "1"}),
            token_gap=timedelta(seconds=token_gap),
            prefill_rate=prefill_rate,
            concurrency=concurrency,
            weights_url=weights,
        )
    elif kind == "service":
        upstream = ServiceStandin(seed=seed)
    else:
        raise typer.BadParameter("use engine or service", param_hint="--kind")
    asyncio.run(_run(upstream, address, port))


if __name__ == "__main__":
    typer.run(main)
