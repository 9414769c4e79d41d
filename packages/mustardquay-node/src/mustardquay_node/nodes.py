"""Nodes: common base of entries and agents: platform, configuration and links."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from random import Random

from mustardquay import EventRing, HybridClock, SystemClock
from mustardquay.breakers import CircuitBreaker
from mustardquay.clocks import Clock
from mustardquay.errors import ProtocolError
from mustardquay.events import Event
from mustardquay.messages import (
    ConfigurationEntries,
    ConfigurationWanted,
    Heartbeat,
    Message,
)
from mustardquay.quarantines import Quarantine

from .configurations import ConfigurationReplica, configuration_changed
from .links import Identity, Link, LinkOptions
from .metrics import NodeMetrics
from .node_settings import Settings
from .seeds import make_seed
from .statuses import Probe
from .stores import HttpInstances, HttpObjects, HttpTables, PlatformClient

__all__ = [
    "Node",
    "NodeDependencies",
    "Platform",
    "subscribe_to_configuration",
    "exchange_configuration",
]

ENTRY_PROBE_WAIT = timedelta(seconds=2)
"""Maximum interval between an entry's probes of a platform service that is down; 540
entries then send at most some 400 probes a second."""


class Platform:
    """The clients of the platform's services."""

    def __init__(self, settings: Settings, clock: Clock, random: Random):
        platform = settings.platform

        # After an outage, calls that may run only once wait until an entry's probe
        # succeeds, and that must not take longer than their callers tolerate. There are
        # few entries, so they may probe often. The many agents use longer intervals.
        is_entry = settings.node.kind == "entry"
        waits = {"longest_wait": ENTRY_PROBE_WAIT} if is_entry else {}

        def make_client(url: str) -> PlatformClient:
            breaker = CircuitBreaker(random, **waits)
            return PlatformClient(url, platform.timeout, clock, random, breaker=breaker)

        self._clients = [
            make_client(platform.tables),
            make_client(platform.objects),
            make_client(platform.instances),
        ]
        self.tables = HttpTables(self._clients[0])
        self.objects = HttpObjects(self._clients[1])
        self.instances = HttpInstances(self._clients[2])

    async def start(self) -> None:
        """Create the HTTP clients."""
        for client in self._clients:
            await client.start()

    async def close(self) -> None:
        """Abort the calls in progress."""
        for client in self._clients:
            await client.close()


class NodeDependencies:
    """The objects that every process has, whatever its kind."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        seed: int | None = None,
        write_event: Callable[[Event], None] | None = None,
    ):
        node = settings.node
        self.settings = settings
        self.clock = clock or SystemClock()
        self.random = Random(make_seed() if seed is None else seed)
        # Later processes with the same name get higher numbers, unless the wall clock
        # is set back by more than a process takes to start.
        started = self.clock.now().timestamp()
        self.incarnation = int(started * 1_000_000)
        self.identity = Identity(node.name, self.incarnation, node.availability_zone)
        self.events = EventRing(
            node.name, HybridClock(self.clock), node.ring_capacity, write_event
        )
        self.metrics = NodeMetrics(node.name, node.kind, node.availability_zone)
        self.quarantine = Quarantine()
        self.platform = Platform(settings, self.clock, self.random)
        self.links = LinkOptions(
            settings.link.keys,
            settings.link.heartbeat,
            settings.link.silence,
            settings.link.frame_limit,
        )


class Node:
    """Base class of entries and agents: name, configuration version and readiness."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None,
        seed: int | None,
        write_event: Callable[[Event], None] | None,
        is_reader: Callable[[], bool],
    ):
        """Set up the process; `is_reader` returns whether it polls the head row."""
        deps = NodeDependencies(settings, clock, seed, write_event)
        self._deps = deps
        self._replica = ConfigurationReplica(
            deps.platform.tables, deps.platform.objects, deps.random, is_reader
        )

    @property
    def name(self) -> str:
        """Return the name of the process."""
        return self._deps.identity.process

    @property
    def availability_zone(self) -> str:
        """Return the availability zone of the process."""
        return self._deps.identity.availability_zone

    @property
    def version(self) -> int:
        """Return the configuration version in force in this process."""
        return self._replica.version

    @property
    def events(self) -> EventRing:
        """Return the ring buffer of this process's events."""
        return self._deps.events

    @property
    def is_ready(self) -> bool:
        """Return whether this process may get new work."""
        return not self.list_faults()

    def list_faults(self) -> tuple[str, ...]:
        """Return the reasons why this process is not ready, one sentence each."""
        raise NotImplementedError

    def _watch(self, gauges: Mapping[str, Callable[[], float]]) -> None:
        """Export gauges, named without their prefix, and those common to all nodes."""
        common = {
            "configuration.version": lambda: self._replica.version,
            "ready": lambda: float(self.is_ready),
        }
        for name, read in (common | dict(gauges)).items():
            self._deps.metrics.watch(f"mustardquay.{name}", read)

    def _probe_readiness(self) -> Probe:
        faults = self.list_faults()
        return Probe(not faults, faults)


def exchange_configuration(replica: ConfigurationReplica, link: Link, message: Message):
    """Exchange configuration log entries over a link.

    A heartbeat with a higher version triggers a request for the missing entries. If
    the answer contains only part of them, the next part is requested.
    """
    if isinstance(message, Heartbeat):
        replica.note_peer_version(link.peer.process, message.version, message.confirmed)
        if message.version > replica.version:
            link.send(ConfigurationWanted(replica.version))
    elif isinstance(message, ConfigurationWanted):
        link.send(ConfigurationEntries(tuple(replica.list_items(message.after))))
    elif isinstance(message, ConfigurationEntries):
        before = replica.version
        try:
            replica.add_items(message.entries)
        except ProtocolError as error:
            link.close(str(error))
            return
        if before < replica.version and replica.missing_after is not None:
            link.send(ConfigurationWanted(replica.version))


def subscribe_to_configuration(
    replica: ConfigurationReplica, changed: Callable[[], None]
) -> Callable[[], None]:
    """Call `changed` on each new version; return a function that unsubscribes."""

    def receive(sender: ConfigurationReplica, **details: object) -> None:
        changed()

    configuration_changed.connect(receive, sender=replica)
    return lambda: configuration_changed.disconnect(receive, sender=replica)
