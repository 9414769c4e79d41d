"""Exchange of digests: state that each gateway shares with the others."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from mustardquay.clocks import Clock
from mustardquay.peer_books import PeerDigest
from mustardquay.rate_limits import LimitBook

from .configuration_intakes import ConfigurationIntake
from .crash_reporters import CrashReporter
from .gateway_stops import GatewayStop
from .generators import GenerationPlanner

__all__ = ["DigestBook", "DigestParts"]


@dataclass(frozen=True, slots=True)
class DigestParts:
    """Components whose state digests carry, and which apply received digests."""

    name: str
    availability_zone: str
    clock: Clock
    planner: GenerationPlanner
    stop: GatewayStop
    crashes: CrashReporter
    limits: LimitBook
    configurations: ConfigurationIntake
    is_ready: Callable[[], bool]
    fetch_configuration: Callable[[], None]
    """Starts a read of the configuration, as a newer one is known to exist."""


class DigestBook:
    """Builds the numbered digests of one gateway and applies those of others."""

    def __init__(self, parts: DigestParts):
        self._parts = parts
        self._incarnation = int(parts.clock.now().timestamp() * 1_000_000)
        self._number = 0

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this process; it rises with each restart."""
        return self._incarnation

    def build(self) -> PeerDigest:
        """Return the next digest for the other gateways."""
        parts = self._parts
        now = parts.clock.monotonic()
        self._number += 1
        digest = parts.planner.build_digest(
            parts.name, self._incarnation, self._number, parts.configurations.version
        )
        knows_limits = parts.limits.knows_any(now)
        return replace(
            digest,
            crashes=parts.crashes.list_news(),
            availability_zone=parts.availability_zone,
            is_ready=parts.is_ready(),
            limits=parts.limits.tell(now),
            demands=parts.limits.demand.tell(now) if knows_limits else None,
            ends_in=parts.stop.ends_in,
        )

    def hear(self, digest: PeerDigest) -> None:
        """Apply a received digest; fetch the configuration if the sender's is newer.

        Guards against a connection to the store that stopped responding: otherwise the
        configuration would be read only after the call on it has timed out.
        """
        parts = self._parts
        parts.planner.hear(digest)
        parts.stop.hear(digest)
        parts.crashes.merge(digest.crashes)
        self._hear_limits(digest)
        if parts.configurations.hear(digest.gateway, digest.configuration):
            parts.fetch_configuration()

    def note_listed(self, told: Collection[str], others: int) -> None:
        """Note the gateways that send digests here, and the number of the others."""
        now = self._parts.clock.monotonic()
        self._parts.limits.demand.list_gateways(told, others, now)
        self._parts.planner.note_listed(len(told), others)

    def _hear_limits(self, digest: PeerDigest) -> None:
        now = self._parts.clock.monotonic()
        self._parts.limits.demand.hear(digest.gateway, digest.demands, now)
        for notice in digest.limits:
            self._parts.limits.hear_notice(notice, now)
