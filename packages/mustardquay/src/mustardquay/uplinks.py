"""Uplinks: how much data waits to be sent over the network link of an instance.

Gateways run on instances with different links: some have 13 Mbit/s, others 100. A long
prompt of about 18 KB is sent twice if one engine prefills it and another generates, and
60 of them per second exceed the capacity of a slow link.
"""

from datetime import timedelta

__all__ = ["Uplink"]

USABLE_FRACTION = 0.9
"""Fraction of a link's rate that is available for request bodies: packet headers take
4 %, answers to callers and digests the rest."""
BYTES_PER_MBIT = 125_000


class Uplink:
    """Models the bytes that this process has sent to its link as one queue."""

    def __init__(self, mbit_per_s: float = 0.0):
        """Set the rate of the link; 0 is for a link without delay."""
        self._rate = mbit_per_s * BYTES_PER_MBIT * USABLE_FRACTION
        self._free_at = timedelta()

    def enqueue(self, size: int, now: timedelta) -> None:
        """Record that `size` bytes are sent."""
        if self._rate:
            begin = max(self._free_at, now)
            self._free_at = begin + timedelta(seconds=size / self._rate)

    def predict_time(self, size: int, now: timedelta) -> timedelta:
        """Return the time until `size` bytes sent now have left the link's queue.

        >>> link = Uplink(13)
        >>> now = timedelta(seconds=3)
        >>> link.enqueue(18_000, now)
        >>> round(link.predict_time(18_000, now) / timedelta(milliseconds=1))
        25
        """
        if not self._rate:
            return timedelta()
        wait = max(self._free_at - now, timedelta())
        return wait + timedelta(seconds=size / self._rate)
