"""The gateway process, which serves callers where upstreams run without agents.

A gateway follows the operator's configuration and the list of upstreams in the
platform's store and sends requests directly to upstreams. It has no persistent state:
after a restart it rebuilds everything from the store and the upstreams.
"""

import asyncio
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from pathlib import Path
from random import Random

from mustardquay.clocks import Clock, SystemClock
from mustardquay.connection_gates import ConnectionGate
from mustardquay.events import Event, EventRing, HybridClock
from mustardquay.routing_tables import RoutingTable
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.usage import Source
from mustardquay.version_trackers import TableState

from .adapters import Adapter, load_adapter
from .configuration_loaders import ConfigurationLoader
from .connection_gates import GateMonitor
from .crash_suspects import SuspectExchange
from .digest_exchanges import DigestDependencies, DigestExchange
from .era_watches import EraWatch
from .forwarder_dependencies import ForwarderDependencies
from .forwarders import Forwarder
from .gateway_callers import GatewayCallers
from .gateway_checks import GatewayChecks
from .gateway_contexts import GatewayContext, make_origins, make_stop, make_usage
from .gateway_engines import EngineDependencies, GatewayEngines
from .gateway_feeds import FeedDependencies, GatewayFeeds
from .gateway_gauges import GaugeSources, make_gauges
from .gateway_metrics import GatewayMetrics
from .gateway_peerings import GatewayPeering, PeeringDependencies
from .gateway_servers import GatewayServers, PeeringPorts
from .gateway_stops import warn_of_short_drain
from .gateway_upstreams import GatewayUpstreams, UpstreamDependencies
from .memory_guards import MemoryOptions
from .peers import PeerLink
from .seeds import make_seed
from .settings import GatewaySettings
from .settings_watches import SettingsWatch, needs_restart
from .stream_origins import MESSAGE_PREFIX
from .upstream_list_updaters import UpstreamListUpdater
from .usage import UsageSubsystem

__all__ = ["Gateway"]


class Gateway:
    """A gateway process: its components, their wiring and their life cycle."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock | None = None,
        seed: int | None = None,
        write_event: Callable[[Event], None] | None = None,
        files: Sequence[Path] = (),
        adapter: Adapter | None = None,
    ):
        node = settings.node
        self._settings = settings
        self._clock = clock or SystemClock()
        self._random = Random(make_seed() if seed is None else seed)
        self._adapter = adapter or load_adapter(settings.store.adapter)
        self._events = EventRing(
            node.name, HybridClock(self._clock), node.ring_capacity, write_event
        )
        self._metrics = GatewayMetrics(node.name, node.availability_zone)
        self._upstreams = self._make_upstreams()
        self._eras = EraWatch(self._events)
        self._store = self._adapter.open_store(
            settings.store.address, self._clock, self._eras
        )
        self._context = GatewayContext(
            node.name,
            self._adapter,
            self._store,
            self._random,
            self._events,
            get_peers=lambda: self._peers,
        )
        self._origins = make_origins(self._context, self.list_upstreams)
        self._gate = ConnectionGate(self._random)
        self._stop = make_stop(
            self._context, node.availability_zone, self._clock, lambda: self._callers
        )
        self._forwarder = Forwarder(self._make_forwarder_dependencies())
        self._list_updater = UpstreamListUpdater(
            self._adapter,
            self._upstreams.list,
            self._events,
            self._clock,
            self._upstreams.forget,
            lambda record: self._engines.note_draining(record),
        )
        self._configurations = ConfigurationLoader(
            self._adapter,
            self._events,
            self._clock,
            self._activate_table,
            lambda: self._upstreams.planner.get_peers().list_configurations(),
            lambda: self._settings.bounds.configuration_delay,
        )
        self._ports = PeeringPorts()
        self._digest_exchange = self._make_digest_exchange()
        self._peers = self._make_peers()
        gate_monitor = GateMonitor(self._gate, self._clock, self._events)
        self._servers = GatewayServers(self._upstreams.free_descriptors, gate_monitor)
        self._peering = self._make_peering()
        self._suspects = SuspectExchange(
            node.name, self._upstreams.crashes, self._peers, self._random
        )
        self._peers.add_channel(MESSAGE_PREFIX, self._origins.receive)
        self._usage = self._make_usage() if settings.usage.address else None
        self._engines = self._make_engines()
        self._feeds = self._make_feeds()
        for each in (self._engines, self._feeds, self._peers, self._origins):
            self._eras.listen(each.note_era)
        memory = MemoryOptions(
            settings.gateway.memory, self._random, self._metrics.count_memory_measure
        )
        self._callers = GatewayCallers(
            self._clock, self._events, self._forwarder, self._servers, memory
        )
        self._connections = self._callers.connections
        self._close_task: asyncio.Task[None] | None = None
        self._address = settings.gateway.listen
        self._watch = SettingsWatch(files, settings, self._events, self._take_settings)
        self._checks = GatewayChecks(
            self._watch, self._list_updater, lambda: self.is_ready, self._events
        )

    @property
    def is_ready(self) -> bool:
        """Return whether this gateway accepts new callers."""
        return (
            not self._stop.has_begun
            and self._forwarder.table is not None
            and self._upstreams.list.is_known
            and self._configurations.find_state() is not TableState.OUTDATED
        )

    @property
    def address(self) -> str:
        """Return the address for callers; after `start`, with the port in use."""
        return self._address

    @property
    def version(self) -> int:
        """Return the version of the active configuration, 0 before the first."""
        return self._configurations.version

    @property
    def events(self) -> EventRing:
        """Return the ring buffer of this process's events."""
        return self._events

    def list_upstreams(self) -> list[UpstreamRecord]:
        """Return the records of all listed upstreams."""
        return list(self._upstreams.list)

    async def start(self) -> None:
        """Open the listeners and start to follow the store."""
        self._metrics.start(self._make_gauges(), self._upstreams.reports.counts)
        gateway = self._settings.gateway
        self._address = self._callers.start(gateway.listen)
        self._servers.serve_readiness(
            gateway.readiness, self._adapter.READINESS_PATH, lambda: self.is_ready
        )
        if gateway.metrics_port:
            address = f"{self._settings.node.address}:{gateway.metrics_port}"
            self._servers.serve_metrics(address, self._metrics.render)
        self._peering.start()
        await self._peers.start()
        self._origins.start()
        self._suspects.start()
        self._feeds.start()
        self._engines.start()
        if self._usage is not None:
            self._usage.start()
        self._checks.start()
        self._events.record("process.started", kind_of_process="gateway")
        warn_of_short_drain(self._settings.gateway.drain_timeout, self._events)

    async def close(self) -> None:
        """Drain requests in flight, for at most the drain timeout, and stop.

        Idempotent: further calls wait for the shutdown in progress.
        """
        if self._close_task is None:
            self._close_task = asyncio.create_task(self._close())
        await asyncio.shield(self._close_task)

    async def _close(self) -> None:
        await self._stop.run(self._settings.gateway.drain_timeout)
        # Must precede every step that waits for the store.
        await self._callers.end(self._stop.ends_in or timedelta())
        self._checks.close()
        if self._usage is not None:
            await self._usage.close()
        await self._engines.close()
        await self._feeds.close()
        await self._peering.close()
        await self._origins.close()
        await self._suspects.close()
        await self._peers.close()
        await self._servers.close()
        await self._upstreams.close()
        self._store.close()
        self._metrics.close()
        self._events.record("process.stopped")

    def reload(self) -> None:
        """Reload the settings; report a changed setting that needs a restart."""
        self._watch.reload()

    def _take_settings(self, settings: GatewaySettings) -> None:
        if needs_restart(self._settings, settings):
            self._events.record("settings.need_restart")
        self._settings = settings
        self._upstreams.apply_bounds(settings.bounds)

    def _make_upstreams(self) -> GatewayUpstreams:
        deps = UpstreamDependencies(
            adapter=self._adapter,
            clock=self._clock,
            random=self._random,
            events=self._events,
            find_table=lambda: self._forwarder.table,
            count_gateways=lambda: self._peers.count,
            note_change=lambda: self._peers.note_change(),
            notify_peers=lambda: self._peers.send_now(),
            tell_of_parts=lambda: self._suspects.notify(),
            note_leaving=lambda record: self._engines.note_draining(record),
            close_idle_callers=lambda: self._connections.free_descriptors(),
        )
        return GatewayUpstreams(self._settings, deps)

    def _make_forwarder_dependencies(self) -> ForwarderDependencies:
        return ForwarderDependencies(
            adapter=self._adapter,
            clock=self._clock,
            random=self._random,
            events=self._events,
            availability_zone=self._settings.node.availability_zone,
            upstreams=self._upstreams.list,
            pools=self._upstreams.pools,
            loads=self._upstreams.loads,
            limits=self._upstreams.limits,
            statements=self._upstreams.statements,
            note_statements=self._upstreams.note_statements,
            crashes=self._upstreams.crashes,
            origins=self._origins,
            doubts=self._upstreams.doubts,
            planner=self._upstreams.planner,
            stop=self._stop,
            find_table_state=lambda: self._configurations.find_state(),
            is_configuration_confirmed=lambda: self._feeds.is_configuration_confirmed,
            note_begun=self._note_begun,
            get_peer_forwarding=lambda: self._peering.forward,
            count_answer=self._count_answer,
            shares=self._upstreams.shares,
            **self._metrics.callbacks,
        )

    def _make_feeds(self) -> GatewayFeeds:
        deps = FeedDependencies(
            adapter=self._adapter,
            store=self._store,
            settings=self._settings.store,
            clock=self._clock,
            random=self._random,
            events=self._events,
            configurations=self._configurations,
            upstreams=self._list_updater,
            peers=self._peers,
        )
        return GatewayFeeds(deps)

    def _note_registered(self, gateways: Collection[str]) -> None:
        self._origins.note_registered(gateways)
        self._suspects.note_registered(gateways)

    def _make_gauges(self) -> dict[str, Callable[[], float]]:
        return make_gauges(
            GaugeSources(
                self._configurations,
                self._forwarder,
                self._connections,
                self._feeds,
                self._eras,
                self._usage,
                self._upstreams.reports,
                is_ready=lambda: self.is_ready,
                upstreams=self._upstreams,
                list_updater=self._list_updater,
            )
        )

    def _make_digest_exchange(self) -> DigestExchange:
        node = self._settings.node
        deps = DigestDependencies(
            name=node.name,
            availability_zone=node.availability_zone,
            clock=self._clock,
            planner=self._upstreams.planner,
            stop=self._stop,
            crashes=self._upstreams.crashes,
            gate=self._gate,
            limits=self._upstreams.limits,
            reports=self._upstreams.reports,
            configurations=self._configurations,
            link_rate=self._settings.gateway.link_rate,
            ports=self._ports,
            note_digest=lambda digest: self._peering.apply_digest(digest),
            is_ready=lambda: self.is_ready,
            fetch_configuration=self._fetch_configuration,
            shares=self._upstreams.shares,
        )
        return DigestExchange(deps)

    def _make_peering(self) -> GatewayPeering:
        deps = PeeringDependencies(
            self._context,
            self._clock,
            self._configurations,
            self._upstreams.planner,
            self._servers,
            self._ports,
            lambda: self._settings.bounds.configuration_delay,
            self._metrics.count_forwarded,
        )
        return GatewayPeering(self._settings, deps)

    def _fetch_configuration(self) -> None:
        self._feeds.fetch_configuration()
        self._peering.note_behind()

    def _make_peers(self) -> PeerLink:
        node, gateway = self._settings.node, self._settings.gateway
        return PeerLink(
            node.name,
            f"{node.address}:{gateway.peer_port}",
            self._store,
            self._clock,
            self._events,
            self._digest_exchange.build,
            self._digest_exchange.apply_digest,
            self._digest_exchange.set_gateways,
            self._random,
            self._note_registered,
            node.availability_zone,
        )

    def _make_usage(self) -> UsageSubsystem:
        usage = make_usage(
            self._context,
            self._settings.usage,
            self._clock,
            Source(self._settings.node.name, self._digest_exchange.incarnation),
            lambda: self._forwarder.has_organisations,
            self._metrics.count_usage_report,
        )
        self._eras.listen(usage.note_era)
        return usage

    def _count_answer(self, route: str, outcome: str) -> None:
        self._metrics.count_answer(route, outcome)
        self._gate.note_answer(outcome == "refused", self._clock.monotonic())

    def _note_begun(self, organisation: str, begun_at: timedelta) -> None:
        if self._usage is not None:
            self._usage.note_begun(organisation, begun_at)

    def _make_engines(self) -> GatewayEngines:
        deps = EngineDependencies(
            holder=f"{self._settings.node.name}-{self._digest_exchange.incarnation}",
            adapter=self._adapter,
            store=self._store,
            random=self._random,
            events=self._events,
            upstreams=self._upstreams,
            find_table=lambda: self._forwarder.table_or_empty,
            notify_peers=self._peers.send_now,
            is_serving=lambda: self._forwarder.has_served,
        )
        return GatewayEngines(deps)

    def _activate_table(self, table: RoutingTable) -> None:
        self._forwarder.put_table(table)
        # The digest shows the other gateways that a newer version can be fetched.
        self._peers.send_now()
        self._servers.apply_limits(table.limits)
        self._upstreams.planner.apply_table(table)
        self._origins.set_services(table.resumable_services)
