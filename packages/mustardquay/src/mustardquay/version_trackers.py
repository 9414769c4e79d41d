"""Version books: which version of the configuration is in force, and what is newer.

Gateways tell each other which version they have. One that hears of a newer one knows
that it is behind, and since when.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

__all__ = ["TableState", "VersionTracker"]

LAG_SHARE = 0.5
"""Part of the time in which a version has to be in force after which one that is known
and missing counts as overdue: it was written some time before it was heard of."""


class TableState(StrEnum):
    """What may be concluded from the configuration in force."""

    CURRENT = "current"
    BEHIND = "behind"
    """A newer version exists: what is not in this one may be in that one."""
    OUTDATED = "outdated"
    """A newer version should be in force by now, and is at most other gateways."""


@dataclass(slots=True)
class VersionTracker:
    """The version in force in this process, and the newer ones that others have."""

    in_force: int = 0
    """0 before the first."""
    _newer: dict[int, timedelta] = field(default_factory=dict)
    """When each newer version was first heard of, on the monotonic clock."""

    @property
    def known(self) -> int:
        """Return the newest version that is known to exist."""
        return max(self._newer, default=self.in_force)

    @property
    def is_behind(self) -> bool:
        """Return whether others have a newer version."""
        return bool(self._newer)

    def note_version(self, version: int, now: timedelta) -> bool:
        """Take in the version that another process has; returns whether it is news."""
        if version <= self.in_force or version in self._newer:
            return False
        self._newer[version] = now
        return True

    def set_in_force(self, version: int) -> None:
        """Note that a version is in force here."""
        self.in_force = version
        self._newer = {each: at for each, at in self._newer.items() if each > version}

    def find_state(
        self, others: Collection[int], bound: timedelta, now: timedelta
    ) -> TableState:
        """Return what may be concluded from the version in force.

        `others` are the versions in force in the other processes, `bound` is the time
        in which one has to be in force everywhere. While most of the others are behind
        as well, those that aren't could not take the callers of all.
        """
        if not self.is_behind:
            return TableState.CURRENT
        ahead = sum(version > self.in_force for version in others)
        is_overdue = self.measure_lag(now) > LAG_SHARE * bound
        if is_overdue and 2 * ahead > len(others):
            return TableState.OUTDATED
        return TableState.BEHIND

    def measure_lag(self, now: timedelta) -> timedelta:
        """Return for how long a version that is newer than the one here is known."""
        return now - min(self._newer.values(), default=now)
