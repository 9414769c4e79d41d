"""Clocks: the time that is passed in to everything that measures or waits."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "SuspendClock", "SystemClock", "VirtualClock"]


class Clock(Protocol):
    """A source of time; monotonic instants compare only within one process."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC; for people and logs only."""

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


class SuspendClock(SystemClock):
    """A clock whose monotonic time also counts while the machine is suspended.

    Guards against a holder of a lease that was suspended: by the usual monotonic time
    its lease is still fresh when it wakes, and it would give orders beside its
    successor.
    """

    def monotonic(self) -> timedelta:
        """Return the time since the machine started."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class VirtualClock:
    """A clock that moves only when told to, for tests and benchmarks.

    >>> clock = VirtualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.monotonic()
    datetime.timedelta(seconds=2)
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start plus all the advances."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the sum of all the advances."""
        return self._elapsed

    def advance(self, duration: timedelta) -> None:
        """Move the clock forward by `duration`, which must not be negative."""
        if duration < timedelta():
            raise ValueError("A clock can't go back; pass a duration of 0 or more.")
        self._elapsed += duration
