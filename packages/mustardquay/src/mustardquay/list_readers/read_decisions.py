"""Read decisions: whether a gateway reads the list of upstreams itself, and why.

The load condition: list readers that end, go silent, or lose the store, notices that
don't arrive, and a gateway that was held or cut off.
"""

from datetime import timedelta
from enum import StrEnum
from random import Random

from .list_followers import ListFollower
from .reader_selection import ReaderSelection
from .timings import ListTimings

__all__ = ["ReadDecider", "ReadReason"]

HEARD_READERS = 2
"""List readers that a gateway must hear before it stops to read: with one, the next
silence would make it begin again."""


class ReadReason(StrEnum):
    """Why a gateway reads the list itself."""

    NONE = ""
    """It doesn't: list readers confirm its list."""
    ALL = "all_read"
    """The fleet has no list readers."""
    READER = "list_reader"
    UNKNOWN = "no_list"
    """It has read nothing since its start."""
    UNCONFIRMED = "unconfirmed"
    """No list reader has confirmed the list lately."""
    ERA = "store_era"
    """The store was restored from a copy, after which rows are checked for a time."""


class ReadDecider:
    """Decides for one gateway whether it reads the list."""

    def __init__(
        self,
        selection: ReaderSelection,
        follower: ListFollower,
        timings: ListTimings,
        random: Random,
    ):
        self._selection = selection
        self._follower = follower
        self._timings = timings
        self._random = random
        self._limit = self._draw_limit()
        self._reason = ReadReason.ALL
        self._confirmers: dict[str, timedelta] = {}
        """When each list reader last confirmed the list of this gateway."""
        self._newer_era_at: timedelta | None = None
        """When a reader reported an era that this gateway has not read yet."""

    @property
    def reason(self) -> ReadReason:
        """Return the reason that was decided last."""
        return self._reason

    def note_confirmed(self, sender: str, at: timedelta) -> None:
        """Note that a list reader has confirmed the list of this gateway."""
        self._confirmers[sender] = max(at, self._confirmers.get(sender, at))

    def note_newer_era(self, now: timedelta) -> None:
        """Note a report that the store was restored from a copy."""
        if self._newer_era_at is None:
            self._newer_era_at = now

    def note_read(self, begun_at: timedelta) -> None:
        """Note a read of this gateway, which shows whether such a report is right."""
        if self._newer_era_at is not None and begun_at >= self._newer_era_at:
            self._newer_era_at = None

    def count_confirmers(self, now: timedelta) -> int:
        """Return how many list readers confirm the list with a young state."""
        limit = self._timings.confirmed_limit
        self._confirmers = {
            name: at for name, at in self._confirmers.items() if now - at <= limit
        }
        return len(self._confirmers)

    def decide(self, now: timedelta, is_restoring: bool) -> ReadReason:
        """Return why this gateway reads, with whether the store was just restored."""
        before, self._reason = self._reason, self._find_reason(now, is_restoring)
        if before is not self._reason and self._reason is ReadReason.NONE:
            self._limit = self._draw_limit()
        return self._reason

    def _find_reason(self, now: timedelta, is_restoring: bool) -> ReadReason:
        if not self._selection.is_shared:
            return ReadReason.ALL
        if self._selection.is_reader:
            return ReadReason.READER
        if self._follower.position is None:
            return ReadReason.UNKNOWN
        if is_restoring or self._newer_era_at is not None:
            return ReadReason.ERA
        if self._reason is ReadReason.NONE:
            is_late = now - self._follower.confirmed_at > self._limit
            return ReadReason.UNCONFIRMED if is_late else ReadReason.NONE
        if self.count_confirmers(now) >= self._find_required():
            return ReadReason.NONE
        return ReadReason.UNCONFIRMED

    def _find_required(self) -> int:
        return min(HEARD_READERS, len(self._selection.selected))

    def _draw_limit(self) -> timedelta:
        """Return a limit that differs between gateways, so that they don't all read."""
        spread = self._random.random() * self._timings.jitter
        return self._timings.confirmed_limit + spread
