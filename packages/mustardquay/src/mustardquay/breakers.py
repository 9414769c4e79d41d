"""Circuit breakers: stop calling a failing service, and probe it at intervals."""

from datetime import timedelta
from random import Random

from .budgets import draw_delay

__all__ = ["CircuitBreaker"]


class CircuitBreaker:
    """Opens after consecutive failures; then allows one probe at a time.

    The delay before each probe is drawn with full jitter and grows with every failed
    probe. When a service that was down for an hour recovers, processes detect it at
    different times, so that they don't overload it again.
    """

    def __init__(
        self,
        random: Random,
        threshold: int = 3,
        first_wait: timedelta = timedelta(seconds=1),
        longest_wait: timedelta = timedelta(seconds=10),
    ):
        self._random = random
        self._threshold = threshold
        self._first_wait = first_wait
        self._longest_wait = longest_wait
        self._failures = 0
        self._probe_at: timedelta | None = None

    @property
    def is_open(self) -> bool:
        """Return whether calls other than probes are refused."""
        return self._failures >= self._threshold

    def allow(self, now: timedelta) -> bool:
        """Return whether a call may be made now; an allowed probe counts as made."""
        if not self.is_open:
            return True
        if self._probe_at is not None and now < self._probe_at:
            return False
        self._probe_at = now + self._draw_wait()
        return True

    def succeed(self) -> None:
        """Record a successful call and close the breaker."""
        self._failures = 0
        self._probe_at = None

    def fail(self, now: timedelta) -> None:
        """Record a call that failed because the service is down or too slow."""
        self._failures += 1
        if self.is_open:
            self._probe_at = now + self._draw_wait()

    def _draw_wait(self) -> timedelta:
        attempt = self._failures - self._threshold
        wait = draw_delay(self._random, attempt, self._first_wait, self._longest_wait)
        return self._first_wait / 2 + wait
