"""Simulation of engines of different speed that are also slow for short spells.

Prompts and streams of a mix that turns over arrive at many gateways. Engines report
their current factor in answers, and gateways pass reports on. The clock is virtual.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random
from statistics import median

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
from mustardquay.routing_tables import (
    Backend,
    EngineTraits,
    Repeat,
    Route,
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

SHARED, OWN = 6_300, 2_890
DOCUMENTS = 40
TOKEN_SECONDS = 1 / 305_000
STEPS = 86
"""Decode steps from one event to the next."""
EVENT_SECONDS = STEPS * 0.000_554
SLOWDOWN = 2.0
"""Factor by which a prefill takes longer on an engine that also generates."""
SPELL, SPELL_FACTOR, SPELL_SHARE = 0.6, 2.5, 0.15
"""Mean seconds of a slow spell, its factor, and the share of time in spells."""
HALF_TURN = 2.8
"""Seconds after which the mix turns over."""
SWING = 0.5
"""Share by which each kind exceeds its mean in its half of a turn."""
NETWORK_DELAY = 0.008
MIN_TIME_LEFT = timedelta(milliseconds=50)
"""Time left with which callers give up; delays shrink with it."""
MIN_EXPECTED = 0.001
"""Least expected seconds of a prefill that a ratio is taken of."""
WARM_UP = 3.0
"""Seconds whose requests aren't counted: coefficients start from their priors."""


def _make_route(name: str, priority: int, target: float, timeout: float) -> Route:
    return Route(
        name,
        "h",
        f"/{name}",
        Repeat.STREAM,
        (Backend("llm", 1),),
        timedelta(seconds=timeout),
        timedelta(seconds=target),
        priority,
        has_prompt=True,
        longest_pause=timedelta(milliseconds=150),
    )


VERDICT = _make_route("verdict", 0, 0.235, 2.353)
BRIEF = _make_route("brief", 1, 0.134, 16.716)
RATES = {"verdict": 240.0, "brief": 11.0}


@dataclass(frozen=True, slots=True)
class Load:
    """What is played, and how gateways decide."""

    gateways: int = 28
    engines: int = 27
    decoders: int = 8
    slots: int = 12
    rate: float = 1.0
    """Requests relative to the usual rates."""
    seconds: float = 9.0
    load_reports: bool = True
    sends_reports: bool = True
    lost_digests: float = 0.0
    """Share of the digests that are lost."""
    seed: int = 1


@dataclass(slots=True)
class Caller:
    """One request and what became of it."""

    arrived_at: float
    route: Route
    prompt: PromptTraits
    gateway: int
    admitted_at: float | None = None
    expected: float = 0.0
    was_late: bool = False
    first_after: float | None = None
    longest_pause: float = 0.0
    events: int = 1

    @property
    def is_on_time(self) -> bool:
        """Return whether the first event met the target and no pause was too long."""
        target = self.route.latency_target.total_seconds()
        longest = self.route.longest_pause.total_seconds()
        has_paused = self.longest_pause > longest
        return (
            self.first_after is not None
            and self.first_after <= target - 0.01
            and (not has_paused)
        )


@dataclass(slots=True)
class Result:
    """The requests of a play, and the ratios of measured to expected prefill times."""

    callers: list[Caller]
    ratios: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    prefills: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    factors: dict[str, float] = field(default_factory=dict)
    """True lasting factor of each engine relative to the geometric mean."""
    planners: list[GenerationPlanner] = field(default_factory=list)
    records: list[UpstreamRecord] = field(default_factory=list)
    now: timedelta = timedelta()

    def share_on_time(self, kind: str) -> float:
        """Return the share of a kind's requests that were answered on time."""
        counted = self._list_counted(kind)
        return sum(each.is_on_time for each in counted) / max(len(counted), 1)

    def share_served(self, kind: str) -> float:
        """Return the share of a kind's requests that were answered."""
        counted = self._list_counted(kind)
        served = sum(each.first_after is not None for each in counted)
        return served / max(len(counted), 1)

    def share_kept(self, kind: str) -> float:
        """Return the share on time of those that were admitted as on time."""
        admitted = [
            each
            for each in self._list_counted(kind)
            if each.admitted_at is not None and not each.was_late
        ]
        return sum(each.is_on_time for each in admitted) / max(len(admitted), 1)

    def list_medians(self, stage: Stage) -> list[float]:
        """Return the median ratio of measured to expected time of each engine."""
        ids = [each.id for each in self.records if each.stage is stage]
        ratios = [self.ratios[id] for id in ids if len(self.ratios[id]) >= 8]
        return sorted(map(median, ratios))

    def find_quantiles(self) -> tuple[float, float, float]:
        """Return the ratio at p10, p50 and p90 over all prefills."""
        ratios = sorted(each for values in self.ratios.values() for each in values)
        return tuple(ratios[int(len(ratios) * share)] for share in (0.1, 0.5, 0.9))

    def _list_counted(self, kind: str) -> list[Caller]:
        return [
            each
            for each in self.callers
            if each.route.name == kind and each.arrived_at >= WARM_UP
        ]


class _Engine:
    """Prefills one prompt at a time by rank, and decodes in its slots."""

    def __init__(
        self, record: UpstreamRecord, speed: float, random: Random, end: float
    ):
        self.record = record
        self.speed = speed
        self.waiting: list = []
        self.is_busy = False
        self.cached: set[str] = set()
        self.prefilled = 0.0
        """Seconds spent on prefill so far."""
        self.running = 0
        self.queue: list[Callable[[], None]] = []
        self._spells: list[tuple[float, float]] = []
        at = 0.0
        while at < end + 20:
            begin = at + random.expovariate(SPELL_SHARE / SPELL / (1 - SPELL_SHARE))
            at = begin + random.expovariate(1 / SPELL)
            self._spells.append((begin, at))

    def find_factor(self, at: float) -> float:
        """Return the current factor."""
        is_slow = any(begin <= at < end for begin, end in self._spells)
        return SPELL_FACTOR if is_slow else 1.0


class _Play:
    def __init__(self, load: Load):
        self._load = load
        self._random = Random(load.seed)
        """Draws the service times; `Random` of the load is separate."""
        self._clock = VirtualClock()
        self._events: list = []
        self._order = count()
        draw = Random(f"engines {load.seed}")
        slow = set(draw.sample(range(load.engines), round(load.engines / 4)))
        self._engines: dict[str, _Engine] = {}
        for n in range(load.engines):
            stage = Stage.DECODE if n < load.decoders else Stage.PREFILL
            record = UpstreamRecord(
                f"e{n:02}", "llm", f"10.0.0.{n}:80", "a", load.slots, False, stage
            )
            speed = 0.55 if n in slow else 1.2
            self._engines[record.id] = _Engine(record, speed, draw, load.seconds)
        self._names = [f"g{n:03}" for n in range(load.gateways)]
        self._loads = [UpstreamLoads() for _ in self._names]
        self._changed = [False] * load.gateways
        self._planners = [self._make_planner(n) for n in range(load.gateways)]
        self._recipients = [self._list_recipients(n) for n in range(load.gateways)]
        self._margins = [LatencyMargins() for _ in self._names]
        self._numbers = [0] * load.gateways
        self._reports: list[dict[str, tuple[float, timedelta]]]
        self._reports = [{} for _ in self._names]
        self._result = Result([], planners=self._planners, records=self._records)

    @property
    def _records(self) -> list[UpstreamRecord]:
        return [each.record for each in self._engines.values()]

    def run(self) -> Result:
        self._schedule_arrivals()
        for number in range(self._load.gateways):
            at = self._random.random() * 0.1
            self._at(at, lambda n=number: self._send_digest(n))
        while self._events:
            at, _, act = heappop(self._events)
            passed = timedelta(seconds=at) - self._clock.monotonic()
            self._clock.advance(max(passed, timedelta()))
            act()
            if self._now <= self._load.seconds:
                self._result.now = self._clock.monotonic()
        self._result.factors = {
            id: 1 / each.speed for id, each in self._engines.items()
        }
        return self._result

    @property
    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), act))

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        self._at(self._now + seconds, act)

    def _send(self, act: Callable[[], None]) -> None:
        self._after(NETWORK_DELAY * self._random.gammavariate(4, 0.25), act)

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
                prompt = _draw_prompt(route, random)
                gateway = random.randrange(self._load.gateways)
                caller = Caller(at, route, prompt, gateway)
                caller.events = 72 if route is BRIEF else 1
                self._result.callers.append(caller)
                self._at(at, lambda each=caller: self._request(each))

    def _request(self, caller: Caller) -> None:
        planner, route = self._planners[caller.gateway], caller.route
        left = route.timeout - timedelta(seconds=self._now - caller.arrived_at)
        if left <= MIN_TIME_LEFT:
            return
        is_late = is_retry(route, left)
        placement = self._admit(caller, left, is_late)
        if placement is None and not is_late:
            is_late = True
            placement = self._admit(caller, left, is_late)
        if placement is None:
            delay = draw_retry_delay(None, left, self._random)
            self._after(delay.total_seconds(), lambda: self._request(caller))
            return
        caller.admitted_at, caller.was_late = self._now, is_late
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
        entry = (rank, next(self._order), caller, planner, ticket, self._now)
        heappush(engine.waiting, entry)
        if not engine.is_busy:
            self._begin_prefill(engine)

    def _begin_prefill(self, engine: _Engine) -> None:
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
            self._note_ratio(ticket, self._now - queued_at)
            self._note_prefilled(caller, planner, ticket)
            self._begin_prefill(engine)

        self._after(seconds, end)

    def _scale(self, engine: _Engine, seconds: float) -> float:
        return seconds * engine.find_factor(self._now) / engine.speed

    def _note_prefilled(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket
    ) -> None:
        if ticket.placement.prefiller is None:
            planner.end_prefill(ticket)
            self._generate(caller, planner, ticket, caller.admitted_at)
            return

        def receive() -> None:
            took = self._now - caller.admitted_at
            self._note_report(caller.gateway, ticket.placement.reader.id)
            planner.learn_prefill(ticket, timedelta(seconds=took))
            planner.reselect_decoder(ticket, self._records, ())
            planner.end_prefill(ticket, is_handed_over=True)
            began = self._now
            self._send(lambda: self._generate(caller, planner, ticket, began))

        self._send(receive)

    def _note_ratio(self, ticket: Ticket, took: float) -> None:
        """Note the ratio of the time in the engine to the expected wait and prefill."""
        placement = ticket.placement
        self._result.prefills[placement.reader.id] += 1
        if self._now >= WARM_UP:
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
                self._after(interleaved, finish)
            else:
                finish()

        def finish() -> None:
            times.append(self._now)
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

        self._after(self._scale(engine, EVENT_SECONDS), emit)

    def _free_slot(self, engine: _Engine) -> None:
        engine.running -= 1
        if engine.queue:
            engine.queue.pop(0)()

    def _note_first(
        self, caller: Caller, planner: GenerationPlanner, ticket: Ticket, began: float
    ) -> None:
        self._note_report(caller.gateway, ticket.placement.decoder.id)
        planner.learn_first(ticket, timedelta(seconds=self._now - began))
        caller.first_after = self._now - caller.arrived_at
        if not caller.was_late:
            self._margins[caller.gateway].note(
                caller.route,
                timedelta(seconds=caller.expected),
                timedelta(seconds=self._now - caller.admitted_at),
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
        factor = self._engines[id].find_factor(self._now)
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
        if self._now > self._load.seconds:
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
                self._after(0.001, lambda each=other: receive(each))
        self._changed[number] = False
        interval = max(BUSY_INTERVAL, len(self._recipients[number]) * PEER_INTERVAL)
        self._after(interval.total_seconds(), lambda: self._send_if_changed(number))

    def _send_if_changed(self, number: int) -> None:
        if self._changed[number]:
            self._send_digest(number)
        elif self._now <= self._load.seconds:
            self._after(0.005, lambda: self._send_if_changed(number))

    def _note_change(self, number: int) -> None:
        self._changed[number] = True


def _draw_prompt(route: Route, random: Random) -> PromptTraits:
    if route is BRIEF:
        shared = PromptPart(f"s{random.randrange(8)}", 79)
        own = PromptPart(str(random.random()), 141)
        return PromptTraits("m", 220, 72, (shared, own))
    document = min(int(random.expovariate(8 / DOCUMENTS)), DOCUMENTS - 1)
    tokens = min(int(OWN * random.lognormvariate(-0.5, 1.0)) + 1, 39_600)
    parts = (
        PromptPart(f"d{document}", SHARED),
        PromptPart(str(random.random()), tokens),
    )
    return PromptTraits("m", SHARED + tokens, 1, parts)


def play(load: Load) -> Result:
    """Play a load to its end."""
    return _Play(load).run()


if __name__ == "__main__":
    import sys

    for gateways in map(int, sys.argv[1].split(",")):
        for seed in map(int, sys.argv[2].split(",")):
            for load_reports in (False, True):
                result = play(Load(gateways, seed=seed, load_reports=load_reports))
                medians = result.list_medians(Stage.PREFILL)
                print(
                    gateways,
                    seed,
                    "reports" if load_reports else "before ",
                    "ratio p10 p50 p90",
                    [round(each, 2) for each in result.find_quantiles()],
                    "engines",
                    round(medians[0], 2),
                    round(medians[-1], 2),
                    *(
                        f"{kind}: on time {result.share_on_time(kind):.3f}"
                        f" kept {result.share_kept(kind):.3f}"
                        f" served {result.share_served(kind):.3f}"
                        for kind in RATES
                    ),
                    flush=True,
                )
