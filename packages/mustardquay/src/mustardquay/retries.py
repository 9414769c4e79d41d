"""Retries: how often, and after which pause, idempotent work is sent again.

Retries are paid from token buckets that requests fill, so that a fleet in trouble
never gets more than a fixed ratio of extra work. Sources: the retry budgets of
Finagle, and "Exponential Backoff And Jitter" (AWS Architecture Blog, 2015).
"""

from collections import OrderedDict
from datetime import timedelta
from random import Random

__all__ = ["RetryBudget", "choose_backoff"]

BACKOFF_BASE = timedelta(milliseconds=50)
BACKOFF_CAP = timedelta(seconds=2)


class _Bucket:
    """Tokens that requests earn and a slow trickle adds, up to a capacity."""

    __slots__ = ("_capacity", "_now", "_tokens", "_trickle")

    def __init__(self, capacity: float, trickle: float, now: timedelta):
        self._capacity = capacity
        self._trickle = trickle
        self._tokens = capacity
        self._now = now

    def add(self, tokens: float, now: timedelta) -> None:
        elapsed = max(now - self._now, timedelta()).total_seconds()
        self._now = max(now, self._now)
        earned = tokens + elapsed * self._trickle
        self._tokens = min(self._capacity, self._tokens + earned)

    def has_token(self, now: timedelta) -> bool:
        self.add(0, now)
        # The sum of ten tenths is a little under 1.
        return self._tokens >= 1 - 1e-9

    def take(self) -> None:
        self._tokens = max(0.0, self._tokens - 1)


class RetryBudget:
    """Token buckets of one entry: one for all its work and one per customer.

    Guards against a retry storm: an upstream fails, every caller's work is sent
    again, and the load that remains on the others makes them fail as well. It
    shows as attempts growing while answers fall. A retry needs a token of the
    customer and one of the entry; both are earned as a `ratio` of first attempts,
    so that retries add at most that ratio to the load, apart from the capacity of
    the buckets and a `trickle` in tokens a second for customers that seldom call.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        capacity: float = 10.0,
        trickle: float = 0.1,
        entry_capacity: float = 100.0,
        customers: int = 10_000,
        now: timedelta = timedelta(),
    ):
        self._ratio = ratio
        self._capacity = capacity
        self._trickle = trickle
        self._customers = customers
        self._entry = _Bucket(entry_capacity, trickle, now)
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def earn(self, customer: str, now: timedelta) -> None:
        """Credit the first attempt of a request."""
        self._entry.add(self._ratio, now)
        self._find(customer, now).add(self._ratio, now)

    def spend(self, customer: str, now: timedelta) -> bool:
        """Pay for one retry; False when it may not be made."""
        bucket = self._find(customer, now)
        if not (bucket.has_token(now) and self._entry.has_token(now)):
            return False
        bucket.take()
        self._entry.take()
        return True

    def _find(self, customer: str, now: timedelta) -> _Bucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(self._capacity, self._trickle, now)
            self._buckets[customer] = bucket
        self._buckets.move_to_end(customer)
        if len(self._buckets) > self._customers:
            # The entry's own bucket still bounds customers that return.
            self._buckets.popitem(last=False)
        return bucket


def choose_backoff(
    retry: int,
    remaining: timedelta,
    random: Random,
    base: timedelta = BACKOFF_BASE,
    cap: timedelta = BACKOFF_CAP,
) -> timedelta | None:
    """Return the pause before retry number `retry` (from 1), with full jitter.

    `remaining` is the time to the deadline. None means that the pause would pass
    it: give the final answer at once instead.

    >>> choose_backoff(1, timedelta(), Random(1)) is None
    True
    >>> choose_backoff(3, timedelta(seconds=9), Random(1)) <= 4 * BACKOFF_BASE
    True
    """
    if remaining <= timedelta():
        return None
    longest = min(cap, base * 2 ** min(retry - 1, 20))
    pause = longest * random.random()
    return pause if pause < remaining else None
