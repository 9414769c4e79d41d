"""Services: a stand-in for a plain service that counts its executions."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

import xxhash

from mustardquay import Clock

from .servers import Call, Route, StandinServer

__all__ = ["ServiceCounters", "ServiceFaults", "ServiceStandin"]

KEY_HEADER = "Idempotency-Key"


@dataclass(slots=True)
class ServiceFaults:
    """Fault switches of a plain service."""

    slow: timedelta = timedelta()
    """Delay before each call is executed."""
    drop_answers: int = 0
    """Number of next calls that are executed but get no answer: their connection is
    closed."""
    frozen: bool = False
    """Calls are executed but not answered until the switch is off."""
    refuse: bool = False
    """Every call is answered with 503 and not executed."""
    crash_marker: str = ""
    """A body with this text crashes the service, which then restarts."""


@dataclass(slots=True)
class ServiceCounters:
    """Counters of a plain service, which doesn't deduplicate calls by key itself."""

    by_key: Counter[str] = field(default_factory=Counter)
    """Executions by idempotency key."""
    by_body: Counter[str] = field(default_factory=Counter)
    """Executions of alerts and bookings by xxh64 of the body, in hex."""
    executions: int = 0
    """Alerts and bookings that were executed."""
    enquiries: int = 0
    running: int = 0
    highest_running: int = 0
    crashes: int = 0


class ServiceStandin(StandinServer):
    """A plain service: alerts, bookings and free hours; echoes other calls."""

    faults: ServiceFaults
    counters: ServiceCounters

    def __init__(
        self,
        clock: Clock | None = None,
        seed: int = 0,
        restart_time: timedelta = timedelta(milliseconds=200),
    ):
        super().__init__(ServiceFaults(), ServiceCounters(), clock, seed)
        self._restart_time = restart_time

    def list_routes(self) -> tuple[Route, ...]:
        """Return the routes of the service."""
        return (
            Route("GET", "/load", self._show_load),
            Route("POST", "/alerts", self._execute),
            Route("POST", "/bookings", self._execute),
            Route("", "/", self._enquire),
        )

    async def crash(self) -> None:
        """Drop every connection, stop listening and restart."""
        self.counters.crashes += 1
        port = self.port
        self._disconnect()
        await asyncio.sleep(self._restart_time.total_seconds())
        self._listen(port)

    async def _show_load(self, call: Call) -> None:
        call.answer(200, {"running": self.counters.running})

    async def _execute(self, call: Call) -> None:
        if not await self._begin(call):
            return
        self.counters.executions += 1
        number = self.counters.executions
        self.counters.by_body[xxhash.xxh64_hexdigest(call.body)] += 1
        key = call.headers.get(KEY_HEADER)
        if key:
            self.counters.by_key[key] += 1
        await self._end(call, 201, {"kind": call.path.strip("/"), "number": number})

    async def _enquire(self, call: Call) -> None:
        if not await self._begin(call):
            return
        self.counters.enquiries += 1
        if call.path == "/hours":
            await self._end(call, 200, {"free": [9, 11, 16, 18]})
            return
        echo = {
            "method": call.method,
            "path": call.path,
            "body": call.body.decode("utf-8", "replace"),
        }
        await self._end(call, 200, echo)

    async def _begin(self, call: Call) -> bool:
        if self.faults.refuse:
            call.answer(503, {"error": "the service takes no calls"})
            return False
        marker = self.faults.crash_marker
        if marker and marker.encode() in call.body:
            await self.crash()
            return False
        self.counters.running += 1
        running = self.counters.running
        self.counters.highest_running = max(running, self.counters.highest_running)
        try:
            await asyncio.sleep(self.faults.slow.total_seconds())
        except asyncio.CancelledError:
            self.counters.running -= 1
            raise
        return True

    async def _end(self, call: Call, status: int, body: dict[str, object]) -> None:
        try:
            while self.faults.frozen:
                await asyncio.sleep(0.01)
            await self._active.wait()
        finally:
            self.counters.running -= 1
        if self.faults.drop_answers > 0:
            self.faults.drop_answers -= 1
            call.drop()
            return
        call.answer(status, body)
