"""Entries: the process that callers meet."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from mustardquay import __version__
from mustardquay.clocks import Clock
from mustardquay.errors import MustardquayError
from mustardquay.events import Event
from mustardquay.membership import (
    Instance,
    Membership,
    MemberState,
    choose_agents,
    choose_readers,
)
from mustardquay.messages import Heartbeat, Message, OrderChanged
from mustardquay.predictions import OutputLengths
from mustardquay.revisions import Catalogue, Configuration, Edit

from .admins import AdminParts, AdminServer
from .authorities import Authorities
from .caller_servers import CallerServer
from .callers import CallerParts, InFlight
from .controllers import make_cost_check
from .dispatchers import Dispatcher, DispatcherOptions
from .editors import ConfigurationEditor
from .links import Link
from .loops import start_loop
from .node_settings import Settings
from .nodes import Node, connect_configuration, spread_configuration
from .recorders import Recorder
from .services import SERVICE_PREFIX
from .statuses import Probe, ProcessStatus, UpstreamStatus
from .sweepers import ClaimSweeper

__all__ = ["Entry"]

LIST_INTERVAL = timedelta(seconds=1)
SWEEP_INTERVAL = timedelta(seconds=1)
CLAIMS_INTERVAL = timedelta(seconds=1)
"""Time between two pages of the table of claims, in search of expired ones."""


class Entry(Node):
    """One entry: callers on one side, links to agents on the other."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        seed: int | None = None,
        write_event: Callable[[Event], None] | None = None,
    ):
        assert settings.entry is not None
        self._settings = settings.entry
        super().__init__(settings, clock, seed, write_event, self._is_reader)
        parts = self._parts
        self._draining = False
        self._membership = Membership(settings.link.silence)
        self._known: set[str] = set()
        self._known_adapters: set[str] = set()
        self._editor = ConfigurationEditor(
            self._keeper,
            parts.platform.tables,
            parts.platform.objects,
            parts.clock,
            parts.random,
            self._make_catalogue,
            checks=(make_cost_check(parts.platform.tables, self._find_instance),),
        )
        self._recorder = Recorder(
            parts.platform.tables,
            parts.platform.objects,
            parts.clock,
            parts.random,
            f"{settings.node.name}-{parts.incarnation}",
            self._settings.claim_lifetime,
            self._settings.claim_window,
        )
        self._sweeper = ClaimSweeper(parts.platform.tables, parts.clock)
        self._dispatcher = Dispatcher(
            parts.identity,
            parts.links,
            DispatcherOptions(self._settings.attempts, self._settings.retry_ratio),
            parts.clock,
            parts.random,
            parts.events,
            parts.quarantine,
            self._make_heartbeat,
            self._receive,
        )
        self._authorities = Authorities(
            parts,
            self._keeper,
            self._settings.lease_term,
            self._find_instance,
            self._tell_order_changed,
        )
        self._agents = 0
        self._in_flight = InFlight()
        self._server = self._make_server()
        self._admin = AdminServer(
            self._make_admin_parts(), settings.node.address, settings.node.admin_port
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._disconnect: Callable[[], None] = lambda: None

    @property
    def port(self) -> int:
        """Return the port for callers; the real one after `start`."""
        return self._server.port

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return self._server.url

    @property
    def admin_port(self) -> int:
        """Return the admin port; the real one after `start`."""
        return self._admin.port

    @property
    def held_domains(self) -> list[str]:
        """Return the control domains whose lease this process holds."""
        return self._authorities.held

    def list_reachable(self) -> set[str]:
        """Return the names of the upstreams that take work from here."""
        return {
            view.name
            for view in self._dispatcher.views
            if view.reachable and view.ready and not view.draining
        }

    async def start(self) -> None:
        """Begin to link, to follow the configuration and to serve callers."""
        parts = self._parts
        self._watch(
            {
                "running": lambda: self._dispatcher.running,
                "links": lambda: len(self._dispatcher.open_links),
            }
        )
        parts.metrics.start()
        await parts.platform.start()
        self._disconnect = connect_configuration(self._keeper, self._dispatcher.beat)
        await self._keeper.start()
        self._recorder.start()
        self._authorities.start()
        self._server.start()
        self._admin.start()
        self._tasks = [
            start_loop(self._follow_list, LIST_INTERVAL, parts.random),
            start_loop(self._server.drop_slow_callers, SWEEP_INTERVAL),
            start_loop(self._sweep_claims, CLAIMS_INTERVAL, parts.random),
        ]
        parts.events.record("process.started")

    async def drain(self) -> None:
        """Refuse new callers and wait until every request has its outcome.

        What exceeds the time limit of the settings is left: its callers see the
        connection break, and repeats with an idempotency key hear what became of it.
        """
        self._draining = True
        self._parts.events.record("drain.started")
        try:
            async with asyncio.timeout(self._settings.drain_timeout.total_seconds()):
                await self._in_flight.wait_until_empty()
                await self._dispatcher.wait_until_empty()
        except TimeoutError:
            left = self._dispatcher.running
            self._parts.events.record("drain.timed_out", running=left)
            return
        self._parts.events.record("drain.ended")

    async def close(self) -> None:
        """Drain, then stop."""
        await self.drain()
        await self.stop()

    async def stop(self) -> None:
        """Stop at once; what runs is lost."""
        self._draining = True
        self._disconnect()
        for task in self._tasks:
            task.cancel()
        await self._authorities.close()
        await self._recorder.close()
        await self._server.close()
        self._dispatcher.close()
        await self._keeper.close()
        await self._admin.close()
        await self._parts.platform.close()
        self._parts.metrics.close()

    async def read_configuration(self) -> Configuration:
        """Return the newest configuration, for operators."""
        try:
            await self._keeper.poll()
        except MustardquayError:
            if not self._keeper.current:
                raise
        return self._keeper.configuration

    async def apply_edit(self, edit: Edit) -> int:
        """Bring an operator's edit into force and return its version."""
        version = await self._editor.propose(edit)
        self._parts.events.record(
            "configuration.edited", version=version, author=edit.author
        )
        return version

    async def preview_edit(self, edit: Edit) -> list[str]:
        """Return what an operator's edit would cost, without applying it."""
        return await self._editor.preview(edit)

    def _make_server(self) -> CallerServer:
        parts = CallerParts(
            settings=self._settings,
            services=self._parts.settings.services,
            configurations=self._keeper,
            dispatcher=self._dispatcher,
            recorder=self._recorder,
            clock=self._parts.clock,
            events=self._parts.events,
            metrics=self._parts.metrics,
            lengths=OutputLengths(),
            in_flight=self._in_flight,
            draining=lambda: self._draining,
            streams=set(),
        )
        address = self._parts.settings.node.address
        return CallerServer(self._settings, address, parts, self._parts.clock)

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            version=self._keeper.version,
            confirmed=self._keeper.current,
            draining=self._draining,
            agents=self._agents,
        )

    def _find_instance(self, upstream: str) -> str:
        return self._dispatcher.find_instance(upstream)

    def _tell_order_changed(self, upstream: str) -> None:
        self._dispatcher.send(upstream, OrderChanged())

    def _receive(self, link: Link, message: Message) -> None:
        if isinstance(message, Heartbeat):
            now = self._parts.clock.monotonic()
            peer = link.peer
            self._membership.note_heartbeat(
                peer.process, peer.incarnation, message.draining, now
            )
            self._known.update(message.models)
            self._known_adapters.update(message.adapters)
        spread_configuration(self._keeper, link, message)

    async def _sweep_claims(self) -> None:
        # A few entries of each availability zone do it, or its reads would grow
        # with the fleet.
        if self._is_reader():
            await self._sweeper.sweep()

    def _is_reader(self) -> bool:
        now = self._parts.clock.monotonic()
        entries = self._membership.list_instances("entry", now)
        zone = self._parts.identity.availability_zone
        return self.name in choose_readers(entries, zone)

    def _make_catalogue(self) -> Catalogue | None:
        if not self._known:
            return None
        services = {name for name in self._known if name.startswith(SERVICE_PREFIX)}
        return Catalogue(
            models=frozenset(self._known - services),
            adapters=frozenset(self._known_adapters),
            services=frozenset(name.removeprefix(SERVICE_PREFIX) for name in services),
        )

    async def _follow_list(self) -> None:
        try:
            instances = await self._parts.platform.instances.list_instances()
        except MustardquayError:
            # Without the list the links stand as they are; heartbeats tell who
            # lives, and who leaves.
            return
        await self._take_list(instances)

    async def _take_list(self, instances: tuple[Instance, ...]) -> None:
        now = self._parts.clock.monotonic()
        self._membership.update(instances, now)
        agents = self._membership.list_instances("agent", now)
        entries = self._membership.list_instances("entry", now)
        leaving = [
            instance.name
            for instance in instances
            if self._membership.get_state(instance.name, now) is MemberState.LEAVING
        ]
        chosen = choose_agents(self.name, entries, agents, self._settings.agents)
        self._agents = len(agents)
        self._dispatcher.set_agents(chosen, leaving)
        await self._authorities.follow(entries, agents)

    def list_faults(self) -> tuple[str, ...]:
        """Return why this process takes no new work, one sentence each."""
        faults = []
        if self._draining:
            faults.append("The entry drains.")
        if not self._keeper.current:
            faults.append("The configuration is not confirmed.")
        if not any(view.reachable for view in self._dispatcher.views):
            faults.append("No agent is reached.")
        return tuple(faults)

    def _make_admin_parts(self) -> AdminParts:
        return AdminParts(
            operator_keys=self._settings.operator_keys,
            ring=self._parts.events,
            metrics=self._parts.metrics,
            read_status=self._read_status,
            probe_health=lambda: Probe(True),
            probe_readiness=self._probe_readiness,
            actions=self,
        )

    def _read_status(self) -> ProcessStatus:
        node = self._parts.settings.node
        faults = self.list_faults()
        now = self._parts.clock.monotonic()
        return ProcessStatus(
            process=node.name,
            kind=node.kind,
            availability_zone=node.availability_zone,
            region=node.region,
            version=__version__,
            configuration=self._keeper.version,
            peers=self._keeper.peer_versions,
            ready=not faults,
            draining=self._draining,
            faults=faults,
            incarnation=self._parts.incarnation,
            running=self._dispatcher.running,
            upstreams=tuple(
                UpstreamStatus.from_view(view, (now - view.reported_at).total_seconds())
                for view in sorted(self._dispatcher.views, key=lambda view: view.name)
            ),
        )
