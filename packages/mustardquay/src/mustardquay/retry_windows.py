"""Retry windows: how many repeated sends one process may add for a service.

The platform bounds the repeated sends of all processes together, in every window of
time: a ratio of the requests plus a fixed allowance. Processes do not ask each other;
each keeps to the ratio of its own requests and to its part of the allowance.
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

__all__ = ["RetryLimits", "RetryWindow"]

RATIO_SHARE = 0.8
"""Part of the ratio that is spent: requests of the last window may have gone to
another process, as callers choose a process anew for each connection."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The bound for all processes together."""

    ratio: float
    allowance: float
    window: timedelta


class RetryWindow:
    """The requests and repeats of one service in this process.

    Guards against a retry storm: an upstream fails, its work is sent again by every
    process, and the upstreams that remain fail under it. The allowance is divided by
    the number of processes that may live, not by those that are seen: processes that
    are cut off from each other still keep the bound together.
    """

    def __init__(self, limits: RetryLimits, processes: int):
        self._limits = limits
        self._processes = max(processes, 1)
        self._requests: deque[timedelta] = deque()
        self._repeats: deque[timedelta] = deque()

    def count_request(self, now: timedelta) -> None:
        """Count a request that a caller sent for the service."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: timedelta, sends: int = 1) -> bool:
        """Count repeated sends if there is room for all of them."""
        self._expire(now)
        share = self._limits.allowance / self._processes
        bound = RATIO_SHARE * self._limits.ratio * len(self._requests) + share
        if len(self._repeats) + sends > bound:
            return False
        self._repeats.extend([now] * sends)
        return True

    def _expire(self, now: timedelta) -> None:
        oldest = now - self._limits.window
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
