"""Caches: which engine is believed to hold which pieces of prompts.

A piece is the hash of about two thousand tokens and of all before them, so a
prompt's cached prefix is the run of its leading pieces that one engine holds. The
index follows the engines' numbered events. They come late and with gaps; behind a
gap the index of that engine may name pieces that are gone, so it is doubtful, and
counts for less, until as many pieces as it holds were confirmed again.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from xxhash import xxh64

__all__ = ["PIECE_TOKENS", "CacheEvent", "PrefixIndex", "hash_prefix"]

PIECE_TOKENS = 2000
PIECE_BYTES = 8000
"""Bytes of UTF-8 in one piece, as docs/PLATFORM.md has it."""
DOUBTFUL_TRUST = 0.5


def hash_prefix(prompt: str) -> tuple[int, ...]:
    """Return the hash of each whole piece of a prompt with all before it.

    >>> len(hash_prefix("x" * 20_000))
    2
    """
    data = prompt.encode()
    digest = xxh64()
    pieces = []
    for start in range(0, len(data) - PIECE_BYTES + 1, PIECE_BYTES):
        digest.update(data[start : start + PIECE_BYTES])
        pieces.append(digest.intdigest())
    return tuple(pieces)


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A piece was stored by an engine, or evicted from its cache."""

    number: int
    stored: bool
    piece: int


@dataclass(slots=True)
class _Held:
    pieces: OrderedDict[int, None] = field(default_factory=OrderedDict)
    last: int = 0
    unconfirmed: set[int] = field(default_factory=set)
    """Pieces known from before a gap and not seen since."""


class PrefixIndex:
    """What each engine's prefix cache holds, in bounded memory.

    At most `pieces_per_upstream` pieces of at most `upstreams` engines are kept; the
    least recently used go first.
    """

    def __init__(self, pieces_per_upstream: int = 1024, upstreams: int = 64):
        self._limit = pieces_per_upstream
        self._upstreams = upstreams
        self._held: OrderedDict[str, _Held] = OrderedDict()
        self._holders: dict[int, dict[str, None]] = {}

    def __len__(self) -> int:
        """Return the number of pieces known, over all engines."""
        return sum(len(held.pieces) for held in self._held.values())

    def apply(self, upstream: str, oldest: int, events: Iterable[CacheEvent]) -> None:
        """Follow the events of one engine, in any order and repeated at will.

        `oldest` is the lowest number that the engine still has: events between the
        last one seen and it are lost.
        """
        held = self._open(upstream)
        if oldest > held.last + 1:
            self._doubt(held)
            held.last = oldest - 1
        for event in sorted(events, key=lambda event: event.number):
            if event.number <= held.last:
                continue
            if event.number > held.last + 1:
                self._doubt(held)
            held.last = event.number
            if event.stored:
                self._store(upstream, held, event.piece)
            else:
                self._evict(upstream, held, event.piece)

    def last_number(self, upstream: str) -> int:
        """Return the number of the last event seen; 0 before the first."""
        held = self._held.get(upstream)
        return held.last if held else 0

    def note_sent(self, upstream: str, prefix: Sequence[int]) -> None:
        """Expect the pieces of a prompt just sent, before their events come."""
        held = self._open(upstream)
        for piece in prefix:
            self._store(upstream, held, piece)

    def note_cached(self, upstream: str, prefix: Sequence[int], pieces: int) -> None:
        """Correct the index by what the engine says it found for a prompt."""
        held = self._open(upstream)
        for piece in prefix[:pieces]:
            self._store(upstream, held, piece)

    def holders(self, prefix: Sequence[int], limit: int = 4) -> list[str]:
        """Return engines that hold the longest part of the prefix, longest first."""
        found: dict[str, None] = {}
        for piece in reversed(prefix):
            for upstream in self._holders.get(piece, ()):
                found[upstream] = None
                if len(found) >= limit:
                    return list(found)
        return list(found)

    def match(self, upstream: str, prefix: Sequence[int]) -> int:
        """Return how many leading pieces the engine is believed to hold."""
        held = self._held.get(upstream)
        if held is None:
            return 0
        count = 0
        for piece in prefix:
            if piece not in held.pieces:
                break
            count += 1
        return count

    def confidence(self, upstream: str) -> float:
        """Return how far a match may be believed: 1, or less behind a gap."""
        held = self._held.get(upstream)
        if held is None or not held.unconfirmed:
            return 1.0
        doubtful = len(held.unconfirmed) / max(len(held.pieces), 1)
        return 1.0 - (1.0 - DOUBTFUL_TRUST) * min(doubtful, 1.0)

    def expected_tokens(self, upstream: str, prefix: Sequence[int]) -> int:
        """Return the prompt tokens that need not be computed there."""
        count = self.match(upstream, prefix)
        return int(count * PIECE_TOKENS * self.confidence(upstream)) if count else 0

    def forget(self, upstream: str) -> None:
        """Drop an engine that has left, restarted or lost its cache."""
        held = self._held.pop(upstream, None)
        for piece in held.pieces if held else ():
            self._drop_holder(upstream, piece)

    def _open(self, upstream: str) -> _Held:
        held = self._held.get(upstream)
        if held is None:
            held = self._held[upstream] = _Held()
            if len(self._held) > self._upstreams:
                self.forget(next(iter(self._held)))
        self._held.move_to_end(upstream)
        return held

    def _doubt(self, held: _Held) -> None:
        held.unconfirmed = set(held.pieces)

    def _store(self, upstream: str, held: _Held, piece: int) -> None:
        held.pieces[piece] = None
        held.pieces.move_to_end(piece)
        held.unconfirmed.discard(piece)
        self._holders.setdefault(piece, {})[upstream] = None
        if len(held.pieces) > self._limit:
            self._evict(upstream, held, next(iter(held.pieces)))

    def _evict(self, upstream: str, held: _Held, piece: int) -> None:
        held.unconfirmed.discard(piece)
        if piece in held.pieces:
            del held.pieces[piece]
            self._drop_holder(upstream, piece)

    def _drop_holder(self, upstream: str, piece: int) -> None:
        holders = self._holders[piece]
        del holders[upstream]
        if not holders:
            del self._holders[piece]
