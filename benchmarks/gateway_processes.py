"""Gateways that run as processes of their own, for benchmarks."""

import asyncio
import os
import socket
import sys
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "platform" / "adapter_tests"))

from gateway_sites import build_request  # noqa: E402
from standins import read_message  # noqa: E402

__all__ = [
    "PROGRAM",
    "call",
    "read_cpu",
    "read_resident",
    "wait_until_ready",
    "write_settings",
]

PROGRAM = ("-m", "mustardquay_node.programs")
FIRST_PORT = 12_000
PORT_RANGE = 100
PORT_RANGES = 50
"""Number of port ranges; concurrent runs choose theirs by process id."""
POLL_INTERVAL = 0.002
"""Seconds between two readiness checks."""


def write_settings(
    folder: Path, store: str, lines: Sequence[str] = ()
) -> tuple[Path, dict[str, int]]:
    """Write settings with free ports; `lines` are added to those of the gateway.

    Returns the file and its ports, by the names of the settings.
    """
    names = ("listen", "readiness", "peer_port", "metrics_port")
    ports = dict(zip(names, _find_ports(len(names)), strict=True))
    text = [
        "[node]",
        "name = g1",
        "kind = gateway",
        "availability_zone = a",
        "address = 127.0.0.1",
        "[store]",
        f"address = {store}",
        "[gateway]",
        f"listen = 127.0.0.1:{ports['listen']}",
        f"readiness = 127.0.0.1:{ports['readiness']}",
        f"peer_port = {ports['peer_port']}",
        f"metrics_port = {ports['metrics_port']}",
        *lines,
    ]
    path = folder / "gateway.ini"
    path.write_text("\n".join(text), encoding="utf-8")
    return path, ports


def _find_ports(count: int) -> list[int]:
    """Return free ports below those that the system uses for outgoing connections.

    Otherwise another process could take one before the gateway listens on it.
    """
    ports: list[int] = []
    port = FIRST_PORT + os.getpid() % PORT_RANGES * PORT_RANGE
    while len(ports) < count:
        port += 1
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        ports.append(port)
    return ports


async def wait_until_ready(port: int) -> None:
    """Wait until the readiness address of a gateway answers 200."""
    while True:
        try:
            if await call(port, "/-/ready") == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(POLL_INTERVAL)


async def call(port: int, path: str) -> int:
    """Send one request and return the status of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(build_request(path, "GET", b"", None))
        line, _, _ = await read_message(reader)
    finally:
        writer.close()
    return int(line.split()[1])


def read_cpu(pid: int) -> float:
    """Return the processor seconds of all threads; the kernel counts in ns."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(each.read_text().split()[0]) for each in tasks) / 1e9


def read_resident(pid: int) -> int:
    """Return the bytes that a process has in memory."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
