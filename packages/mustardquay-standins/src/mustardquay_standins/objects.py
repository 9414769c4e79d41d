"""Objects: a stand-in for the platform's object store, in memory."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from mustardquay import Clock

from .servers import Call, Route, StandinServer

__all__ = ["ObjectCounters", "ObjectFaults", "ObjectStandin"]

PREFIX = "/objects/"


@dataclass(slots=True)
class ObjectFaults:
    """Fault switches of the object store."""

    down: bool = False
    """Every call is answered with 503 and has no effect."""
    slow: timedelta = timedelta()
    """Delay before each call takes effect."""
    lose_answers: int = 0
    """Number of next writes that are stored but get no answer: their connection is
    closed."""


@dataclass(slots=True)
class ObjectCounters:
    """Counters of the object store."""

    reads: int = 0
    writes: int = 0
    overwrites: int = 0
    """Writes of a different value to an existing name, which are refused."""


class ObjectStandin(StandinServer):
    """The object store over HTTP; `objects` holds the values by name."""

    faults: ObjectFaults
    counters: ObjectCounters

    def __init__(self, clock: Clock | None = None, seed: int = 0):
        super().__init__(ObjectFaults(), ObjectCounters(), clock, seed)
        self.objects: dict[str, bytes] = {}

    def list_routes(self) -> tuple[Route, ...]:
        """Return the routes of the object store."""
        return (Route("PUT", PREFIX, self._put), Route("GET", PREFIX, self._get))

    async def _admit(self, call: Call) -> bool:
        if self.faults.slow:
            await asyncio.sleep(self.faults.slow.total_seconds())
        if self.faults.down:
            call.answer(503, {"error": "the object store is down"})
            return False
        return True

    async def _put(self, call: Call) -> None:
        if not await self._admit(call):
            return
        name = call.path.removeprefix(PREFIX)
        if self.objects.setdefault(name, call.body) != call.body:
            self.counters.overwrites += 1
            call.answer(409, {"error": "the object exists with another value"})
            return
        self.counters.writes += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            call.drop()
            return
        call.answer(204)

    async def _get(self, call: Call) -> None:
        if not await self._admit(call):
            return
        self.counters.reads += 1
        data = self.objects.get(call.path.removeprefix(PREFIX))
        if data is None:
            call.answer(404, {"error": "no such object"})
        else:
            call.answer_bytes(200, data)
