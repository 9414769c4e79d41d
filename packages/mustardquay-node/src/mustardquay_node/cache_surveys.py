"""Cache surveys: what engines hold already when a gateway meets them.

Answers gateways that start among engines that went on running: they know of no cached
part, so that each shared prompt is read once more, at another engine than before.
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
"""Time between two looks for engines that have not been asked."""
MOST_ENGINES = 64
"""Engines that one process asks: each call holds up an engine's work a little, and in a
large fleet every gateway would ask every engine."""


@dataclass(frozen=True, slots=True)
class CacheSurveyParts:
    """What a survey needs of its process."""

    adapter: Adapter
    events: EventRing
    list_upstreams: Callable[[], Sequence[UpstreamRecord]]
    call: CallEngine
    take_held: Callable[[UpstreamRecord, Sequence[PromptPart]], None]
    """Takes in the parts that an engine holds."""


class CacheSurvey:
    """Asks each engine once, when it is first listed."""

    def __init__(self, parts: CacheSurveyParts):
        self._parts = parts
        self._asked: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to look for engines."""
        self._task = start_loop(self._look, LOOK_INTERVAL)

    async def close(self) -> None:
        """Stop."""
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
