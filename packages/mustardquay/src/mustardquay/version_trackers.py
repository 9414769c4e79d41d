"""Version trackers: which configuration version is in force, and which are newer.

Gateways exchange their versions. A gateway that learns of a newer one can tell that it
is behind, and since when.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

__all__ = ["TableState", "VersionTracker"]

OVERDUE_FRACTION = 0.5
"""Fraction of the time in which a version must be in force after which a known newer
version is overdue: it was written some time before this process learnt of it."""


class TableState(StrEnum):
    """Whether the configuration in force is up to date."""

    CURRENT = "current"
    BEHIND = "behind"
    """A newer version exists and may contain what this one lacks."""
    OUTDATED = "outdated"
    """A newer version is overdue here, and in force at most other gateways."""


@dataclass(slots=True)
class VersionTracker:
    """The version in force in this process, and newer ones of other processes."""

    in_force: int = 0
    """0 before the first."""
    _newer: dict[int, timedelta] = field(default_factory=dict)
    """When each newer version was first reported, on the monotonic clock."""

    @property
    def known(self) -> int:
        """Return the newest known version."""
        return max(self._newer, default=self.in_force)

    @property
    def is_behind(self) -> bool:
        """Return whether another process has a newer version."""
        return bool(self._newer)

    def note_version(self, version: int, now: timedelta) -> bool:
        """Record the version of another process; return whether it is newly known."""
        if version <= self.in_force or version in self._newer:
            return False
        self._newer[version] = now
        return True

    def set_in_force(self, version: int) -> None:
        """Record that a version is in force in this process."""
        self.in_force = version
        self._newer = {each: at for each, at in self._newer.items() if each > version}

    def find_state(
        self, others: Collection[int], bound: timedelta, now: timedelta
    ) -> TableState:
        """Return whether the version in force is current, behind or outdated.

        `others` are the versions in force in the other processes, `bound` is the time
        in which a version must be in force everywhere. While most of the others are
        behind as well, this process is not outdated: the few that are current could not
        handle the callers of all.
        """
        if not self.is_behind:
            return TableState.CURRENT
        ahead = sum(version > self.in_force for version in others)
        is_overdue = self.measure_lag(now) > OVERDUE_FRACTION * bound
        if is_overdue and 2 * ahead > len(others):
            return TableState.OUTDATED
        return TableState.BEHIND

    def measure_lag(self, now: timedelta) -> timedelta:
        """Return for how long a version newer than the one in force has been known."""
        return now - min(self._newer.values(), default=now)
