"""Version books: which version of the configuration is in force, and what is newer.

Gateways tell each other which version they have. One that hears of a newer one knows
that it is behind, and since when.
"""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["VersionBook"]


@dataclass(slots=True)
class VersionBook:
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

    def hear(self, version: int, now: timedelta) -> bool:
        """Take in the version that another process has; returns whether it is news."""
        if version <= self.in_force or version in self._newer:
            return False
        self._newer[version] = now
        return True

    def put(self, version: int) -> None:
        """Note that a version is in force here."""
        self.in_force = version
        self._newer = {each: at for each, at in self._newer.items() if each > version}

    def measure_lag(self, now: timedelta) -> timedelta:
        """Return for how long a version that is newer than the one here is known."""
        return now - min(self._newer.values(), default=now)
