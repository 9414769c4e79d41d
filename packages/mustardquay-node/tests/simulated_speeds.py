"""Simulation of engines of different speed that are also slow for short spells.

Prompts and streams of a mix that turns over arrive at many gateways. Engines report
their current factor in answers, and gateways pass reports on. The clock is virtual.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random

from event_queues import EventQueue
from speed_loads import (
    BRIEF,
    EVENT_SECONDS,
    HALF_TURN,
    MIN_EXPECTED,
    MIN_TIME_LEFT,
    NETWORK_DELAY,
    RATES,
    SLOWDOWN,
    STEPS,
    SWING,
    TOKEN_SECONDS,
    VERDICT,
    WARM_UP,
    Caller,
    Load,
    Result,
    SimulatedEngine,
    draw_prompt,
)

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
from mustardquay.routing_tables import (
    EngineTraits,
    RoutingTable,
    Service,
)
from mustardquay.upstream_capacity import LoadReport
from mustardquay.upstream_lists import Stage, UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads
from mustardquay_node.generation_planners import GenerationPlanner
from mustardquay_node.peers import BUSY_INTERVAL, PEER_INTERVAL, list_recipients
from mustardquay_node.tickets import Ticket

__all__ = ["Load", "Result", "play"]


class _Play:
    def __init__(self, load: Load):
        self._load = load
        # Draws the service times; arrivals and engines are drawn apart.
        self._random = Random(load.seed)
        self._clock = VirtualClock()
        self._events = EventQueue(self._clock)
        self._order = count()
        draw = Random(f"engines {load.seed}")
        slow = set(draw.sample(range(load.engines), round(load.engines / 4)))
        self._engines: dict[str, SimulatedEngine] = {}
        for n in range(load.engines):
            stage = Stage.DECODE if n < load.decoders else Stage.PREFILL
            record = UpstreamRecord(
                f"e{n:02}", "llm", f"10.0.0.{n}:80", "a", load.slots, False, stage
            )
            speed = 0.55 if n in slow else 1.2
            self._engines[record.id] = SimulatedEngine(
                record, speed, draw, load.seconds
            )
        self._names = [f"g{n:03}" for n in range(load.gateways)]
        self._loads = [UpstreamLoads() for _ in self._names]
        self._changed = [False] * load.gateways
        self._planners = [self._make_planner(n) for n in range(load.gateways)]
        self._recipients = [self._list_recipients(n) for n in range(load.gateways)]
        self._margins = [LatencyMargins() for _ in self._names]
        self._numbers = [0] * load.gateways
        self._reports = [{} for _ in self._names]
        self._result = Result([], planners=self._planners, records=self._records)

    @property
    def _records(self) -> list[UpstreamRecord]:
        return [each.record for each in self._engines.values()]

    def run(self) -> Result:
        self._schedule_arrivals()
        for number in range(self._load.gateways):
            at = self._random.random() * 0.1
            self._events.at(at, lambda n=number: self._send_digest(n))
        while self._events.run_next():
            if self._events.now <= self._load.seconds:
                self._result.now = self._clock.monotonic()
        return self._result

    def _send(self, act: Callable[[], None]) -> None:
        self._events.after(NETWORK_DELAY * self._random.gammavariate(4, 0.25), act)

    def _make_planner(self, number: int) -> GenerationPlanner:
        upstreams = UpstreamList()
        for record in self._records:
            upstreams.put(record)
        planner = GenerationPlanner(
            self._clock,
            upstreams,
            self._loads[number],
            note_change=lambda: self._note_change(number),
            random=Random(f"{number} {self._load.seed}"),
            load_reports=self._load.load_reports,
        )
        kept = timedelta(seconds=3)
        traits = EngineTraits(self._load.slots, 790_400, kept, kept, STEPS)
        service = Service("llm", 290, traits)
        planner.apply_table(RoutingTable(1, (VERDICT, BRIEF), {"llm": service}))
        return planner

    def _list_recipients(self, number: int) -> list[int]:
        name = self._names[number]
        others = [each for each in self._names if each != name]
        recipients = list_recipients(name, others)
        self._planners[number].set_gateway_counts(
            len(recipients), len(others) - len(recipients)
        )
        return [self._names.index(each) for each in recipients]

    def _schedule_arrivals(self) -> None:
        random = Random(f"load {self._load.seed}")
        for route, sign in ((VERDICT, 1), (BRIEF, -1)):
            at = 0.0
            while at < self._load.seconds:
                turn = 1 if int(at / HALF_TURN) % 2 == 0 else -1
                rate = RATES[route.name] * self._load.rate * (1 + SWING * turn * sign)
                at += random.expovariate(rate)
                prompt = draw_prompt(route, random)
                gateway = random.randrange(self._load.gateways)
                caller = Caller(at, route, prompt, gateway)
                caller.events = 72 if route is BRIEF else 1
                self._result.callers.append(caller)
                self._events.at(at, lambda each=caller: self._request(each))

    def _request(self, caller: Caller) -> None:
        planner, route = self._planners[caller.gateway], caller.route
        left = route.timeout - timedelta(seconds=self._events.now - caller.arrived_at)
        if left <= MIN_TIME_LEFT:
            return
        is_late = is_retry(route, left)
        placement = self._admit(caller, left, is_late)
        if placement is None and not is_late:
            is_late = True
            placement = self._admit(caller, left, is_late)
        if placement is None:
            delay = draw_retry_delay(None, left, self._random)
            self._events.after(delay.total_seconds(), lambda: self._request(caller))
            return
        caller.admitted_at, caller.was_late = self._events.now, is_late
        caller.expected = placement.expected_seconds
        rank = rank_generation(route, is_late and placement.prefiller is not None)
        ticket = planner.begin(caller.prompt, placement, 0, rank)
        self._send(lambda: self._queue(caller, planner, ticket, rank))

    def _admit(
        self, caller: Caller, left: timedelta, is_late: bool
    ) -> Placement | None:
        planner, route = self._planners[caller.gateway], caller.route
        rank = rank_generation(route, is_late)
        placement = planner.choose(caller.prompt, self._records, (), 0, rank)
        if is_late:
            is_admitted = admits_late(route, placement, left)
        else:
            margins = self._margins[caller.gateway]
            margin = margins.find_margin(route, self._clock.monotonic())
            is_admitted = admits_generation(route, placement, left, margin)
        return placement if is_admitted else None

    def _queue(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket, rank: int
    ) -> None:
        engine = self._engines[ticket.placement.reader.id]
        entry = (rank, next(self._order), caller, planner, ticket, self._events.now)
        heappush(engine.waiting, entry)
        if not engine.is_busy:
            self._begin_prefill(engine)

    def _begin_prefill(self, engine: SimulatedEngine) -> None:
        engine.is_busy = bool(engine.waiting)
        if not engine.is_busy:
            return
        _, _, caller, planner, ticket, queued_at = heappop(engine.waiting)
        shared, own = caller.prompt.parts
        is_cached = shared.id in engine.cached or ticket.placement.holder is not None
        engine.cached.add(shared.id)
        new = caller.prompt.prompt_tokens - (shared.tokens if is_cached else 0)
        seconds = self._scale(engine, 0.0005 + new * TOKEN_SECONDS)
        if ticket.placement.prefiller is None:
            seconds *= SLOWDOWN
        engine.prefilled += seconds

        def end() -> None:
            self._note_ratio(ticket, self._events.now - queued_at)
            self._note_prefilled(caller, planner, ticket)
            self._begin_prefill(engine)

        self._events.after(seconds, end)

    def _scale(self, engine: SimulatedEngine, seconds: float) -> float:
        return seconds * engine.find_factor(self._events.now) / engine.speed

    def _note_prefilled(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket
    ) -> None:
        if ticket.placement.prefiller is None:
            planner.end_prefill(ticket)
            self._generate(caller, planner, ticket, caller.admitted_at)
            return

        def receive() -> None:
            took = self._events.now - caller.admitted_at
            self._note_report(caller.gateway, ticket.placement.reader.id)
            planner.learn_prefill(ticket, timedelta(seconds=took))
            planner.reselect_decoder(ticket, self._records, ())
            planner.end_prefill(ticket, is_handed_over=True)
            began = self._events.now
            self._send(lambda: self._generate(caller, planner, ticket, began))

        self._send(receive)

    def _note_ratio(self, ticket: Ticket, took: float) -> None:
        """Note the ratio of the time in the engine to the expected wait and prefill."""
        placement = ticket.placement
        self._result.prefills[placement.reader.id] += 1
        if self._events.now >= WARM_UP:
            expected = placement.wait_seconds + placement.prefill_seconds
            # A model may expect no time from its first few samples.
            ratio = took / max(expected, MIN_EXPECTED)
            self._result.ratios[placement.reader.id].append(ratio)

    def _generate(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket, began: float
    ) -> None:
        """Decode when a slot is free."""
        engine = self._engines[ticket.placement.decoder.id]

        def start() -> None:
            engine.running += 1
            self._decode(caller, planner, ticket, began, [])

        if engine.running < self._load.slots:
            start()
        else:
            engine.queue.append(start)

    def _decode(
        self,
        caller: Caller,
        planner: GenerationPlanner,
        ticket: Ticket,
        began: float,
        times: list[float],
    ) -> None:
        """Emit the next event after its steps, and the prefill in between."""
        engine = self._engines[ticket.placement.decoder.id]
        before = engine.prefilled

        def emit() -> None:
            interleaved = engine.prefilled - before
            if interleaved:
                self._events.after(interleaved, finish)
            else:
                finish()

        def finish() -> None:
            times.append(self._events.now)
            if len(times) == 1:
                self._send(lambda: self._note_first(caller, planner, ticket, began))
            else:
                pause = times[-1] - times[-2]
                caller.longest_pause = max(caller.longest_pause, pause)
            if len(times) < caller.events:
                self._decode(caller, planner, ticket, began, times)
                return
            self._free_slot(engine)
            self._send(lambda: self._end(planner, ticket, times))

        self._events.after(self._scale(engine, EVENT_SECONDS), emit)

    def _free_slot(self, engine: SimulatedEngine) -> None:
        engine.running -= 1
        if engine.queue:
            engine.queue.pop(0)()

    def _note_first(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket, began: float
    ) -> None:
        self._note_report(caller.gateway, ticket.placement.decoder.id)
        planner.learn_first(ticket, timedelta(seconds=self._events.now - began))
        caller.first_after = self._events.now - caller.arrived_at
        if not caller.was_late:
            self._margins[caller.gateway].note(
                caller.route,
                timedelta(seconds=caller.expected),
                timedelta(seconds=self._events.now - caller.admitted_at),
                self._clock.monotonic(),
            )

    def _end(
        self, planner: GenerationPlanner, ticket: Ticket, times: Sequence[float]
    ) -> None:
        if len(times) >= 8:
            pause = (times[-1] - times[0]) / (len(times) - 1)
            planner.learn_pause(ticket.placement.decoder, timedelta(seconds=pause))
        planner.end(ticket)

    def _note_report(self, gateway: int, id: str) -> None:
        if not self._load.sends_reports:
            return
        factor = self._engines[id].find_factor(self._events.now)
        self._apply_report(gateway, id, factor, self._clock.monotonic())

    def _apply_report(
        self, gateway: int, id: str, factor: float, at: timedelta
    ) -> None:
        known = self._reports[gateway].get(id)
        if known is None or at > known[1]:
            self._reports[gateway][id] = (factor, at)
            report = LoadReport(work_time=factor)
            self._loads[gateway].capacities.note_report(id, report, at)

    def _send_digest(self, number: int) -> None:
        """Send a digest and the newest reports; the next follows after a change."""
        if self._events.now > self._load.seconds:
            return
        self._numbers[number] += 1
        name = self._names[number]
        digest = self._planners[number].build_digest(name, 1, self._numbers[number], 1)
        horizon = self._clock.monotonic() - timedelta(milliseconds=200)
        reports = [
            (id, factor, at)
            for id, (factor, at) in self._reports[number].items()
            if at > horizon
        ]

        def receive(other: int) -> None:
            self._planners[other].apply_digest(digest)
            for report in reports:
                self._apply_report(other, *report)

        for other in self._recipients[number]:
            if self._random.random() >= self._load.lost_digests:
                self._events.after(0.001, lambda each=other: receive(each))
        self._changed[number] = False
        interval = max(BUSY_INTERVAL, len(self._recipients[number]) * PEER_INTERVAL)
        self._events.after(
            interval.total_seconds(), lambda: self._send_if_changed(number)
        )

    def _send_if_changed(self, number: int) -> None:
        if self._changed[number]:
            self._send_digest(number)
        elif self._events.now <= self._load.seconds:
            self._events.after(0.005, lambda: self._send_if_changed(number))

    def _note_change(self, number: int) -> None:
        self._changed[number] = True


def play(load: Load) -> Result:
    """Play a load to its end."""
    return _Play(load).run()


if __name__ == "__main__":
    import sys

    for gateways in map(int, sys.argv[1].split(",")):
        for seed in map(int, sys.argv[2].split(",")):
            for load_reports in (False, True):
                result = play(Load(gateways, seed=seed, load_reports=load_reports))
                name = "reports" if load_reports else "before "
                print(gateways, seed, name, result.describe(), flush=True)
