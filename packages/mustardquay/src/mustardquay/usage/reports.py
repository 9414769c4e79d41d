"""Reports of usage: what is sent for a window, and how it is recorded before.

Whatever was or may have been sent must be sent again by any later holder of the duty,
to the byte: two different reports of one window would be two bills. A report is
therefore written to the store, under the condition that the window has none yet, before
it is sent for the first time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..borders import or_none
from ..tables import Condition, Row, Write

__all__ = [
    "REPORTS",
    "ReportLog",
    "UsageReport",
    "build_report_key",
    "read_reports",
    "write_report",
]

REPORTS = "usage_reports"
"""Table of the reports that were settled."""
ROW_ORGANISATIONS = 1000
"""Organisations in one row, which stays below the store's limit of 64 KiB."""


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The requests of each organisation that began in a window."""

    window: int
    counts: Mapping[str, int]


def build_report_key(window: int, part: int = 0) -> str:
    """Return the key of a part of a report; keys sort by window.

    >>> build_report_key(353445120)
    '000353445120/0000'
    """
    return f"{window:012d}/{part:04d}"


def write_report(report: UsageReport) -> tuple[tuple[Condition, ...], list[Write]]:
    """Return the writes that settle a report, and the condition that there is none."""
    items = sorted(report.counts.items())
    starts = range(0, max(len(items), 1), ROW_ORGANISATIONS)
    writes = [
        Write(
            REPORTS,
            build_report_key(report.window, part),
            {"counts": dict(items[start : start + ROW_ORGANISATIONS])},
        )
        for part, start in enumerate(starts)
    ]
    return (Condition(REPORTS, build_report_key(report.window), 0),), writes


def read_reports(rows: Iterable[Row]) -> list[UsageReport]:
    """Return the settled reports in rows of the table.

    A window of which a row can't be read is left out: its report would lack counts.

    >>> _, writes = write_report(UsageReport(7, {"acme": 2}))
    >>> read_reports([Row(each.table, each.key, each.value, 1) for each in writes])
    [UsageReport(window=7, counts={'acme': 2})]
    """
    counts: dict[int, dict[str, int]] = {}
    unreadable = set()
    for row in rows:
        window = _read_window(row.key)
        found = _read_counts(row)
        if window is None:
            continue
        if found is None:
            unreadable.add(window)
            continue
        counts.setdefault(window, {}).update(found)
    return [
        UsageReport(window, found)
        for window, found in counts.items()
        if window not in unreadable
    ]


@or_none
def _read_window(key: str) -> int:
    return int(key.partition("/")[0])


@or_none
def _read_counts(row: Row) -> dict[str, int] | None:
    counts = row.value["counts"]
    is_sound = all(
        isinstance(name, str) and type(count) is int for name, count in counts.items()
    )
    return dict(counts) if is_sound else None


@dataclass(slots=True)
class ReportLog:
    """The reports that one process knows to be settled or delivered."""

    retained_windows: int
    """Windows whose reports are kept: older ones are no longer sent again."""
    settled: dict[int, UsageReport] = field(default_factory=dict)
    delivered: set[int] = field(default_factory=set)

    def add_settled(self, reports: Iterable[UsageReport]) -> None:
        """Note reports that are in the store."""
        self.settled |= {report.window: report for report in reports}

    def list_expired_keys(self, window: int) -> list[str]:
        """Return the rows that may be deleted when a window is settled."""
        return [
            build_report_key(old, part)
            for old, report in self.settled.items()
            if old <= window - self.retained_windows
            for part in range(max(-(-len(report.counts) // ROW_ORGANISATIONS), 1))
        ]

    def forget_before(self, window: int) -> None:
        """Drop what is older than the retained windows before one."""
        oldest = window - self.retained_windows
        self.settled = {k: v for k, v in self.settled.items() if k > oldest}
        self.delivered = {k for k in self.delivered if k > oldest}
