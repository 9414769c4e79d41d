"""Sites: a small site in one process, with stand-ins for the platform and upstreams.

The INI files are those of `examples/`; only the ports and the URLs of the platform and
the upstreams are replaced by those of the stand-ins.
"""

import asyncio
from collections.abc import Callable
from configparser import ConfigParser
from pathlib import Path
from typing import Annotated
from uuid import uuid4

import typer

from mustardquay.documents import (
    ContractDocument,
    LatenessDocument,
    parse_contract,
)
from mustardquay.events import Event
from mustardquay.plans import Release
from mustardquay.revisions import ContractAmendment, Edit, ReleaseAmendment
from mustardquay_node.agents import Agent
from mustardquay_node.entries import Entry
from mustardquay_node.node_settings import Settings
from mustardquay_node.settings import check_settings

from .engines import EngineStandin
from .instances import Instance
from .platforms import PlatformStandin, wait_for_signal
from .relays import RelayStandin
from .services import ServiceStandin
from .states import EngineSetup

__all__ = ["EXAMPLES", "SITE_NAMES", "Site", "main"]

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
SITE_NAMES = ("strassenmeldung", "syndesmos")
MODEL_VERSION = "1"
READY_TIMEOUT = 20.0
"""Seconds within which everything must be ready."""
POLL_INTERVAL = 0.02

Sections = dict[str, dict[str, str]]


class Site:
    """Entries, agents and stand-ins of one example site."""

    def __init__(
        self,
        name: str,
        seed: int = 0,
        write_event: Callable[[Event], None] | None = None,
        overrides: Sections | None = None,
        relayed: bool = False,
        lateness: LatenessDocument | None = None,
    ):
        """Read the example.

        `overrides` are settings for every process. With `relayed`, links go through
        relays that can simulate network failures; `relays` has them by agent.
        `lateness` replaces that of every contract, so that a test which does not
        measure time has the same result on a busy machine.
        """
        self._folder = EXAMPLES / name
        self._seed = seed
        self._write_event = write_event
        self._overrides = overrides or {}
        self._relayed = relayed
        self.platform = PlatformStandin(seed=seed)
        self.contracts = [
            parse_contract(path.read_text(encoding="utf-8"), str(path))
            for path in sorted((self._folder / "contracts").glob("*.ini"))
        ]
        if lateness is not None:
            self.contracts = [
                item.model_copy(update={"lateness": lateness})
                for item in self.contracts
            ]
        self.upstreams: dict[str, EngineStandin | ServiceStandin] = {}
        self.agents: dict[str, Agent] = {}
        self.entries: dict[str, Entry] = {}
        self.relays: dict[str, RelayStandin] = {}

    @property
    def customer(self) -> ContractDocument:
        """Return the broadest contract: one with services, and the largest share."""
        return max(self.contracts, key=lambda item: (bool(item.services), item.share))

    @property
    def admin_urls(self) -> list[str]:
        """Return the admin URLs of all processes, those of entries first."""
        nodes = (*self.entries.values(), *self.agents.values())
        return [f"http://127.0.0.1:{node.admin_port}" for node in nodes]

    @property
    def operator_key(self) -> str:
        """Return a key that the admin ports accept."""
        sections = _read_sections(*self._list_files()[0])
        return sections[sections["node"]["kind"]]["operator_keys"].split()[0]

    @property
    def engines(self) -> dict[str, EngineStandin]:
        """Return the engine stand-ins by upstream name."""
        return {
            name: upstream
            for name, upstream in self.upstreams.items()
            if isinstance(upstream, EngineStandin)
        }

    @property
    def services(self) -> dict[str, ServiceStandin]:
        """Return the service stand-ins by upstream name."""
        return {
            name: upstream
            for name, upstream in self.upstreams.items()
            if isinstance(upstream, ServiceStandin)
        }

    async def start(self) -> None:
        """Start the stand-ins, agents and entries, and apply the contracts."""
        await self.platform.start()
        processes = self._read_processes()
        for sections in processes:
            if sections["node"]["kind"] == "agent":
                await self._start_agent(sections)
        for sections in processes:
            if sections["node"]["kind"] == "entry":
                await self._start_entry(sections)
        self.register_instances()
        await self.wait_until_ready()
        await self._apply_contracts()

    async def close(self) -> None:
        """Stop gracefully: first the entries, then the agents and the stand-ins."""
        await asyncio.gather(*(entry.close() for entry in self.entries.values()))
        await asyncio.gather(*(agent.close() for agent in self.agents.values()))
        for relay in self.relays.values():
            await relay.close()
        for upstream in self.upstreams.values():
            await upstream.close()
        await self.platform.close()

    async def wait_until_ready(self) -> None:
        """Wait until every agent is ready and every entry reaches all of them."""
        async with asyncio.timeout(READY_TIMEOUT):
            while not self._is_ready():
                await asyncio.sleep(POLL_INTERVAL)

    def register_instances(self) -> None:
        """Replace the instance list by the processes that are running."""
        lines = [
            Instance(
                name,
                "agent",
                "127.0.0.1",
                self.relays[name].port if name in self.relays else agent.port,
                agent.availability_zone,
            )
            for name, agent in self.agents.items()
        ]
        lines += [
            Instance(name, "entry", "127.0.0.1", 0, entry.availability_zone)
            for name, entry in self.entries.items()
        ]
        self.platform.instances.set_instances(lines)

    def make_settings(self, sections: Sections) -> Settings:
        """Return checked settings with the stand-ins' URLs and free ports."""
        platform = self.platform
        sections["platform"] = sections.get("platform", {}) | {
            "tables": platform.tables.url,
            "objects": platform.objects.url,
            "instances": platform.instances.url,
        }
        kind = sections["node"]["kind"]
        sections["node"]["admin_port"] = "0"
        sections[kind]["port"] = "0"
        for name, values in self._overrides.items():
            if name not in ("entry", "agent") or name == kind:
                sections[name] = sections.get(name, {}) | values
        return check_settings(sections, sections["node"]["name"])

    def _list_files(self) -> list[tuple[Path, Path]]:
        common = self._folder / "common.ini"
        paths = sorted((self._folder / "processes").glob("*.ini"))
        return [(common, path) for path in paths]

    def _read_processes(self) -> list[Sections]:
        return [_read_sections(*files) for files in self._list_files()]

    async def _start_agent(self, sections: Sections) -> None:
        upstream = self._make_upstream(sections["agent"])
        await upstream.start()
        sections["agent"]["upstream"] = upstream.url
        settings = self.make_settings(sections)
        assert settings.agent is not None
        self.upstreams[settings.agent.upstream_name] = upstream
        agent = Agent(settings, write_event=self._write_event)
        await agent.start()
        self.agents[agent.name] = agent
        if self._relayed:
            relay = RelayStandin("127.0.0.1", agent.port)
            await relay.start()
            self.relays[agent.name] = relay

    def find_agent(self, upstream: str) -> Agent:
        """Return the agent beside an upstream."""
        return self.agents[f"agent-{upstream}"]

    def _make_upstream(self, section: dict[str, str]) -> EngineStandin | ServiceStandin:
        seed = self._seed + len(self.upstreams)
        if section.get("kind", "engine") == "service":
            return ServiceStandin(seed=seed)
        models = {name for item in self.contracts for name in item.models}
        adapters = {name for item in self.contracts for name in item.adapters}
        setup = EngineSetup(
            models=dict.fromkeys(sorted(models), MODEL_VERSION),
            adapters=tuple(sorted(adapters)),
        )
        weights = self.platform.weights.url
        return EngineStandin(seed=seed, setup=setup, weights_url=weights)

    async def _start_entry(self, sections: Sections) -> None:
        entry = Entry(self.make_settings(sections), write_event=self._write_event)
        await entry.start()
        self.entries[entry.name] = entry

    def _is_ready(self) -> bool:
        names = set(self.upstreams)
        return all(agent.is_ready for agent in self.agents.values()) and all(
            entry.is_ready and entry.list_reachable() == names
            for entry in self.entries.values()
        )

    async def _apply_contracts(self) -> None:
        adapters = {name for item in self.contracts for name in item.adapters}
        models = {name for item in self.contracts for name in item.models}
        amendments = [
            ReleaseAmendment(
                model,
                0,
                Release(model, MODEL_VERSION, adapters=tuple(sorted(adapters))),
            )
            for model in sorted(models)
        ]
        amendments += [
            ContractAmendment(item.customer, 0, item.to_contract())
            for item in self.contracts
        ]
        edit = Edit(uuid4().hex, "site", tuple(amendments))
        entry = next(iter(self.entries.values()))
        version = await entry.apply_edit(edit)
        async with asyncio.timeout(READY_TIMEOUT):
            while not self._is_in_force(version):
                await asyncio.sleep(POLL_INTERVAL)

    def _is_in_force(self, version: int) -> bool:
        nodes = (*self.entries.values(), *self.agents.values())
        return all(node.version >= version for node in nodes)


def _read_sections(*paths: Path) -> Sections:
    parser = ConfigParser(interpolation=None)
    for path in paths:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file, str(path))
    kind = parser["node"]["kind"]
    other = "agent" if kind == "entry" else "entry"
    sections = {name: dict(parser[name]) for name in parser.sections()}
    sections.pop(other, None)
    return sections


async def _run(name: str, seed: int) -> None:
    site = Site(name, seed)
    await site.start()
    entries = ",".join(entry.url for entry in site.entries.values())
    customer = site.customer
    typer.echo(
        f"site ready entry={entries} admin={site.admin_urls[0]} "
        f"key={customer.keys[0]} model={customer.models[0]} "
        f"service={customer.services[0]}"
    )
    typer.echo(
        f"for operators: export MUSTARDQUAY_KEY={site.operator_key} "
        f'MUSTARDQUAY_ADMIN="{" ".join(site.admin_urls)}"'
    )
    await wait_for_signal()
    await site.close()


def main(
    site: Annotated[str, typer.Option(help=f"One of {', '.join(SITE_NAMES)}.")],
    seed: int = 0,
) -> None:
    """Run a site until SIGTERM or SIGINT, then stop gracefully."""
    asyncio.run(_run(site, seed))


if __name__ == "__main__":
    typer.run(main)
