"""What gateways do for each other beside their digests, as the settings ask for it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.peer_digests import PeerDigest

from .configuration_loaders import ConfigurationLoader
from .configuration_relays import ConfigurationRelay, RelayDependencies
from .forwarder_dependencies import ForwardedRequest
from .gateway_contexts import GatewayContext
from .gateway_servers import GatewayServers, PeeringPorts
from .generation_planners import GenerationPlanner
from .peer_forwarding import PeerForwarder, PeerForwarderDependencies
from .replies import Reply
from .settings import GatewaySettings

__all__ = ["GatewayPeering", "PeeringDependencies"]


@dataclass(frozen=True, slots=True)
class PeeringDependencies:
    """Dependencies of `GatewayPeering`."""

    context: GatewayContext
    clock: Clock
    configurations: ConfigurationLoader
    planner: GenerationPlanner
    servers: GatewayServers
    ports: PeeringPorts
    """Set by `start`, for the digests."""
    get_configuration_delay: Callable[[], timedelta]
    """Returns the time in which a version must be in force everywhere."""
    count_forwarded: Callable[[str, str], None]
    """Counts a request by the gateway that it was left to, and by its end."""


class GatewayPeering:
    """Hands configurations and requests from one gateway to another."""

    def __init__(self, settings: GatewaySettings, deps: PeeringDependencies):
        self._settings = settings
        self._deps = deps
        gateway = settings.gateway
        self._relay = self._make_relay() if gateway.configuration_relay else None
        self._forwarder = self._make_forwarder() if gateway.peer_forwarding else None

    @property
    def forward(self) -> Callable[[ForwardedRequest, Reply], Awaitable[bool]] | None:
        """Return what forwards requests to other gateways, None if nothing does."""
        return None if self._forwarder is None else self._forwarder.forward

    def start(self) -> None:
        """Listen to other gateways; before the first digest, which has the ports."""
        deps, ports = self._deps, self._deps.ports
        host, port = self._settings.node.address, self._settings.gateway.peer_port
        if self._forwarder is not None:
            forward_port = port + 1 if port else 0
            ports.forward = deps.servers.listen_to_peers(f"{host}:{forward_port}")
        if self._relay is not None:
            ports.relay = deps.servers.serve_configuration(
                f"{host}:{port}", lambda: deps.configurations.document
            )
            self._relay.start()

    async def close(self) -> None:
        """Stop fetching, and close the connections to other gateways."""
        if self._relay is not None:
            await self._relay.close()
        if self._forwarder is not None:
            self._forwarder.close()

    def apply_digest(self, digest: PeerDigest) -> None:
        """Apply the newest digest of a gateway."""
        if self._forwarder is not None:
            self._forwarder.apply_digest(digest)

    def note_behind(self) -> None:
        """Note that another gateway has a newer configuration in force."""
        if self._relay is not None:
            self._relay.note_behind()

    def _make_relay(self) -> ConfigurationRelay:
        deps = self._deps
        return ConfigurationRelay(
            RelayDependencies(
                deps.clock,
                deps.context.random,
                deps.context.events,
                self._settings.node.availability_zone,
                get_version=lambda: deps.configurations.version,
                measure_lag=lambda: deps.configurations.lag,
                get_bound=deps.get_configuration_delay,
                is_decoding=lambda: deps.configurations.is_decoding,
                list_sources=lambda: deps.planner.get_peers().list_sources(),
                find_host=deps.context.get_peers().find_host,
                apply=deps.configurations.apply_document,
            )
        )

    def _make_forwarder(self) -> PeerForwarder:
        deps = self._deps
        return PeerForwarder(
            PeerForwarderDependencies(
                deps.clock,
                deps.context.random,
                deps.context.events,
                self._settings.node.availability_zone,
                self._settings.gateway.link_rate,
                find_host=deps.context.get_peers().find_host,
                build_headers=deps.context.adapter.build_peer_headers,
                read_answer=deps.context.adapter.read_answer,
                count=deps.count_forwarded,
            )
        )
