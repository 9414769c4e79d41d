"""Recording of the requests that upstreams began for the callers of this gateway."""

from collections import defaultdict
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.usage import (
    ReportSchedule,
    Source,
    UsageLedger,
    WindowUsage,
    find_window,
)

from .true_clocks import TrueClock

__all__ = ["UsageRecorder"]


class UsageRecorder:
    """Counts requests into windows, and knows what has changed since it was asked."""

    def __init__(
        self,
        source: Source,
        schedule: ReportSchedule,
        ledger: UsageLedger,
        clock: Clock,
        true_clock: TrueClock,
    ):
        """Take the ledger to count in; `clock` is that of the times of requests."""
        self._source = source
        self._schedule = schedule
        self._ledger = ledger
        self._clock = clock
        self._true_clock = true_clock
        self._changed: defaultdict[int, dict[str, int]] = defaultdict(dict)

    def note_begun(self, organisation: str, begun_at: timedelta) -> None:
        """Count a request that began at a time on the monotonic clock.

        One that began in a window which is closed already counts in the next one.
        """
        age = self._clock.monotonic() - begun_at
        at = self._true_clock.now() - age
        window = find_window(at, self._schedule.length)
        if self._ledger.is_closed(self._source, window):
            window += 1
        count = self._ledger.count(self._source, window, organisation)
        self._changed[window][organisation] = count

    def take_changes(self) -> list[WindowUsage]:
        """Return the counts that have changed since the last call."""
        changes, self._changed = self._changed, defaultdict(dict)
        return [WindowUsage(window, counts) for window, counts in changes.items()]

    def close_windows(self, count: int) -> list[WindowUsage]:
        """Close the windows that have ended; return the last ones of them."""
        now = self._true_clock.now()
        last = find_window(now, self._schedule.length) - 1
        windows = range(last - count + 1, last + 1)
        return [
            self._close(window)
            for window in windows
            if self._schedule.is_closing(window, now)
        ]

    def close_current(self) -> list[WindowUsage]:
        """Close the window that has not ended, as this process ends."""
        window = find_window(self._true_clock.now(), self._schedule.length)
        return [self._close(window)]

    def _close(self, window: int) -> WindowUsage:
        if not self._ledger.is_closed(self._source, window):
            self._ledger.close(self._source, window)
        return self._ledger.find_usage(self._source, window)
