"""Simulation of bursts of long prompts that gateways place on engines.

Engines prefill one prompt after the other, lower ranks first. Gateways receive each
other's digests late. The simulation runs on a virtual clock, without sockets and
without an event loop.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from event_queues import EventQueue

from mustardquay.clocks import VirtualClock
from mustardquay.generation_limits import (
    admits_generation,
    admits_late,
    draw_retry_delay,
    is_retry,
    rank_generation,
)
from mustardquay.latency_margins import LatencyMargins
from mustardquay.placements import Placement
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.routing_tables import Backend, Repeat, Route, RoutingTable
from mustardquay.upstream_lists import Stage, UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads
from mustardquay_node.generation_planners import GenerationPlanner
from mustardquay_node.peers import BUSY_INTERVAL, PEER_INTERVAL, list_recipients
from mustardquay_node.tickets import Ticket

__all__ = ["Burst", "BurstSimulation", "Caller", "Outcome", "simulate"]

SHARED, OWN = 6_300, 2_890
"""Tokens of a prompt: those of its shared part, and the median of its own part."""
DOCUMENTS = 40
"""Number of different shared parts."""
TOKEN_SECONDS = 4.24e-6
PAIR_SECONDS = 1.4e-10
STEP_SECONDS = 0.001
"""Duration of a prefill: once, for each new token, and for each pair of a new token and
an earlier one."""
SLOWDOWN = 2.0
"""Factor by which a prefill takes longer on an engine that also generates."""
NETWORK_DELAY = 0.02
"""Mean network delay to an engine, in seconds."""
FIRST_EVENT_DELAY = 0.015
"""Mean additional time in seconds until the first event reaches the caller."""
CHECK_INTERVAL = 0.005
"""Seconds between checks whether a gateway has changes to send."""
ROUTE = Route(
    "r",
    "h",
    "/",
    Repeat.STREAM,
    (Backend("llm", 1),),
    timedelta(seconds=2.15),
    timedelta(milliseconds=215),
    has_prompt=True,
    longest_pause=timedelta(milliseconds=150),
)


@dataclass(frozen=True, slots=True)
class Burst:
    """Load profile: below the capacity of the engines, above it, and below it again."""

    gateways: int = 18
    readers: int = 6
    decoders: int = 2
    slots: int = 12
    base: float = 0.4
    """Load before and after the peak, as a ratio of the prefill capacity."""
    peak: float = 1.3
    decode_seconds: float = 0.004
    """Seconds that a decoder is occupied by each short answer."""
    seconds: tuple[float, float, float] = (4.0, 4.0, 1.0)
    """Durations of the phases before, during and after the peak."""
    busy_gateways: int = 0
    """Number of gateways that receive all callers, 0 for all gateways."""
    seed: int = 1


@dataclass(slots=True)
class Caller:
    """The request of one caller and its results."""

    arrived_at: float
    prompt: PromptTraits
    gateway: int
    refusals: int = 0
    admitted_at: float | None = None
    expected: float = 0.0
    """Expected duration of its prefill in seconds, at its admission."""
    was_late: bool = False
    """Whether it was admitted as one that will miss the latency target."""
    prefilled_after: float | None = None
    """Seconds from its admission to the end of its prefill."""
    answered_after: float | None = None
    """Seconds from its arrival to the first event."""

    @property
    def is_in_time(self) -> bool:
        """Return whether the answer met the target."""
        target = ROUTE.latency_target.total_seconds()
        return self.answered_after is not None and self.answered_after <= target


@dataclass(frozen=True, slots=True)
class Outcome:
    """The results of a simulation."""

    callers: list[Caller]
    peak_from: float
    peak_to: float

    @property
    def in_peak(self) -> list[Caller]:
        """Return the callers that arrived during the peak."""
        return [
            each
            for each in self.callers
            if self.peak_from <= each.arrived_at < self.peak_to
        ]

    def share_in_time(self) -> float:
        """Return the share of the peak's callers that were served in time."""
        return _share(self.in_peak, lambda each: each.is_in_time)

    def share_served(self) -> float:
        """Return the share of the peak's callers that got an answer."""
        return _share(self.in_peak, lambda each: each.answered_after is not None)

    def share_admitted_in_time(self) -> float:
        """Return the share of callers admitted as in time that were in time."""
        admitted = [
            each
            for each in self.in_peak
            if each.admitted_at is not None and not each.was_late
        ]
        return _share(admitted, lambda each: each.is_in_time)

    def count_refusals(self) -> float:
        """Return the mean number of refusals per caller of the peak."""
        return sum(each.refusals for each in self.in_peak) / len(self.in_peak)


def _share(callers: list[Caller], holds: Callable[[Caller], bool]) -> float:
    return sum(map(holds, callers)) / max(len(callers), 1)


@dataclass(slots=True)
class _Engine:
    """Prefills one prompt at a time, by rank and then in order of arrival."""

    waiting: list = field(default_factory=list)
    is_busy: bool = False


class BurstSimulation:
    def __init__(self, burst: Burst):
        self._burst = burst
        self._random = Random(burst.seed)
        self._clock = VirtualClock()
        self._events = EventQueue(self._clock)
        self._order = count()
        stages = [Stage.PREFILL] * burst.readers + [Stage.DECODE] * burst.decoders
        self._records = [
            UpstreamRecord(
                f"e{n}", "llm", f"10.0.0.{n}:80", "a", burst.slots, False, stage
            )
            for n, stage in enumerate(stages)
        ]
        self._engines = {each.id: _Engine() for each in self._records}
        self._cached: dict[str, set[str]] = {each.id: set() for each in self._records}
        self._names = [f"g{n:03}" for n in range(burst.gateways)]
        self._changed = [False] * burst.gateways
        self._planners = [self._make_planner(n) for n in range(burst.gateways)]
        self._recipients = [self._list_recipients(n) for n in range(burst.gateways)]
        self._margins = [LatencyMargins() for _ in self._names]
        self._numbers = [0] * burst.gateways
        self._free_at: dict[str, float] = {}
        """When each decoder will have finished the generations in its queue."""
        self._callers: list[Caller] = []

    def run(self) -> Outcome:
        burst = self._burst
        before, peak, after = burst.seconds
        end = before + peak + after
        self._schedule_arrivals(end, before, before + peak)
        for number in range(burst.gateways):
            self._events.at(
                self._random.random() * 0.1, lambda n=number: self._send_digest(n, end)
            )
        while self._events.run_next():
            pass
        return Outcome(self._callers, before, before + peak)

    def _list_recipients(self, number: int) -> list[int]:
        name = self._names[number]
        others = [each for each in self._names if each != name]
        recipients = list_recipients(name, others)
        self._planners[number].set_gateway_counts(
            len(recipients), len(others) - len(recipients)
        )
        return [self._names.index(each) for each in recipients]

    def _make_planner(self, number: int) -> GenerationPlanner:
        upstreams = UpstreamList()
        for record in self._records:
            upstreams.put(record)
        planner = GenerationPlanner(
            self._clock,
            upstreams,
            UpstreamLoads(),
            note_change=lambda: self._note_change(number),
            random=self._random,
        )
        planner.apply_table(RoutingTable(1, (ROUTE,), {}))
        return planner

    def _schedule_arrivals(self, end: float, peak_from: float, peak_to: float) -> None:
        burst, random = self._burst, self._random
        usual = _measure_prefill(OWN, SHARED)
        capacity = burst.readers / usual
        at = 0.0
        while at < end:
            is_peak = peak_from <= at < peak_to
            load = burst.peak if is_peak else burst.base
            at += random.expovariate(load * capacity)
            gateway = random.randrange(burst.busy_gateways or burst.gateways)
            caller = Caller(at, self._draw_prompt(), gateway)
            self._callers.append(caller)
            self._events.at(at, lambda each=caller: self._request(each))

    def _draw_prompt(self) -> PromptTraits:
        random = self._random
        document = min(int(random.expovariate(8 / DOCUMENTS)), DOCUMENTS - 1)
        own = int(OWN * random.lognormvariate(-0.12, 0.5))
        parts = (
            PromptPart(f"d{document}", SHARED),
            PromptPart(str(random.random()), own),
        )
        return PromptTraits("m", SHARED + own, 2, parts)

    def _request(self, caller: Caller) -> None:
        planner = self._planners[caller.gateway]
        left = ROUTE.timeout - timedelta(seconds=self._events.now - caller.arrived_at)
        if left <= timedelta():
            return
        is_late = is_retry(ROUTE, left)
        placement = self._admit(caller, left, is_late)
        if placement is None and not is_late:
            is_late = True
            placement = self._admit(caller, left, is_late)
        if placement is None:
            self._refuse(caller, left)
            return
        rank = rank_generation(ROUTE, is_late)
        caller.admitted_at, caller.was_late = self._events.now, is_late
        caller.expected = placement.expected_seconds
        ticket = planner.begin(caller.prompt, placement, 0, rank)
        sending = NETWORK_DELAY * self._random.gammavariate(4, 0.25)
        self._events.after(sending, lambda: self._queue(caller, planner, ticket, rank))

    def _admit(
        self, caller: Caller, left: timedelta, is_late: bool
    ) -> Placement | None:
        planner = self._planners[caller.gateway]
        rank = rank_generation(ROUTE, is_late)
        placement = planner.choose(caller.prompt, self._records, (), 0, rank)
        if is_late:
            is_admitted = admits_late(ROUTE, placement, left)
        else:
            margins = self._margins[caller.gateway]
            margin = margins.find_margin(ROUTE, self._clock.monotonic())
            is_admitted = admits_generation(ROUTE, placement, left, margin)
        return placement if is_admitted else None

    def _refuse(self, caller: Caller, left: timedelta) -> None:
        caller.refusals += 1
        if caller.refusals == 1:
            back = draw_retry_delay(None, left, self._random)
            self._events.after(back.total_seconds(), lambda: self._request(caller))

    def _queue(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket, rank: int
    ) -> None:
        id = ticket.placement.reader.id
        engine = self._engines[id]
        seconds = self._measure(id, ticket, caller.prompt)
        done = partial(self._note_prefilled, caller, planner, ticket)
        heappush(engine.waiting, (rank, next(self._order), seconds, done))
        if not engine.is_busy:
            self._begin_prefill(engine)

    def _measure(self, id: str, ticket: Ticket, prompt: PromptTraits) -> float:
        cached_ids = self._cached[id]
        shared, own = prompt.parts
        is_cached = shared.id in cached_ids or ticket.placement.holder is not None
        cached_ids.add(shared.id)
        cached = shared.tokens if is_cached else 0
        seconds = _measure_prefill(prompt.prompt_tokens - cached, cached)
        return seconds if ticket.placement.prefiller else seconds * SLOWDOWN

    def _begin_prefill(self, engine: _Engine) -> None:
        engine.is_busy = bool(engine.waiting)
        if engine.is_busy:
            _, _, seconds, done = heappop(engine.waiting)
            self._events.after(seconds, lambda: self._end_prefill(engine, done))

    def _end_prefill(self, engine: _Engine, done: Callable[[], None]) -> None:
        done()
        self._begin_prefill(engine)

    def _note_prefilled(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket
    ) -> None:
        caller.prefilled_after = self._events.now - caller.admitted_at
        if ticket.placement.prefiller:
            planner.learn_prefill(ticket, timedelta(seconds=caller.prefilled_after))
            planner.end_prefill(ticket, is_handed_over=True)
        else:
            planner.end_prefill(ticket)
        self._events.after(
            NETWORK_DELAY,
            lambda: self._generate(caller, planner, ticket, self._events.now),
        )

    def _generate(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket, began: float
    ) -> None:
        """Queue a generation at its decoder, after those that came before."""
        decoder = ticket.placement.decoder.id
        decode_seconds = self._burst.decode_seconds
        free_at = max(self._free_at.get(decoder, 0.0), self._events.now)
        self._free_at[decoder] = free_at + decode_seconds
        first = (
            free_at
            + decode_seconds
            + FIRST_EVENT_DELAY * self._random.gammavariate(4, 0.25)
        )
        self._events.at(
            first,
            lambda: self._answer(caller, planner, ticket, self._events.now - began),
        )

    def _answer(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket, took: float
    ) -> None:
        if not ticket.placement.prefiller:
            took += caller.prefilled_after
        planner.learn_first(ticket, timedelta(seconds=took))
        planner.end(ticket)
        caller.answered_after = self._events.now - caller.arrived_at
        if not caller.was_late:
            self._margins[caller.gateway].note(
                ROUTE,
                timedelta(seconds=caller.expected),
                timedelta(seconds=self._events.now - caller.admitted_at),
                self._clock.monotonic(),
            )

    def _send_digest(self, number: int, end: float) -> None:
        """Send a digest; the next one follows once something has changed."""
        if self._events.now > end:
            return
        self._numbers[number] += 1
        name = self._names[number]
        digest = self._planners[number].build_digest(name, 1, self._numbers[number], 1)
        for other in self._recipients[number]:
            self._events.after(
                0.001, lambda each=self._planners[other]: each.apply_digest(digest)
            )
        self._changed[number] = False
        interval = max(BUSY_INTERVAL, len(self._recipients[number]) * PEER_INTERVAL)
        self._events.after(
            interval.total_seconds(), lambda: self._send_if_changed(number, end)
        )

    def _send_if_changed(self, number: int, end: float) -> None:
        if self._changed[number]:
            self._send_digest(number, end)
        elif self._events.now <= end:
            self._events.after(
                CHECK_INTERVAL, lambda: self._send_if_changed(number, end)
            )

    def _note_change(self, number: int) -> None:
        self._changed[number] = True


def _measure_prefill(new: int, cached: int) -> float:
    pairs = new * (cached + new / 2)
    return STEP_SECONDS + new * TOKEN_SECONDS + pairs * PAIR_SECONDS


def simulate(burst: Burst) -> Outcome:
    """Run the simulation of a load to its end."""
    return BurstSimulation(burst).run()
