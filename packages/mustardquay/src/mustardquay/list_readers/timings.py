"""Timings of list readers, as shares of the time in which an upstream must be left.

The load condition: a fleet of any size, in which the news that an upstream drains must
reach each gateway in half of that time, whichever list reader or connection fails.
"""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["ListTimings"]


@dataclass(frozen=True, slots=True)
class ListTimings:
    """Times derived from the bound for a leaving upstream."""

    bound: timedelta
    """Time after which a leaving upstream may get no new work."""

    @property
    def news_bound(self) -> timedelta:
        """Return the time in which each gateway must know of a change."""
        return self.bound / 2

    @property
    def confirm_interval(self) -> timedelta:
        """Return the longest time between two notices of a list reader.

        Three lost ones in a row are needed before a gateway reads the list itself.
        """
        return self.bound / 12

    @property
    def reader_pause(self) -> timedelta:
        """Return the pause of a list reader between two reads.

        With a read of a tenth of the bound, two readers of which one is lost still
        confirm the list more often than `confirmed_limit`.
        """
        return self.bound / 8

    @property
    def confirmed_limit(self) -> timedelta:
        """Return the age of the newest confirmation after which a gateway reads."""
        return self.bound / 4

    @property
    def jitter(self) -> timedelta:
        """Return the time over which gateways spread these reads.

        The limit, the jitter and a slow read together stay under `news_bound`.
        """
        return self.bound / 15

    @property
    def failure_limit(self) -> timedelta:
        """Return the age of its confirmation after which a list reader is replaced.

        Longer than two reads of a reader whose store is slow, so that a slow store does
        not replace all of them.
        """
        return 0.4 * self.bound

    @property
    def return_delay(self) -> timedelta:
        """Return how long a replaced reader must be heard before it is relied on."""
        return self.bound

    @property
    def window(self) -> timedelta:
        """Return for how long changes are repeated in notices.

        Longer than `confirmed_limit`: a gateway that missed more has read the list.
        """
        return self.confirmed_limit + self.jitter

    @property
    def tick(self) -> timedelta:
        """Return the time between two decisions of a gateway."""
        return self.bound / 60
