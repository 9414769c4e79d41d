"""List readers: a few gateways read the list of upstreams and notify the others."""

from .arrival_delays import ArrivalDelays
from .change_windows import (
    MAX_ROW_BYTES,
    ChangeWindow,
    WindowContent,
    measure_row,
)
from .list_followers import ListFollower, NoticeUse
from .notices import ListNotice, ListRead, ListRow, ReadRow
from .outage_reports import OutageReports
from .read_decisions import ReadDecider, ReadReason
from .reader_selection import ReaderSelection, rank_gateways, select_readers
from .row_versions import RowVersions, is_older_record
from .timings import ListTimings

__all__ = [
    "MAX_ROW_BYTES",
    "ArrivalDelays",
    "ChangeWindow",
    "ListFollower",
    "ListNotice",
    "ListRead",
    "ListRow",
    "ListTimings",
    "NoticeUse",
    "OutageReports",
    "ReadDecider",
    "ReadReason",
    "ReadRow",
    "ReaderSelection",
    "RowVersions",
    "WindowContent",
    "is_older_record",
    "measure_row",
    "rank_gateways",
    "select_readers",
]
