"""Peer books: what the other gateways say of the work that they have sent.

Each gateway sees only its own callers. It tells the others, some twenty times a
second, what it has outstanding at each engine and which parts of prompts it had read
where. Digests may be lost or come late: each holds the whole outstanding work, and
what is lost of the parts is a prompt that is read once more.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from .engine_models import PoolSpeeds
from .quarantines import CrashRecord
from .rate_limits import LimitNotice
from .rate_shares import ServiceDemand

__all__ = [
    "DIGEST_LIFETIME",
    "LOWEST_RANK",
    "MICROSECONDS",
    "EngineDigest",
    "PeerBook",
    "PeerDigest",
    "PlacedPart",
    "make_ranks",
    "trim_ranks",
]

MICROSECONDS = 1_000_000
"""In a second."""
LOWEST_RANK = 9
"""The least urgent rank that engines know; 0 is the most urgent."""


def make_ranks() -> list[float]:
    """Return no seconds of work at any rank."""
    return [0.0] * (LOWEST_RANK + 1)


def trim_ranks(seconds: Sequence[float]) -> tuple[float, ...]:
    """Return the ranks without those at the end that have no work.

    >>> trim_ranks([0.0, 0.2, 0.0])
    (0.0, 0.2)
    """
    used = [rank for rank, value in enumerate(seconds) if value]
    return tuple(seconds[: used[-1] + 1]) if used else ()


DIGEST_LIFETIME = timedelta(milliseconds=800)
"""How long a digest counts. A gateway that is silent for longer is gone, cut off or
suspended, and its callers have left it."""


@dataclass(frozen=True, slots=True)
class EngineDigest:
    """The work of one gateway at one engine."""

    engine: str
    read_seconds: tuple[float, ...]
    """Expected reading of the prompts that aren't read yet, by their rank; ranks that
    are missing at the end have none."""
    running: int


@dataclass(frozen=True, slots=True)
class PlacedPart:
    """A part of a prompt that an engine has begun to read."""

    engine: str
    part: int
    """Hash of the part's id."""
    tokens: int


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """What one gateway says at one moment."""

    gateway: str
    incarnation: int
    number: int
    configuration: int
    """Version of the configuration in force there."""
    engines: tuple[EngineDigest, ...] = ()
    placed: tuple[PlacedPart, ...] = ()
    changing: tuple[str, ...] = ()
    """Engines that the gateway has ordered to change their stage."""
    crashes: tuple[CrashRecord, ...] = ()
    """Requests that crash upstreams, as far as that is news."""
    speeds: tuple[PoolSpeeds, ...] = ()
    """How fast the engines of each service are, as the gateway has learned."""
    availability_zone: str = ""
    is_ready: bool = True
    """Whether the balancer is told that callers may be sent there."""
    limits: tuple[LimitNotice, ...] = ()
    """Rate limits that upstreams have named to the gateway."""
    demands: tuple[ServiceDemand, ...] | None = None
    """What its callers ask of each service; None while it knows of no limit."""
    ends_in: timedelta | None = None
    """The time that a gateway that stops has at most; None for all others."""

    @property
    def order(self) -> tuple[int, int]:
        """Return what rises with each digest of a gateway."""
        return (self.incarnation, self.number)


@dataclass(slots=True)
class _Heard:
    digest: PeerDigest
    at: timedelta


@dataclass(slots=True)
class _EngineSum:
    """The work of all gateways that are heard, at one engine.

    Whole numbers, so that what is added and taken away again leaves nothing.
    """

    microseconds: list[int] = field(default_factory=lambda: [0] * (LOWEST_RANK + 1))
    running: int = 0
    digests: int = 0
    """Digests that name the engine."""


@dataclass(slots=True)
class PeerBook:
    """The newest digest of each gateway, and their sums by engine."""

    heard: dict[str, _Heard] = field(default_factory=dict)
    unheard_ratio: float = 0.0
    """Gateways that don't tell this one, for each that does. They are taken to have
    as much work outstanding as the others."""
    _sums: dict[str, _EngineSum] = field(default_factory=dict)

    def hear(self, digest: PeerDigest, now: timedelta) -> bool:
        """Take in a digest; returns whether it is newer than what was known.

        Datagrams overtake each other: an older one is dropped.
        """
        known = self.heard.get(digest.gateway)
        if known is not None:
            if digest.order <= known.digest.order:
                return False
            self._take_away(known.digest)
        self.heard[digest.gateway] = _Heard(digest, now)
        self._add(digest)
        return True

    def expire(self, now: timedelta) -> None:
        """Drop what is too old."""
        silent = [
            name
            for name, heard in self.heard.items()
            if now - heard.at > DIGEST_LIFETIME
        ]
        for name in silent:
            self._take_away(self.heard.pop(name).digest)

    def get_read_seconds(self, engine: str, rank: int = LOWEST_RANK) -> float:
        """Return the reading that the others have at an engine, up to a rank."""
        found = self._sums.get(engine)
        if found is None:
            return 0.0
        heard = sum(found.microseconds[: rank + 1]) / MICROSECONDS
        return heard * (1 + self.unheard_ratio)

    def get_running(self, engine: str) -> int:
        """Return the generations of the others that run at an engine."""
        found = self._sums.get(engine)
        return 0 if found is None else round(found.running * (1 + self.unheard_ratio))

    def list_configurations(self) -> list[int]:
        """Return the version of the configuration that each gateway has."""
        return [heard.digest.configuration for heard in self.heard.values()]

    def list_changing(self) -> set[str]:
        """Return the engines that change their stage, so that they take no work."""
        return {
            engine for heard in self.heard.values() for engine in heard.digest.changing
        }

    def _add(self, digest: PeerDigest) -> None:
        for each in digest.engines:
            total = self._sums.get(each.engine)
            if total is None:
                total = self._sums[each.engine] = _EngineSum()
            _sum_up(total, each, 1)

    def _take_away(self, digest: PeerDigest) -> None:
        for each in digest.engines:
            total = self._sums[each.engine]
            _sum_up(total, each, -1)
            if not total.digests:
                del self._sums[each.engine]


def _sum_up(total: _EngineSum, each: EngineDigest, sign: int) -> None:
    for rank, seconds in enumerate(each.read_seconds):
        total.microseconds[rank] += sign * round(seconds * MICROSECONDS)
    total.running += sign * each.running
    total.digests += sign
