"""The true time of day, as estimated from the clocks of all gateways."""

from datetime import datetime, timedelta

from mustardquay.clocks import Clock
from mustardquay.usage import ClockOffsets

__all__ = ["TrueClock"]


class TrueClock:
    """A clock whose time of day does not follow jumps of this instance's clock."""

    def __init__(self, clock: Clock):
        """Take a clock whose timer keeps running while the machine is suspended."""
        self._clock = clock
        self._start = clock.now()
        self._offsets = ClockOffsets()

    def now(self) -> datetime:
        """Return the true time of day in UTC."""
        timer = self._clock.monotonic()
        own = self._clock.now() - self._start - timer
        return self._start + timer + self._offsets.find_offset(own, timer)

    @property
    def own_time(self) -> datetime:
        """Return the time of day of this instance, which may be wrong."""
        return self._clock.now()

    def monotonic(self) -> timedelta:
        """Return the timer of the clock."""
        return self._clock.monotonic()

    def note_peer(self, gateway: str, sent_at: datetime) -> None:
        """Record the time of day that a gateway has just told."""
        timer = self._clock.monotonic()
        self._offsets.note(gateway, sent_at - self._start - timer, timer)
