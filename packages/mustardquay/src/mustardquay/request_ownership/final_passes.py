"""Final passes: how long a stopped process still reads and writes before it exits.

The bound is a number of passes over its connections, each with iterations of the event
loop before it, so that it holds for a process that runs late: the clock alone would end
it while requests wait in the kernel.
"""

from datetime import timedelta

from .closing_decisions import Occasion

__all__ = ["PASS_INTERVAL", "FinalPasses"]

PASS_INTERVAL = timedelta(milliseconds=10)
LEAST_PASSES = 5
"""Passes for which an incomplete request is awaited after the last byte of it, and that
are made whatever the time is."""
INCOMPLETE_PASSES = 20
"""Passes after which a request that is still incomplete is refused: 200 ms of a process
that is not late, in which the rest of what a caller was sending arrives."""
MOST_PASSES = 40
"""Passes after which the process exits: twice that, so that refusals are written."""


class FinalPasses:
    """Counts the passes of one process that exits."""

    def __init__(self, end_by: timedelta):
        """Take the time, on the monotonic clock, at which only the least passes follow.

        It is before the platform kills the process.
        """
        self._end_by = end_by
        self._passes = 0
        self._bytes_read = 0
        self._read_in = 0
        """The pass in which bytes were last read."""

    def begin_pass(self, bytes_read: int, now: timedelta) -> Occasion:
        """Begin a pass; returns what is due, given all that was read until now."""
        self._passes += 1
        if bytes_read != self._bytes_read:
            self._bytes_read = bytes_read
            self._read_in = self._passes
        is_late = now >= self._end_by and self._passes > LEAST_PASSES
        if self._passes > MOST_PASSES or is_late:
            return Occasion.STOP_OVER
        is_quiet = self._passes - self._read_in >= LEAST_PASSES
        if self._passes > INCOMPLETE_PASSES and is_quiet:
            return Occasion.STOP_INCOMPLETE
        return Occasion.STOP
