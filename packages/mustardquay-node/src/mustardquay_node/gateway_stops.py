"""Graceful stop of one gateway, from the signal to the last answer."""

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
    BALANCER_REMOVAL_DELAY,
    RequestEstimate,
    StopContext,
    StopState,
    StopTimes,
    admit_request,
    find_state,
)

__all__ = [
    "DEFAULT_RETRY_AFTER",
    "GatewayStop",
    "StopDependencies",
    "warn_of_short_drain",
]

CHECK_INTERVAL = timedelta(milliseconds=50)
"""Time between two checks whether a stopping gateway can exit."""
DEFAULT_RETRY_AFTER = timedelta(milliseconds=250)
"""Retry-After of refusals that have no better estimate."""
RETRY_SPREAD = timedelta(milliseconds=350)
"""Jitter of retries, so that callers refused together don't retry at the same time."""


@dataclass(frozen=True, slots=True)
class StopDependencies:
    """Dependencies of a graceful stop."""

    name: str
    availability_zone: str
    clock: Clock
    random: Random
    events: EventRing
    count_in_flight: Callable[[], int]
    notify_peers: Callable[[], None]
    """Sends the next digest to peers at once."""
    end_keep_alive: Callable[[], None]
    """Makes each caller's connection close after its next answer."""
    close_idle: Callable[[], int]
    """Closes the connections on which no request is being read or answered."""


class GatewayStop:
    """Decides which requests a stopping gateway admits, and when it can exit."""

    def __init__(self, deps: StopDependencies):
        self._deps = deps
        self._fleet = PeerAvailability()
        self._times: StopTimes | None = None
        self._logged_state = StopState.SERVING
        self._has_closed = False

    @property
    def has_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self._times is not None

    @property
    def ends_in(self) -> timedelta | None:
        """Return the longest time until the gateway exits; None while it serves."""
        if self._times is None:
            return None
        return max(self._times.ends_at - self._deps.clock.monotonic(), timedelta())

    @property
    def time_left(self) -> timedelta:
        """Return the time until the last answers are due; zero without a stop."""
        if self._times is None:
            return timedelta()
        return self._times.answer_by - self._deps.clock.monotonic()

    def apply_digest(self, digest: PeerDigest) -> None:
        """Process another gateway's digest."""
        self._fleet.apply_digest(digest, self._deps.clock.monotonic())

    def admit(self, demand: RequestEstimate) -> timedelta | None:
        """Return by when an admitted request must begin its answer; None if refused."""
        assert self._times is not None
        now = self._deps.clock.monotonic()
        return admit_request(self._find_state(), self._times, now, demand)

    def draw_retry_delay(self, longest: timedelta) -> timedelta:
        """Return after what time a caller without an answer should retry.

        If all gateways stop, none may be available for some seconds.
        """
        if self._times is None:
            return DEFAULT_RETRY_AFTER
        now = self._deps.clock.monotonic()
        members = self._fleet.list_members(now)
        delay = find_retry_delay(members, self._times.ends_at, longest, now)
        return delay + RETRY_SPREAD * self._deps.random.random()

    async def run(self, time_to_drain: timedelta) -> None:
        """Wait for running requests to end, within the time to drain."""
        now = self._deps.clock.monotonic()
        self._times = StopTimes(now, now + time_to_drain)
        self._deps.events.record("drain.started", requests=self._count_in_flight())
        self._deps.end_keep_alive()
        self._deps.notify_peers()
        while (state := self._find_state()) is not StopState.CLOSED:
            self._enter(state)
            if state is StopState.DRAINING:
                # Callers on idle connections reconnect to gateways that are ready. It
                # costs them no attempt, as no request was read from them.
                self._deps.close_idle()
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
        # The state stays closed from here on. Otherwise a request whose body completes
        # during the shutdown would reopen the gateway, be admitted, and be cut off.
        self._has_closed = True
        self._enter(state)
        self._deps.events.record("drain.ended", requests=self._count_in_flight())

    def _find_state(self) -> StopState:
        if self._times is None:
            return StopState.SERVING
        if self._has_closed:
            return StopState.CLOSED
        now = self._deps.clock.monotonic()
        place = self._find_place(self._fleet.list_members(now))
        return find_state(self._times, now, self._count_in_flight(), place)

    def _find_place(self, members: list[Member]) -> StopContext:
        return StopContext(
            is_still_routed(self._deps.availability_zone, members),
            may_stop_early(self._deps.name, members),
        )

    def _enter(self, state: StopState) -> None:
        if state is self._logged_state:
            return
        self._logged_state = state
        members = self._fleet.list_members(self._deps.clock.monotonic())
        self._deps.events.record(
            "drain.state",
            state=state.value,
            requests=self._count_in_flight(),
            left_ms=round(self.time_left.total_seconds() * 1000),
            gateways={each.name: each.state.value for each in members},
        )

    def _count_in_flight(self) -> int:
        return self._deps.count_in_flight()


def warn_of_short_drain(timeout: timedelta, events: EventRing) -> None:
    """Warn of a drain timeout shorter than the load balancer needs to react."""
    if timeout < BALANCER_REMOVAL_DELAY:
        events.record(
            "settings.short_drain",
            drain_ms=timeout // timedelta(milliseconds=1),
            least_ms=BALANCER_REMOVAL_DELAY // timedelta(milliseconds=1),
            remedy="Raise drain_timeout; callers arrive until the balancer reacts.",
        )
