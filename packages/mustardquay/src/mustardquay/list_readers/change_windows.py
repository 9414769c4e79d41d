"""Change windows: what a list reader repeats in its notices.

The load condition: a table that changes with each heartbeat of each upstream, while
relevant changes are rare, and at times a burst of them that no datagram holds.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

from ..store_eras import StorePosition
from ..upstream_lists import UpstreamRecord
from .notices import ListRead, ListRow, ReadRow

__all__ = ["MAX_ROW_BYTES", "ChangeWindow", "WindowContent", "measure_row"]

MAX_ROW_BYTES = 1_000
"""Bytes of a row that fits into a datagram."""
MAX_BYTES = 6_000
"""Bytes of rows in one notice, some five datagrams. Gateways read a longer window from
the store: once each, in place of as many datagrams to each in every notice."""
MAX_SENDS = 2
"""Notices of one reader that contain a change. Other readers send it as often, and a
gateway that lost all of them reads the list."""
ROW_OVERHEAD = 24
"""Bytes that a row takes in a datagram beside its key and value, at most."""


@dataclass(frozen=True, slots=True)
class WindowContent:
    """What a list reader can say of the table."""

    base: StorePosition
    position: StorePosition
    rows: tuple[ListRow, ...]
    """The rows with a relevant change after `base`, up to `position`."""
    read_at: timedelta
    """When the read of `position` began."""


@dataclass(slots=True)
class _Entry:
    at: timedelta
    before: StorePosition
    rows: Mapping[str, ListRow]
    sends: int = 0


class ChangeWindow:
    """The relevant changes of the last reads of this gateway.

    It is compared with reads of this gateway only, not with what other list readers
    have reported: a notice states all changes in its range, not those that were news.
    """

    def __init__(self, length: timedelta):
        self._length = length
        self._position: StorePosition | None = None
        self._read_at = timedelta()
        self._records: dict[str, UpstreamRecord | None] = {}
        """The table at `position` without heartbeats; None for an unknown record."""
        self._entries: deque[_Entry] = deque()

    def begin(
        self,
        position: StorePosition | None,
        records: Mapping[str, UpstreamRecord | None],
    ) -> None:
        """Begin at a position other than that of the last read.

        `records` are those that the table had there, None for one that isn't known.
        """
        self._entries.clear()
        self._position = position
        self._records = {
            key: None if record is None else _strip(record)
            for key, record in records.items()
        }

    def note_read(self, read: ListRead) -> None:
        """Note a read of this gateway."""
        known = self._position
        is_continued = (
            known is not None
            and read.position.era == known.era
            and read.position.version >= known.version
            and (read.is_whole or read.before == known)
        )
        if not is_continued:
            # Positions of two eras, or of two stores, have no changes between them.
            self._entries.clear()
            if read.is_whole:
                self._records.clear()
        rows = self._find_changes(read)
        if known is not None and is_continued:
            self._entries.append(_Entry(read.begun_at, known, rows))
        self._position = read.position
        self._read_at = read.begun_at

    def build(self, now: timedelta) -> WindowContent | None:
        """Return the changes for the next notice; None before the first read."""
        if self._position is None:
            return None
        self._drop_reported(now)
        base, rows = self._position, {}
        size = 0
        for entry in reversed(self._entries):
            added = {key: row for key, row in entry.rows.items() if key not in rows}
            sizes = [measure_row(row) for row in added.values()]
            size += sum(sizes)
            if size > MAX_BYTES or max(sizes, default=0) > MAX_ROW_BYTES:
                break
            rows |= added
            base = entry.before
            entry.sends += 1
        return WindowContent(base, self._position, tuple(rows.values()), self._read_at)

    def _drop_reported(self, now: timedelta) -> None:
        """Drop the reads up to the last one that need not be reported any more."""
        kept: deque[_Entry] = deque()
        for entry in reversed(self._entries):
            if self._is_over(entry, now):
                break
            kept.appendleft(entry)
        self._entries = kept

    def _is_over(self, entry: _Entry, now: timedelta) -> bool:
        """Return whether a read need not be reported any more."""
        if now - entry.at > self._length:
            return True
        return bool(entry.rows) and entry.sends >= MAX_SENDS

    def _find_changes(self, read: ListRead) -> dict[str, ListRow]:
        """Return the rows with a relevant change, the newest of each key."""
        found: dict[str, ListRow] = {}
        for each in read.rows:
            if self._take(each):
                found[each.row.key] = each.row
        if read.is_whole:
            present = {each.row.key for each in read.rows if not each.row.deleted}
            for key in self._records.keys() - present:
                del self._records[key]
                found[key] = ListRow(key, b"", read.position.version, deleted=True)
        return found

    def _take(self, read: ReadRow) -> bool:
        """Take a row; return whether its change is relevant."""
        key = read.row.key
        if read.row.deleted:
            is_known = key in self._records
            self._records.pop(key, None)
            return is_known
        if read.record is None:
            return False
        record = _strip(read.record)
        before = self._records.get(key)
        self._records[key] = record
        return before != record


def _strip(record: UpstreamRecord) -> UpstreamRecord:
    """Return a record without what changes with each heartbeat."""
    return replace(record, sequence=0)


def measure_row(row: ListRow) -> int:
    """Return how many bytes a row takes in a datagram, at most."""
    return len(row.key) + len(row.value) + ROW_OVERHEAD
