"""Stacks: one entry, one agent and the stand-ins they need, as separate processes."""

import asyncio
import socket
from configparser import ConfigParser
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib.request import Request, urlopen

import orjson

from .children import Child, start_child
from .loads import LoadTarget

__all__ = ["Stack", "StackOptions"]

ADDRESS = "127.0.0.1"
OPERATOR_KEY = "benchmark-operator-key"
CUSTOMER_KEY = "benchmark-customer-key"
MODEL = "model"
SERVICE = "bookings"
READY_TIMEOUT = 20.0
POLL_INTERVAL = 0.05
NODE_MODULE = "mustardquay_node.programs"


@dataclass(frozen=True, slots=True)
class StackOptions:
    """Options that a benchmark can set."""

    token_gap: float = 0.002
    concurrency: int = 256
    log_level: str = "info"
    profiles: dict[str, str] = field(default_factory=dict)
    """Output file of cProfile, by `entry`, `agent` or `proxy`."""


class Stack:
    """The processes of one run; `children` holds them by name."""

    def __init__(self, options: StackOptions | None = None):
        self._options = options or StackOptions()
        self._folder = TemporaryDirectory(prefix="mustardquay-benchmark-")
        self._entry_port = 0
        self._admin_port = 0
        self.children: dict[str, Child] = {}

    @property
    def path_target(self) -> LoadTarget:
        """Return the entry as a target."""
        prefix = f"/services/{SERVICE}"
        return LoadTarget(
            [f"http://{ADDRESS}:{self._entry_port}"],
            MODEL,
            CUSTOMER_KEY,
            f"{prefix}/hours",
            f"{prefix}/bookings",
        )

    @property
    def proxy_target(self) -> LoadTarget:
        """Return the bare proxy as a target."""
        return LoadTarget([self.children["proxy"].get_ready_value("url")], MODEL)

    @property
    def engine_target(self) -> LoadTarget:
        """Return the engine as a target, without a proxy."""
        return LoadTarget([self.children["engine"].get_ready_value("url")], MODEL)

    async def start(self) -> None:
        """Start all processes and wait until requests are served."""
        options = self._options
        self.children["platform"] = await start_child("mustardquay_standins.platforms")
        self.children["engine"] = await start_child(
            "mustardquay_standins.upstreams",
            f"--token-gap={options.token_gap}",
            f"--concurrency={options.concurrency}",
        )
        engine = self.children["engine"].get_ready_value("url")
        self.children["proxy"] = await start_child(
            "benchmarks.proxies", engine, before=self._make_profiler("proxy")
        )
        agent_port, self._entry_port, self._admin_port = _find_ports(3)
        await self._start_node("agent", agent_port, 0, {"upstream": engine})
        await self._start_node("entry", self._entry_port, self._admin_port, {})
        self._register_instances(agent_port)
        await self._wait_until_ready()
        self._call("POST", "/admin/contracts", {"contracts": [_make_contract()]})
        await self._wait_until_served()

    async def close(self) -> None:
        """Stop all processes, in the order of a request's path."""
        for name in ("entry", "agent", "proxy", "engine", "platform"):
            if name in self.children:
                await self.children[name].stop()
        self._folder.cleanup()

    async def _start_node(
        self, kind: str, port: int, admin_port: int, more: dict[str, str]
    ) -> None:
        platform = self.children["platform"]
        settings = ConfigParser(interpolation=None)
        settings["node"] = {
            "name": f"{kind}-1",
            "kind": kind,
            "availability_zone": "zone-a",
            "admin_port": str(admin_port),
            "log_level": self._options.log_level,
        }
        settings["platform"] = {
            name: platform.get_ready_value(name)
            for name in ("tables", "objects", "instances")
        }
        settings["link"] = {"keys": "benchmark-link-key"}
        settings[kind] = {"port": str(port), "operator_keys": OPERATOR_KEY} | more
        if kind == "agent":
            settings[kind]["upstream_name"] = "engine-1"
            settings[kind]["concurrency"] = str(self._options.concurrency)
        path = Path(self._folder.name) / f"{kind}.ini"
        with path.open("w", encoding="utf-8") as file:
            settings.write(file)
        profiler = self._make_profiler(kind)
        self.children[kind] = await start_child(
            NODE_MODULE, str(path), ready=False, before=profiler
        )

    def _make_profiler(self, name: str) -> tuple[str, ...]:
        path = self._options.profiles.get(name)
        return ("-m", "cProfile", "-o", path) if path else ()

    def _register_instances(self, agent_port: int) -> None:
        common = {"address": ADDRESS, "availability_zone": "zone-a", "state": "live"}
        instances = [
            common | {"name": "agent-1", "kind": "agent", "port": agent_port},
            common | {"name": "entry-1", "kind": "entry", "port": 0},
        ]
        url = self.children["platform"].get_ready_value("instances") + "/instances"
        _fetch("PUT", url, {"instances": instances})

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT):
            while not self._is_reached("/readyz"):
                await asyncio.sleep(POLL_INTERVAL)

    async def _wait_until_served(self) -> None:
        target = self.path_target
        body = {"model": MODEL, "prompt": "ready?", "max_tokens": 1}
        url = target.urls[0] + "/v1/completions"
        async with asyncio.timeout(READY_TIMEOUT):
            while True:
                try:
                    _fetch("POST", url, body, CUSTOMER_KEY)
                    return
                except OSError:
                    await asyncio.sleep(POLL_INTERVAL)

    def _is_reached(self, path: str) -> bool:
        try:
            self._call("GET", path)
        except OSError:
            return False
        return True

    def _call(self, method: str, path: str, body: object = None) -> bytes:
        url = f"http://{ADDRESS}:{self._admin_port}{path}"
        return _fetch(method, url, body, OPERATOR_KEY)


def _make_contract() -> dict[str, object]:
    return {
        "customer": "benchmark",
        "keys": [CUSTOMER_KEY],
        "share": 1.0,
        "models": [MODEL],
        "lateness": {"first_token": 20, "between_tokens": 1, "whole": 60},
    }


def _find_ports(count: int) -> list[int]:
    sockets = [socket.create_server((ADDRESS, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def _fetch(method: str, url: str, body: object = None, key: str = "") -> bytes:
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    data = None if body is None else orjson.dumps(body)
    request = Request(url, data, headers, method=method)
    with urlopen(request, timeout=5) as response:
        return response.read()
