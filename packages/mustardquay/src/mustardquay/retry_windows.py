"""Retry windows: how many repeated sends one process may add for a service.

The platform limits the repeated sends of all processes together, in every window of
time, to a ratio of the requests plus a fixed allowance. Processes don't coordinate;
each one applies the ratio to its own requests and uses its part of the allowance.
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

__all__ = ["RetryLimits", "RetryWindow"]

USED_RATIO_FRACTION = 0.8
"""Fraction of the ratio that is used. Callers choose a process for each connection,
so the requests of the last window may have gone to another process."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The limit for all processes together."""

    ratio: float
    allowance: float
    window: timedelta


class RetryWindow:
    """Sliding window of the requests and repeated sends of one service.

    Guards against a retry storm: an upstream fails, every process sends its work
    again, and the remaining upstreams fail under the load. The allowance is divided by
    the number of processes that may exist, not by those currently visible, so that
    processes on both sides of a network partition still keep the common limit.
    """

    def __init__(self, limits: RetryLimits, processes: int):
        self._limits = limits
        self._processes = max(processes, 1)
        self._requests: deque[timedelta] = deque()
        self._repeats: deque[timedelta] = deque()

    def count_request(self, now: timedelta) -> None:
        """Count a request of a caller for the service."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: timedelta, sends: int = 1) -> bool:
        """Count repeated sends if all of them are within the limit."""
        self._expire(now)
        share = self._limits.allowance / self._processes
        bound = USED_RATIO_FRACTION * self._limits.ratio * len(self._requests) + share
        if len(self._repeats) + sends > bound:
            return False
        self._repeats.extend([now] * sends)
        return True

    def _expire(self, now: timedelta) -> None:
        oldest = now - self._limits.window
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
