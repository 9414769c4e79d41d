"""Rates: token buckets with which platform services limit the rate of calls."""

from datetime import timedelta

from mustardquay import Clock

__all__ = ["RateLimit"]


class RateLimit:
    """A token bucket with a burst of one second; a rate of 0 means no limit.

    >>> from mustardquay import VirtualClock
    >>> limit = RateLimit(VirtualClock())
    >>> [limit.take(2.0) is None for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._level: float | None = None
        self._filled_at = clock.monotonic()

    def take(self, rate: float) -> timedelta | None:
        """Take one token at `rate` per second; returns the wait if there is none."""
        if rate <= 0:
            return None
        now = self._clock.monotonic()
        gained = (now - self._filled_at).total_seconds() * rate
        capacity = max(rate, 1.0)
        level = capacity if self._level is None else self._level + gained
        self._filled_at = now
        self._level = min(capacity, level)
        if self._level < 1.0:
            return timedelta(seconds=(1.0 - self._level) / rate)
        self._level -= 1.0
        return None
