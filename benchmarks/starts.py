"""Costs of a gateway's start until it is ready for callers.

A real process starts with the store stand-in of the adapter's tests, and is killed once
its readiness address has answered 200 and a caller has been answered. It alternates
with a process that only loads the complete libraries, which is the reference for the
ratio, and with one that is timed in parts. All read compiled modules from a separate
folder, as an installation does.
"""

import asyncio
import json
import os
import sys
import tempfile
import time
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, fields
from pathlib import Path
from statistics import median

import typer

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "platform" / "adapter_tests"))

from gateway_sites import make_configuration  # noqa: E402
from standins import StoreStandIn, UpstreamStandIn  # noqa: E402

from .gateway_processes import (  # noqa: E402
    PROGRAM,
    call,
    read_cpu,
    wait_until_ready,
    write_settings,
)

__all__ = ["measure", "run"]

ROUNDS = 9
LIBRARIES = (
    "capnp",
    "eliot",
    "opentelemetry.exporter.prometheus",
    "orjson",
    "pydantic",
    "tornado.httpserver",
    "tornado.web",
    "typer",
)
"""Modules that the reference process loads; the versions are pinned."""
LOAD_LIBRARIES = "; ".join(f"import {name}" for name in LIBRARIES)
LOAD_GATEWAY = """
import mustardquay_node.processes
import mustardquay_node.gateways
import mustardquay_platform
"""
PARTS = f"""
import gc, os, time
def note():
    print(time.monotonic(), time.process_time())
gc.disable()
os.environ["PYDANTIC_DISABLE_PLUGINS"] = "__all__"
note()
{LOAD_GATEWAY}
note()
import sys
from pathlib import Path
from mustardquay_node.settings import read_settings
read_settings(Path(sys.argv[1]))
note()
"""
"""Code that times the parts, with the interpreter set up as in the program."""
PACKAGES_SHOWN = 12
READY_TIMEOUT = 30.0
"""Seconds after which a process that isn't ready fails the benchmark."""
CPU_BOUND = 1.02
"""Maximum processor time until ready, relative to loading the complete libraries: half
of the ratio when all modules were loaded at the start."""


@dataclass(frozen=True, slots=True)
class Start:
    """Times of one start of a gateway, in seconds."""

    cpu: float
    """Processor time until ready."""
    wall: float
    """From the creation of the process until it was ready."""
    started: float
    """From the creation of the process until it listened and followed the store."""
    first_request: float
    second_request: float
    first_page: float
    """The first request of the metrics page."""


@dataclass(frozen=True, slots=True)
class Parts:
    """Wall and processor seconds of each part of loading a gateway."""

    interpreter: tuple[float, float]
    imports: tuple[float, float]
    settings: tuple[float, float]


class Gateways:
    """Starts gateways with stand-ins of the store and of one upstream."""

    def __init__(self, folder: Path):
        self._folder = folder
        self._store = StoreStandIn()
        self._upstream = UpstreamStandIn("u1")
        self._environment = os.environ | {"PYTHONPYCACHEPREFIX": str(folder / "code")}
        self._environment.pop("PYTHONDONTWRITEBYTECODE", None)

    async def start(self) -> None:
        """Start the stand-ins, and compile the modules by loading them once."""
        await self._store.start()
        await self._upstream.start()
        self._store.put("op", "config", make_configuration())
        self._store.put("servers", "u1", self._upstream.describe())
        for code in (LOAD_LIBRARIES, LOAD_GATEWAY):
            await self.load(code)
        await self.run_once()

    def close(self) -> None:
        """Stop the stand-ins."""
        self._store.close()
        self._upstream.close()

    async def load(self, code: str) -> float:
        """Run code in a process and return its processor seconds."""
        code += "\nimport time; print(time.process_time())"
        return float(await self._read_output("-c", code))

    async def list_packages(self) -> Counter[str]:
        """Return each package's loading time in seconds, without its imports."""
        process = await self._run("-X", "importtime", "-c", LOAD_GATEWAY, errors=PIPE)
        _, errors = await process.communicate()
        seconds: Counter[str] = Counter()
        for line in errors.decode().splitlines()[1:]:
            own, _, name = line.removeprefix("import time:").split("|")
            seconds[name.strip().partition(".")[0]] += int(own) / 1e6
        return seconds

    async def time_parts(self) -> Parts:
        """Return the times of the parts of loading a gateway."""
        settings, _ = write_settings(self._folder, self._store.address)
        before = (time.monotonic(), 0.0)
        output = await self._read_output("-c", PARTS, str(settings))
        notes = [tuple(map(float, line.split())) for line in output.splitlines()]
        parts = [
            (after[0] - earlier[0], after[1] - earlier[1])
            for earlier, after in zip([before, *notes], notes, strict=False)
        ]
        return Parts(*parts)

    async def run_once(self) -> Start:
        """Start a gateway, wait until it is ready, send requests, and kill it."""
        settings, ports = write_settings(self._folder, self._store.address)
        before, wall_before = time.monotonic(), time.time()
        process = await self._run(*PROGRAM, str(settings), output=PIPE)
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                await wait_until_ready(ports["readiness"])
                cpu, wall = read_cpu(process.pid), time.monotonic() - before
                first = await _time_call(ports["listen"], "/again/1")
                second = await _time_call(ports["listen"], "/again/1")
                page = await _time_call(ports["metrics_port"], "/metrics")
                started = await _read_started(process) - wall_before
        finally:
            if process.returncode is None:
                process.kill()
            await process.communicate()
        return Start(cpu, wall, started, first, second, page)

    async def _read_output(self, *arguments: str) -> str:
        process = await self._run(*arguments, output=PIPE)
        output, _ = await process.communicate()
        if process.returncode:
            raise RuntimeError(f"A process ended with {process.returncode}.")
        return output.decode()

    async def _run(
        self, *arguments: str, output: int = DEVNULL, errors: int | None = None
    ) -> Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=output,
            stderr=errors,
            env=self._environment,
        )


async def _time_call(port: int, path: str) -> float:
    before = time.monotonic()
    status = await call(port, path)
    if status != 200:
        raise RuntimeError(f"{path} was answered with {status}.")
    return time.monotonic() - before


async def _read_started(process: Process) -> float:
    """Return the timestamp of the event `process.started`."""
    assert process.stdout is not None
    async for line in process.stdout:
        entry = json.loads(line)
        if entry.get("kind") == "process.started":
            return entry["timestamp"]
    raise RuntimeError("A gateway ended before it had started.")


async def measure(rounds: int = ROUNDS) -> tuple[list[float], list[Parts], list[Start]]:
    """Return the references, the parts and the complete starts of some rounds."""
    references, parts, starts = [], [], []
    with tempfile.TemporaryDirectory() as folder:
        gateways = Gateways(Path(folder))
        await gateways.start()
        try:
            for _ in range(rounds):
                references.append(await gateways.load(LOAD_LIBRARIES))
                parts.append(await gateways.time_parts())
                starts.append(await gateways.run_once())
            _show_packages(await gateways.list_packages())
        finally:
            gateways.close()
    return references, parts, starts


def _show_packages(seconds: Counter[str]) -> None:
    shown = ", ".join(
        f"{name} {own * 1e3:.0f}" for name, own in seconds.most_common(PACKAGES_SHOWN)
    )
    typer.echo(
        f"ms to load by package, traced: {shown}; all {seconds.total() * 1e3:.0f}"
    )


def _show_parts(parts: Sequence[Parts], starts: Sequence[Start]) -> None:
    walls, cpus = [], []
    for part in fields(Parts):
        values = [getattr(each, part.name) for each in parts]
        wall, cpu = (median(each[index] for each in values) for index in (0, 1))
        _show_part(part.name, wall, cpu)
        walls.append(wall)
        cpus.append(cpu)
    whole = median(each.wall for each in starts)
    started = median(each.started for each in starts)
    _show_part("building and listening", started - sum(walls))
    _show_part("first look at the store", whole - started)
    cpu = median(each.cpu for each in starts)
    _show_part("both together", whole - sum(walls), cpu - sum(cpus))
    _show_part("whole", whole, cpu)


def _show_part(name: str, wall: float, cpu: float | None = None) -> None:
    shown = "" if cpu is None else f", {cpu * 1e3:4.0f} ms of processor time"
    typer.echo(f"{name:24} {wall * 1e3:4.0f} ms{shown}")


def _show_first_calls(starts: Sequence[Start]) -> None:
    for name in ("first_request", "second_request", "first_page"):
        seconds = median(getattr(each, name) for each in starts)
        typer.echo(f"{name:24} {seconds * 1e3:6.1f} ms")


def run(short: bool) -> bool:
    """Run the benchmark; a short run does nothing, since all figures are times."""
    if short:
        return True
    typer.echo(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    references, parts, starts = asyncio.run(measure())
    _show_parts(parts, starts)
    _show_first_calls(starts)
    ratio = median(each.cpu for each in starts) / median(references)
    typer.echo(
        f"CPU until ready, to loading the libraries in full "
        f"({median(references) * 1e3:.0f} ms): {ratio:.2f}, bound {CPU_BOUND}"
    )
    return ratio <= CPU_BOUND


if __name__ == "__main__":
    sys.exit(not run(short=False))
