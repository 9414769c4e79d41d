"""Peer books: what the other gateways say of the work that they have sent.

Each gateway sees only its own callers. It tells the others, some twenty times a
second, what it has outstanding at each engine and which parts of prompts it had read
where. Digests may be lost or come late: each holds the whole outstanding work, and
what is lost of the parts is a prompt that is read once more.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .engine_models import PoolSpeeds
from .quarantines import CrashRecord
from .rate_divisions import ServiceDemand
from .rate_limits import LimitNotice

__all__ = [
    "DIGEST_LIFETIME",
    "LOWEST_RANK",
    "EngineDigest",
    "PeerBook",
    "PeerDigest",
    "PlacedPart",
    "make_ranks",
]

LOWEST_RANK = 9
"""The least urgent rank that engines know; 0 is the most urgent."""


def make_ranks() -> list[float]:
    """Return no seconds of work at any rank."""
    return [0.0] * (LOWEST_RANK + 1)


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
class PeerBook:
    """The newest digest of each gateway, and their sums by engine."""

    heard: dict[str, _Heard] = field(default_factory=dict)
    _read_seconds: dict[str, list[float]] = field(default_factory=dict)
    _running: dict[str, int] = field(default_factory=dict)

    def hear(self, digest: PeerDigest, now: timedelta) -> bool:
        """Take in a digest; returns whether it is newer than what was known.

        Datagrams overtake each other: an older one is dropped.
        """
        known = self.heard.get(digest.gateway)
        if known is not None:
            if digest.order <= known.digest.order:
                return False
        self.heard[digest.gateway] = _Heard(digest, now)
        self._sum_up(now)
        return True

    def expire(self, now: timedelta) -> None:
        """Drop what is too old."""
        if any(now - heard.at > DIGEST_LIFETIME for heard in self.heard.values()):
            self.heard = {
                name: heard
                for name, heard in self.heard.items()
                if now - heard.at <= DIGEST_LIFETIME
            }
            self._sum_up(now)

    def get_read_seconds(self, engine: str, rank: int = LOWEST_RANK) -> float:
        """Return the reading that the others have at an engine, up to a rank."""
        return sum(self._read_seconds.get(engine, ())[: rank + 1])

    def get_running(self, engine: str) -> int:
        """Return the generations of the others that run at an engine."""
        return self._running.get(engine, 0)

    def list_configurations(self) -> list[int]:
        """Return the version of the configuration that each gateway has."""
        return [heard.digest.configuration for heard in self.heard.values()]

    def list_changing(self) -> set[str]:
        """Return the engines that change their stage, so that they take no work."""
        return {
            engine for heard in self.heard.values() for engine in heard.digest.changing
        }

    def _sum_up(self, now: timedelta) -> None:
        self._read_seconds = {}
        self._running = {}
        for heard in self.heard.values():
            for each in heard.digest.engines:
                seconds = self._read_seconds.setdefault(each.engine, make_ranks())
                for rank, value in enumerate(each.read_seconds):
                    seconds[rank] += value
                running = self._running.get(each.engine, 0)
                self._running[each.engine] = running + each.running
