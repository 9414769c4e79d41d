"""Arrival delays: how long a datagram may have waited for its receiver.

The load condition: a process that is suspended or gets little processor time. Guards
against a gateway that is suspended, then reads old datagrams from its socket and
takes the states that they confirm for young ones.
"""

from datetime import timedelta

__all__ = ["ArrivalDelays"]

LATE_TICKS = 3
"""Intervals after which a tick is late; the loop of a busy gateway lags by two."""


class ArrivalDelays:
    """An upper bound for the time that a datagram has waited, from a regular timer."""

    def __init__(self, tick: timedelta, caution: timedelta):
        """Initialise; after a late tick, datagrams count as late for `caution`."""
        self._tick = tick
        self._caution = caution
        self._ticked_at = timedelta()
        self._hold = timedelta()
        self._held_until = timedelta()

    def note_tick(self, now: timedelta) -> None:
        """Note that the timer has run, as it does regularly."""
        gap = now - self._ticked_at
        if gap > LATE_TICKS * self._tick and self._ticked_at:
            self._hold = gap
            self._held_until = now + self._caution
        self._ticked_at = now

    def measure(self, now: timedelta) -> timedelta:
        """Return how long a datagram that is received now may have waited."""
        since = now - self._ticked_at
        return max(since, self._hold) if now < self._held_until else since
