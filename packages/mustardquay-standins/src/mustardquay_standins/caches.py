"""Caches: the prefix cache of an engine stand-in and the events that it publishes."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any

from mustardquay import Clock
from mustardquay.caches import PIECE_TOKENS

__all__ = ["PrefixCache"]

MAX_EVENTS = 1000


@dataclass(frozen=True, slots=True)
class _Event:
    number: int
    kind: str
    piece: int
    at: timedelta


class PrefixCache:
    """An LRU cache of pieces of prompts, limited in size."""

    def __init__(self, capacity: int, clock: Clock, random: Random):
        self._capacity = capacity
        self._clock = clock
        self._random = random
        self._pieces: OrderedDict[int, None] = OrderedDict()
        self._events: deque[_Event] = deque(maxlen=MAX_EVENTS)
        self._number = 0

    @property
    def used(self) -> int:
        """Return the number of cached tokens."""
        return len(self._pieces) * PIECE_TOKENS

    @property
    def capacity(self) -> int:
        """Return the capacity in tokens."""
        return self._capacity * PIECE_TOKENS

    def use(self, pieces: tuple[int, ...], lost_events: float = 0.0) -> int:
        """Cache the pieces; return how many of their tokens were cached before.

        `lost_events` is the fraction of events that are numbered but never published.
        """
        cached = 0
        for piece in pieces:
            if piece not in self._pieces:
                break
            cached += 1
        for piece in pieces:
            if piece not in self._pieces:
                self._publish("stored", piece, lost_events)
            self._pieces[piece] = None
            self._pieces.move_to_end(piece)
        while len(self._pieces) > self._capacity:
            evicted, _ = self._pieces.popitem(last=False)
            self._publish("evicted", evicted, lost_events)
        return cached * PIECE_TOKENS

    def clear(self) -> None:
        """Drop all pieces without events, as in a crash or a change of role."""
        self._pieces.clear()
        self._events.clear()

    def show_events(self, after: int, lag: timedelta) -> dict[str, Any]:
        """Return the published events after `after` that are older than `lag`."""
        limit = self._clock.monotonic() - lag
        visible = [event for event in self._events if event.at <= limit]
        oldest = visible[0].number if visible else self._number + 1
        newest = visible[-1].number if visible else 0
        chosen = [
            {"number": event.number, "kind": event.kind, "piece": event.piece}
            for event in visible
            if event.number > after
        ]
        return {"oldest": oldest, "newest": newest, "events": chosen}

    def _publish(self, kind: str, piece: int, lost_events: float) -> None:
        self._number += 1
        if lost_events and self._random.random() < lost_events:
            return
        event = _Event(self._number, kind, piece, self._clock.monotonic())
        self._events.append(event)
