"""Refusals of new requests near the limit: for how long, and when to retry."""

from datetime import timedelta
from random import Random

__all__ = ["RefusalSpan", "draw_retry_after"]

RETRY_AFTER = timedelta(milliseconds=500)
"""Least Retry-After of a refusal: time in which callers that read take some MB."""
LONGEST_GAP = timedelta(seconds=1)
"""Time without a refusal after which the next one begins a new span."""


def draw_retry_after(random: Random) -> timedelta:
    """Return when to retry; spread, so that callers don't return together."""
    return RETRY_AFTER * (1 + random.random())


class RefusalSpan:
    """A span of time in which requests are refused again and again."""

    def __init__(self) -> None:
        self._began_at: timedelta | None = None
        self._last_at = timedelta()

    def note(self, now: timedelta) -> None:
        """Note a refusal."""
        if self._began_at is None or now - self._last_at > LONGEST_GAP:
            self._began_at = now
        self._last_at = now

    def measure(self, now: timedelta) -> timedelta:
        """Return for how long requests have been refused, 0 if they are not now."""
        if self._began_at is None or now - self._last_at > LONGEST_GAP:
            return timedelta()
        return now - self._began_at
