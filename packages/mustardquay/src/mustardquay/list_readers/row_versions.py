"""Versions of rows that other gateways reported, which reads may not make older.

The load condition: a read of the store that began before a change ends after a list
reader has reported the change, or a reader that lags reports a state from before it.
"""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

from ..upstream_lists import UpstreamRecord

__all__ = ["RowVersions", "is_older_record"]

LIFETIME = timedelta(seconds=30)
"""No read of the store takes as long, so that none can return an older row later."""


@dataclass(frozen=True, slots=True)
class _Known:
    era: int
    version: int
    at: timedelta


class RowVersions:
    """The newest version of each row that another gateway reported lately."""

    def __init__(self) -> None:
        self._known: OrderedDict[str, _Known] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._known)

    def note(self, key: str, era: int, version: int, now: timedelta) -> bool:
        """Note a reported row; return whether it is newer than those before."""
        self._expire(now)
        known = self._known.get(key)
        if known is not None and (era, version) <= (known.era, known.version):
            return False
        self._known[key] = _Known(era, version, now)
        self._known.move_to_end(key)
        return True

    def find_newer(self, era: int, version: int) -> set[str]:
        """Return the rows whose reported state is newer than a read of all rows."""
        return {
            key
            for key, known in self._known.items()
            if known.era == era and known.version > version
        }

    def is_older(self, key: str, era: int, version: int) -> bool:
        """Return whether a row that was read is older than the reported one."""
        known = self._known.get(key)
        return known is not None and known.era == era and version < known.version

    def _expire(self, now: timedelta) -> None:
        while self._known:
            key, known = next(iter(self._known.items()))
            if now - known.at <= LIFETIME:
                return
            del self._known[key]


def is_older_record(record: UpstreamRecord, known: UpstreamRecord | None) -> bool:
    """Return whether a record is an earlier one of the same incarnation."""
    return (
        known is not None
        and known.started_ms > 0
        and record.started_ms == known.started_ms
        and 0 < record.sequence < known.sequence
    )
