"""Peer digests: the outstanding work of the other gateways, from their digests.

Each gateway sees only its own callers. About twenty times a second it sends the others
a digest of its outstanding work at each engine and of the prompt parts that it had
prefilled where. Digests may be lost or delayed: each contains the whole outstanding
work, and a lost report of parts costs at most one more prefill of a prompt.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from .configuration_sources import ConfigurationSource
from .engine_models import PoolSpeeds
from .engine_speeds import EngineFactor
from .fair_shares.uses import OrganisationUse
from .quarantines import CrashRecord
from .rate_limits import LimitNotice
from .rate_shares import ServiceDemand
from .upstream_capacity import CapacityNotice

__all__ = [
    "DIGEST_LIFETIME",
    "LOWEST_RANK",
    "MICROSECONDS",
    "EngineDigest",
    "PeerDigests",
    "PeerDigest",
    "PlacedPart",
    "make_ranks",
    "trim_ranks",
]

MICROSECONDS = 1_000_000
"""Microseconds in a second."""
LOWEST_RANK = 9
"""The least urgent rank that engines support; 0 is the most urgent."""


def make_ranks() -> list[float]:
    """Return the initial outstanding seconds of each rank."""
    return [0.0] * (LOWEST_RANK + 1)


def trim_ranks(seconds: Sequence[float]) -> tuple[float, ...]:
    """Return the ranks without trailing ones that have no work.

    >>> trim_ranks([0.0, 0.2, 0.0])
    (0.0, 0.2)
    """
    used = [rank for rank, value in enumerate(seconds) if value]
    return tuple(seconds[: used[-1] + 1]) if used else ()


DIGEST_LIFETIME = timedelta(milliseconds=800)
"""Time after which a digest expires. A gateway silent for longer has ended, lost its
network or been suspended, and its callers have disconnected."""


@dataclass(frozen=True, slots=True)
class EngineDigest:
    """The work of one gateway at one engine."""

    engine: str
    prefill_seconds: tuple[float, ...]
    """Expected seconds of outstanding prefill at the engine's usual speed, by rank;
    trailing ranks without work are omitted."""
    running: int


@dataclass(frozen=True, slots=True)
class PlacedPart:
    """A part of a prompt whose prefill an engine has begun."""

    engine: str
    part: int
    """Hash of the part's id."""
    tokens: int


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """The state of one gateway at one instant."""

    gateway: str
    incarnation: int
    number: int
    configuration: int
    """Version of the gateway's current configuration."""
    engines: tuple[EngineDigest, ...] = ()
    placed: tuple[PlacedPart, ...] = ()
    changing: tuple[str, ...] = ()
    """Engines that the gateway has ordered to change their stage."""
    crashes: tuple[CrashRecord, ...] = ()
    """New reports of requests that crash upstreams."""
    speeds: tuple[PoolSpeeds, ...] = ()
    """Learned speeds of the engines of each service."""
    availability_zone: str = ""
    is_ready: bool = True
    """Whether the gateway reports itself as ready to the load balancer."""
    limits: tuple[LimitNotice, ...] = ()
    """Rate limits that upstreams have announced to the gateway."""
    demands: tuple[ServiceDemand, ...] | None = None
    """Its callers' demand for each service; None without a known rate limit."""
    is_busy: bool = False
    """Whether the gateway could not take more callers."""
    link_rate: float = 0.0
    """Rate of its link in Mbit/s; 0 if it takes no forwarded requests."""
    forward_port: int = 0
    """Port for requests that other gateways forward; 0 if it takes none."""
    relay_port: int = 0
    """Port at which it hands on its configuration; 0 if it doesn't."""
    ends_in: timedelta | None = None
    """Time until a stopping gateway ends at the latest; None for all others."""
    engine_factors: tuple[EngineFactor, ...] = ()
    """What the gateway has measured of single engines."""

    capacities: tuple[CapacityNotice, ...] = ()
    """Reports of upstreams that the gateway got since its last digest."""
    uses: tuple[OrganisationUse, ...] = ()
    """Uses of services by organisations; empty if they are not due in this digest."""

    @property
    def order(self) -> tuple[int, int]:
        """Return a key that increases with each digest of a gateway."""
        return (self.incarnation, self.number)


@dataclass(slots=True)
class _ReceivedDigest:
    digest: PeerDigest
    at: timedelta


@dataclass(slots=True)
class _EngineSum:
    """The work of all gateways with a current digest, at one engine.

    Integers, so that additions and subtractions cancel out exactly.
    """

    microseconds: list[int] = field(default_factory=lambda: [0] * (LOWEST_RANK + 1))
    running: int = 0
    digests: int = 0
    """Number of digests that include the engine."""


@dataclass(slots=True)
class PeerDigests:
    """The newest digest of each gateway, and their sums by engine."""

    digests: dict[str, _ReceivedDigest] = field(default_factory=dict)
    unreported_ratio: float = 0.0
    """Gateways whose digests don't arrive, relative to those whose digests do. They are
    assumed to have as much work outstanding as the others."""
    _sums: dict[str, _EngineSum] = field(default_factory=dict)

    def apply_digest(self, digest: PeerDigest, now: timedelta) -> bool:
        """Record a digest; return whether it is newer than the previous one.

        Datagrams may arrive out of order: older ones are dropped.
        """
        known = self.digests.get(digest.gateway)
        if known is not None:
            if digest.order <= known.digest.order:
                return False
            self._subtract(known.digest)
        self.digests[digest.gateway] = _ReceivedDigest(digest, now)
        self._add(digest)
        return True

    def expire(self, now: timedelta) -> None:
        """Drop expired digests."""
        silent = [
            name
            for name, received in self.digests.items()
            if now - received.at > DIGEST_LIFETIME
        ]
        for name in silent:
            self._subtract(self.digests.pop(name).digest)

    def get_prefill_seconds(self, engine: str, rank: int = LOWEST_RANK) -> float:
        """Return the other gateways' outstanding prefill at an engine, up to a rank."""
        found = self._sums.get(engine)
        if found is None:
            return 0.0
        reported = sum(found.microseconds[: rank + 1]) / MICROSECONDS
        return reported * (1 + self.unreported_ratio)

    def get_running(self, engine: str) -> int:
        """Return how many answers an engine decodes for the other gateways."""
        found = self._sums.get(engine)
        return (
            0 if found is None else round(found.running * (1 + self.unreported_ratio))
        )

    def list_configurations(self) -> list[int]:
        """Return the configuration version of each gateway."""
        return [received.digest.configuration for received in self.digests.values()]

    def list_sources(self) -> list[ConfigurationSource]:
        """Return the configuration of each gateway, and where that gateway is."""
        digests = (received.digest for received in self.digests.values())
        return [
            ConfigurationSource(
                digest.gateway,
                digest.configuration,
                digest.availability_zone,
                digest.relay_port,
            )
            for digest in digests
            if digest.relay_port
        ]

    def list_changing(self) -> set[str]:
        """Return the engines that are changing their stage and take no work."""
        return {
            engine
            for received in self.digests.values()
            for engine in received.digest.changing
        }

    def _add(self, digest: PeerDigest) -> None:
        for each in digest.engines:
            total = self._sums.get(each.engine)
            if total is None:
                total = self._sums[each.engine] = _EngineSum()
            _add_scaled(total, each, 1)

    def _subtract(self, digest: PeerDigest) -> None:
        for each in digest.engines:
            total = self._sums[each.engine]
            _add_scaled(total, each, -1)
            if not total.digests:
                del self._sums[each.engine]


def _add_scaled(total: _EngineSum, each: EngineDigest, sign: int) -> None:
    for rank, seconds in enumerate(each.prefill_seconds):
        total.microseconds[rank] += sign * round(seconds * MICROSECONDS)
    total.running += sign * each.running
    total.digests += sign
