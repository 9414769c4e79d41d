"""List followers: up to where the list of a gateway is known to be complete.

The load condition: news of several list readers and of the gateway's own reads, stale,
lost, doubled, reordered, or read from a socket after the process was held.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from ..store_eras import StorePosition
from .notices import ListNotice, ListRead, ListRow

__all__ = ["ListFollower", "NoticeUse"]

MAX_PENDING = 64
"""Notices of which some parts are missing; a reader sends a few each second."""
READ_OVERLAP = timedelta(seconds=0.5)
"""Time between the beginnings of two reads after which the later one can't return an
earlier state. Reads that overlap may do so, and slow ones take some 0.3 s."""


class NoticeUse(StrEnum):
    """What a gateway can conclude from a notice."""

    CONFIRMS = "confirms"
    """The list includes all changes up to the notice's version."""
    PARTIAL = "partial"
    """Other parts are missing; the rows can be used."""
    GAP = "gap"
    """Changes before the notice's base are missing; the rows can be used."""
    NEWER_ERA = "newer_era"
    """The store was restored from a copy, with a newer era or with a lower version than
    it had before; the list must be read from it."""
    IGNORED = "ignored"
    """From before a restore of the store, there is no list yet, or the read may have
    overlapped with one that returned a higher version."""


@dataclass(frozen=True, slots=True)
class _NoticeKey:
    """What all parts of one notice have in common.

    The number alone doesn't tell notices apart: it starts anew with the sender.
    """

    sender: str
    number: int
    era: int
    base: int
    version: int
    parts: int


class ListFollower:
    """The position and the confirmed age of the list of one gateway."""

    def __init__(self) -> None:
        self._position: StorePosition | None = None
        self._confirmed_at: timedelta | None = None
        self._pending: dict[_NoticeKey, set[int]] = {}
        """The missing parts of incomplete notices."""

    @property
    def position(self) -> StorePosition | None:
        """Return up to where the list is complete; None before the first read."""
        return self._position

    @property
    def confirmed_at(self) -> timedelta | None:
        """Return when the store had a state that the list includes."""
        return self._confirmed_at

    def note_read(self, read: ListRead) -> None:
        """Note a read of this gateway.

        A version that is lower than that of the read before is from a store that was
        restored without a new era. So is a lower one of a whole read that began after
        the newest confirmation.
        """
        known = self._position
        is_reset = (
            known is None
            or read.position.era != known.era
            or (read.before is not None and read.position.version < read.before.version)
            or (
                read.is_whole
                and read.position.version < known.version
                and self._is_after_confirmation(read.begun_at)
            )
        )
        if is_reset or read.position.version > known.version:
            self._position = read.position
        self._confirm(read.begun_at)

    def take(
        self, notice: ListNotice, at: timedelta
    ) -> tuple[NoticeUse, Sequence[ListRow]]:
        """Take a notice; return its use, and the rows that may be news.

        `at` is when the reader began the read that the notice reports.
        """
        known = self._position
        if known is None or notice.era < known.era:
            return NoticeUse.IGNORED, ()
        if notice.era > known.era:
            return NoticeUse.NEWER_ERA, ()
        rows = [row for row in notice.rows if known.version < row.version]
        rows = [row for row in rows if row.version <= notice.version]
        if notice.version < known.version and self._is_after_confirmation(at):
            # Guards against a store restored without a new era, whose versions all seem
            # to be included in the list.
            is_overlapping = not self._is_after_confirmation(at - READ_OVERLAP)
            use = NoticeUse.IGNORED if is_overlapping else NoticeUse.NEWER_ERA
            return use, rows
        if not self._is_complete(notice):
            return NoticeUse.PARTIAL, rows
        if notice.base > known.version:
            return NoticeUse.GAP, rows
        if notice.version > known.version:
            self._position = StorePosition(known.era, notice.version)
        self._confirm(at)
        return NoticeUse.CONFIRMS, rows

    def _confirm(self, at: timedelta) -> None:
        self._confirmed_at = max(at, self._confirmed_at or at)

    def _is_after_confirmation(self, begun_at: timedelta) -> bool:
        """Return whether a read began after the newest one that confirmed the list."""
        return self._confirmed_at is not None and begun_at > self._confirmed_at

    def _is_complete(self, notice: ListNotice) -> bool:
        """Return whether this is the last missing part of a notice."""
        if notice.parts == 1:
            return True
        key = _NoticeKey(
            notice.sender,
            notice.number,
            notice.era,
            notice.base,
            notice.version,
            notice.parts,
        )
        missing = self._pending.setdefault(key, set(range(notice.parts)))
        missing.discard(notice.part)
        if not missing:
            del self._pending[key]
            return True
        while len(self._pending) > MAX_PENDING:
            self._pending.pop(next(iter(self._pending)))
        return False
