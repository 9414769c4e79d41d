"""Selection of list readers, without messages, from the list of gateways.

The load condition: a fleet of many gateways, of which some end, restart or go silent
without removing their registration. Each gateway ranks all names by a hash (rendezvous
hashing, Thaler and Ravishankar, 1998) and replaces readers that it doesn't hear by the
next in that order.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from hashlib import blake2b

from .timings import ListTimings

__all__ = ["ReaderSelection", "rank_gateways", "select_readers"]

FLEET_SHARE = 4
"""Gateways for each list reader below which all read: fewer calls would be saved than
confirmations are sent."""


def rank_gateways(names: Collection[str]) -> list[str]:
    """Return gateways in the order in which they are selected, equal everywhere.

    >>> rank_gateways(["a", "b", "c"]) == rank_gateways(["c", "b", "a"])
    True
    """
    return sorted(names, key=lambda name: (_hash(name), name))


def select_readers(
    ranked: Sequence[str], zones: Mapping[str, str], count: int
) -> list[str]:
    """Return the list readers: one of each zone first, then the next in the order.

    >>> select_readers(["a", "b", "c", "d"], {"a": "x", "b": "x", "c": "y"}, 2)
    ['a', 'c']
    >>> select_readers(["a", "b"], {"a": "x", "b": "x"}, 2)
    ['a', 'b']
    """
    first_of_zone: dict[str, str] = {}
    for name in ranked:
        first_of_zone.setdefault(zones.get(name, ""), name)
    chosen = list(first_of_zone.values())[:count]
    others = [name for name in ranked if name not in chosen]
    return chosen + others[: count - len(chosen)]


@dataclass(slots=True)
class _Candidate:
    expected_at: timedelta | None = None
    """Since when the gateway has been selected; None while it isn't."""
    confirmed_at: timedelta | None = None
    """The newest state of the store that it has confirmed."""
    failed: bool = False
    good_since: timedelta | None = None
    """Since when a failed gateway has been heard again."""


class ReaderSelection:
    """The list readers as one gateway sees them."""

    def __init__(self, name: str, count: int, timings: ListTimings):
        """Initialise for the gateway `name` of a fleet with `count` list readers."""
        self._name = name
        self._count = count
        self._timings = timings
        self._zones: dict[str, str] = {}
        self._ranked: list[str] = []
        self._candidates: dict[str, _Candidate] = {}
        self._selected: list[str] = []
        self._is_outdated = True
        """Whether the selection must be made anew."""

    @property
    def is_shared(self) -> bool:
        """Return whether the fleet is large enough for list readers."""
        return 0 < self._count * FLEET_SHARE < len(self._zones)

    @property
    def selected(self) -> Sequence[str]:
        """Return the names of the list readers."""
        return self._selected

    @property
    def failed(self) -> list[str]:
        """Return the names of gateways that are passed over, as they aren't heard."""
        return [name for name, each in self._candidates.items() if each.failed]

    @property
    def is_reader(self) -> bool:
        """Return whether this gateway is a list reader."""
        return self._name in self._selected

    def knows(self, name: str) -> bool:
        """Return whether a gateway is listed."""
        return name in self._zones

    def set_gateways(self, zones: Mapping[str, str]) -> None:
        """Set the availability zone of each listed gateway, this one included."""
        if zones == self._zones:
            return
        self._zones = dict(zones)
        self._ranked = rank_gateways(self._zones)
        self._is_outdated = True
        self._candidates = {
            name: each for name, each in self._candidates.items() if name in zones
        }

    def note_confirmed(self, sender: str, at: timedelta, now: timedelta) -> None:
        """Note that a gateway has confirmed the state of the store at a time."""
        if sender not in self._zones:
            return
        candidate = self._candidates.setdefault(sender, _Candidate())
        known = candidate.confirmed_at
        if known is not None and at <= known:
            return
        candidate.confirmed_at = at
        if not candidate.failed or now - at > self._timings.failure_limit:
            return
        is_late = known is None or now - known > self._timings.failure_limit
        if candidate.good_since is None or is_late:
            candidate.good_since = now
        elif now - candidate.good_since >= self._timings.return_delay:
            candidate.failed = False
            self._is_outdated = True

    def update(self, now: timedelta, is_connected: bool) -> bool:
        """Select the list readers anew; return whether they changed.

        While this gateway hears no other one at all (`is_connected`), it passes over
        none: cut off, it would else become a reader for nobody.
        """
        before = self._selected
        self._select()
        while is_connected and self._pass_over_failed(now):
            self._is_outdated = True
            self._select()
        self._note_expected(now)
        return self._selected != before

    def _select(self) -> None:
        if not self._is_outdated:
            return
        self._is_outdated = False
        self._selected = []
        if self.is_shared:
            failed = set(self.failed)
            ranked = [name for name in self._ranked if name not in failed]
            self._selected = select_readers(ranked, self._zones, self._count)

    def _pass_over_failed(self, now: timedelta) -> bool:
        """Mark selected readers that aren't heard; return whether there are any."""
        found = False
        for name in self._selected:
            candidate = self._candidates.setdefault(name, _Candidate())
            if name == self._name or candidate.expected_at is None:
                continue
            heard_at = max(
                candidate.expected_at, candidate.confirmed_at or candidate.expected_at
            )
            if now - heard_at > self._timings.failure_limit:
                candidate.failed = found = True
                candidate.good_since = None
        return found

    def _note_expected(self, now: timedelta) -> None:
        for name in self._selected:
            candidate = self._candidates.setdefault(name, _Candidate())
            if candidate.expected_at is None:
                candidate.expected_at = now
        for name in self._candidates.keys() - set(self._selected):
            self._candidates[name].expected_at = None


def _hash(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()
