"""Gateway stops: the planned end of one gateway, from its signal to its last answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.stops import StopState, StopTimes, find_state, takes_request

__all__ = ["GatewayStop", "StopParts"]

LOOK_INTERVAL = timedelta(milliseconds=50)
"""Time between two looks at whether a gateway that stops can end."""


@dataclass(frozen=True, slots=True)
class StopParts:
    """What a stop needs of its process."""

    clock: Clock
    events: EventRing
    count_in_flight: Callable[[], int]
    end_keep_alive: Callable[[], None]
    """Has callers told that their connection ends with the next answer."""
    stop_taking: Callable[[], None]
    """Ends what brings callers that nobody waits for here."""


class GatewayStop:
    """Decides what is taken while a gateway stops, and when it has ended."""

    def __init__(self, parts: StopParts):
        self._parts = parts
        self._times: StopTimes | None = None
        self._logged = StopState.SERVING

    @property
    def has_begun(self) -> bool:
        """Return whether the gateway was told to end."""
        return self._times is not None

    @property
    def state(self) -> StopState:
        """Return how far the gateway is on its way to its end."""
        now = self._parts.clock.monotonic()
        return find_state(self._times, now, self._parts.count_in_flight())

    @property
    def left(self) -> timedelta:
        """Return the time to the last answers; zero while nothing stops."""
        if self._times is None:
            return timedelta()
        return self._times.answer_by - self._parts.clock.monotonic()

    def takes(self, longest: timedelta) -> bool:
        """Return whether a request is taken that ends within `longest`."""
        now = self._parts.clock.monotonic()
        return takes_request(self.state, self._times, now, longest)

    def limit(self, limit_at: timedelta) -> timedelta:
        """Return when a request has to have its answer that has `limit_at` for it."""
        if self._times is None:
            return limit_at
        return min(limit_at, self._times.answer_by)

    async def run(self, time_to_drain: timedelta) -> None:
        """Let what runs end, within the time to drain."""
        now = self._parts.clock.monotonic()
        self._times = StopTimes(now, now + time_to_drain)
        self._parts.events.record("drain.started", requests=self._count())
        self._parts.end_keep_alive()
        while (state := self.state) is not StopState.CLOSED:
            self._enter(state)
            await asyncio.sleep(LOOK_INTERVAL.total_seconds())
        self._enter(state)
        self._parts.events.record("drain.ended", requests=self._count())

    def _enter(self, state: StopState) -> None:
        if state is self._logged:
            return
        self._logged = state
        left_ms = round(self.left.total_seconds() * 1000)
        self._parts.events.record(
            "drain.state", state=state.value, requests=self._count(), left_ms=left_ms
        )
        if state in (StopState.LAST_CALLS, StopState.CLOSED):
            self._parts.stop_taking()

    def _count(self) -> int:
        return self._parts.count_in_flight()
