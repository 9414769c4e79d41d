"""Uses: how much of each service an organisation has recently used and asked for.

Handles many small organisations beside a few large ones: the state is bounded, and what
is reported to other gateways names the largest and adds up the rest.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta
from heapq import nlargest
from math import exp

__all__ = ["USE_MEMORY", "OrganisationUse", "UseMeter", "fold_uses"]

USE_MEMORY = timedelta(seconds=3)
"""Time constant of the decay: longer than the bursts of a small organisation, shorter
than the deadlines within which refused callers return."""
MAX_EXPONENT = 200.0
"""Age in time constants at which the accumulated sums are scaled anew, long before they
exceed the range of floats."""
MAX_ORGANISATIONS = 4096
"""Organisations with a use of their own at one service; those with the least demand are
dropped first."""
MIN_DECAY = 1e-80
"""Guards against a division by zero after a long idle time."""
NEGLIGIBLE_SECONDS = 1e-4
"""Demand below which an organisation is dropped: a thousandth of a short request."""


@dataclass(frozen=True, slots=True)
class OrganisationUse:
    """The recent use of a service by one organisation, in seconds of expected work."""

    service: str
    organisation: str | None
    """Empty for anonymous callers; None for the sum of all that are not listed."""
    seconds: float
    """Work that was admitted."""
    demand: float
    """Work that was asked for, whether it was admitted or not."""


@dataclass(slots=True)
class UseMeter:
    """The use of each service by each organisation at this gateway.

    Sums are stored as they would be at a common instant, so that the decay is one
    factor for all of them.
    """

    _sums: dict[str, dict[str, list[float]]] = field(default_factory=dict)
    """Admitted and demanded seconds by service and organisation, at `_at`."""
    _at: timedelta = timedelta()

    def note_demand(
        self, service: str, organisation: str, seconds: float, now: timedelta
    ) -> None:
        """Count work that is asked for."""
        self._get(service, organisation, now)[1] += seconds / self._decay(now)

    def note_admitted(
        self, service: str, organisation: str, seconds: float, now: timedelta
    ) -> None:
        """Count work that is admitted; negative if it was not run after all."""
        sums = self._get(service, organisation, now)
        sums[0] = max(sums[0] + seconds / self._decay(now), 0.0)
        # What returning callers use was asked for elsewhere, or before it was dropped.
        sums[1] = max(sums)

    def list_uses(self, now: timedelta, count: int) -> tuple[OrganisationUse, ...]:
        """Return the `count` largest uses, and a sum of the rest for each service."""
        decay = self._decay(now)
        smallest = NEGLIGIBLE_SECONDS / max(decay, MIN_DECAY)
        all_sums = [
            (demand, used, service, organisation)
            for service, sums in self._sums.items()
            for organisation, (used, demand) in sums.items()
            if demand > smallest
        ]
        largest = nlargest(count, all_sums)
        rests = {service: [0.0, 0.0] for service in self._sums}
        for sign, listed in ((1, all_sums), (-1, largest)):
            for demand, used, service, _ in listed:
                rests[service][0] += sign * used
                rests[service][1] += sign * demand
        uses = [
            OrganisationUse(service, organisation, used * decay, demand * decay)
            for demand, used, service, organisation in largest
        ]
        uses += [
            OrganisationUse(service, None, max(used, 0.0) * decay, demand * decay)
            for service, (used, demand) in rests.items()
            if demand > smallest
        ]
        return tuple(uses)

    def read(
        self, service: str, organisation: str, now: timedelta
    ) -> tuple[float, float]:
        """Return the admitted and the demanded seconds of one organisation."""
        sums = self._sums.get(service, {}).get(organisation)
        if sums is None:
            return 0.0, 0.0
        decay = self._decay(now)
        return sums[0] * decay, sums[1] * decay

    def read_service(
        self, service: str, now: timedelta
    ) -> Iterable[tuple[str, float, float]]:
        """Return organisation, admitted and demanded seconds of one service."""
        decay = self._decay(now)
        sums = self._sums.get(service, {})
        return [(name, each[0] * decay, each[1] * decay) for name, each in sums.items()]

    def _decay(self, now: timedelta) -> float:
        return exp((self._at - now) / USE_MEMORY)

    def _get(self, service: str, organisation: str, now: timedelta) -> list[float]:
        if (now - self._at) / USE_MEMORY > MAX_EXPONENT:
            self._rescale(now)
        sums = self._sums.setdefault(service, {})
        found = sums.get(organisation)
        if found is None:
            if len(sums) >= MAX_ORGANISATIONS:
                self._drop_smallest(sums, now)
            found = sums[organisation] = [0.0, 0.0]
        return found

    def _rescale(self, now: timedelta) -> None:
        decay = self._decay(now)
        for sums in self._sums.values():
            for each in sums.values():
                each[:] = (each[0] * decay, each[1] * decay)
        self._at = now

    def _drop_smallest(self, sums: dict[str, list[float]], now: timedelta) -> None:
        """Drop a quarter, so that this is done seldom."""
        ordered = sorted(sums, key=lambda name: sums[name][1])
        for name in ordered[: len(ordered) // 4]:
            del sums[name]


def fold_uses(
    uses: Sequence[OrganisationUse], count: int
) -> tuple[OrganisationUse, ...]:
    """Return the first `count` uses, and one sum of the rest for each service.

    >>> uses = [OrganisationUse("s", name, 1.0, 2.0) for name in ("a", "b", "c")]
    >>> [(use.organisation, use.demand) for use in fold_uses(uses, 1)]
    [('a', 2.0), (None, 4.0)]
    """
    named = [use for use in uses if use.organisation is not None][:count]
    kept = {(use.service, use.organisation) for use in named}
    rests: dict[str, OrganisationUse] = {}
    for use in uses:
        if (use.service, use.organisation) in kept:
            continue
        rest = rests.get(use.service, OrganisationUse(use.service, None, 0.0, 0.0))
        rests[use.service] = replace(
            rest, seconds=rest.seconds + use.seconds, demand=rest.demand + use.demand
        )
    return (*named, *rests.values())
