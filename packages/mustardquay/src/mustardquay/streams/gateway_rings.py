"""Gateway rings: which gateways keep the origin of a stream.

Consistent hashing (Karger et al., 1997): gateways and streams have places on a ring,
and the next gateways after a stream keep its origin. All gateways with the same list
choose the same ones, and few streams change theirs when the list changes, so that the
cost of a stream does not grow with the number of gateways.
"""

from bisect import bisect
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

__all__ = ["KEEPERS", "GatewayRing"]

KEEPERS = 4
"""Gateways that keep an origin, beside the one that the stream runs at: several may be
killed, or restart, at the same time."""


class GatewayRing:
    """The places of some gateways on the ring.

    >>> ring = GatewayRing(["a", "b", "c", "d", "e", "f"])
    >>> len(ring.find_keepers(1)), GatewayRing(["a"]).find_keepers(1)
    (4, ('a',))
    """

    def __init__(self, gateways: Iterable[str] = ()):
        self._places = sorted(
            (xxh3_64_intdigest(name.encode()), name) for name in set(gateways)
        )

    def find_keepers(self, key: int) -> tuple[str, ...]:
        """Return the gateways that keep the origin of a stream."""
        count = min(KEEPERS, len(self._places))
        first = bisect(self._places, (key, ""))
        size = len(self._places)
        return tuple(self._places[(first + n) % size][1] for n in range(count))
