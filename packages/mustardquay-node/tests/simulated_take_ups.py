"""Streams that callers take up under load, in virtual time and without a network.

Run as a program, it prints the shares of several loads.

Gateways admit streams and find their origins with their own code. Engines run as many
streams as they have slots and queue the others. Engines crash in turn and connections
of callers break, so that callers take their streams up at random gateways.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from types import SimpleNamespace

import simulated_origins

from mustardquay.events import EventRing, HybridClock
from mustardquay.generation_limits import (
    admits_generation,
    admits_late,
    admits_take_up,
    draw_retry_delay,
    is_retry,
    rank_generation,
)
from mustardquay.latency_margins import LatencyMargins
from mustardquay.placements import Placement
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.routing_tables import Backend, Repeat, Route, RoutingTable
from mustardquay.streams import StreamOrigin, compute_stream_key, filter_continuing
from mustardquay.upstream_lists import UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads
from mustardquay_node.arrivals import VERSION_RETRY_AFTER, take_up_stream
from mustardquay_node.generation_planners import GenerationPlanner
from mustardquay_standins.virtual_loops import VirtualLoop

__all__ = ["Load", "Played", "play_load"]

SLOTS = 12
EVENTS = 10
EVENT_SECONDS = 0.2
RESTART_SECONDS = 2.0
NOTICE_SECONDS = 0.03
"""Time until gateways have removed an engine that crashed."""
RECONNECT_SECONDS = 0.02
DIGEST_SECONDS = 0.04
BREAK_RATIO = 0.1
"""Share of streams whose caller's connection breaks once, between two events."""
TRIES = 4
"""Attempts of callers to have a stream begun, and to have it taken up."""
ROUTE = Route(
    "r",
    "h",
    "/",
    Repeat.STREAM,
    (Backend("llm", 1),),
    timedelta(seconds=12),
    timedelta(milliseconds=600),
    has_prompt=True,
    resumable=True,
    longest_pause=timedelta(milliseconds=400),
)


@dataclass(frozen=True, slots=True)
class Load:
    """A load, as a ratio of what the engines can serve."""

    ratio: float
    gateways: int = 6
    versions: tuple[str, ...] = ("v1",) * 10
    """Software versions of the engines."""
    crash_interval: float = 1.0
    """Seconds between two crashes of engines."""
    seconds: float = 6.0
    seed: int = 1


@dataclass
class Played:
    """What came of attempts, by kind (`new` or `take_up`)."""

    first: Counter = field(default_factory=Counter)
    """First attempts, by kind and outcome."""
    final: Counter = field(default_factory=Counter)
    """Streams by kind, and by whether any of their attempts was admitted."""

    def share_first(self, kind: str) -> float:
        """Return the share of first attempts that were admitted."""
        tried = sum(count for (each, _), count in self.first.items() if each == kind)
        return self.first[kind, "admitted"] / max(tried, 1)

    def share_final(self, kind: str) -> float:
        """Return the share of streams that began or went on."""
        tried = self.final[kind, True] + self.final[kind, False]
        return self.final[kind, True] / max(tried, 1)


@dataclass(eq=False)
class _Engine:
    """One start of an engine."""

    record: UpstreamRecord
    slots: asyncio.Semaphore
    crashed: asyncio.Event = field(default_factory=asyncio.Event)


class _Gateway:
    """The planner of one gateway, with the engines that it lists."""

    def __init__(self, site: "_Site", name: str):
        self.name = name
        self.upstreams = UpstreamList()
        self.planner = GenerationPlanner(
            site.clock, self.upstreams, UpstreamLoads(), random=site.random
        )
        self.planner.apply_table(RoutingTable(1, (ROUTE,), {}))
        others = site.load.gateways - 1
        self.planner.set_gateway_counts(others, 0)
        self.margins = LatencyMargins()
        self.deps = SimpleNamespace(
            origins=site.fleet.members[name],
            events=EventRing(name, HybridClock(site.clock), 10),
        )


@dataclass
class _Reply:
    """Notes why an attempt was refused; it also serves as the reply of a take-up."""

    refusal: str = ""
    retry_after: timedelta = timedelta()
    is_caller_gone: bool = False

    def refuse(self, reason: str, retry_after: timedelta) -> None:
        self.refusal, self.retry_after = reason, retry_after


@dataclass(frozen=True, slots=True)
class _Admission:
    """What a gateway decided on one attempt."""

    reply: _Reply
    placement: Placement | None = None
    rank: int = 0


@dataclass
class _Stream:
    """One stream, over the attempts of its caller."""

    id: str
    prompt: PromptTraits
    begun_at: float
    events: int = 0
    """Events that the caller has."""
    breaks_after: int = 0


class _Site:
    """Gateways, engines and callers."""

    def __init__(self, load: Load):
        self.load = load
        self.loop = asyncio.get_running_loop()
        self.random = Random(load.seed)
        self.fleet = simulated_origins.Fleet(load.gateways, [], load.seed)
        self.clock = self.fleet.clock
        self.played = Played()
        self.gateways = [_Gateway(self, name) for name in self.fleet.members]
        self.engines: dict[str, _Engine] = {}
        self.starts = 0
        for version in load.versions:
            self._start_engine(version)

    async def run(self) -> Played:
        """Play the load to its end."""
        background = [
            asyncio.create_task(self._exchange_digests()),
            asyncio.create_task(self._crash_engines()),
        ]
        capacity = len(self.load.versions) * SLOTS / (EVENTS * EVENT_SECONDS)
        callers = []
        while self.loop.time() < self.load.seconds:
            callers.append(asyncio.create_task(self._call(len(callers))))
            pause = self.random.expovariate(self.load.ratio * capacity)
            await asyncio.sleep(pause)
        await asyncio.gather(*callers)
        for task in background:
            task.cancel()
        await self.fleet.close()
        return self.played

    def _start_engine(self, version: str) -> None:
        self.starts += 1
        record = UpstreamRecord(
            f"e{self.starts}",
            "llm",
            f"10.0.0.{self.starts}:80",
            "a",
            SLOTS,
            False,
            software_version=version,
        )
        self.engines[record.id] = _Engine(record, asyncio.Semaphore(SLOTS))
        self.fleet.upstreams = [each.record for each in self.engines.values()]
        for gateway in self.gateways:
            gateway.upstreams.put(record)

    async def _crash_engines(self) -> None:
        while True:
            await asyncio.sleep(self.load.crash_interval)
            engine = self.engines.pop(self.random.choice(list(self.engines)))
            engine.crashed.set()
            self.fleet.upstreams = [each.record for each in self.engines.values()]
            self.loop.call_later(NOTICE_SECONDS, self._remove, engine.record)
            version = engine.record.software_version
            self.loop.call_later(RESTART_SECONDS, self._start_engine, version)

    def _remove(self, record: UpstreamRecord) -> None:
        for gateway in self.gateways:
            gateway.upstreams.remove(record.id, self.clock.monotonic())
            gateway.planner.forget(record.id)

    async def _exchange_digests(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(DIGEST_SECONDS)
            number += 1
            for gateway in self.gateways:
                digest = gateway.planner.build_digest(gateway.name, 1, number, 1)
                for other in self.gateways:
                    if other is not gateway:
                        other.planner.apply_digest(digest)

    async def _call(self, number: int) -> None:
        """Have a stream begun, and taken up until the caller has all of it."""
        own = PromptPart(f"own{number}", 141)
        prompt = PromptTraits("m", 220, 80, (PromptPart("shared", 79), own))
        stream = _Stream(f"s{number}", prompt, self.loop.time())
        if self.random.random() < BREAK_RATIO:
            stream.breaks_after = self.random.randrange(1, EVENTS)
        while stream.events < EVENTS:
            kind = "take_up" if stream.events else "new"
            is_admitted = await self._try(stream, kind)
            self.played.final[kind, is_admitted] += 1
            if not is_admitted:
                return
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _try(self, stream: _Stream, kind: str) -> bool:
        """Make attempts until one is admitted, and receive its events."""
        for number in range(TRIES):
            left = ROUTE.timeout - timedelta(seconds=self.loop.time() - stream.begun_at)
            if left <= timedelta():
                return False
            gateway = self.random.choice(self.gateways)
            admit = self._admit_take_up if kind == "take_up" else self._admit_new
            admission = await admit(gateway, stream, left)
            reply = admission.reply
            if not number:
                self.played.first[kind, reply.refusal or "admitted"] += 1
            if not reply.refusal:
                await self._receive(gateway, stream, admission)
                return True
            await asyncio.sleep(reply.retry_after.total_seconds())
        return False

    async def _admit_new(
        self, gateway: _Gateway, stream: _Stream, left: timedelta
    ) -> _Admission:
        """Admit a new stream in time or else as a late one, as `handovers` does."""
        engines = gateway.upstreams.list_usable("llm")
        if not is_retry(ROUTE, left):
            placement = gateway.planner.choose(stream.prompt, engines, ())
            margin = gateway.margins.find_margin(ROUTE, self.clock.monotonic())
            if placement and admits_generation(ROUTE, placement, left, margin):
                return _Admission(_Reply(), placement)
        rank = rank_generation(ROUTE, is_late=True)
        placement = gateway.planner.choose(stream.prompt, engines, (), 0, rank)
        reply = self._judge(placement, left, admits_late)
        return _Admission(reply, placement, rank)

    async def _admit_take_up(
        self, gateway: _Gateway, stream: _Stream, left: timedelta
    ) -> _Admission:
        """Find where a stream began, and admit it there, as `handovers` does."""
        reply = _Reply()
        request = SimpleNamespace(
            id=stream.id,
            facts=SimpleNamespace(resumes=stream.id),
            last_event=str(stream.events),
            organisation=None,
            route=ROUTE,
            service="llm",
            origin=None,
            stream_keys=(),
        )
        if not await take_up_stream(gateway.deps, request, reply):
            return _Admission(reply)
        usable = gateway.upstreams.list_usable("llm")
        engines = filter_continuing(usable, request.origin)
        placement = gateway.planner.choose(stream.prompt, engines, ())
        return _Admission(self._judge(placement, left, admits_take_up), placement)

    def _judge(
        self,
        placement: Placement | None,
        left: timedelta,
        admits: Callable[[Route, Placement, timedelta], bool],
    ) -> _Reply:
        if placement is None:
            return _Reply("no_upstream", VERSION_RETRY_AFTER)
        if admits(ROUTE, placement, left):
            return _Reply()
        return _Reply("crowded", draw_retry_delay(placement, left, self.random))

    async def _receive(
        self, gateway: _Gateway, stream: _Stream, admission: _Admission
    ) -> None:
        """Receive events until the stream has ended, or its connection breaks."""
        placement = admission.placement
        ticket = gateway.planner.begin(stream.prompt, placement, 0, admission.rank)
        engine = self.engines.get(placement.decoder.id)
        try:
            # One that crashed a moment ago serves nothing; the caller comes back.
            if engine is not None:
                await self._run_until_crash(gateway, stream, engine, ticket)
        finally:
            gateway.planner.end(ticket)

    async def _run_until_crash(self, gateway, stream, engine, ticket) -> None:
        running = asyncio.create_task(self._run(gateway, stream, engine, ticket))
        crashed = asyncio.create_task(engine.crashed.wait())
        await asyncio.wait({running, crashed}, return_when=asyncio.FIRST_COMPLETED)
        for task in (running, crashed):
            task.cancel()
        await asyncio.gather(running, crashed, return_exceptions=True)

    async def _run(self, gateway, stream, engine, ticket) -> None:
        started = self.loop.time()
        async with engine.slots:
            await asyncio.sleep(EVENT_SECONDS / 10)
            gateway.planner.end_prefill(ticket)
            waited = timedelta(seconds=self.loop.time() - started)
            gateway.planner.learn_first(ticket, waited)
            record = engine.record
            if not stream.events:
                origin = StreamOrigin("llm", record.software_version)
                key = compute_stream_key(stream.id, None)
                gateway.deps.origins.begin([key], origin, ROUTE.timeout)
            while stream.events < EVENTS:
                stream.events += 1
                if stream.events == stream.breaks_after:
                    return
                await asyncio.sleep(EVENT_SECONDS)
            pause = timedelta(seconds=EVENT_SECONDS)
            gateway.planner.learn_pause(record, pause)


async def play_load(load: Load) -> Played:
    """Play a load to its end."""
    return await _Site(load).run()


def main() -> None:
    """Print the shares of attempts and streams that go on, by load and crashes."""
    for interval in (1.0, 0.3):
        for ratio in (0.8, 1.0, 1.5, 2.5):
            with asyncio.Runner(loop_factory=VirtualLoop) as runner:
                load = Load(ratio, crash_interval=interval, seconds=12.0)
                played = runner.run(play_load(load))
            shares = [
                f"{kind} {played.share_first(kind):.2f}, {played.share_final(kind):.2f}"
                for kind in ("new", "take_up")
            ]
            taken_up = played.final["take_up", True] + played.final["take_up", False]
            print(interval, ratio, *shares, taken_up)


if __name__ == "__main__":
    main()
