"""Call budgets: how often a process may call a shared service, and retry delays."""

from datetime import timedelta
from random import Random

__all__ = ["Budget", "draw_delay"]

ZERO = timedelta()


class Budget:
    """A token bucket that returns waiting times instead of refusing calls.

    >>> budget = Budget(rate=10, burst=1)
    >>> [budget.reserve(ZERO).total_seconds() for _ in range(3)]
    [0.0, 0.1, 0.2]
    """

    def __init__(self, rate: float, burst: int):
        self._interval = timedelta(seconds=1 / rate)
        self._allowance = self._interval * (burst - 1)
        self._next = -self._allowance

    def reserve(self, now: timedelta, limit: timedelta = timedelta.max) -> timedelta:
        """Reserve one call and return how long to wait before making it.

        If the wait would exceed `limit`, nothing is reserved, but the wait is still
        returned.
        """
        start = max(self._next, now - self._allowance)
        wait = max(start - now, ZERO)
        if wait <= limit:
            self._next = start + self._interval
        return wait


def draw_delay(
    random: Random, attempt: int, base: timedelta, longest: timedelta
) -> timedelta:
    """Return the delay before retry number `attempt`, counted from 0.

    Full jitter: uniform between 0 and a bound that doubles with each attempt, so that
    processes that failed at the same time don't retry at the same time. Source:
    Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
    """
    bound = min(base * 2 ** min(attempt, 30), longest)
    return bound * random.random()
