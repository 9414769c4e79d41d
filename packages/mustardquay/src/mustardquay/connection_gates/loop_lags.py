"""Loop lag: by how much a process runs behind its timers."""

from datetime import timedelta
from math import exp

__all__ = ["TARGET_LAG", "LoopLag"]

TARGET_LAG = timedelta(milliseconds=20)
"""Mean lag up to which a process keeps up. A request takes several turns of the loop,
so its answer is late by several times as much."""
AVERAGING_TIME = timedelta(milliseconds=300)
MAX_SAMPLE = timedelta(milliseconds=250)
"""Limit of one sample, and of the time that it counts for."""


class LoopLag:
    """The mean lag of the recent past."""

    def __init__(self) -> None:
        self._mean = timedelta()
        self._last = timedelta()

    @property
    def mean(self) -> timedelta:
        """Return the mean lag."""
        return self._mean

    @property
    def is_high(self) -> bool:
        """Return whether the process does not keep up."""
        return self._mean > TARGET_LAG

    def note(self, lag: timedelta, elapsed: timedelta) -> None:
        """Note the lag of a timer, and the time since the sample before it."""
        # One late timer alone is a pause of the process, not overload.
        sample = min(lag, self._last, MAX_SAMPLE)
        self._last = lag
        elapsed = min(elapsed, MAX_SAMPLE)
        weight = 1 - exp(-elapsed / AVERAGING_TIME)
        self._mean += weight * (sample - self._mean)
