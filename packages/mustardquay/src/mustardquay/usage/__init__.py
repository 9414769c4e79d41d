"""Usage: how many requests of each organisation began in each window of time.

What counts: a request counts once, in the window in which an upstream began to run it;
for a generation that is its first token. A prefill on its own, a retry after the first
run, a hand-over to another engine and a stream that is resumed within one answer don't
count again. A caller's retry is a request of its own.
"""

from .clock_offsets import ClockOffsets
from .ledgers import Source, UsageLedger, WindowUsage
from .reports import (
    REPORTS,
    ReportLog,
    UsageReport,
    build_report_key,
    read_reports,
    write_report,
)
from .schedules import ReportSchedule
from .windows import EPOCH, find_window, find_window_end

__all__ = [
    "EPOCH",
    "REPORTS",
    "ClockOffsets",
    "ReportLog",
    "ReportSchedule",
    "Source",
    "UsageLedger",
    "UsageReport",
    "WindowUsage",
    "build_report_key",
    "find_window",
    "find_window_end",
    "read_reports",
    "write_report",
]
