"""Factors of engines as one gateway learns them alone, without load reports.

Designed for engines of equal speed of which one becomes slow: a factor follows within
about six answers, and returns to 1 while the engine has no work.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from math import exp, log

__all__ = ["OwnFactors", "bound_logarithm", "find_logarithm"]

FACTOR_WEIGHT = 0.15
"""Weight of the newest answer in the factor of an engine that was faster than expected;
the factor follows within about six answers."""
FACTOR_WEIGHT_ABOVE = 0.06
"""The same for an answer that was slower than expected, as a queue may be the cause."""
FACTOR_BOUND = log(8.0)
"""An engine counts as at most eight times faster or slower than the others: a slower
one gets no work at this factor already."""
FACTOR_HALF_LIFE = timedelta(seconds=10)
"""Time in which the deviation of an engine's factor from 1 is halved, so that a slow
engine which has had no work since is tried again."""


@dataclass(slots=True)
class _Factor:
    logarithm: float = 0.0
    at: timedelta = timedelta()

    def decay(self, now: timedelta) -> float:
        """Return the logarithm at an instant."""
        return self.logarithm * 0.5 ** ((now - self.at) / FACTOR_HALF_LIFE)


@dataclass(slots=True)
class OwnFactors:
    """The factors of the engines of one service, relative to their mean."""

    _factors: dict[str, _Factor] = field(default_factory=dict)
    _average: float = 0.0
    """Mean logarithm of the factors at `_averaged_at`."""
    _averaged_at: timedelta | None = None

    def get(self, id: str, now: timedelta) -> float:
        """Return how many times longer an engine takes than the average engine.

        Relative to the mean of all factors, so that a change common to all engines is
        learned by the shared coefficients.
        """
        factor = self._factors.get(id)
        if factor is None:
            return 1.0
        return exp(factor.decay(now) - self._find_average(now))

    def learn(self, id: str, ratio: float, now: timedelta) -> None:
        """Record the ratio of a measured to an expected time."""
        factor = self._factors.setdefault(id, _Factor(at=now))
        error = find_logarithm(ratio)
        weight = FACTOR_WEIGHT if error < 0 else FACTOR_WEIGHT_ABOVE
        factor.logarithm = bound_logarithm(factor.decay(now) + weight * error)
        factor.at = now
        self._averaged_at = None

    def forget(self, id: str) -> None:
        """Drop the factor of an engine that was removed or restarted."""
        self._factors.pop(id, None)
        self._averaged_at = None

    def _find_average(self, now: timedelta) -> float:
        """Return the mean logarithm of the factors.

        Cached per instant: a placement asks for all engines at the same instant, and
        would otherwise compute the mean over all engines for each of them.
        """
        if self._averaged_at != now:
            faded = [each.decay(now) for each in self._factors.values()]
            self._average = sum(faded) / len(faded)
            self._averaged_at = now
        return self._average


def find_logarithm(ratio: float) -> float:
    """Return the logarithm of a measured ratio, within the bounds of a factor."""
    return bound_logarithm(log(max(ratio, 1e-3)))


def bound_logarithm(logarithm: float) -> float:
    """Return the logarithm of a factor within its bounds."""
    return max(min(logarithm, FACTOR_BOUND), -FACTOR_BOUND)
