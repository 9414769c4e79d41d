"""Clock offsets: the true time, by the clocks of all gateways.

The time of day of an instance may be off by seconds, or jump. The median over the
gateways' clocks is right as long as most of them are.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median

__all__ = ["ClockOffsets"]

SAMPLE_LIFETIME = timedelta(seconds=3)
"""Age from which a gateway's clock is left out: it may have jumped, or be gone."""
MAX_DELAY = timedelta(milliseconds=200)
"""Change between two samples up to which it is put down to the delay of messages; a
larger one is a jump of the clock."""
MAX_SAMPLES = 12
"""Samples kept of one gateway."""


@dataclass(frozen=True, slots=True)
class _Sample:
    offset: timedelta
    at: timedelta


@dataclass(slots=True)
class ClockOffsets:
    """How far the clocks of the other gateways are ahead of this process's timer."""

    _samples: dict[str, deque[_Sample]] = field(default_factory=dict)

    def note(self, gateway: str, offset: timedelta, now: timedelta) -> None:
        """Record the time of day of a gateway less the timer of this process."""
        samples = self._samples.setdefault(gateway, deque(maxlen=MAX_SAMPLES))
        if samples and abs(samples[-1].offset - offset) > MAX_DELAY:
            samples.clear()
        samples.append(_Sample(offset, now))

    def find_offset(self, own: timedelta, now: timedelta) -> timedelta:
        """Return the offset of the true time, given that of this process's own clock.

        Messages are delayed by a varying time, which makes a clock look late: of the
        recent samples of a gateway, the one that is furthest ahead counts.

        >>> offsets = ClockOffsets()
        >>> for gateway, seconds in (("a", 100), ("b", 101)):
        ...     offsets.note(gateway, timedelta(seconds=seconds), timedelta())
        >>> offsets.find_offset(timedelta(seconds=500), timedelta())
        datetime.timedelta(seconds=101)
        """
        oldest = now - SAMPLE_LIFETIME
        found = [own]
        for samples in self._samples.values():
            recent = [each.offset for each in samples if each.at >= oldest]
            if recent:
                found.append(max(recent))
        return timedelta(seconds=median(each.total_seconds() for each in found))
