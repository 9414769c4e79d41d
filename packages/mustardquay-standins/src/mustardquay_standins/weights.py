"""Weights: a stand-in for the platform's rate-limited weight store."""

from collections import Counter
from dataclasses import dataclass, field

from mustardquay import Clock

from .rates import RateLimit
from .servers import Call, Route, StandinServer

__all__ = ["WeightCounters", "WeightFaults", "WeightStandin"]

PREFIX = "/weights/"


@dataclass(slots=True)
class WeightFaults:
    """Fault switches of the weight store."""

    down: bool = False
    rate: float = 4.0
    """Loads per second; 0 for no limit."""


@dataclass(slots=True)
class WeightCounters:
    """Counters of the weight store."""

    loads: Counter[str] = field(default_factory=Counter)
    """Loads granted, by MODEL/VERSION."""
    limited: int = 0


class WeightStandin(StandinServer):
    """The weight store over HTTP."""

    faults: WeightFaults
    counters: WeightCounters

    def __init__(self, clock: Clock | None = None, seed: int = 0):
        super().__init__(WeightFaults(), WeightCounters(), clock, seed)
        self._limit = RateLimit(self._clock)

    def list_routes(self) -> tuple[Route, ...]:
        """Return the routes of the weight store."""
        return (Route("GET", PREFIX, self._load),)

    async def _load(self, call: Call) -> None:
        if self.faults.down:
            call.answer(503, {"error": "the weight store is down"})
            return
        wait = self._limit.take(self.faults.rate)
        if wait is not None:
            self.counters.limited += 1
            headers = {"Retry-After": f"{wait.total_seconds():.3f}"}
            call.answer(429, {"error": "over the rate"}, headers)
            return
        self.counters.loads[call.path.removeprefix(PREFIX)] += 1
        call.answer(200, {})
