"""Memory and processor time of requests with large bodies, for each way to end.

A gateway with a limit of memory runs as a process of its own, with stand-ins of the
store and of an upstream. Callers send requests with a body of 2 MB, a few at a time.
By hand: `python -m benchmarks.body_costs --requests 2000`.
"""

import asyncio
import os
import sys
import tempfile
from asyncio.subprocess import DEVNULL
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from .gateway_processes import (
    PROGRAM,
    read_cpu,
    read_resident,
    wait_until_ready,
    write_settings,
)

from gateway_sites import build_request, make_configuration  # noqa: E402 isort: skip
from standins import StoreStandIn, UpstreamStandIn  # noqa: E402 isort: skip

__all__ = ["ENDS", "measure", "run"]

BODY = b"x" * 2_000_000
MAX_BODY = 4_194_304
MEMORY_MB = 300
"""Memory at which the platform ends a process."""
CONCURRENT = 4
DEADLINE_MS = 400
SAMPLE_INTERVAL = 0.02
"""Seconds between two looks at the memory of the process."""
WARM_UP = 20
"""Requests before the first measurement."""

Script = Callable[..., Awaitable[None]]


async def _succeed(arrival, answer) -> None:
    answer.send(body=b"ok")


async def _fail(arrival, answer) -> None:
    answer.send(500, b"failed")


async def _refuse(arrival, answer) -> None:
    answer.send(503, b"", {"X-Not-Executed": "1"})


async def _lose_answer(arrival, answer) -> None:
    answer.reset()


async def _say_nothing(arrival, answer) -> None:
    await arrival.closed.wait()


async def _answer_largely(arrival, answer) -> None:
    answer.send(body=BODY)


@dataclass(frozen=True, slots=True)
class End:
    """A way for requests to end."""

    script: Script | None
    path: str = "/again/1"
    leaves: bool = False
    """Whether the caller closes its connection once it has sent the request."""


ENDS = {
    "answered": End(_succeed),
    "failed": End(_fail),
    "refused": End(_refuse),
    "lost": End(_lose_answer),
    "timed out": End(_say_nothing),
    "large answer": End(_answer_largely),
    "caller left": End(_say_nothing, leaves=True),
    "no upstream": End(None),
    "no route": End(_succeed, path="/none/"),
}


@dataclass(frozen=True, slots=True)
class Cost:
    """What the requests of one end cost."""

    growth: float
    """Bytes in memory after the last request, less those before the first, by
    request."""
    peak: int
    """Most bytes in memory."""
    cpu: float
    """Processor seconds by request."""


async def measure(name: str, requests: int) -> Cost:
    """Play the requests of one end with a gateway of their own."""
    end = ENDS[name]
    store, upstream = StoreStandIn(), UpstreamStandIn("u1", end.script)
    await store.start()
    await upstream.start()
    document = make_configuration()
    document["limits"] |= {"max_body_bytes": MAX_BODY}
    store.put("op", "config", document)
    if end.script is not None:
        store.put("servers", "u1", upstream.describe())
    with tempfile.TemporaryDirectory() as folder:
        lines = [f"memory = {MEMORY_MB}"]
        settings, ports = write_settings(Path(folder), store.address, lines)
        process = await asyncio.create_subprocess_exec(
            sys.executable, *PROGRAM, str(settings), stdout=DEVNULL, env=os.environ
        )
        try:
            async with asyncio.timeout(30):
                await wait_until_ready(ports["readiness"])
            return await _play(end, upstream, process.pid, ports["listen"], requests)
        finally:
            process.kill()
            await process.wait()
            upstream.close()
            store.close()


async def _play(
    end: End, upstream: UpstreamStandIn, pid: int, port: int, requests: int
) -> Cost:
    await _send_all(end, upstream, port, WARM_UP)
    before, cpu = read_resident(pid), read_cpu(pid)
    peaks = [before]
    watching = asyncio.create_task(_watch(pid, peaks))
    await _send_all(end, upstream, port, requests)
    watching.cancel()
    growth = (read_resident(pid) - before) / requests
    return Cost(growth, max(peaks), (read_cpu(pid) - cpu) / requests)


async def _watch(pid: int, peaks: list[int]) -> None:
    while True:
        peaks.append(read_resident(pid))
        await asyncio.sleep(SAMPLE_INTERVAL)


async def _send_all(
    end: End, upstream: UpstreamStandIn, port: int, requests: int
) -> None:
    left = iter(range(requests))

    async def send_some() -> None:
        for _ in left:
            await _send(end, port)
            upstream.arrivals.clear()

    await asyncio.gather(*(send_some() for _ in range(CONCURRENT)))


async def _send(end: End, port: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    fields = {"X-Deadline-Ms": str(DEADLINE_MS), "Connection": "close"}
    try:
        writer.write(build_request(end.path, "POST", BODY, fields))
        await writer.drain()
        while not end.leaves and await reader.read(2**20):
            pass
    except ConnectionError:
        # A refusal before the body is read resets the connection.
        pass
    finally:
        writer.close()


def run(requests: int) -> bool:
    """Play each way to end; returns whether all peaks kept below their bound."""
    is_met = True
    typer.echo(f"{'end':14}{'KB a request':>14}{'peak MB':>9}{'ms a request':>14}")
    for name in ENDS:
        cost = asyncio.run(measure(name, requests))
        typer.echo(
            f"{name:14}{cost.growth / 1e3:14.2f}{cost.peak / 1e6:9.0f}"
            f"{cost.cpu * 1e3:14.2f}"
        )
        is_met &= cost.peak < MEMORY_MB * 1e6
    return is_met


def main(requests: Annotated[int, typer.Option()] = 2_000) -> None:
    """Run the benchmark; exits with 1 if a bound was missed."""
    raise SystemExit(0 if run(requests) else 1)


if __name__ == "__main__":
    typer.run(main)
