"""Return positions: when refused callers may come back.

Handles refusals that come faster than there is room: callers that all return at once
are refused once more, and some of them never get through. Each refusal takes the next
position of a sequence that advances half as fast as requests are admitted here.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from math import exp

__all__ = ["ReturnPositions"]

RATE_MEMORY = timedelta(seconds=2)
"""Time constant over which admissions are counted."""
RETURN_SHARE = 0.5
"""Part of the room that is given to callers that return; new ones need the rest."""
MIN_DELAY = timedelta(milliseconds=100)
"""Shortest delay: a caller that is back sooner meets the same queue."""
MAX_INTERVAL_SECONDS = 60.0
"""Longest interval between two positions. Without recent admissions, the measured rate
is so small that its inverse exceeds the range of `timedelta`."""
MAX_PART = 1 / 3
"""Part of the time that a caller has left up to which it follows a delay."""


@dataclass(slots=True)
class _Sequence:
    rate: float = 0.0
    """Admissions per second at `counted_at`."""
    counted_at: timedelta = timedelta()
    last: timedelta = timedelta()
    """The last position that was given."""


@dataclass(slots=True)
class ReturnPositions:
    """The positions of refused callers, by service and rank."""

    _sequences: dict[tuple[str, int], _Sequence] = field(default_factory=dict)

    def note_admitted(self, service: str, rank: int, now: timedelta) -> None:
        """Count an admission, by which the speed of the sequence is measured."""
        found = self._get(service, rank)
        found.rate = self._read_rate(found, now) + 1 / RATE_MEMORY.total_seconds()
        found.counted_at = now

    def take(
        self,
        service: str,
        rank: int,
        wait: timedelta,
        time_left: timedelta,
        now: timedelta,
    ) -> timedelta:
        """Return the delay of the next refused caller.

        `wait` is the time until there is room for the first of them. A caller that
        can't wait for its position returns as late as it can, and takes no later place
        from those behind it.
        """
        found = self._get(service, rank)
        earliest = now + max(wait, MIN_DELAY)
        rate = RETURN_SHARE * self._read_rate(found, now)
        seconds = min(1 / rate, MAX_INTERVAL_SECONDS) if rate > 0 else 0.0
        interval = timedelta(seconds=seconds)
        latest = now + max(time_left * MAX_PART, timedelta())
        position = min(max(earliest, found.last + interval), latest)
        found.last = max(found.last, position)
        return position - now

    def _get(self, service: str, rank: int) -> _Sequence:
        return self._sequences.setdefault((service, rank), _Sequence())

    def _read_rate(self, found: _Sequence, now: timedelta) -> float:
        age = (now - found.counted_at) / RATE_MEMORY
        return found.rate * exp(-age)
