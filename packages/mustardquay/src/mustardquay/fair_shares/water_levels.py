"""Water levels: the max-min fair share of a capacity that is smaller than the demand.

Handles demands of very different size: each gets what it asks for up to a common level,
and the capacity that small demands leave is divided among the larger ones. A demand far
above the level gets a minimum part of what it asks for.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

__all__ = ["FairLevel", "find_level"]


@dataclass(frozen=True, slots=True)
class FairLevel:
    """The shares of all demands."""

    level: float
    """The common level."""
    part: float
    """The part of its demand that each one gets at least."""

    def find_share(self, demand: float) -> float:
        """Return up to how much a demand is met."""
        return max(self.level, self.part * demand)


def find_level(
    demands: Iterable[float], capacity: float, min_ratio: float = 0.0
) -> FairLevel:
    """Return the level at which the demands, cut off there, add up to the capacity.

    Each demand gets at least `min_ratio` times the part that all of them get together.

    >>> find_level([1.0, 2.0, 9.0], 9.0).level
    6.0
    >>> level = find_level([1.0, 1.0, 38.0], 10.0, 0.9)
    >>> level.find_share(38.0), level.find_share(1.0)
    (8.55, 0.7249999999999996)
    """
    ordered = sorted(demands)
    sums = [0.0, *accumulate(ordered)]
    if sums[-1] <= capacity:
        return FairLevel(float("inf"), 0.0)
    part = min_ratio * capacity / sums[-1]
    count = len(ordered)
    left = capacity
    # The largest demands get their minimum part, as long as that is above the level of
    # all others.
    level = _cut(ordered, sums, count, left)
    while count > 1 and part * ordered[count - 1] > level:
        count -= 1
        left -= part * ordered[count]
        level = _cut(ordered, sums, count, left)
    return FairLevel(level, part)


def _cut(ordered: list[float], sums: list[float], count: int, left: float) -> float:
    """Return the level for the `count` smallest demands."""
    low, high = 0, count - 1
    while low < high:
        middle = (low + high) // 2
        if ordered[middle] * (count - middle) >= left - sums[middle]:
            high = middle
        else:
            low = middle + 1
    return max((left - sums[low]) / (count - low), 0.0) if count else 0.0
