"""Digests: what one gateway says of itself to the others, and takes in from them."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from mustardquay.clocks import Clock
from mustardquay.peer_digests import PeerDigest
from mustardquay.rate_limits import LimitBook

from .configuration_intakes import ConfigurationIntake
from .crash_reporters import CrashReporter
from .gateway_stops import GatewayStop
from .generators import GenerationPlanner

__all__ = ["DigestBook", "DigestParts"]


@dataclass(frozen=True, slots=True)
class DigestParts:
    """Whose state digests tell, and who learns from those of others."""

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
    """Has the configuration read, as a newer one is known to exist."""


class DigestBook:
    """Makes the digests of one gateway, in order, and takes in those of others."""

    def __init__(self, parts: DigestParts):
        self._parts = parts
        self._incarnation = int(parts.clock.now().timestamp() * 1_000_000)
        self._number = 0

    @property
    def incarnation(self) -> int:
        """Return the number of this start of the process; later ones are higher."""
        return self._incarnation

    def build(self) -> PeerDigest:
        """Return what the others are told next."""
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
        """Take in a digest; a newer configuration elsewhere is fetched at once.

        Guards against a connection to the store that went silent: the configuration
        would be read only when the call on it has timed out.
        """
        parts = self._parts
        parts.planner.hear(digest)
        parts.stop.apply_digest(digest)
        parts.crashes.merge(digest.crashes)
        self._hear_limits(digest)
        if parts.configurations.hear(digest.gateway, digest.configuration):
            parts.fetch_configuration()

    def note_listed(self, told: Collection[str], others: int) -> None:
        """Take in which gateways tell this one, and how many there are besides."""
        now = self._parts.clock.monotonic()
        self._parts.limits.demand.list_gateways(told, others, now)
        self._parts.planner.note_listed(len(told), others)

    def _hear_limits(self, digest: PeerDigest) -> None:
        now = self._parts.clock.monotonic()
        self._parts.limits.demand.hear(digest.gateway, digest.demands, now)
        for notice in digest.limits:
            self._parts.limits.hear_notice(notice, now)
