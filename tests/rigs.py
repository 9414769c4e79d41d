"""Test rig: a whole site whose processes, links and stand-ins fail on demand."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from datetime import timedelta
from itertools import count
from pathlib import Path

from tornado.httpclient import HTTPError

from mustardquay.documents import LatenessDocument
from mustardquay_node.agents import Agent
from mustardquay_standins.answers import expected_text
from mustardquay_standins.clients import SiteClient, read_stream_text
from mustardquay_standins.instances import Instance
from mustardquay_standins.relays import RelayStandin
from mustardquay_standins.services import ServiceStandin
from mustardquay_standins.sites import Site

TIMEOUT = 30.0
"""Seconds after which a wait fails."""
PORT_RANGE = range(20_000, 32_000)
PORTS_PER_RUN = 97
"""Distance between the first ports of two test processes with consecutive ids."""
_port_numbers = count(os.getpid() * PORTS_PER_RUN)
LENIENT_LATENESS = LatenessDocument(
    first_token=timedelta(seconds=8), whole=timedelta(seconds=60)
)
"""Lateness limits that a busy machine does not exceed."""
LINK = {"heartbeat": "0.1", "silence": "0.5"}
TOKENS = 200
PROMPT = "Draft the alert for the ramp at Linz"
ALERT = {"text": "ramp closed"}


class Rig:
    """A site, its caller, relays in front of agents, and nodes in own processes."""

    def __init__(self, folder: Path):
        self.site = Site(
            "strassenmeldung",
            seed=1,
            overrides={"link": LINK},
            lateness=LENIENT_LATENESS,
        )
        self.client = SiteClient(self.site.customer.keys[0])
        self.relays: dict[str, RelayStandin] = {}
        self._folder = folder
        self._processes: list[subprocess.Popen] = []
        self._services: list[ServiceStandin] = []

    @property
    def model(self) -> str:
        return self.site.customer.models[0]

    @property
    def entries(self) -> list[str]:
        return [entry.url for entry in self.site.entries.values()]

    @property
    def executions(self) -> int:
        services = [*self.site.services.values(), *self._services]
        return sum(service.counters.executions for service in services)

    @property
    def runs(self) -> int:
        engines = self.site.engines.values()
        return sum(sum(item.counters.runs_by_prompt.values()) for item in engines)

    async def start(self) -> None:
        await self.site.start()

    async def close(self) -> None:
        for process in self._processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.client.close()
        await self.site.close()
        for item in (*self.relays.values(), *self._services):
            await item.close()

    async def insert_relays(self) -> None:
        """Route every link through a relay."""
        lines = []
        for name, agent in self.site.agents.items():
            relay = RelayStandin("127.0.0.1", agent.port)
            await relay.start()
            self.relays[name] = relay
            zone = agent.availability_zone
            lines.append(Instance(name, "agent", "127.0.0.1", relay.port, zone))
        self.list_instances(lines)
        entries = self._all()
        await wait_until(lambda: all(self._is_relayed(entry) for entry in entries))

    def _is_relayed(self, entry) -> bool:
        """Return whether all the links of an entry go through the relays."""
        peers = entry._dispatcher._peers
        return all(
            peers[name].link is not None
            and peers[name].view is not None
            and peers[name].dialer.endpoint == (relay.address, relay.port)
            for name, relay in self.relays.items()
        )

    def _all(self):
        return list(self.site.entries.values())

    def list_instances(self, agents: list[Instance]) -> None:
        entries = [
            Instance(name, "entry", "127.0.0.1", 0, entry.availability_zone)
            for name, entry in self.site.entries.items()
        ]
        self.site.platform.instances.set_instances([*agents, *entries])

    async def start_process_agent(
        self, start_front: Callable[[str], Awaitable[str]] | None = None
    ) -> tuple[subprocess.Popen, ServiceStandin]:
        """Route all alerts through an agent in a process of its own.

        `start_front` starts what stands before the service with a URL, and returns the
        URL of that.
        """
        service = ServiceStandin()
        await service.start()
        url = await start_front(service.url) if start_front else service.url
        self._services.append(service)
        for agent in self.service_agents():
            await agent.close()
            del self.site.agents[agent.name]
        port = find_free_port()
        path = self._folder / "agent.ini"
        path.write_text(self._write_settings(port, url), encoding="utf-8")
        command = [sys.executable, "-m", "mustardquay_node.programs", str(path)]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        self._processes.append(process)
        lines = [
            Instance(name, "agent", "127.0.0.1", agent.port, agent.availability_zone)
            for name, agent in self.site.agents.items()
        ]
        self.list_instances(
            [*lines, Instance("agent-alone", "agent", "127.0.0.1", port, "linz")]
        )
        await wait_until(
            lambda: all("alone" in e.list_reachable() for e in self._all())
        )
        return process, service

    async def start_process_entry(self) -> tuple[subprocess.Popen, str]:
        """Start another entry in a process of its own."""
        port = find_free_port()
        path = self._folder / "entry.ini"
        path.write_text(self._write_entry_settings(port), encoding="utf-8")
        command = [sys.executable, "-m", "mustardquay_node.programs", str(path)]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        self._processes.append(process)
        url = f"http://127.0.0.1:{port}"
        hours = f"{url}/services/alerts/hours"
        async with asyncio.timeout(TIMEOUT):
            while await read_status(self.client.call("GET", hours)) != 200:
                await asyncio.sleep(0.05)
        return process, url

    def service_agents(self) -> list[Agent]:
        return [a for name, a in self.site.agents.items() if "alerts" in name]

    def _write_entry_settings(self, port: int) -> str:
        text = self._write_settings(port, "").partition("[agent]")[0]
        text = text.replace("agent-alone", "entry-alone").replace("agent", "entry")
        return f"{text}[entry]\nport = {port}\noperator_keys = key\n"

    def _write_settings(self, port: int, upstream: str) -> str:
        platform = self.site.platform
        link = "\n".join(f"{name} = {value}" for name, value in LINK.items())
        keys = next(iter(self._all()))._deps.settings.link.keys[0]
        return f"""
[node]
name = agent-alone
kind = agent
availability_zone = linz
[platform]
tables = {platform.tables.url}
objects = {platform.objects.url}
instances = {platform.instances.url}
[link]
keys = {keys}
{link}
[agent]
port = {port}
kind = service
upstream = {upstream}
upstream_name = alone
service = alerts
"""

    def alert(self, key: str, entry: int | str = 0):
        base = entry if isinstance(entry, str) else self.entries[entry]
        headers = {"Idempotency-Key": key}
        url = f"{base}/services/alerts/alerts"
        return asyncio.ensure_future(self.client.call("POST", url, ALERT, headers))

    def stream(self, prompt: str = PROMPT, entry: int = 0):
        call = self.client.chat(self.entries[entry], self.model, prompt, TOKENS, True)
        return asyncio.ensure_future(call)

    def find_running(self) -> str:
        """Return the name of the engine that runs a request, or an empty string."""
        names = [name for name, item in self.site.engines.items() if item.running]
        return names[0] if names else ""

    async def wait_for_tokens(self, count: int = 20) -> str:
        """Wait until a stream has produced tokens; return the engine that runs it."""
        engines = self.site.engines.values()
        await wait_until(lambda: sum(item.counters.tokens for item in engines) >= count)
        return self.find_running()

    def find_agent(self, upstream: str) -> Agent:
        return next(
            agent
            for agent in self.site.agents.values()
            if agent._settings.upstream_name == upstream
        )


def find_free_port() -> int:
    """Return a free port for a process that is started next.

    Another process must not take the port in the meantime: the system uses ports above
    this range for outgoing connections, and other test runs start elsewhere in it.
    """
    for number in _port_numbers:
        port = PORT_RANGE[number % len(PORT_RANGE)]
        with socket.socket() as found:
            try:
                found.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("The iterator of port numbers is infinite.")


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT):
        while not condition():
            await asyncio.sleep(0.005)


async def read_status(call) -> int:
    """Return the status, or 0 if the connection was reset or refused."""
    try:
        return (await call).status
    except (OSError, HTTPError):
        return 0


def check_whole(answer, prompt: str = PROMPT) -> None:
    text, done = read_stream_text(answer.body)
    assert (answer.status, done) == (200, True)
    assert text == expected_text(prompt, TOKENS)
