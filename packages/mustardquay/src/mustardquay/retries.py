"""Retries: how often, and after which delay, idempotent work is sent again.

Each retry takes a token from buckets that first attempts fill, so that an overloaded
fleet never gets more than a fixed ratio of extra work. Sources: the retry budgets of
Finagle, and "Exponential Backoff And Jitter" (AWS Architecture Blog, 2015).
"""

from collections import OrderedDict
from datetime import timedelta
from random import Random

__all__ = ["RetryBudget", "choose_backoff"]

BACKOFF_BASE = timedelta(milliseconds=50)
BACKOFF_CAP = timedelta(seconds=2)


class _Bucket:
    """Token bucket filled by requests and at a low constant rate, up to a capacity."""

    __slots__ = ("_capacity", "_now", "_tokens", "_refill_rate")

    def __init__(self, capacity: float, refill_rate: float, now: timedelta):
        self._capacity = capacity
        self._refill_rate = refill_rate
        self._tokens = capacity
        self._now = now

    def add(self, tokens: float, now: timedelta) -> None:
        elapsed = max(now - self._now, timedelta()).total_seconds()
        self._now = max(now, self._now)
        earned = tokens + elapsed * self._refill_rate
        self._tokens = min(self._capacity, self._tokens + earned)

    def has_token(self, now: timedelta) -> bool:
        self.add(0, now)
        # Rounding: the floating-point sum of ten tenths is slightly below 1.
        return self._tokens >= 1 - 1e-9

    def take(self) -> None:
        self._tokens = max(0.0, self._tokens - 1)


class RetryBudget:
    """Token buckets of one entry: one for all its work and one per customer.

    Guards against a retry storm: an upstream fails, the work of every caller is sent
    again, and the extra load makes the remaining upstreams fail as well. The symptom
    is a rising number of attempts with a falling number of answers. A retry needs a
    token of the customer and one of the entry; each first attempt adds `ratio` tokens
    to both, so that retries add at most that ratio to the load, apart from the
    capacity of the buckets and `refill_rate` tokens per second for customers with few
    requests.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        capacity: float = 10.0,
        refill_rate: float = 0.1,
        entry_capacity: float = 100.0,
        customers: int = 10_000,
        now: timedelta = timedelta(),
    ):
        self._ratio = ratio
        self._capacity = capacity
        self._refill_rate = refill_rate
        self._customers = customers
        self._entry = _Bucket(entry_capacity, refill_rate, now)
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def earn(self, customer: str, now: timedelta) -> None:
        """Credit the first attempt of a request."""
        self._entry.add(self._ratio, now)
        self._find(customer, now).add(self._ratio, now)

    def spend(self, customer: str, now: timedelta) -> bool:
        """Take the tokens for one retry; return False if it isn't allowed."""
        bucket = self._find(customer, now)
        if not (bucket.has_token(now) and self._entry.has_token(now)):
            return False
        bucket.take()
        self._entry.take()
        return True

    def _find(self, customer: str, now: timedelta) -> _Bucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(self._capacity, self._refill_rate, now)
            self._buckets[customer] = bucket
        self._buckets.move_to_end(customer)
        if len(self._buckets) > self._customers:
            # The entry's own bucket still limits an evicted customer that returns.
            self._buckets.popitem(last=False)
        return bucket


def choose_backoff(
    retry: int,
    remaining: timedelta,
    random: Random,
    base: timedelta = BACKOFF_BASE,
    cap: timedelta = BACKOFF_CAP,
) -> timedelta | None:
    """Return the delay before retry number `retry` (from 1), with full jitter.

    `remaining` is the time to the deadline. None means that the delay would exceed
    it, so that the final answer should be given at once.

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
