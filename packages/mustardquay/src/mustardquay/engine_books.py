"""Engine books: what one gateway believes of the model engines it places work on."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from xxhash import xxh3_64_intdigest

from .engine_models import EngineModels
from .peer_books import LOWEST_RANK, PeerBook, make_ranks
from .rate_limits import RateLimiter
from .requests import PromptPart
from .upstream_lists import Stage
from .upstream_loads import LoadBook

__all__ = [
    "EngineBooks",
    "EngineCache",
    "EngineWork",
    "HashedPart",
    "PrefixBook",
    "WorkBook",
    "hash_parts",
]

HELD_SHARE = {Stage.PREFILL: 0.93, Stage.DECODE: 0.5, Stage.NONE: 0.5}
"""Part of an engine's memory that caches, by stage; the rest is of what runs."""

HashedPart = tuple[int, int]
"""The hash of a part's id, and its tokens."""


def hash_parts(parts: Iterable[PromptPart]) -> tuple[HashedPart, ...]:
    """Return the hash and the tokens of each part."""
    return tuple((xxh3_64_intdigest(part.id.encode()), part.tokens) for part in parts)


class EngineCache:
    """The parts that one engine is believed to hold, least recently used first.

    Also parts that no other request has are counted: they take memory, and by them
    shared parts are given up.
    """

    def __init__(self) -> None:
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def note(self, part: int, tokens: int, capacity: float) -> None:
        """Note that the engine has read a part, or used it again."""
        self._tokens += tokens - self._parts.pop(part, 0)
        self._parts[part] = tokens
        while self._tokens > capacity and len(self._parts) > 1:
            self._tokens -= self._parts.popitem(last=False)[1]

    def count(self, parts: Sequence[HashedPart]) -> int:
        """Return the tokens that are held from the start without a gap."""
        tokens = 0
        for part, size in parts:
            if part not in self._parts:
                break
            tokens += size
        return tokens


@dataclass(slots=True)
class PrefixBook:
    """Which parts of prompts are held by which engines, as far as is known."""

    capacity: int = 370_000
    """Tokens that an engine holds; the configuration says it."""
    caches: dict[str, EngineCache] = field(default_factory=dict)

    def note(self, engine: str, stage: Stage, parts: Iterable[HashedPart]) -> None:
        """Note that an engine has read or copied these parts."""
        cache = self.caches.get(engine)
        if cache is None:
            cache = self.caches[engine] = EngineCache()
        capacity = self.capacity * HELD_SHARE[stage]
        for part, tokens in parts:
            cache.note(part, tokens, capacity)

    def count_cached(self, engine: str, parts: Sequence[HashedPart]) -> int:
        """Return the tokens that the engine is believed to hold from the start."""
        cache = self.caches.get(engine)
        return 0 if cache is None else cache.count(parts)

    def holds(self, engine: str, parts: Sequence[HashedPart]) -> bool:
        """Return whether the engine is believed to hold a whole prompt."""
        return self.count_cached(engine, parts) == sum(tokens for _, tokens in parts)


@dataclass(slots=True)
class EngineWork:
    """The work that this process has outstanding at one engine."""

    seconds: list[float] = field(default_factory=make_ranks)
    """Expected reading of the prompts that aren't read yet, by their rank."""
    running: int = 0


@dataclass(slots=True)
class WorkBook:
    """The outstanding work at each engine, of this process and of its peers."""

    peers: PeerBook = field(default_factory=PeerBook)
    works: dict[str, EngineWork] = field(default_factory=dict)

    def get(self, id: str) -> EngineWork:
        """Return this process's own work at an engine."""
        work = self.works.get(id)
        if work is None:
            work = self.works[id] = EngineWork()
        return work

    def sum_seconds(self, id: str, rank: int = LOWEST_RANK) -> float:
        """Return the reading at an engine that goes before a new one of a rank."""
        own = sum(self.get(id).seconds[: rank + 1])
        return own + self.peers.get_read_seconds(id, rank)

    def sum_running(self, id: str) -> int:
        """Return the generations that run at an engine."""
        return self.get(id).running + self.peers.get_running(id)


@dataclass(frozen=True, slots=True)
class EngineBooks:
    """What a placement is decided from."""

    loads: LoadBook
    works: WorkBook
    prefixes: PrefixBook
    models: EngineModels
    pauses: dict[str, timedelta] = field(default_factory=dict)
    """Shortest of the longest pauses that routes allow, by service."""
    limits: RateLimiter = field(default_factory=RateLimiter)
