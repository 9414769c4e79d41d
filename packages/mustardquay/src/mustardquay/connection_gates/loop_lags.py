"""Loop lag: by how much a process runs behind its timers."""

from datetime import timedelta
from math import exp

__all__ = ["MAX_LAG", "NOTICEABLE_LAG", "LoopLag"]

NOTICEABLE_LAG = timedelta(milliseconds=20)
"""Mean lag from which on a process is slowed by its own work."""
MAX_LAG = timedelta(milliseconds=100)
"""Mean lag over which a process does not keep up at all: a request takes some ten turns
of the loop, and callers give up one that isn't read after a second."""
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

    def note(self, lag: timedelta, elapsed: timedelta) -> None:
        """Note the lag of a timer, and the time since the sample before it."""
        # One late timer alone is a pause of the process, not overload.
        sample = min(lag, self._last, MAX_SAMPLE)
        self._last = lag
        elapsed = min(elapsed, MAX_SAMPLE)
        weight = 1 - exp(-elapsed / AVERAGING_TIME)
        self._mean += weight * (sample - self._mean)
