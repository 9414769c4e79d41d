"""Schedules of reports: when a window is settled, and which gateway attends to it."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from .windows import find_window_end

__all__ = ["ReportSchedule"]

CLOSE_DELAY = timedelta(milliseconds=250)
"""Time after the end of a window in which answers of requests that began in it are
still counted."""
SETTLE_DELAY = timedelta(milliseconds=900)
"""Time after the end of a window until the counts of all gateways have usually
arrived."""
SETTLE_LIMIT = timedelta(seconds=3)
"""Time after the end of a window from which counts that are missing are given up."""
TURN_INTERVAL = timedelta(milliseconds=300)
"""Time between the first attempts of two gateways while none is known to lead."""
MAX_TURNS = 6
"""Gateways that attempt in turn; all later ones attempt with the last of these."""
SPARE_WINDOWS = 2
"""Windows kept beyond twice those whose reports may still be sent."""
LEADER_PATIENCE = timedelta(seconds=2)
"""Time after which a window is overdue although a gateway is known to lead."""


@dataclass(frozen=True, slots=True)
class ReportSchedule:
    """When the reports of windows are due."""

    length: timedelta
    """Length of a window."""
    due: timedelta
    """Time after the end of a window in which its report must arrive."""

    @property
    def retained_windows(self) -> int:
        """Return for how many windows counts and reports are kept."""
        return 2 * math.ceil(self.due / self.length) + SPARE_WINDOWS

    def is_closing(self, window: int, now: datetime) -> bool:
        """Return whether a process counts no more in a window."""
        return now >= find_window_end(window, self.length) + CLOSE_DELAY

    def is_open(self, window: int, now: datetime) -> bool:
        """Return whether a report of a window would still arrive in time."""
        return now < find_window_end(window, self.length) + self.due

    def may_settle(self, window: int, now: datetime, missing: Sequence[str]) -> bool:
        """Return whether to settle a window although counts of some are missing."""
        age = now - find_window_end(window, self.length)
        return age >= (SETTLE_LIMIT if missing else SETTLE_DELAY)

    def is_turn(self, window: int, now: datetime, rank: int, has_leader: bool) -> bool:
        """Return whether a gateway that does not lead should try to.

        `rank` is its place among the gateways that are alive. Guards against a leader
        that is alive but can't reach the store or the platform.
        """
        age = now - find_window_end(window, self.length)
        wait = TURN_INTERVAL * min(rank, MAX_TURNS)
        if has_leader:
            wait += LEADER_PATIENCE
        return age >= SETTLE_DELAY + wait
