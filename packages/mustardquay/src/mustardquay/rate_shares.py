"""Rate shares: which share of an upstream's rate limit one gateway may use.

A limit applies to all gateways together, and gateways don't coordinate before sending.
Each one reports its request rate for a service and uses a proportional share of the
limit: the flow-proportional shares of Raghavan and others, "Cloud control with
distributed rate limiting" (2007). Missing information reduces a gateway's own share:
a gateway that is listed but silent keeps an even share, so that the two sides of a
network partition don't both use the whole limit.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp

__all__ = ["DemandMeter", "FleetDemand", "ServiceDemand"]

DEMAND_MEMORY = timedelta(seconds=2)
"""Time constant over which requests are counted."""
EVEN_WEIGHT = 0.1
"""Fraction of the mean demand that is added to the demand of each gateway, so that a
gateway without recent requests has a share for its first callers."""
MAX_PART_WITH_UNLINKED = 0.5
"""Maximum fraction of the combined share of this gateway and those with a recent report
that one of them uses if there are unlinked gateways: an unlinked gateway receives the
reports of at least half of them, but not necessarily of this one."""
REPORT_LIFETIME = timedelta(milliseconds=800)
"""How long a reported demand counts as the current demand of a gateway."""
SILENT_LIFETIME = timedelta(seconds=10)
"""How long a gateway that is listed but silent keeps its share: it may be partitioned
from this one and still be sending. A longer time would reserve the share of gateways
that are permanently gone."""


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The request rate for a service at one gateway."""

    service: str
    per_second: float


@dataclass(slots=True)
class DemandMeter:
    """Exponentially decaying average of the requests per second."""

    _rate: float = 0.0
    _at: timedelta = timedelta()

    def count(self, now: timedelta) -> None:
        """Count a request."""
        self._rate = self.read(now) + 1 / DEMAND_MEMORY.total_seconds()
        self._at = now

    def read(self, now: timedelta) -> float:
        """Return the requests per second."""
        return self._rate * exp((self._at - now) / DEMAND_MEMORY)

    def read_before(self, now: timedelta) -> float:
        """Return the requests per second without the last request.

        A gateway computes its share when it has a request to send. If that request
        counted, the share of each gateway would be too large whenever it is used.
        """
        last = 1 / DEMAND_MEMORY.total_seconds()
        return (self._rate - last) * exp((self._at - now) / DEMAND_MEMORY)


@dataclass(frozen=True, slots=True)
class _Report:
    demands: Mapping[str, float] | None
    """By service; None if the gateway reports no demand."""
    at: timedelta

    def read(self, service: str, default: float) -> float:
        if self.demands is None:
            return default
        return self.demands.get(service, 0.0)


@dataclass(frozen=True, slots=True)
class _LinkedGateway:
    at: timedelta
    """When the gateway last sent a digest, or was first listed if it hasn't."""
    has_reported: bool = False


@dataclass(slots=True)
class FleetDemand:
    """The demand at all gateways, as far as this gateway can observe it."""

    _own: dict[str, DemandMeter] = field(default_factory=dict)
    _reports: dict[str, _Report] = field(default_factory=dict)
    _linked: dict[str, _LinkedGateway] = field(default_factory=dict)
    """The linked gateways: listed ones that send their digests to this one."""
    _unlinked: int = 0
    """Number of unlinked gateways: listed ones that send digests only to others."""

    def count_request(self, service: str, now: timedelta) -> None:
        """Count a request of a caller for a service."""
        meter = self._own.get(service)
        if meter is None:
            meter = self._own[service] = DemandMeter()
        meter.count(now)

    def set_gateways(
        self, linked: Collection[str], unlinked: int, now: timedelta
    ) -> None:
        """Set the other listed gateways: the names of those that send their digests to
        this one, and the number of all others.
        """
        self._linked = {
            name: self._linked.get(name, _LinkedGateway(now)) for name in linked
        }
        self._reports = {
            k: report for k, report in self._reports.items() if k in self._linked
        }
        self._unlinked = unlinked

    def apply_demands(
        self, gateway: str, demands: Sequence[ServiceDemand] | None, now: timedelta
    ) -> None:
        """Apply the demand that a gateway reports; None if it has no limit to share."""
        by_service = None
        if demands is not None:
            by_service = {each.service: each.per_second for each in demands}
        self._reports[gateway] = _Report(by_service, now)
        self._linked[gateway] = _LinkedGateway(now, has_reported=True)

    def list_demands(self, now: timedelta) -> tuple[ServiceDemand, ...]:
        """Return this gateway's demand, to be reported to the others."""
        return tuple(
            ServiceDemand(service, meter.read(now))
            for service, meter in self._own.items()
        )

    def estimate(self, service: str, now: timedelta) -> float:
        """Return the estimated requests per second for a service at all gateways."""
        meter = self._own.get(service)
        own = meter.read(now) if meter is not None else 0.0
        rates = [own, *self._list_reported(service, own, now)]
        return sum(rates) * max(self._count_gateways(now) / len(rates), 1.0)

    def find_share(self, service: str, now: timedelta) -> float:
        """Return this gateway's share of the limits of the service's upstreams.

        A gateway that sends digests without demand is assumed to have the same demand
        as this one.
        """
        meter = self._own.get(service)
        own = meter.read_before(now) if meter is not None else 0.0
        reported = self._list_reported(service, own, now)
        known = len(reported) + 1
        weights = [own, *reported]
        even = EVEN_WEIGHT * sum(weights) / known
        total = sum(weights) + known * even
        part = (own + even) / total if total else 1 / known
        if self._unlinked:
            part = min(part, MAX_PART_WITH_UNLINKED)
        return part * known / max(self._count_gateways(now), known)

    def _list_reported(
        self, service: str, default: float, now: timedelta
    ) -> list[float]:
        """Return the demand of each other gateway with a recent digest."""
        return [
            report.read(service, default)
            for report in self._reports.values()
            if now - report.at <= REPORT_LIFETIME
        ]

    def _count_gateways(self, now: timedelta) -> float:
        """Return how many gateways may be sending, including this one.

        The fraction of unlinked gateways that are alive is assumed to be the same as
        of the linked ones.
        """
        if not self._linked:
            return 1.0 + self._unlinked
        alive = self._count_alive(now)
        return 1 + alive + self._unlinked * alive / len(self._linked)

    def _count_alive(self, now: timedelta) -> int:
        """Return how many of the linked gateways may be sending.

        A gateway that receives digests from no more than half of those that ever sent
        it one may be partitioned itself, and treats none of them as gone.
        """
        recent = [
            gateway
            for gateway in self._linked.values()
            if now - gateway.at <= SILENT_LIFETIME
        ]
        known = sum(gateway.has_reported for gateway in self._linked.values())
        reported = sum(gateway.has_reported for gateway in recent)
        if not reported or 2 * (reported + 1) <= known + 1:
            return len(self._linked)
        return len(recent)
