"""Outage reports: whether the store was away for the fleet, or for one reader only.

The load condition: records of live upstreams lapse while the store is away. Gateways
that read it keep them for some time after it is back; those that rely on list readers
must keep the same ones, but not each time that one reader loses its connection.
"""

from dataclasses import dataclass
from datetime import timedelta

from .notices import ListNotice

__all__ = ["OutageReports"]


@dataclass(frozen=True, slots=True)
class _Report:
    at: timedelta
    is_away: bool
    grace_until: timedelta


class OutageReports:
    """What list readers say of the store."""

    def __init__(self, lifetime: timedelta):
        """Initialise; a report counts for `lifetime`."""
        self._lifetime = lifetime
        self._reports: dict[str, _Report] = {}

    def note(self, notice: ListNotice, now: timedelta) -> None:
        """Note what a list reader says."""
        until = now + notice.grace if notice.grace else timedelta()
        self._reports[notice.sender] = _Report(now, notice.is_away, until)

    def is_away(self, now: timedelta) -> bool:
        """Return whether the store is or was away for most of the readers heard."""
        current = self._list_current(now)
        affected = [each for each in current if each.is_away or each.grace_until > now]
        return 2 * len(affected) > len(current)

    def find_grace(self, now: timedelta) -> timedelta:
        """Return for how long entries that lapsed are to be kept; 0 for none."""
        if not self.is_away(now):
            return timedelta()
        until = max(each.grace_until for each in self._list_current(now))
        return max(until - now, timedelta())

    def _list_current(self, now: timedelta) -> list[_Report]:
        self._reports = {
            name: each
            for name, each in self._reports.items()
            if now - each.at <= self._lifetime
        }
        return list(self._reports.values())
