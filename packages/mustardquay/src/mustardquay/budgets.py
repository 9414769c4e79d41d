"""Budgets: how often a process may call a shared service, and how it backs off."""

from datetime import timedelta
from random import Random

__all__ = ["Budget", "draw_delay"]

ZERO = timedelta()


class Budget:
    """A token bucket that hands out waiting times instead of refusals.

    >>> budget = Budget(rate=10, burst=1)
    >>> [budget.reserve(ZERO).total_seconds() for _ in range(3)]
    [0.0, 0.1, 0.2]
    """

    def __init__(self, rate: float, burst: int):
        self._interval = timedelta(seconds=1 / rate)
        self._allowance = self._interval * (burst - 1)
        self._next = -self._allowance

    def reserve(self, now: timedelta, limit: timedelta = timedelta.max) -> timedelta:
        """Take one call and return how long to wait before it.

        When the wait would be over `limit`, nothing is taken; the wait is
        returned all the same.
        """
        start = max(self._next, now - self._allowance)
        wait = max(start - now, ZERO)
        if wait <= limit:
            self._next = start + self._interval
        return wait


def draw_delay(
    random: Random, attempt: int, base: timedelta, longest: timedelta
) -> timedelta:
    """Return the wait before retry number `attempt`, counted from 0.

    Full jitter: uniform between 0 and a bound that doubles, so that processes
    that failed together don't come back together. Source: Brooker, "Exponential
    Backoff And Jitter", AWS Architecture Blog, 2015.
    """
    bound = min(base * 2 ** min(attempt, 30), longest)
    return bound * random.random()
