"""Stateful test of gateways that are stopped in any order, on a virtual clock."""

from dataclasses import dataclass, field
from datetime import timedelta

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mustardquay.clocks import VirtualClock
from mustardquay.peer_availability import (
    PeerAvailability,
    is_still_routed,
    may_stop_early,
)
from mustardquay.peer_digests import PeerDigest
from mustardquay.stops import (
    RequestEstimate,
    StopContext,
    StopState,
    StopTimes,
    admit_request,
    find_state,
)

STEP = timedelta(milliseconds=50)
TIME_TO_DRAIN = timedelta(seconds=7)
GATEWAYS = ("g1", "g2", "g3", "g4")
ZONES = {"g1": "a", "g2": "a", "g3": "b", "g4": "b"}
RESTART = timedelta(seconds=1.5)


@dataclass
class Gateway:
    """One gateway: its view of the fleet, and when its running requests end."""

    fleet: PeerAvailability = field(default_factory=PeerAvailability)
    times: StopTimes | None = None
    restarts_at: timedelta | None = None
    running: list[timedelta] = field(default_factory=list)


class Fleet(RuleBasedStateMachine):
    """Stops, requests and time in any order; digests may be lost."""

    def __init__(self):
        super().__init__()
        self.clock = VirtualClock()
        self.gateways = {name: Gateway() for name in GATEWAYS}
        self.number = 0
        self.senders = set(GATEWAYS)

    @rule(name=st.sampled_from(GATEWAYS))
    def stop(self, name):
        gateway = self.gateways[name]
        if gateway.times is None and gateway.restarts_at is None:
            now = self.clock.monotonic()
            gateway.times = StopTimes(now, now + TIME_TO_DRAIN)

    @rule(name=st.sampled_from(GATEWAYS), longest=st.integers(1, 20_000))
    def request(self, name, longest):
        gateway = self.gateways[name]
        if gateway.restarts_at is not None:
            return
        now, longest = self.clock.monotonic(), timedelta(milliseconds=longest)
        state = self.find_state(name)
        if gateway.times is None:
            gateway.running.append(now + longest)
        elif admit_request(state, gateway.times, now, RequestEstimate(longest, None)):
            gateway.running.append(now + longest)
            assert now + longest < gateway.times.ends_at

    @rule(name=st.sampled_from(GATEWAYS))
    def lose_digests(self, name):
        self.senders ^= {name}

    @rule(steps=st.integers(1, 60))
    def wait(self, steps):
        for _ in range(steps):
            self.clock.advance(STEP)
            self.send_digests()
            for name in GATEWAYS:
                self.update_gateway(name)

    def send_digests(self):
        self.number += 1
        now = self.clock.monotonic()
        for name in self.senders:
            sender = self.gateways[name]
            if sender.restarts_at is not None:
                continue
            left = None if sender.times is None else sender.times.ends_at - now
            digest = PeerDigest(
                name,
                1,
                self.number,
                1,
                availability_zone=ZONES[name],
                is_ready=sender.times is None,
                ends_in=left,
            )
            for other, gateway in self.gateways.items():
                if other != name:
                    gateway.fleet.apply_digest(digest, now)

    def update_gateway(self, name):
        gateway, now = self.gateways[name], self.clock.monotonic()
        gateway.running = [end for end in gateway.running if end > now]
        if gateway.restarts_at is not None and now >= gateway.restarts_at:
            self.gateways[name] = Gateway()
        elif gateway.times is not None and self.has_closed(name):
            before_stop = [e for e in gateway.running if e >= gateway.times.ends_at]
            assert gateway.running == before_stop, "a late request was cut off"
            gateway.restarts_at = now + RESTART
            gateway.times = None
            gateway.running.clear()

    def has_closed(self, name):
        return self.find_state(name) is StopState.CLOSED

    def find_state(self, name):
        gateway, now = self.gateways[name], self.clock.monotonic()
        if gateway.times is None:
            return StopState.SERVING
        members = gateway.fleet.list_members(now)
        context = StopContext(
            is_still_routed(ZONES[name], members),
            may_stop_early(name, members),
        )
        return find_state(gateway.times, now, len(gateway.running), context)

    @invariant()
    def each_stop_ends(self):
        now = self.clock.monotonic()
        for gateway in self.gateways.values():
            assert gateway.times is None or now < gateway.times.ends_at + STEP


Fleet.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestFleet = Fleet.TestCase
