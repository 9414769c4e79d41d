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
from .loops import start_loop

__all__ = ["CacheSurvey", "CacheSurveyParts"]

LOOK_INTERVAL = timedelta(milliseconds=200)
"""Interval of checks for engines that have not been queried."""
MOST_ENGINES = 64
"""Engines that one process queries at most: each call delays an engine's work a little,
and in a large fleet every gateway would query every engine."""


@dataclass(frozen=True, slots=True)
class CacheSurveyParts:
    """Dependencies of a `CacheSurvey`."""

    adapter: Adapter
    events: EventRing
    list_upstreams: Callable[[], Sequence[UpstreamRecord]]
    call: CallEngine
    take_held: Callable[[UpstreamRecord, Sequence[PromptPart]], None]
    """Records the parts that an engine has cached."""


class CacheSurvey:
    """Queries the cache of each engine once, when it is first listed."""

    def __init__(self, parts: CacheSurveyParts):
        self._parts = parts
        self._asked: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to check for new engines."""
        self._task = start_loop(self._look, LOOK_INTERVAL)

    async def close(self) -> None:
        """Stop and wait for the task to end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _look(self) -> None:
        if len(self._asked) >= MOST_ENGINES:
            return
        for engine in self._parts.list_upstreams():
            if engine.stage is Stage.NONE or engine.id in self._asked:
                continue
            self._asked.add(engine.id)
            await self._ask(engine)

    async def _ask(self, engine: UpstreamRecord) -> None:
        parts = self._parts
        call = EngineCall("GET", parts.adapter.CACHE_PATH)
        exchange = await parts.call(engine, call)
        if exchange is None or exchange.head is None or exchange.head.status != 200:
            parts.events.record("cache.unknown", upstream=engine.id)
            return
        try:
            held = parts.adapter.read_cache(exchange.content)
        except ProtocolError as error:
            parts.events.record("cache.unknown", upstream=engine.id, error=str(error))
            return
        parts.take_held(engine, held)
        tokens = sum(part.tokens for part in held)
        parts.events.record(
            "cache.listed", upstream=engine.id, parts=len(held), tokens=tokens
        )
