"""The admin ports of an entry and an agent in a thread, with an in-memory log."""

import asyncio
from dataclasses import dataclass, field
from datetime import UTC, datetime
from threading import Thread

import pytest
from typer.testing import CliRunner

from mustardquay import EventRing, HybridClock, VirtualClock
from mustardquay.revisions import Configuration, Edit, Entry, apply_entry, check_edit
from mustardquay_cli.commands import app
from mustardquay_node.admins import AdminDependencies, AdminServer
from mustardquay_node.metrics import NodeMetrics
from mustardquay_node.statuses import Probe, ProcessStatus, UpstreamStatus

KEY = "operator-key"


@dataclass
class MemoryActions:
    """A configuration log in memory that applies each change id once."""

    configuration: Configuration = field(default_factory=Configuration)
    versions: dict[str, int] = field(default_factory=dict)
    faults: list[Exception] = field(default_factory=list)
    """Errors that the next edits raise after they were applied."""
    notes: list[str] = field(default_factory=list)

    async def read_configuration(self) -> Configuration:
        return self.configuration

    async def apply_edit(self, edit: Edit) -> int:
        if edit.change_id not in self.versions:
            check_edit(self.configuration, edit)
            entry = Entry(self.configuration.version + 1, edit)
            self.configuration = apply_entry(self.configuration, entry)
            self.versions[edit.change_id] = entry.version
        if self.faults:
            raise self.faults.pop(0)
        return self.versions[edit.change_id]

    async def preview_edit(self, edit: Edit) -> list[str]:
        check_edit(self.configuration, edit)
        return list(self.notes)


class Site:
    """The admin ports of an entry and an agent, and a runner of commands."""

    def __init__(self):
        self.actions = MemoryActions()
        self.peers: dict[str, int] = {}
        clock = VirtualClock(datetime(2026, 12, 3, 4, tzinfo=UTC))
        self.clock = clock
        self.rings = {
            name: EventRing(name, HybridClock(clock)) for name in ("entry-1", "agent-1")
        }
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._loop.run_forever)
        self._servers: list[AdminServer] = []

    @property
    def urls(self) -> list[str]:
        return [f"http://127.0.0.1:{server.port}" for server in self._servers]

    def start(self) -> None:
        self._thread.start()
        for name, actions in (("entry-1", self.actions), ("agent-1", None)):
            deps = AdminDependencies(
                operator_keys=(KEY,),
                ring=self.rings[name],
                metrics=NodeMetrics(name, name.partition("-")[0], "linz"),
                read_status=lambda name=name: self._read_status(name),
                probe_health=lambda: Probe(True),
                probe_readiness=lambda: Probe(True),
                actions=actions,
            )
            server = AdminServer(deps, "127.0.0.1", 0)
            self._call(self._start_server(server))
            self._servers.append(server)

    def close(self) -> None:
        for server in self._servers:
            self._call(server.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(
        self, *arguments: object, code: int | None = 0, urls: list[str] | None = None
    ):
        environment = {
            "MUSTARDQUAY_ADMIN": " ".join(self.urls if urls is None else urls),
            "MUSTARDQUAY_KEY": KEY,
            "COLUMNS": "80",
            "TERMINAL_WIDTH": "80",
        }
        result = CliRunner().invoke(
            app, list(map(str, arguments)), env=environment, prog_name="mustardquay"
        )
        assert not result.exception or isinstance(result.exception, SystemExit)
        assert code in (None, result.exit_code), result.output
        return result

    def _call(self, work):
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    async def _start_server(self, server: AdminServer) -> None:
        server.start()

    def _read_status(self, name: str) -> ProcessStatus:
        upstream = UpstreamStatus(
            "engine-1", "linz", "mixed", ("reader",), "ready", 1200, 3, 0.25
        )
        return ProcessStatus(
            process=name,
            kind=name.partition("-")[0],
            availability_zone="linz",
            region="ost-at",
            version="0.1.0",
            configuration=self.actions.configuration.version,
            ready=name == "entry-1",
            draining=False,
            faults=() if name == "entry-1" else ("The engine's state is unknown.",),
            waiting=1,
            running=3,
            upstreams=(upstream,) if name == "entry-1" else (),
            peers=self.peers if name == "entry-1" else {},
        )


@pytest.fixture
def site():
    site = Site()
    site.start()
    yield site
    site.close()
