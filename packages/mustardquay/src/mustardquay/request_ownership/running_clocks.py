"""Running clocks: the time for which this process ran, without its pauses.

A process that was held up resumes with limits that have run out by the clock, and with
bytes of its callers that it could not read meanwhile.
"""

from datetime import timedelta

__all__ = ["RunningClock"]


class RunningClock:
    """Counts time in steps, none of which counts for more than its longest."""

    def __init__(self, now: timedelta, longest_step: timedelta):
        self._last = now
        self._longest = longest_step
        self._running = timedelta()

    def read(self, now: timedelta) -> timedelta:
        """Return for how long the process has run."""
        return self._running + self._measure_step(now)

    def advance(self, now: timedelta) -> timedelta:
        """End a step; returns for how long the process has run."""
        self._running += self._measure_step(now)
        self._last = now
        return self._running

    def _measure_step(self, now: timedelta) -> timedelta:
        return min(max(now - self._last, timedelta()), self._longest)
