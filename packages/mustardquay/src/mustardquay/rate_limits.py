"""Rate limits: how many requests a second an upstream in need takes, and when.

An upstream names its limit in its answers, and takes it back by an answer without one.
Each gateway paces what it sends by its part of the limit: a token bucket whose tokens
can be taken in advance, by requests that can wait for their turn.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from .rate_shares import FleetDemand
from .upstream_lists import UpstreamRecord

__all__ = ["RateLimiter", "LimitChange", "LimitNotice", "Reservation"]

LIFETIME = timedelta(seconds=10)
"""How long a limit holds that no answer names again."""
OVERTAKING = timedelta(milliseconds=500)
"""How long after an answer that names a limit one without it counts as older: answers
on several connections overtake each other."""
NOTABLE_CHANGE = 0.1
"""Part of a limit by which the next one has to differ to be news."""
LEAST_DEMAND = 0.01
"""Requests a second for an upstream below which there is nothing to divide."""
BURST_TIME = timedelta(milliseconds=500)
"""Time for which the gateways together may save up what they don't send."""
BURST_LEAST = 2.0
"""Requests that they may save up besides."""


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A limit that was named anew, has changed or has ended."""

    before: float | None
    after: float | None
    """Requests a second; None for no limit."""


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """A limit as one gateway tells it to the others."""

    upstream: str
    per_second: float
    age: timedelta
    """Time since the answer that named it."""


@dataclass(slots=True)
class Reservation:
    """The place of one request among those that an upstream takes."""

    upstream: str
    at: timedelta
    """When it may be sent."""
    is_used: bool = False


@dataclass(slots=True)
class _Limit:
    per_second: float
    named_at: timedelta
    is_told: bool
    """Whether only other gateways have been answered so."""
    tokens: float = 0.0
    """Requests that may be sent now; below 0 where later ones have been promised."""
    filled_at: timedelta = timedelta()

    def fill(self, share: float, now: timedelta) -> None:
        """Add the tokens of the time since the last look, by a part of the limit."""
        rate = share * self.per_second
        most = max(share * self._measure_burst(), 1.0)
        gained = rate * (now - self.filled_at).total_seconds()
        self.tokens = min(self.tokens + gained, most)
        self.filled_at = now

    def _measure_burst(self) -> float:
        return BURST_LEAST + self.per_second * BURST_TIME.total_seconds()


@dataclass(slots=True)
class RateLimiter:
    """The limits that upstreams have named, and this gateway's part of them."""

    demand: FleetDemand = field(default_factory=FleetDemand)
    _limits: dict[str, _Limit] = field(default_factory=dict)
    _lifted: dict[str, timedelta] = field(default_factory=dict)
    """When answers to this gateway stopped to name a limit."""

    def get(self, upstream: str, now: timedelta) -> float | None:
        """Return the requests a second that an upstream takes; None for no limit."""
        limit = self._find(upstream, now)
        return None if limit is None else limit.per_second

    def update(
        self, upstream: str, per_second: float | None, now: timedelta
    ) -> LimitChange | None:
        """Take in what an answer says; returns the change if it is news."""
        before = self.get(upstream, now)
        if per_second is None:
            return self._lift(upstream, before, now)
        self._put(upstream, per_second, now, now).is_told = False
        if before is not None and abs(per_second - before) <= NOTABLE_CHANGE * before:
            return None
        return LimitChange(before, per_second)

    def apply_notice(self, notice: LimitNotice, now: timedelta) -> None:
        """Take in a limit that another gateway tells of; own answers go before it."""
        named_at = now - notice.age
        lifted_at = self._lifted.get(notice.upstream)
        if lifted_at is not None and named_at < lifted_at + OVERTAKING:
            return
        known = self._limits.get(notice.upstream)
        if known is None or known.named_at < named_at:
            self._put(notice.upstream, notice.per_second, named_at, now)

    def has_limits(self, now: timedelta) -> bool:
        """Return whether any upstream has a limit."""
        return any(self._find(upstream, now) for upstream in self._limits)

    def list_notices(self, now: timedelta) -> tuple[LimitNotice, ...]:
        """Return the limits that this gateway's own answers name."""
        return tuple(
            LimitNotice(upstream, limit.per_second, now - limit.named_at)
            for upstream, limit in self._limits.items()
            if not limit.is_told and now - limit.named_at <= LIFETIME
        )

    def predict_wait(self, upstream: UpstreamRecord, now: timedelta) -> float:
        """Return the seconds until the next request may be sent, 0 without a limit."""
        limit = self._find(upstream.id, now)
        if limit is None:
            return 0.0
        share = self.demand.find_share(upstream.service, now)
        limit.fill(share, now)
        return max(1 - limit.tokens, 0.0) / (share * limit.per_second)

    def measure_capacities(
        self, upstreams: Sequence[UpstreamRecord], now: timedelta
    ) -> dict[str, float]:
        """Return which part of an even share of the demand each may take.

        The upstreams are those of one service among which its callers' requests are
        divided; only those with a limit are in the result.
        """
        limited = [each for each in upstreams if self._find(each.id, now) is not None]
        if not limited:
            return {}
        even = self.demand.estimate(limited[0].service, now) / len(upstreams)
        even = max(even, LEAST_DEMAND)
        return {
            each.id: min(self._limits[each.id].per_second / even, 1.0)
            for each in limited
        }

    def reserve(self, upstream: UpstreamRecord, now: timedelta) -> Reservation:
        """Take the next turn to send to an upstream."""
        wait = self.predict_wait(upstream, now)
        self.note_sent(upstream.id, now)
        return Reservation(upstream.id, now + timedelta(seconds=wait))

    def release(self, turn: Reservation) -> None:
        """Give back a turn, unless it was used."""
        limit = self._limits.get(turn.upstream)
        if limit is not None and not turn.is_used:
            limit.tokens += 1
        turn.is_used = True

    def note_sent(self, upstream: str, now: timedelta) -> None:
        """Count a request that waits for no turn; later ones wait for it."""
        limit = self._find(upstream, now)
        if limit is not None:
            limit.tokens -= 1

    def forget(self, upstream: str) -> None:
        """Drop an upstream that is gone or has started anew."""
        self._limits.pop(upstream, None)
        self._lifted.pop(upstream, None)

    def _find(self, upstream: str, now: timedelta) -> _Limit | None:
        limit = self._limits.get(upstream)
        if limit is None or now - limit.named_at > LIFETIME:
            return None
        return limit

    def _put(
        self, upstream: str, per_second: float, named_at: timedelta, now: timedelta
    ) -> _Limit:
        limit = self._find(upstream, now)
        if limit is None:
            limit = _Limit(per_second, named_at, is_told=True, filled_at=now)
            self._limits[upstream] = limit
        limit.per_second = per_second
        limit.named_at = named_at
        return limit

    def _lift(
        self, upstream: str, before: float | None, now: timedelta
    ) -> LimitChange | None:
        if before is None or now - self._limits[upstream].named_at < OVERTAKING:
            return None
        del self._limits[upstream]
        self._lifted[upstream] = now
        return LimitChange(before, None)
