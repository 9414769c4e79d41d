"""Samples: measured values with exact quantiles, for runs of limited length."""

from array import array

__all__ = ["Samples"]


class Samples:
    """Keeps every value, in eight bytes each.

    >>> samples = Samples()
    >>> for value in (3.0, 1.0, 2.0):
    ...     samples.add(value)
    >>> samples.find_quantile(0.5), samples.mean, samples.count
    (2.0, 2.0, 3)
    """

    def __init__(self) -> None:
        self._values = array("d")

    @property
    def count(self) -> int:
        """Return the number of values."""
        return len(self._values)

    @property
    def mean(self) -> float:
        """Return the mean, 0 without values."""
        return sum(self._values) / len(self._values) if self._values else 0.0

    def add(self, value: float) -> None:
        """Add a value."""
        self._values.append(value)

    def find_quantile(self, quantile: float) -> float:
        """Return the nearest-rank quantile, of 0 to 1; 0 without values."""
        if not self._values:
            return 0.0
        ordered = sorted(self._values)
        return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]
