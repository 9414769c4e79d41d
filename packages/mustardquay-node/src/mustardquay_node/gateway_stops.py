"""Gateway stops: the planned end of one gateway, from its signal to its last answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.peer_availability import (
    Member,
    PeerAvailability,
    find_retry_delay,
    is_still_routed,
    may_stop_early,
)
from mustardquay.peer_digests import PeerDigest
from mustardquay.stops import (
    Demand,
    StopPlace,
    StopState,
    StopTimes,
    admit_request,
    find_state,
)

__all__ = ["RETRY_SOON", "GatewayStop", "StopParts"]

LOOK_INTERVAL = timedelta(milliseconds=50)
"""Time between two looks at whether a gateway that stops can end."""
RETRY_SOON = timedelta(milliseconds=250)
"""When a caller is told to come back after a refusal that has no better estimate."""
RETURN_SPREAD = timedelta(milliseconds=350)
"""Returns are drawn over this time, so that those refused together don't meet again."""


@dataclass(frozen=True, slots=True)
class StopParts:
    """What a stop needs of its process."""

    name: str
    availability_zone: str
    clock: Clock
    random: Random
    events: EventRing
    count_in_flight: Callable[[], int]
    tell_peers: Callable[[], None]
    """Has the next digest sent at once."""
    end_keep_alive: Callable[[], None]
    """Has callers told that their connection ends with the next answer."""
    close_idle: Callable[[], int]
    """Closes the connections on which no request is being read or answered."""


class GatewayStop:
    """Decides what is taken while a gateway stops, and when it has ended."""

    def __init__(self, parts: StopParts):
        self._parts = parts
        self._fleet = PeerAvailability()
        self._times: StopTimes | None = None
        self._logged = StopState.SERVING
        self._has_closed = False

    @property
    def has_begun(self) -> bool:
        """Return whether the gateway was told to end."""
        return self._times is not None

    @property
    def ends_in(self) -> timedelta | None:
        """Return the time that the gateway has at most; None while it serves."""
        if self._times is None:
            return None
        return max(self._times.ends_at - self._parts.clock.monotonic(), timedelta())

    @property
    def left(self) -> timedelta:
        """Return the time to the last answers; zero while nothing stops."""
        if self._times is None:
            return timedelta()
        return self._times.answer_by - self._parts.clock.monotonic()

    def hear(self, digest: PeerDigest) -> None:
        """Take in what another gateway says of itself."""
        self._fleet.apply_digest(digest, self._parts.clock.monotonic())

    def admit(self, demand: Demand) -> timedelta | None:
        """Return when a request that is taken must have begun; None if refused."""
        assert self._times is not None
        now = self._parts.clock.monotonic()
        return admit_request(self._find_state(), self._times, now, demand)

    def draw_retry_delay(self, longest: timedelta) -> timedelta:
        """Return when a caller that gets no answer should come back.

        There may be nobody to come back to for some seconds, if all gateways stop.
        """
        if self._times is None:
            return RETRY_SOON
        now = self._parts.clock.monotonic()
        members = self._fleet.list_members(now)
        back = find_retry_delay(members, self._times.ends_at, longest, now)
        return back + RETURN_SPREAD * self._parts.random.random()

    async def run(self, time_to_drain: timedelta) -> None:
        """Let what runs end, within the time to drain."""
        now = self._parts.clock.monotonic()
        self._times = StopTimes(now, now + time_to_drain)
        self._parts.events.record("drain.started", requests=self._count())
        self._parts.end_keep_alive()
        self._parts.tell_peers()
        while (state := self._find_state()) is not StopState.CLOSED:
            self._enter(state)
            if state is StopState.LAST_CALLS:
                # Callers on open connections are sent to gateways that are ready; it
                # costs them no attempt, as nothing was read from them.
                self._parts.close_idle()
            await asyncio.sleep(LOOK_INTERVAL.total_seconds())
        # Kept, as the end takes a while: a request whose body becomes whole in it would
        # make the gateway one with something to do again, be taken, and be cut off.
        self._has_closed = True
        self._enter(state)
        self._parts.events.record("drain.ended", requests=self._count())

    def _find_state(self) -> StopState:
        if self._times is None:
            return StopState.SERVING
        if self._has_closed:
            return StopState.CLOSED
        now = self._parts.clock.monotonic()
        place = self._find_place(self._fleet.list_members(now))
        return find_state(self._times, now, self._count(), place)

    def _find_place(self, members: list[Member]) -> StopPlace:
        return StopPlace(
            is_still_routed(self._parts.availability_zone, members),
            may_stop_early(self._parts.name, members),
        )

    def _enter(self, state: StopState) -> None:
        if state is self._logged:
            return
        self._logged = state
        members = self._fleet.list_members(self._parts.clock.monotonic())
        self._parts.events.record(
            "drain.state",
            state=state.value,
            requests=self._count(),
            left_ms=round(self.left.total_seconds() * 1000),
            gateways={each.name: each.state.value for each in members},
        )

    def _count(self) -> int:
        return self._parts.count_in_flight()
