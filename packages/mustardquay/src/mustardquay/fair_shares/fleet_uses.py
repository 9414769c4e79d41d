"""Fleet uses: the use of services at all gateways, and each organisation's fair share.

Handles overload that each gateway sees only a part of. Reports may be lost, late or
reordered, and their senders may be silent or restart: a report replaces all earlier
ones of its gateway, and decays from its arrival on like the use that it states.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp

from .uses import USE_MEMORY, OrganisationUse, UseMeter
from .water_levels import FairLevel, find_level

__all__ = ["FleetUses", "Standing"]

SHARES_LIFETIME = timedelta(milliseconds=100)
"""How long computed shares are used. Computing them for a thousand organisations takes
a millisecond; in this time a share changes by a thirtieth at most."""
REPORT_LIFETIME = 3 * USE_MEMORY
"""How long a report is used: after that, a twentieth of it would be left."""
CONTENTION_SHARE = 0.02
"""Part of the demand that must have been refused for shares to apply. A few refusals
for other reasons don't mean that a service is overloaded."""
MIN_SERVED_RATIO = 0.3
"""Part of the service of all organisations together that each one gets at least.
Callers require a quarter; the rest is for the error of late reports."""
EVEN_WEIGHT = 0.1
"""Weight of an even division among gateways beside one by demand, so that a gateway
without recent requests has a part for its first callers."""
ENOUGH = FairLevel(float("inf"), 0.0)


@dataclass(frozen=True, slots=True)
class Standing:
    """The use of a service by an organisation, compared with its fair share."""

    use: float
    """Seconds of admitted work at all gateways, decayed."""
    share: float
    """Fair share in the same unit; infinite if there is enough for all."""
    demand: float = 0.0
    """Seconds of work that was asked for, decayed."""

    @property
    def is_contended(self) -> bool:
        """Return whether the service has recently been unable to admit all work."""
        return self.share < float("inf")

    @property
    def is_over(self) -> bool:
        """Return whether the organisation uses more than its share."""
        return self.use > self.share

    @property
    def place(self) -> int:
        """Return the place in the order of organisations of the same rank.

        0 if it asks for no more than its share, so that all of it can be admitted; 1 if
        it asks for more; 2 if it also uses more. One that asks for more must not fill
        the queue although its use is at its share: there would be no room for others.
        """
        return (self.demand > self.share) + self.is_over


@dataclass(frozen=True, slots=True)
class _Report:
    order: tuple[int, int]
    uses: tuple[OrganisationUse, ...]
    at: timedelta


@dataclass(frozen=True, slots=True)
class _Shares:
    at: timedelta
    level: FairLevel
    peer_uses: dict[str, float]
    demands: dict[str, float]
    gateway_part: float


@dataclass(slots=True)
class FleetUses:
    """The use at this gateway and, from their reports, at the others."""

    own: UseMeter = field(default_factory=UseMeter)
    unreported_ratio: float = 0.0
    """Gateways whose reports don't arrive, relative to those whose reports do. They are
    assumed to have the same use."""
    _reports: dict[str, _Report] = field(default_factory=dict)
    _shares: dict[str, _Shares] = field(default_factory=dict)

    def apply_report(
        self,
        gateway: str,
        order: tuple[int, int],
        uses: Sequence[OrganisationUse],
        now: timedelta,
    ) -> None:
        """Apply the uses at another gateway, unless a newer report is known.

        `order` increases with each report of a gateway, also when it restarts.
        """
        known = self._reports.get(gateway)
        if known is None or order > known.order:
            self._reports[gateway] = _Report(order, tuple(uses), now)
        # Shares aren't computed while no requests come, but reports still do.
        self._expire(now)

    def find_standing(
        self, service: str, organisation: str, now: timedelta
    ) -> Standing:
        """Return the use and the fair share of an organisation at a service."""
        shares = self._get_shares(service, now)
        own, _ = self.own.read(service, organisation, now)
        demand = shares.demands.get(organisation, 0.0)
        use = own + shares.peer_uses.get(organisation, 0.0)
        return Standing(use, shares.level.find_share(demand), demand)

    def find_gateway_part(self, service: str, now: timedelta) -> float:
        """Return the part of the demand for a service that comes to this gateway."""
        return self._get_shares(service, now).gateway_part

    def _get_shares(self, service: str, now: timedelta) -> _Shares:
        shares = self._shares.get(service)
        if shares is None or now - shares.at > SHARES_LIFETIME:
            shares = self._shares[service] = self._compute(service, now)
        return shares

    def _compute(self, service: str, now: timedelta) -> _Shares:
        self._expire(now)
        uses: defaultdict[str | None, float] = defaultdict(float)
        demands: defaultdict[str | None, float] = defaultdict(float)
        self._add_reports(service, uses, demands, now)
        peer_uses = {name: use for name, use in uses.items() if name is not None}
        used = sum(uses.values())
        own_demand = 0.0
        for name, use, demand in self.own.read_service(service, now):
            used += use
            own_demand += demand
            demands[name] += demand
        # Organisations that no gateway lists by name are small: all they ask for is
        # below the share of each.
        unlisted = demands.pop(None, 0.0)
        level = ENOUGH
        total = sum(demands.values()) + unlisted
        if used < (1 - CONTENTION_SHARE) * total:
            capacity = max(used - unlisted, 0.0)
            level = find_level(demands.values(), capacity, MIN_SERVED_RATIO)
        part = self._weigh(own_demand / total) if total else 1.0
        return _Shares(now, level, peer_uses, demands, part)

    def _weigh(self, part: float) -> float:
        """Return a part of the demand, mixed with an even part."""
        gateways = 1 + len(self._reports) * (1 + self.unreported_ratio)
        return (1 - EVEN_WEIGHT) * part + EVEN_WEIGHT / gateways

    def _add_reports(
        self,
        service: str,
        uses: dict[str | None, float],
        demands: dict[str | None, float],
        now: timedelta,
    ) -> None:
        for report in self._reports.values():
            weight = (1 + self.unreported_ratio) * exp((report.at - now) / USE_MEMORY)
            for each in report.uses:
                if each.service == service:
                    uses[each.organisation] += weight * each.seconds
                    demands[each.organisation] += weight * each.demand

    def _expire(self, now: timedelta) -> None:
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report.at <= REPORT_LIFETIME
        }
