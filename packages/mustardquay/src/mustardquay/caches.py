"""Caches: which engine is expected to have which pieces of prompts in its prefix cache.

A piece is identified by the hash of about two thousand tokens and of all before them,
so a prompt's cached prefix is the sequence of its leading pieces that one engine has
cached. The index follows the numbered events of the engines, which are delayed and may
have gaps; after a gap, the index of that engine may contain evicted pieces. Its
confidence is reduced until as many pieces as it contains have been confirmed again.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from xxhash import xxh64

__all__ = ["PIECE_TOKENS", "CacheEvent", "PrefixIndex", "hash_prefix"]

PIECE_TOKENS = 2000
PIECE_BYTES = 8000
"""Bytes of UTF-8 in one piece, as specified in docs/PLATFORM.md."""
UNCONFIRMED_CONFIDENCE = 0.5


def hash_prefix(prompt: str) -> tuple[int, ...]:
    """Return the hash of each whole piece of a prompt, including all pieces before it.

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
class _CacheState:
    pieces: OrderedDict[int, None] = field(default_factory=OrderedDict)
    last: int = 0
    unconfirmed: set[int] = field(default_factory=set)
    """Pieces recorded before a gap and not confirmed since."""


class PrefixIndex:
    """The expected contents of the engines' prefix caches, in bounded memory.

    At most `pieces_per_upstream` pieces of at most `upstreams` engines are kept; the
    least recently used are dropped first.
    """

    def __init__(self, pieces_per_upstream: int = 1024, upstreams: int = 64):
        self._limit = pieces_per_upstream
        self._upstreams = upstreams
        self._caches: OrderedDict[str, _CacheState] = OrderedDict()
        self._holders: dict[int, dict[str, None]] = {}

    def __len__(self) -> int:
        """Return the number of pieces over all engines."""
        return sum(len(cache.pieces) for cache in self._caches.values())

    def apply(self, upstream: str, oldest: int, events: Iterable[CacheEvent]) -> None:
        """Apply the events of one engine, which may be unordered or repeated.

        `oldest` is the lowest number that the engine still has: events between the last
        one applied and it are lost.
        """
        cache = self._get_cache(upstream)
        if oldest > cache.last + 1:
            self._mark_unconfirmed(cache)
            cache.last = oldest - 1
        for event in sorted(events, key=lambda event: event.number):
            if event.number <= cache.last:
                continue
            if event.number > cache.last + 1:
                self._mark_unconfirmed(cache)
            cache.last = event.number
            if event.stored:
                self._store(upstream, cache, event.piece)
            else:
                self._evict(upstream, cache, event.piece)

    def last_number(self, upstream: str) -> int:
        """Return the number of the last event applied; 0 before the first."""
        cache = self._caches.get(upstream)
        return cache.last if cache else 0

    def note_sent(self, upstream: str, prefix: Sequence[int]) -> None:
        """Add the pieces of a prompt just sent, before the events for them arrive."""
        cache = self._get_cache(upstream)
        for piece in prefix:
            self._store(upstream, cache, piece)

    def note_cached(self, upstream: str, prefix: Sequence[int], pieces: int) -> None:
        """Add the leading pieces that the engine reported as cached for a prompt."""
        cache = self._get_cache(upstream)
        for piece in prefix[:pieces]:
            self._store(upstream, cache, piece)

    def holders(self, prefix: Sequence[int], limit: int = 4) -> list[str]:
        """Return the engines with the longest cached prefixes, longest first."""
        found: dict[str, None] = {}
        for piece in reversed(prefix):
            for upstream in self._holders.get(piece, ()):
                found[upstream] = None
                if len(found) >= limit:
                    return list(found)
        return list(found)

    def match(self, upstream: str, prefix: Sequence[int]) -> int:
        """Return how many leading pieces are expected in the engine's cache."""
        cache = self._caches.get(upstream)
        if cache is None:
            return 0
        count = 0
        for piece in prefix:
            if piece not in cache.pieces:
                break
            count += 1
        return count

    def confidence(self, upstream: str) -> float:
        """Return the confidence in a match: 1, or less after a gap."""
        cache = self._caches.get(upstream)
        if cache is None or not cache.unconfirmed:
            return 1.0
        fraction = len(cache.unconfirmed) / max(len(cache.pieces), 1)
        return 1.0 - (1.0 - UNCONFIRMED_CONFIDENCE) * min(fraction, 1.0)

    def expected_tokens(self, upstream: str, prefix: Sequence[int]) -> int:
        """Return the prompt tokens that the engine is expected not to compute."""
        count = self.match(upstream, prefix)
        return int(count * PIECE_TOKENS * self.confidence(upstream)) if count else 0

    def forget(self, upstream: str) -> None:
        """Drop an engine that was removed, has restarted or has lost its cache."""
        cache = self._caches.pop(upstream, None)
        for piece in cache.pieces if cache else ():
            self._drop_holder(upstream, piece)

    def _get_cache(self, upstream: str) -> _CacheState:
        cache = self._caches.get(upstream)
        if cache is None:
            cache = self._caches[upstream] = _CacheState()
            if len(self._caches) > self._upstreams:
                self.forget(next(iter(self._caches)))
        self._caches.move_to_end(upstream)
        return cache

    def _mark_unconfirmed(self, cache: _CacheState) -> None:
        cache.unconfirmed = set(cache.pieces)

    def _store(self, upstream: str, cache: _CacheState, piece: int) -> None:
        cache.pieces[piece] = None
        cache.pieces.move_to_end(piece)
        cache.unconfirmed.discard(piece)
        self._holders.setdefault(piece, {})[upstream] = None
        if len(cache.pieces) > self._limit:
            self._evict(upstream, cache, next(iter(cache.pieces)))

    def _evict(self, upstream: str, cache: _CacheState, piece: int) -> None:
        cache.unconfirmed.discard(piece)
        if piece in cache.pieces:
            del cache.pieces[piece]
            self._drop_holder(upstream, piece)

    def _drop_holder(self, upstream: str, piece: int) -> None:
        holders = self._holders[piece]
        del holders[upstream]
        if not holders:
            del self._holders[piece]
