"""Exchange of digests: state that each gateway shares with the others."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from mustardquay.clocks import Clock
from mustardquay.connection_gates import ConnectionGate
from mustardquay.peer_digests import PeerDigest
from mustardquay.rate_limits import RateLimiter

from .configuration_loaders import ConfigurationLoader
from .crash_suspects import CrashReporter
from .gateway_servers import PeeringPorts
from .gateway_stops import GatewayStop
from .generation_planners import GenerationPlanner
from .load_reporters import LoadReporter
from .service_shares import ServiceShares

__all__ = ["DigestDependencies", "DigestExchange"]


@dataclass(frozen=True, slots=True)
class DigestDependencies:
    """Components whose state digests carry, and which apply received digests."""

    name: str
    availability_zone: str
    clock: Clock
    planner: GenerationPlanner
    stop: GatewayStop
    crashes: CrashReporter
    gate: ConnectionGate
    limits: RateLimiter
    reports: LoadReporter
    configurations: ConfigurationLoader
    is_ready: Callable[[], bool]
    link_rate: float
    """Rate of the link of this gateway in Mbit/s."""
    ports: PeeringPorts
    """Ports at which other gateways connect to this one."""
    note_digest: Callable[[PeerDigest], None]
    """Passes a received digest on to the forwarding of requests."""
    fetch_configuration: Callable[[], None]
    """Starts a read of the configuration, as a newer one is known to exist."""
    shares: ServiceShares | None = None
    """None if organisations have no shares."""


class DigestExchange:
    """Builds the numbered digests of one gateway and applies those of others."""

    def __init__(self, deps: DigestDependencies):
        self._deps = deps
        self._incarnation = int(deps.clock.now().timestamp() * 1_000_000)
        self._number = 0

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this process; it rises with each restart."""
        return self._incarnation

    def build(self) -> PeerDigest:
        """Return the next digest for the other gateways."""
        deps = self._deps
        now = deps.clock.monotonic()
        self._number += 1
        digest = deps.planner.build_digest(
            deps.name, self._incarnation, self._number, deps.configurations.version
        )
        if deps.shares is not None:
            digest = deps.shares.complete_digest(digest)
        knows_limits = deps.limits.has_limits(now)
        return replace(
            digest,
            crashes=deps.crashes.list_records(),
            availability_zone=deps.availability_zone,
            is_ready=deps.is_ready(),
            is_busy=deps.gate.is_busy,
            limits=deps.limits.list_notices(now),
            demands=deps.limits.demand.list_demands(now) if knows_limits else None,
            link_rate=deps.link_rate,
            forward_port=deps.ports.forward,
            relay_port=deps.ports.relay,
            ends_in=deps.stop.ends_in,
            capacities=deps.reports.list_notices(len(digest.placed)),
        )

    def apply_digest(self, digest: PeerDigest) -> None:
        """Apply a received digest; fetch the configuration if the sender's is newer.

        Guards against a connection to the store that stopped responding: otherwise the
        configuration would be read only after the call on it has timed out.
        """
        deps = self._deps
        deps.planner.apply_digest(digest)
        deps.stop.apply_digest(digest)
        deps.gate.apply_digest(digest, deps.clock.monotonic())
        deps.crashes.merge(digest.crashes)
        deps.note_digest(digest)
        if deps.shares is not None:
            deps.shares.apply_digest(digest)
        self._apply_limits(digest)
        deps.reports.apply_digest(digest)
        if deps.configurations.note_peer_version(digest.gateway, digest.configuration):
            deps.fetch_configuration()

    def set_gateways(self, senders: Collection[str], others: int) -> None:
        """Note the gateways that send digests here, and the number of the others."""
        now = self._deps.clock.monotonic()
        self._deps.limits.demand.set_gateways(senders, others, now)
        self._deps.planner.set_gateway_counts(len(senders), others)
        self._deps.reports.set_gateways(senders)
        if self._deps.shares is not None:
            self._deps.shares.set_gateway_counts(len(senders), others)

    def _apply_limits(self, digest: PeerDigest) -> None:
        now = self._deps.clock.monotonic()
        self._deps.limits.demand.apply_demands(digest.gateway, digest.demands, now)
        for notice in digest.limits:
            self._deps.limits.apply_notice(notice, now)
