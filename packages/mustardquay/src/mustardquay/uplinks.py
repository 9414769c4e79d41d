"""Uplinks: how much waits to leave a gateway over the link of its instance.

Answers gateways of unequal instances: some have links of 13 Mbit/s beside others of
100. A long prompt of some 18 KB that is read at one engine and generated at another
leaves twice, and 60 of them a second are more than a slow link takes.
"""

from datetime import timedelta

__all__ = ["Uplink"]

USABLE_SHARE = 0.9
"""Part of a link's rate that bodies get: headers of packets take 4 in 100, answers to
callers and digests the rest."""
BYTES_PER_MBIT = 125_000


class Uplink:
    """The bytes that this process has given to its link, as one queue."""

    def __init__(self, mbit_per_s: float = 0.0):
        """Take the rate of the link; 0 stands for one that never makes wait."""
        self._rate = mbit_per_s * BYTES_PER_MBIT * USABLE_SHARE
        self._free_at = timedelta()

    def enqueue(self, size: int, now: timedelta) -> None:
        """Note that `size` bytes are sent."""
        if self._rate:
            begin = max(self._free_at, now)
            self._free_at = begin + timedelta(seconds=size / self._rate)

    def predict_time(self, size: int, now: timedelta) -> timedelta:
        """Return how long `size` bytes sent now take to have left.

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
