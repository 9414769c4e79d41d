"""Engine states: the model engines as estimated by one gateway."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from .engine_models import EngineModels
from .peer_digests import (
    LOWEST_RANK,
    EngineDigest,
    PeerDigests,
    make_ranks,
    trim_ranks,
)
from .rate_limits import RateLimiter
from .requests import PromptPart, compute_part_key
from .upstream_lists import Stage
from .upstream_loads import UpstreamLoads

__all__ = [
    "EngineStates",
    "EngineCache",
    "EngineWork",
    "HashedPart",
    "PrefixCaches",
    "OutstandingWork",
    "hash_parts",
]

CACHE_SHARE = {Stage.PREFILL: 0.93, Stage.DECODE: 0.5, Stage.NONE: 0.5}
"""Fraction of an engine's KV memory available as prefix cache, by stage; the rest is
used by running requests."""

HashedPart = tuple[int, int]
"""The hash of a part's id, and the number of its tokens."""


def hash_parts(parts: Iterable[PromptPart]) -> tuple[HashedPart, ...]:
    """Return the hash and the tokens of each part."""
    return tuple((compute_part_key(part.id), part.tokens) for part in parts)


class EngineCache:
    """The estimated prefix cache of one engine, least recently used parts first.

    Parts that occur in a single request are included, too: they take memory, and shared
    parts are evicted for them.
    """

    def __init__(self) -> None:
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def note(self, part: int, tokens: int, capacity: float) -> None:
        """Record that the engine has prefilled a part, or used it again."""
        self._tokens += tokens - self._parts.pop(part, 0)
        self._parts[part] = tokens
        while self._tokens > capacity and len(self._parts) > 1:
            self._tokens -= self._parts.popitem(last=False)[1]

    def count(self, parts: Sequence[HashedPart]) -> int:
        """Return the tokens of the longest cached prefix."""
        tokens = 0
        for part, size in parts:
            if part not in self._parts:
                break
            tokens += size
        return tokens


@dataclass(slots=True)
class PrefixCaches:
    """The estimated prefix caches of all engines."""

    capacity: int = 370_000
    """Tokens that fit into an engine's KV memory; set from the configuration."""
    caches: dict[str, EngineCache] = field(default_factory=dict)

    def note(self, engine: str, stage: Stage, parts: Iterable[HashedPart]) -> None:
        """Record that an engine has prefilled or copied these parts."""
        cache = self.caches.get(engine)
        if cache is None:
            cache = self.caches[engine] = EngineCache()
        capacity = self.capacity * CACHE_SHARE[stage]
        for part, tokens in parts:
            cache.note(part, tokens, capacity)

    def count_cached(self, engine: str, parts: Sequence[HashedPart]) -> int:
        """Return the tokens of the longest prefix expected in the engine's cache."""
        cache = self.caches.get(engine)
        return 0 if cache is None else cache.count(parts)

    def holds(self, engine: str, parts: Sequence[HashedPart]) -> bool:
        """Return whether the whole prompt is expected in the engine's cache."""
        return self.count_cached(engine, parts) == sum(tokens for _, tokens in parts)


@dataclass(slots=True)
class EngineWork:
    """The work that this process has outstanding at one engine."""

    seconds: list[float] = field(default_factory=make_ranks)
    """Expected seconds of outstanding prefill at the engine's usual speed, by rank."""
    running: int = 0


@dataclass(slots=True)
class OutstandingWork:
    """The outstanding work at each engine, of this process and of its peers."""

    peers: PeerDigests = field(default_factory=PeerDigests)
    works: dict[str, EngineWork] = field(default_factory=dict)

    def get(self, id: str) -> EngineWork:
        """Return this process's own work at an engine."""
        work = self.works.get(id)
        if work is None:
            work = self.works[id] = EngineWork()
        return work

    def sum_seconds(self, id: str, rank: int = LOWEST_RANK) -> float:
        """Return the outstanding prefill that precedes a new prompt of a rank.

        In seconds at the engine's usual speed.
        """
        own = sum(self.get(id).seconds[: rank + 1])
        return own + self.peers.get_prefill_seconds(id, rank)

    def list_digests(self, named: Collection[str]) -> tuple[EngineDigest, ...]:
        """Return the own work to share, also of idle engines in `named`."""
        return tuple(
            EngineDigest(id, trim_ranks(work.seconds), work.running)
            for id, work in self.works.items()
            if work.running or any(work.seconds) or id in named
        )

    def sum_running(self, id: str) -> int:
        """Return the number of answers being decoded on an engine."""
        return self.get(id).running + self.peers.get_running(id)


@dataclass(frozen=True, slots=True)
class EngineStates:
    """The state from which placements are decided."""

    loads: UpstreamLoads
    works: OutstandingWork
    prefixes: PrefixCaches
    models: EngineModels
    pauses: dict[str, timedelta] = field(default_factory=dict)
    """The strictest limit on pauses among the routes of each service."""
    limits: RateLimiter = field(default_factory=RateLimiter)

    def expect_work(self, id: str, now: timedelta, rank: int = LOWEST_RANK) -> float:
        """Return the seconds of outstanding prefill at the engine's present speed."""
        return self.works.sum_seconds(id, rank) * self.models.current_factor(id, now)
