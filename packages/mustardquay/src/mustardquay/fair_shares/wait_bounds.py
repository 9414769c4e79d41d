"""Wait bounds: how much of the admissible wait a request may use under overload.

Handles a queue that is shared by requests of several ranks and standings. The queue of
an overloaded service grows to the bound of the requests that are refused first and
stays there, so that there is always room for those with a longer bound. Requests are
ordered by rank first, then by standing; a service where nothing waits refuses none.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["RankTracker", "find_wait_factor"]

RANK_LIFETIME = timedelta(seconds=10)
"""How long a rank without requests keeps its place in the order: at a hundredth of the
traffic, requests of a rank come seconds apart."""
PLACES = 3
"""Number of places of organisations of the same rank, see `Standing.place`."""
RETURN_STEPS = 0.5
"""Part of the distance to the next more urgent place by which callers that return go
before new ones."""


@dataclass(slots=True)
class RankTracker:
    """The ranks of the requests that a service receives here."""

    _seen: dict[str, dict[int, timedelta]] = field(default_factory=dict)

    def note(self, service: str, rank: int, now: timedelta) -> None:
        """Note a request."""
        self._seen.setdefault(service, {})[rank] = now

    def list_ranks(self, service: str, now: timedelta) -> list[int]:
        """Return the ranks with recent requests, the most urgent first."""
        seen = self._seen.get(service, {})
        return sorted(rank for rank, at in seen.items() if now - at <= RANK_LIFETIME)


def find_wait_factor(ranks: list[int], rank: int, place: int, is_return: bool) -> float:
    """Return the factor of the wait bound for a request, under overload.

    `ranks` are those of all requests of the service, in ascending order; `place` is
    that of the organisation among those of the same rank. The factor is 1 at most: a
    longer wait would end after the target.

    >>> [round(find_wait_factor([0, 2], rank, place, False), 2) for rank in (0, 2)
    ...  for place in range(PLACES)]
    [1.0, 0.83, 0.67, 0.5, 0.33, 0.17]
    >>> round(find_wait_factor([0, 2], 2, 0, is_return=True), 2)
    0.58
    >>> find_wait_factor([0], 0, 0, is_return=True)
    1.0
    """
    places = PLACES * max(len(ranks), 1)
    place = PLACES * bisect_left(ranks, rank) + place
    factor = 1 - (place - RETURN_STEPS * is_return) / places
    return min(max(factor, 1 / places), 1.0)
