"""The entry process, which serves callers and forwards their requests to agents."""

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

from .admins import AdminDependencies, AdminServer
from .caller_handlers import CallerDependencies, InFlight
from .caller_servers import CallerServer
from .controllers import make_cost_check
from .dispatchers import Dispatcher, DispatcherOptions
from .editors import ConfigurationEditor
from .entry_controllers import EntryControllers
from .links import Link
from .loops import start_loop
from .node_settings import Settings
from .nodes import Node, exchange_configuration, subscribe_to_configuration
from .recorders import Recorder
from .services import SERVICE_PREFIX
from .statuses import Probe, ProcessStatus, UpstreamStatus
from .sweepers import ClaimSweeper

__all__ = ["Entry"]

INSTANCE_LIST_INTERVAL = timedelta(seconds=1)
SLOW_CALLER_INTERVAL = timedelta(seconds=1)
CLAIM_SWEEP_INTERVAL = timedelta(seconds=1)
"""Interval at which one page of the claim table is checked for expired claims."""


class Entry(Node):
    """An entry process: a server for callers and links to agents."""

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
        deps = self._deps
        self._draining = False
        self._membership = Membership(settings.link.silence)
        self._known_models: set[str] = set()
        self._known_adapters: set[str] = set()
        self._editor = ConfigurationEditor(
            self._replica,
            deps.platform.tables,
            deps.platform.objects,
            deps.clock,
            deps.random,
            self._make_catalogue,
            checks=(make_cost_check(deps.platform.tables, self._find_instance),),
        )
        self._recorder = Recorder(
            deps.platform.tables,
            deps.platform.objects,
            deps.clock,
            deps.random,
            f"{settings.node.name}-{deps.incarnation}",
            self._settings.claim_lifetime,
            self._settings.claim_window,
        )
        self._sweeper = ClaimSweeper(deps.platform.tables, deps.clock)
        self._dispatcher = Dispatcher(
            deps.identity,
            deps.links,
            DispatcherOptions(self._settings.attempts, self._settings.retry_ratio),
            deps.clock,
            deps.random,
            deps.events,
            deps.quarantine,
            self._make_heartbeat,
            self._receive,
        )
        self._controllers = EntryControllers(
            deps,
            self._replica,
            self._settings.lease_term,
            self._find_instance,
            self._notify_order_changed,
        )
        self._agents = 0
        self._in_flight = InFlight()
        self._server = self._make_server()
        self._admin = AdminServer(
            self._make_admin_dependencies(),
            settings.node.address,
            settings.node.admin_port,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._disconnect: Callable[[], None] = lambda: None

    @property
    def port(self) -> int:
        """Return the port for callers; the port actually bound after `start`."""
        return self._server.port

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return self._server.url

    @property
    def admin_port(self) -> int:
        """Return the admin port; the port actually bound after `start`."""
        return self._admin.port

    @property
    def held_domains(self) -> list[str]:
        """Return the control domains whose lease this process holds."""
        return self._controllers.held

    def list_reachable(self) -> set[str]:
        """Return the names of the upstreams that this entry can send work to."""
        return {
            view.name
            for view in self._dispatcher.views
            if view.reachable and view.ready and not view.draining
        }

    async def start(self) -> None:
        """Start the links, the configuration updates and the server for callers."""
        deps = self._deps
        self._watch(
            {
                "running": lambda: self._dispatcher.running,
                "links": lambda: len(self._dispatcher.open_links),
            }
        )
        deps.metrics.start()
        await deps.platform.start()
        self._disconnect = subscribe_to_configuration(
            self._replica, self._dispatcher.send_heartbeat
        )
        await self._replica.start()
        self._recorder.start()
        self._controllers.start()
        self._server.start()
        self._admin.start()
        self._tasks = [
            start_loop(self._refresh_instances, INSTANCE_LIST_INTERVAL, deps.random),
            start_loop(self._server.drop_slow_callers, SLOW_CALLER_INTERVAL),
            start_loop(self._sweep_claims, CLAIM_SWEEP_INTERVAL, deps.random),
        ]
        deps.events.record("process.started")

    async def drain(self) -> None:
        """Refuse new requests and wait until every request has its outcome.

        Requests that outlast the drain timeout of the settings are abandoned: the
        connections of their callers break, and a retry with the same idempotency key
        gets the recorded outcome.
        """
        self._draining = True
        self._deps.events.record("drain.started")
        try:
            async with asyncio.timeout(self._settings.drain_timeout.total_seconds()):
                await self._in_flight.wait_until_empty()
                await self._dispatcher.wait_until_empty()
        except TimeoutError:
            left = self._dispatcher.running
            self._deps.events.record("drain.timed_out", running=left)
            return
        self._deps.events.record("drain.ended")

    async def close(self) -> None:
        """Drain, then stop."""
        await self.drain()
        await self.stop()

    async def stop(self) -> None:
        """Stop at once; requests in flight are lost."""
        self._draining = True
        self._disconnect()
        for task in self._tasks:
            task.cancel()
        await self._controllers.close()
        await self._recorder.close()
        await self._server.close()
        self._dispatcher.close()
        await self._replica.close()
        await self._admin.close()
        await self._deps.platform.close()
        self._deps.metrics.close()

    async def read_configuration(self) -> Configuration:
        """Return the newest configuration, for operators."""
        try:
            await self._replica.poll()
        except MustardquayError:
            if not self._replica.current:
                raise
        return self._replica.configuration

    async def apply_edit(self, edit: Edit) -> int:
        """Apply an operator's edit and return the version that contains it."""
        version = await self._editor.propose(edit)
        self._deps.events.record(
            "configuration.edited", version=version, author=edit.author
        )
        return version

    async def preview_edit(self, edit: Edit) -> list[str]:
        """Return what the checks report on an edit, such as its cost; apply nothing."""
        return await self._editor.preview(edit)

    def _make_server(self) -> CallerServer:
        deps = CallerDependencies(
            settings=self._settings,
            services=self._deps.settings.services,
            configurations=self._replica,
            dispatcher=self._dispatcher,
            recorder=self._recorder,
            clock=self._deps.clock,
            events=self._deps.events,
            metrics=self._deps.metrics,
            lengths=OutputLengths(),
            in_flight=self._in_flight,
            draining=lambda: self._draining,
            streams=set(),
        )
        address = self._deps.settings.node.address
        return CallerServer(self._settings, address, deps, self._deps.clock)

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            version=self._replica.version,
            confirmed=self._replica.current,
            draining=self._draining,
            agents=self._agents,
        )

    def _find_instance(self, upstream: str) -> str:
        return self._dispatcher.find_instance(upstream)

    def _notify_order_changed(self, upstream: str) -> None:
        self._dispatcher.send(upstream, OrderChanged())

    def _receive(self, link: Link, message: Message) -> None:
        if isinstance(message, Heartbeat):
            now = self._deps.clock.monotonic()
            peer = link.peer
            self._membership.note_heartbeat(
                peer.process, peer.incarnation, message.draining, now
            )
            self._known_models.update(message.models)
            self._known_adapters.update(message.adapters)
        exchange_configuration(self._replica, link, message)

    async def _sweep_claims(self) -> None:
        # Only a few entries of each availability zone sweep, so that the number of
        # reads doesn't grow with the fleet.
        if self._is_reader():
            await self._sweeper.sweep()

    def _is_reader(self) -> bool:
        now = self._deps.clock.monotonic()
        entries = self._membership.list_instances("entry", now)
        zone = self._deps.identity.availability_zone
        return self.name in choose_readers(entries, zone)

    def _make_catalogue(self) -> Catalogue | None:
        if not self._known_models:
            return None
        services = {
            name for name in self._known_models if name.startswith(SERVICE_PREFIX)
        }
        return Catalogue(
            models=frozenset(self._known_models - services),
            adapters=frozenset(self._known_adapters),
            services=frozenset(name.removeprefix(SERVICE_PREFIX) for name in services),
        )

    async def _refresh_instances(self) -> None:
        try:
            instances = await self._deps.platform.instances.list_instances()
        except MustardquayError:
            # Without a new list the links stay as they are; heartbeats still show
            # which processes are alive and which are draining.
            return
        await self._apply_instances(instances)

    async def _apply_instances(self, instances: tuple[Instance, ...]) -> None:
        now = self._deps.clock.monotonic()
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
        await self._controllers.set_instances(entries, agents)

    def list_faults(self) -> tuple[str, ...]:
        """Return the reasons why this process takes no new work, a sentence each."""
        faults = []
        if self._draining:
            faults.append("The entry drains.")
        if not self._replica.current:
            faults.append("The configuration is not confirmed.")
        if not any(view.reachable for view in self._dispatcher.views):
            faults.append("No agent is reached.")
        return tuple(faults)

    def _make_admin_dependencies(self) -> AdminDependencies:
        return AdminDependencies(
            operator_keys=self._settings.operator_keys,
            ring=self._deps.events,
            metrics=self._deps.metrics,
            read_status=self._read_status,
            probe_health=lambda: Probe(True),
            probe_readiness=self._probe_readiness,
            actions=self,
        )

    def _read_status(self) -> ProcessStatus:
        node = self._deps.settings.node
        faults = self.list_faults()
        now = self._deps.clock.monotonic()
        return ProcessStatus(
            process=node.name,
            kind=node.kind,
            availability_zone=node.availability_zone,
            region=node.region,
            version=__version__,
            configuration=self._replica.version,
            peers=self._replica.peer_versions,
            ready=not faults,
            draining=self._draining,
            faults=faults,
            incarnation=self._deps.incarnation,
            running=self._dispatcher.running,
            upstreams=tuple(
                UpstreamStatus.from_view(view, (now - view.reported_at).total_seconds())
                for view in sorted(self._dispatcher.views, key=lambda view: view.name)
            ),
        )
