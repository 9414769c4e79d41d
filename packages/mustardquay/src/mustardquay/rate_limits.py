"""Rate limits: how many requests per second an overloaded upstream accepts, and when.

An upstream announces its limit in its answers and lifts it by an answer without one.
Each gateway paces its sends by its share of the limit, with a token bucket whose tokens
can be reserved in advance by requests that can wait.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from .rate_shares import FleetDemand
from .upstream_lists import UpstreamRecord

__all__ = ["LimitChange", "LimitNotice", "RateLimiter", "Reservation"]

LIMIT_LIFETIME = timedelta(seconds=10)
"""How long a limit stays in effect after the last answer that announced it."""
REORDERING_TIME = timedelta(milliseconds=500)
"""How long after an answer with a limit an answer without one is taken to be older:
answers on different connections can arrive out of order."""
NOTABLE_CHANGE = 0.1
"""Minimum relative difference between two limits that is reported as a change."""
MIN_DEMAND = 0.01
"""Minimum requests per second per upstream for dividing a limit by the demand."""
BURST_TIME = timedelta(milliseconds=500)
"""Time at the full rate for which all gateways together may accumulate tokens."""
MIN_BURST = 2.0
"""Tokens that all gateways together may accumulate in addition."""


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A limit that was announced for the first time, changed or was lifted."""

    before: float | None
    after: float | None
    """Requests per second; None for no limit."""


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """A limit as one gateway reports it to the others."""

    upstream: str
    per_second: float
    age: timedelta
    """Time since the answer that announced it."""


@dataclass(slots=True)
class Reservation:
    """A token of a rate limit that is reserved for one request."""

    upstream: str
    at: timedelta
    """When the request may be sent."""
    is_used: bool = False


@dataclass(slots=True)
class _Limit:
    per_second: float
    named_at: timedelta
    is_from_peers: bool
    """Whether the limit is known from other gateways only."""
    tokens: float = 0.0
    """Requests that may be sent now; negative if later tokens are reserved."""
    filled_at: timedelta = timedelta()

    def fill(self, share: float, now: timedelta) -> None:
        """Add the tokens accrued since the last call, for a share of the limit."""
        rate = share * self.per_second
        max_tokens = max(share * self._find_max_burst(), 1.0)
        gained = rate * (now - self.filled_at).total_seconds()
        self.tokens = min(self.tokens + gained, max_tokens)
        self.filled_at = now

    def _find_max_burst(self) -> float:
        return MIN_BURST + self.per_second * BURST_TIME.total_seconds()


@dataclass(slots=True)
class RateLimiter:
    """Paces sends to upstreams by this gateway's share of their announced limits."""

    demand: FleetDemand = field(default_factory=FleetDemand)
    _limits: dict[str, _Limit] = field(default_factory=dict)
    _lifted: dict[str, timedelta] = field(default_factory=dict)
    """When an answer to this gateway lifted a limit, by upstream."""

    def get(self, upstream: str, now: timedelta) -> float | None:
        """Return the limit of an upstream in requests per second; None for no limit."""
        limit = self._find(upstream, now)
        return None if limit is None else limit.per_second

    def update(
        self, upstream: str, per_second: float | None, now: timedelta
    ) -> LimitChange | None:
        """Apply the limit in an answer, or its absence; return a notable change."""
        before = self.get(upstream, now)
        if per_second is None:
            return self._lift(upstream, before, now)
        self._set(upstream, per_second, now, now).is_from_peers = False
        if before is not None and abs(per_second - before) <= NOTABLE_CHANGE * before:
            return None
        return LimitChange(before, per_second)

    def apply_notice(self, notice: LimitNotice, now: timedelta) -> None:
        """Apply a limit reported by another gateway; own answers take precedence."""
        named_at = now - notice.age
        lifted_at = self._lifted.get(notice.upstream)
        if lifted_at is not None and named_at < lifted_at + REORDERING_TIME:
            return
        known = self._limits.get(notice.upstream)
        if known is None or known.named_at < named_at:
            self._set(notice.upstream, notice.per_second, named_at, now)

    def has_limits(self, now: timedelta) -> bool:
        """Return whether any upstream has a limit."""
        return any(self._find(upstream, now) for upstream in self._limits)

    def list_notices(self, now: timedelta) -> tuple[LimitNotice, ...]:
        """Return the limits announced in answers to this gateway."""
        return tuple(
            LimitNotice(upstream, limit.per_second, now - limit.named_at)
            for upstream, limit in self._limits.items()
            if not limit.is_from_peers and now - limit.named_at <= LIMIT_LIFETIME
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
        """Return the fraction of an even share of the demand that each can accept.

        The upstreams are those of one service, among which its requests are
        distributed; the result contains only those with a limit.
        """
        limited = [each for each in upstreams if self._find(each.id, now) is not None]
        if not limited:
            return {}
        even_share = self.demand.estimate(limited[0].service, now) / len(upstreams)
        even_share = max(even_share, MIN_DEMAND)
        return {
            each.id: min(self._limits[each.id].per_second / even_share, 1.0)
            for each in limited
        }

    def reserve(self, upstream: UpstreamRecord, now: timedelta) -> Reservation:
        """Reserve the next token for a send to an upstream."""
        wait = self.predict_wait(upstream, now)
        self.note_sent(upstream.id, now)
        return Reservation(upstream.id, now + timedelta(seconds=wait))

    def release(self, reservation: Reservation) -> None:
        """Return the token of a reservation, unless it was used."""
        limit = self._limits.get(reservation.upstream)
        if limit is not None and not reservation.is_used:
            limit.tokens += 1
        reservation.is_used = True

    def note_sent(self, upstream: str, now: timedelta) -> None:
        """Count a request that is sent without waiting; later ones wait longer."""
        limit = self._find(upstream, now)
        if limit is not None:
            limit.tokens -= 1

    def forget(self, upstream: str) -> None:
        """Drop the state of an upstream that was removed or restarted."""
        self._limits.pop(upstream, None)
        self._lifted.pop(upstream, None)

    def _find(self, upstream: str, now: timedelta) -> _Limit | None:
        limit = self._limits.get(upstream)
        if limit is None or now - limit.named_at > LIMIT_LIFETIME:
            return None
        return limit

    def _set(
        self, upstream: str, per_second: float, named_at: timedelta, now: timedelta
    ) -> _Limit:
        limit = self._find(upstream, now)
        if limit is None:
            limit = _Limit(per_second, named_at, is_from_peers=True, filled_at=now)
            self._limits[upstream] = limit
        limit.per_second = per_second
        limit.named_at = named_at
        return limit

    def _lift(
        self, upstream: str, before: float | None, now: timedelta
    ) -> LimitChange | None:
        if before is None or now - self._limits[upstream].named_at < REORDERING_TIME:
            return None
        del self._limits[upstream]
        self._lifted[upstream] = now
        return LimitChange(before, None)
