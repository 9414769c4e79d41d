"""Rate limits: how many requests a second an upstream in need takes, and from whom.

An upstream names its limit in its answers, and takes it back by an answer without one.
"""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["LimitBook", "LimitChange", "NamedLimit"]

LIFETIME = timedelta(seconds=10)
"""How long a limit holds that no answer names again."""
OVERTAKING = timedelta(milliseconds=500)
"""How long after an answer that names a limit one without it counts as older: answers
on several connections overtake each other."""
NOTABLE_CHANGE = 0.1
"""Part of a limit by which the next one has to differ to be news."""


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A limit that was named anew, has changed or has ended."""

    before: float | None
    after: float | None
    """Requests a second; None for no limit."""


@dataclass(slots=True)
class NamedLimit:
    """What one upstream takes from all gateways together."""

    per_second: float
    named_at: timedelta


@dataclass(slots=True)
class LimitBook:
    """The limits that upstreams have named to this process."""

    _limits: dict[str, NamedLimit] = field(default_factory=dict)

    def get(self, upstream: str, now: timedelta) -> float | None:
        """Return the requests a second that an upstream takes; None for no limit."""
        limit = self._limits.get(upstream)
        if limit is None or now - limit.named_at > LIFETIME:
            return None
        return limit.per_second

    def hear(
        self, upstream: str, per_second: float | None, now: timedelta
    ) -> LimitChange | None:
        """Take in what an answer says; returns the change if it is news."""
        before = self.get(upstream, now)
        if per_second is None:
            return self._lift(upstream, before, now)
        self._limits[upstream] = NamedLimit(per_second, now)
        if before is not None and abs(per_second - before) <= NOTABLE_CHANGE * before:
            return None
        return LimitChange(before, per_second)

    def _lift(
        self, upstream: str, before: float | None, now: timedelta
    ) -> LimitChange | None:
        if before is None or now - self._limits[upstream].named_at < OVERTAKING:
            return None
        del self._limits[upstream]
        return LimitChange(before, None)

    def forget(self, upstream: str) -> None:
        """Drop an upstream that is gone or has started anew."""
        self._limits.pop(upstream, None)
