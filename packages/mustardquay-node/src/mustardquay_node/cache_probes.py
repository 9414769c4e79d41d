"""Queries for the prompt parts that engines have cached when a gateway starts.

Without them, a gateway that starts while engines keep running has no record of cached
parts, so each shared prompt would be prefilled once more, on a different engine.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from mustardquay.errors import ProtocolError
from mustardquay.events import EventRing
from mustardquay.requests import PromptPart
from mustardquay.upstream_lists import Stage, UpstreamRecord

from .adapters import Adapter
from .engine_calls import CallEngine, EngineCall
from .loops import cancel_task, start_loop

__all__ = ["CacheProbe", "CacheProbeDependencies"]

CHECK_INTERVAL = timedelta(milliseconds=200)
"""Interval of checks for engines that have not been queried."""
MAX_ENGINES = 64
"""Engines that one process queries at most: each call delays an engine's work a little,
and in a large fleet every gateway would query every engine."""
MAX_QUERIES = 4
"""Queries of an engine that doesn't answer. They take 2.6 s, so that one which is
silent for a second or so is asked again when it goes on."""


@dataclass(frozen=True, slots=True)
class CacheProbeDependencies:
    """Dependencies of a `CacheProbe`."""

    adapter: Adapter
    events: EventRing
    list_upstreams: Callable[[], Sequence[UpstreamRecord]]
    call: CallEngine
    add_cached_parts: Callable[[UpstreamRecord, Sequence[PromptPart]], None]
    """Records the parts that an engine has cached."""


class CacheProbe:
    """Queries the cache of each engine until it answers, when it is first listed."""

    def __init__(self, deps: CacheProbeDependencies):
        self._deps = deps
        self._queries: dict[str, int] = {}
        """Queries of each engine that are still allowed."""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to check for new engines."""
        self._task = start_loop(self._query_new_engines, CHECK_INTERVAL)

    async def close(self) -> None:
        """Stop and wait for the task to end."""
        await cancel_task(self._task)

    async def _query_new_engines(self) -> None:
        for engine in self._deps.list_upstreams():
            if engine.stage is Stage.NONE:
                continue
            if engine.id not in self._queries and len(self._queries) >= MAX_ENGINES:
                continue
            left = self._queries.setdefault(engine.id, MAX_QUERIES)
            if left:
                has_answered = await self._query(engine, is_last=left == 1)
                self._queries[engine.id] = 0 if has_answered else left - 1

    async def _query(self, engine: UpstreamRecord, is_last: bool) -> bool:
        """Query an engine; returns whether it has answered."""
        deps = self._deps
        call = EngineCall("GET", deps.adapter.CACHE_PATH)
        exchange = await deps.call(engine, call)
        if exchange is None or exchange.head is None:
            if is_last:
                deps.events.record("cache.unknown", upstream=engine.id)
            return False
        if exchange.head.status != 200:
            deps.events.record("cache.unknown", upstream=engine.id)
            return True
        try:
            cached = deps.adapter.read_cache(exchange.content)
        except ProtocolError as error:
            deps.events.record("cache.unknown", upstream=engine.id, error=str(error))
            return True
        deps.add_cached_parts(engine, cached)
        tokens = sum(part.tokens for part in cached)
        deps.events.record(
            "cache.listed", upstream=engine.id, parts=len(cached), tokens=tokens
        )
        return True
