"""Refusal share: how many of the requests that it reads a gateway refuses."""

from datetime import timedelta
from math import exp

__all__ = ["RefusalShare"]

MEMORY = timedelta(seconds=1)
"""Time after which an answer counts for a third."""


class RefusalShare:
    """The share of refusals among the answers of the recent past."""

    def __init__(self) -> None:
        self._answers = 0.0
        self._refusals = 0.0
        self._at = timedelta()

    def note(self, is_refusal: bool, now: timedelta) -> None:
        """Note an answer."""
        self._decay(now)
        self._answers += 1
        self._refusals += is_refusal

    def measure(self, now: timedelta) -> float:
        """Return the share, 0 without answers."""
        self._decay(now)
        # One more answer than there were: the first one alone shows little.
        return self._refusals / (self._answers + 1)

    def _decay(self, now: timedelta) -> None:
        factor = exp(-max(now - self._at, timedelta()) / MEMORY)
        self._answers *= factor
        self._refusals *= factor
        self._at = now
