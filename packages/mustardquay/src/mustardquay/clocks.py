"""Clocks, passed to all code that measures time or waits."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "BootTimeClock", "SystemClock", "VirtualClock"]


class Clock(Protocol):
    """A source of time; monotonic times are comparable only within one process."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC, which may jump.

        For display and logs, and to compare with times that other processes state.
        """

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; never goes back."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the operating system's monotonic time."""
        return timedelta(seconds=time.monotonic())


class BootTimeClock(SystemClock):
    """A clock whose monotonic time also counts while the machine is suspended.

    With the usual monotonic clock, a lease holder that was suspended would still
    consider its lease valid after resuming, and would give orders at the same time
    as its successor.
    """

    def monotonic(self) -> timedelta:
        """Return the time since the machine booted, suspended time included."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class VirtualClock:
    """A clock that advances only on request, for tests and benchmarks.

    >>> clock = VirtualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.monotonic()
    datetime.timedelta(seconds=2)
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start time plus all advances."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the sum of all advances."""
        return self._elapsed

    def advance(self, duration: timedelta) -> None:
        """Move the clock forward by `duration`, which must not be negative."""
        if duration < timedelta():
            raise ValueError("A clock can't go back; pass a duration of 0 or more.")
        self._elapsed += duration
