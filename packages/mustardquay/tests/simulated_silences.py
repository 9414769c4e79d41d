"""A simulated fleet whose engines fall silent at random, and some are gone for good."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from mustardquay.requests import SendResult
from mustardquay.retry_decisions import (
    NextStep,
    PrefillState,
    SendHistory,
    count_repeats,
    decide_next,
    may_follow,
)
from mustardquay.retry_windows import RetryLimits, RetryWindow
from mustardquay.routing_tables import Repeat, Route
from mustardquay.silences import (
    ConnectResult,
    SilentSend,
    Suspicion,
    find_give_up_reason,
    find_recheck_time,
)
from mustardquay.stall_timeouts import find_idle_timeout
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads, choose_plain

__all__ = ["Engine", "Fleet", "Gone", "make_route"]

TICK = timedelta(milliseconds=10)
EVENTS = 12
EVENT_TICKS = 5
"""Ticks between two events of a stream, and before its first one."""
CONNECT_TIMEOUT = timedelta(milliseconds=250)
CALLER_PATIENCE = timedelta(seconds=2)
"""Callers leave after such a gap, also before the first event."""
TIMEOUT = timedelta(seconds=6)
LIMITS = RetryLimits(ratio=0.2, allowance=20, window=timedelta(seconds=5))


class Gone:
    """How an engine may be gone for good."""

    CRASHED = "crashed"
    """Connections are reset, new ones refused."""
    UNREACHABLE = "unreachable"
    """Nothing arrives any more, also for new connections."""
    FROZEN = "frozen"
    """Connections are accepted, and nothing is ever written."""


def make_route(max_attempts=3, resumable=True):
    target = timedelta(milliseconds=400)
    return Route(
        "r",
        "h",
        "/",
        Repeat.STREAM,
        (),
        TIMEOUT,
        target,
        max_attempts=max_attempts,
        resumable=resumable,
        longest_pause=timedelta(milliseconds=150),
    )


@dataclass
class Engine:
    """One engine, with its silences from and until."""

    record: UpstreamRecord
    silences: list[tuple[timedelta, timedelta]] = field(default_factory=list)
    gone_at: timedelta | None = None
    gone: str = Gone.FROZEN
    running: list["Call"] = field(default_factory=list)
    """The streams that it has, the oldest first."""

    def works_on(self, call):
        """Return whether a stream has a slot; the others are queued."""
        return call in self.running[: self.record.slots]

    def is_gone(self, now):
        return self.gone_at is not None and now >= self.gone_at

    def is_silent(self, now):
        return self.is_gone(now) or any(a <= now < b for a, b in self.silences)

    def connect(self, now):
        if self.is_gone(now) and self.gone == Gone.CRASHED:
            return ConnectResult.REFUSED
        if self.is_gone(now) and self.gone == Gone.UNREACHABLE:
            return ConnectResult.TIMED_OUT
        return ConnectResult.CONNECTED


@dataclass(eq=False)
class Call:
    """One caller's stream."""

    begun: timedelta
    last: timedelta
    """When the last event came, or the call began."""
    events: int = 0
    first: timedelta | None = None
    longest_gap: timedelta = timedelta()
    history: SendHistory = field(default_factory=SendHistory)
    avoid: set[str] = field(default_factory=set)
    engine: Engine | None = None
    sent_at: timedelta = timedelta()
    heard_at: timedelta = timedelta()
    ticks: int = 0
    check_at: timedelta = timedelta()
    connecting: bool = False
    is_charged: bool = False
    outcome: str = ""


class Gateway:
    """The decisions of one gateway."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.loads = UpstreamLoads()
        self.window = RetryWindow(LIMITS, fleet.gateways_count)
        self.random = Random(number)
        self.calls: list[Call] = []

    def begin(self, now):
        self.window.count_request(now)
        call = Call(now, now)
        self.calls.append(call)
        self.fleet.calls.append(call)
        self.send(call, now)

    def send(self, call, now):
        records = [engine.record for engine in self.fleet.engines.values()]
        chosen = choose_plain(records, self.loads, now, "a", self.random, call.avoid)
        if chosen is None:
            self.end_call(call, "no_upstream")
            return
        engine = self.fleet.engines[chosen.id]
        self.fleet.note_sent(engine, now)
        self.loads.begin(chosen.id)
        engine.running.append(call)
        call.engine, call.sent_at, call.heard_at, call.ticks = engine, now, now, 0
        call.check_at = now + find_idle_timeout(self.fleet.route)
        result = engine.connect(now)
        if result is ConnectResult.REFUSED:
            self.loads.note_unreachable(chosen.id, now)
            self.end_send(call, SendResult.NOT_SENT, True, now)
        elif result is ConnectResult.TIMED_OUT:
            call.connecting = True
            call.check_at = now + CONNECT_TIMEOUT

    def step(self, now):
        for call in list(self.calls):
            if call.outcome:
                self.calls.remove(call)
            else:
                self.step_call(call, now)

    def step_call(self, call, now):
        gap = now - call.last
        call.longest_gap = max(call.longest_gap, gap)
        if gap >= CALLER_PATIENCE or now - call.begun >= TIMEOUT:
            self.release(call, None, now)
            self.end_call(call, "lost")
            return
        engine = call.engine
        if engine.is_gone(now) and engine.gone == Gone.CRASHED:
            self.loads.note_unreachable(engine.record.id, now)
            self.end_send(call, SendResult.BROKEN, True, now)
            return
        if call.connecting:
            if now >= call.check_at:
                call.connecting = False
                self.loads.note_timed_out(engine.record.id, now)
                self.end_send(call, SendResult.NOT_SENT, None, now)
            return
        if not engine.is_silent(now):
            self.receive(call, now)
        elif now >= call.check_at:
            self.check(call, now)

    def receive(self, call, now):
        if not call.engine.works_on(call):
            if now >= call.check_at:
                self.check(call, now)
            return
        call.ticks += 1
        if call.ticks % EVENT_TICKS:
            return
        self.loads.silences.note_activity(call.engine.record.id, now)
        call.heard_at = call.last = now
        call.check_at = now + find_idle_timeout(self.fleet.route)
        call.events += 1
        if call.first is None:
            call.first = now
        if call.events == EVENTS:
            self.release(call, False, now)
            self.end_call(call, "whole")

    def check(self, call, now):
        id = call.engine.record.id
        silences = self.loads.silences
        quiet = now - call.heard_at
        call.check_at = now + find_recheck_time(quiet)
        suspicion = silences.note_quiet(id, quiet, now)
        if suspicion is Suspicion.ACTIVE:
            call.heard_at = now
            call.check_at = now + find_idle_timeout(self.fleet.route)
            return
        if suspicion is Suspicion.BEGUN:
            silences.note_connect(id, call.engine.connect(now), now)
        if self.fleet.give_up(self, call, quiet, now):
            self.fleet.given_up.append((id, now))
            self.end_send(call, SendResult.BROKEN, None, now)

    def make_silent_send(self, call, quiet, now):
        id = call.engine.record.id
        left = TIMEOUT - (now - call.begun)
        others = [
            engine
            for engine in self.fleet.engines
            if engine not in call.avoid | {id}
            and not self.loads.silences.is_suspected(engine, now)
            and not self.loads.get(engine).is_ejected(now)
        ]
        call.history.has_sent_events = bool(call.events)
        repeated = may_follow(self.fleet.route, call.history, SendResult.BROKEN, left)
        return SilentSend(id, quiet, repeated, bool(others), left)

    def take(self, call, now):
        sends = count_repeats(self.fleet.route, SendResult.BROKEN, PrefillState.NONE)
        call.is_charged = self.window.take(now, sends)
        return call.is_charged

    def end_send(self, call, end, has_failed, now):
        id = call.engine.record.id
        self.release(call, has_failed, now)
        call.history.note(end)
        call.history.has_sent_events = bool(call.events)
        left = TIMEOUT - (now - call.begun)
        step = decide_next(self.fleet.route, call.history, end, 0, left)
        if step not in (NextStep.SEND_AGAIN, NextStep.RESUME):
            self.end_call(call, "cut")
            return
        call.avoid.add(id)
        sends = count_repeats(self.fleet.route, end, PrefillState.NONE)
        if sends and not call.is_charged and not self.window.take(now, sends):
            self.end_call(call, "cut")
            return
        call.is_charged = False
        if sends:
            self.fleet.repeats.append(now)
        self.send(call, now)

    def release(self, call, has_failed, now):
        call.engine.running.remove(call)
        self.fleet.sends.append((call.engine.record.id, call.sent_at, now))
        self.loads.end(call.engine.record.id, has_failed, now)

    def end_call(self, call, outcome):
        call.outcome = outcome


def give_up_by_policy(gateway, call, quiet, now):
    """Decide as the gateways do."""
    send = gateway.make_silent_send(call, quiet, now)
    take = lambda: gateway.take(call, now)  # noqa: E731
    return find_give_up_reason(send, gateway.loads.silences, take) is not None


class Fleet:
    """Gateways and engines, with callers that come at a steady rate."""

    def __init__(
        self,
        engines: int = 8,
        gateways: int = 4,
        per_second: float = 60.0,
        slots: int = 64,
        seed: int = 1,
        route: Route | None = None,
        give_up: Callable[..., bool] = give_up_by_policy,
    ):
        self.random = Random(seed)
        self.route = route or make_route()
        self.give_up = give_up
        self.gateways_count = gateways
        self.engines = {
            f"e{n}": Engine(
                UpstreamRecord(f"e{n}", "s", f"10.0.0.{n}:80", "a", slots, False)
            )
            for n in range(engines)
        }
        self.gateways = [Gateway(self, n) for n in range(gateways)]
        self.per_second = per_second
        self.calls: list[Call] = []
        self.repeats: list[timedelta] = []
        self.given_up: list[tuple[str, timedelta]] = []
        self.sent: list[tuple[str, timedelta]] = []
        self.sends: list[tuple[str, timedelta, timedelta]] = []
        """Engine, begin and end of each send that has ended."""

    def note_sent(self, engine, now):
        self.sent.append((engine.record.id, now))

    def draw_silences(self, until, per_engine=0.15, longest=1.3, spared=None):
        """Have each engine fall silent at random, 0.2 s to `longest` at a time.

        None is silent between the two times `spared`.
        """
        begin, end_of_spared = spared or (timedelta(), timedelta())
        for engine in self.engines.values():
            now = 0.5
            while (now := now + self.random.expovariate(per_engine)) < until:
                end = now + self.random.uniform(0.2, longest)
                silence = timedelta(seconds=now), timedelta(seconds=end)
                if silence[1] < begin or silence[0] > end_of_spared:
                    engine.silences.append(silence)
                now = end + 0.5

    def run(self, seconds):
        """Run, and wait for the calls that are open at the end."""
        chance = self.per_second * TICK.total_seconds()
        for tick in range(int(seconds * 100) + 800):
            now = tick * TICK
            if tick < seconds * 100:
                for _ in range(int(chance) + (self.random.random() < chance % 1)):
                    self.random.choice(self.gateways).begin(now)
            for gateway in self.gateways:
                gateway.step(now)
            if tick >= seconds * 100 and all(call.outcome for call in self.calls):
                return

    def list_waits(self, id, since, until):
        """Return how long sends to an engine waited for it, from `since` on at most."""
        return [
            ended - max(begun, since)
            for engine, begun, ended in self.sends
            if engine == id and ended >= since and begun <= until
        ]

    def list_lost(self):
        return [call for call in self.calls if call.outcome != "whole"]

    def count_repeats(self):
        return max(
            (
                sum(at <= other < at + LIMITS.window for other in self.repeats)
                for at in self.repeats
            ),
            default=0,
        )

    def bound_repeats(self):
        """Return the repeats that all gateways may send in one window."""
        requests = self.per_second * LIMITS.window.total_seconds()
        return LIMITS.ratio * requests + LIMITS.allowance
