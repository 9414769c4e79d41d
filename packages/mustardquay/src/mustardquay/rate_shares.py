"""Rate divisions: which part of an upstream's rate limit one gateway may use.

A limit is for all gateways together, and none of them asks the others before it sends.
Each tells how many requests it gets for a service, and takes its part in proportion:
flow-proportional shares of Raghavan and others, "Cloud control with distributed rate
limiting" (2007). What isn't known counts against the sender: a gateway that is listed
and silent keeps an even part, so that those on both sides of a partition don't use the
whole limit each.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp

__all__ = ["DemandMeter", "FleetDemand", "ServiceDemand"]

DEMAND_MEMORY = timedelta(seconds=2)
"""Time constant over which requests are counted."""
EVEN_WEIGHT = 0.1
"""Part of the mean demand that each gateway has at least, so that the first callers of
one that had none find a place."""
MAX_PART_WITH_UNLINKED = 0.5
"""Most of what the gateways that are heard may use that one of them uses, where there
are others: each of those hears half of them at least, and not always this one."""
TOLD_LIFETIME = timedelta(milliseconds=800)
"""How long what a gateway tells counts as its demand now."""
SILENT_LIFETIME = timedelta(seconds=10)
"""How long a gateway that is listed and silent keeps its part: it may be cut off from
this one and go on sending. Longer, and those that are gone for good would keep it."""


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """What the callers of one gateway ask of a service."""

    service: str
    per_second: float


@dataclass(slots=True)
class DemandMeter:
    """Requests a second, the latest counting most."""

    _rate: float = 0.0
    _at: timedelta = timedelta()

    def count(self, now: timedelta) -> None:
        """Count a request."""
        self._rate = self.read(now) + 1 / DEMAND_MEMORY.total_seconds()
        self._at = now

    def read(self, now: timedelta) -> float:
        """Return the requests a second."""
        return self._rate * exp((self._at - now) / DEMAND_MEMORY)

    def read_before(self, now: timedelta) -> float:
        """Return the same without the last request.

        A gateway looks at its part when it has a request: counted, that one would make
        the part of each gateway larger in the moment in which it is used.
        """
        last = 1 / DEMAND_MEMORY.total_seconds()
        return (self._rate - last) * exp((self._at - now) / DEMAND_MEMORY)


@dataclass(frozen=True, slots=True)
class _Told:
    demands: Mapping[str, float] | None
    """By service; None where the gateway tells of no demand."""
    at: timedelta

    def read(self, service: str, usual: float) -> float:
        if self.demands is None:
            return usual
        return self.demands.get(service, 0.0)


@dataclass(frozen=True, slots=True)
class _Seen:
    at: timedelta
    """When the gateway was heard last, or else first listed."""
    was_heard: bool = False


@dataclass(slots=True)
class FleetDemand:
    """What the callers of all gateways ask, as far as this one knows."""

    _own: dict[str, DemandMeter] = field(default_factory=dict)
    _told: dict[str, _Told] = field(default_factory=dict)
    _seen: dict[str, _Seen] = field(default_factory=dict)
    """The gateways that are listed and tell this one."""
    _unlinked: int = 0
    """Gateways that are listed and tell others than this one."""

    def count_request(self, service: str, now: timedelta) -> None:
        """Count a request that a caller has sent for a service."""
        meter = self._own.get(service)
        if meter is None:
            meter = self._own[service] = DemandMeter()
        meter.count(now)

    def set_gateways(
        self, linked: Collection[str], unlinked: int, now: timedelta
    ) -> None:
        """Take in which other gateways are listed: those that tell this one, and how
        many there are besides.
        """
        self._seen = {name: self._seen.get(name, _Seen(now)) for name in linked}
        self._told = {k: told for k, told in self._told.items() if k in self._seen}
        self._unlinked = unlinked

    def apply_demands(
        self, gateway: str, demands: Sequence[ServiceDemand] | None, now: timedelta
    ) -> None:
        """Take in what a gateway tells of its callers; None if it knows no limit."""
        by_service = None
        if demands is not None:
            by_service = {each.service: each.per_second for each in demands}
        self._told[gateway] = _Told(by_service, now)
        self._seen[gateway] = _Seen(now, was_heard=True)

    def list_demands(self, now: timedelta) -> tuple[ServiceDemand, ...]:
        """Return what the other gateways are told."""
        return tuple(
            ServiceDemand(service, meter.read(now))
            for service, meter in self._own.items()
        )

    def estimate(self, service: str, now: timedelta) -> float:
        """Return the requests a second that all gateways get for a service."""
        meter = self._own.get(service)
        own = meter.read(now) if meter is not None else 0.0
        rates = [own, *self._list_heard(service, own, now)]
        return sum(rates) * max(self._count_gateways(now) / len(rates), 1.0)

    def find_share(self, service: str, now: timedelta) -> float:
        """Return the part of a limit of the service's upstreams that this one may use.

        A gateway that is heard and tells of no demand is taken to have as much to send
        as this one.
        """
        meter = self._own.get(service)
        own = meter.read_before(now) if meter is not None else 0.0
        heard = self._list_heard(service, own, now)
        known = len(heard) + 1
        weights = [own, *heard]
        even = EVEN_WEIGHT * sum(weights) / known
        total = sum(weights) + known * even
        part = (own + even) / total if total else 1 / known
        if self._unlinked:
            part = min(part, MAX_PART_WITH_UNLINKED)
        return part * known / max(self._count_gateways(now), known)

    def _list_heard(self, service: str, usual: float, now: timedelta) -> list[float]:
        """Return the demand of each other gateway that is heard."""
        return [
            told.read(service, usual)
            for told in self._told.values()
            if now - told.at <= TOLD_LIFETIME
        ]

    def _count_gateways(self, now: timedelta) -> float:
        """Return how many gateways may be sending, this one included.

        Of those that tell others the same part is taken to be alive as of those that
        tell this one.
        """
        if not self._seen:
            return 1.0 + self._unlinked
        alive = self._count_alive(now)
        return 1 + alive + self._unlinked * alive / len(self._seen)

    def _count_alive(self, now: timedelta) -> int:
        """Return how many of the gateways that tell this one may be sending.

        One that hears no more than half of those that it has ever heard may itself be
        cut off, and takes nobody for gone.
        """
        recent = [
            seen for seen in self._seen.values() if now - seen.at <= SILENT_LIFETIME
        ]
        known = sum(seen.was_heard for seen in self._seen.values())
        heard = sum(seen.was_heard for seen in recent)
        if not heard or 2 * (heard + 1) <= known + 1:
            return len(self._seen)
        return len(recent)
