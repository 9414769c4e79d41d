"""Evidence of the speed of one engine: a weighted mean that forgets.

Designed for many gateways that each measure an engine seldom. Evidence of different
gateways is added, and as all of it loses weight at the same rate, the sum over gateways
can be kept without going through them again.
"""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["EVIDENCE_HALF_LIFE", "Evidence"]

EVIDENCE_HALF_LIFE = timedelta(seconds=20)
"""Time in which a measurement loses half its weight: an engine that moved to another
machine without a restart is known again in half a minute, and an engine that decodes is
compared with others by what it prefilled before."""


@dataclass(slots=True)
class Evidence:
    """Measured logarithms of a factor, as their weight and weighted sum."""

    weight: float = 0.0
    total: float = 0.0
    at: timedelta = timedelta()

    @property
    def mean(self) -> float:
        """Return the mean logarithm, 0 without evidence."""
        return self.total / self.weight if self.weight > 1e-9 else 0.0

    def fade(self, now: timedelta) -> None:
        """Apply the loss of weight up to an instant."""
        if now > self.at:
            kept = 0.5 ** ((now - self.at) / EVIDENCE_HALF_LIFE)
            self.weight *= kept
            self.total *= kept
            self.at = now

    def add(self, mean: float, weight: float, now: timedelta) -> None:
        """Add a measurement, or the mean of several."""
        self.fade(now)
        self.weight += weight
        self.total += weight * mean

    def replace(self, old: "Evidence | None", new: "Evidence", now: timedelta) -> None:
        """Exchange what one gateway contributes to this sum."""
        self.fade(now)
        if old is not None:
            old.fade(now)
            self.weight = max(self.weight - old.weight, 0.0)
            self.total -= old.total
        self.weight += new.weight
        self.total += new.total
