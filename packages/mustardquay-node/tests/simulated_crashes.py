"""Gateways and engines that crash on parts of prompts, in virtual time."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from random import Random

from mustardquay.events import EventRing, HybridClock
from mustardquay.requests import compute_part_key
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay_node.crash_suspects import PartExchange, PartReporter
from mustardquay_standins.virtual_loops import LoopClock

__all__ = ["BAD", "CONTACT", "Fleet"]

BAD = "bad"
CONTACT = 3.0
"""Seconds after the fifth crash from which sends with the part are counted."""
CRASHES = 5
LINK_SECONDS = 0.002
ONSET_SECONDS = 0.05
"""Time from the begin of an answer on the bad part to the crash."""
PROBE_SECONDS = 0.03
RESTART_SECONDS = 2.0
OUTLASTED_SECONDS = 0.5
"""Time of writing that speaks for the parts of an answer, as in `senders`."""


@dataclass(eq=False)
class Run:
    """An answer that an engine is writing."""

    gateway: str
    parts: list[str]
    begun_at: float


@dataclass(eq=False)
class Engine:
    """One start of an engine."""

    record: UpstreamRecord
    runs: dict[Run, None] = field(default_factory=dict)
    is_up: bool = True


@dataclass
class Link:
    """The link of one gateway to the others."""

    fleet: "Fleet"
    name: str

    @property
    def names(self):
        return self.fleet.names

    @property
    def neighbours(self):
        first = self.names.index(self.name)
        ring = self.names[first + 1 :] + self.names[:first]
        return ring if len(ring) <= 32 else ring[:16] + ring[-16:]

    def send_to(self, data, names):
        self.fleet.send(self.name, data, names)

    def add_channel(self, prefix, receive):
        """Datagrams are delivered directly."""


class Fleet:
    """Gateways that share engines, over links that lose datagrams."""

    def __init__(self, gateways, engines, seed=1, loss=0.0):
        self.loop = asyncio.get_running_loop()
        self.clock = LoopClock(self.loop)
        self.random = Random(seed)
        self.loss = loss
        self.cut = set()
        """Names of gateways that reach no others, nor are reached."""
        self.sends = []
        """When requests with the bad part were sent, in seconds."""
        self.crashed_at = []
        """When engines crashed on the bad part."""
        self.unseen_crash = 0
        """Number of the crash on the bad part that nobody sees but gateways that end
        with the engine; 0 for none."""
        self.served = Counter()
        """Sound requests by whether they were answered."""
        self.bytes = Counter()
        """Bytes that each gateway sent."""
        self.largest = 0
        """Bytes of the largest datagram."""
        self.elapsed = 0.0
        """Seconds that were played."""
        self.tasks = set()
        self._numbers = count(1)
        self.engines = []
        for _ in range(engines):
            self._start_engine()
        self.reporters = {}
        self.exchanges = {}
        self.names = [f"front-{number:04}" for number in range(gateways)]
        for name in self.names:
            self._make_gateway(name)

    def start_gateway(self, name):
        """Start a gateway that knows nothing, and list it."""
        if name not in self.names:
            self.names.append(name)
        self._make_gateway(name)
        for each in self.exchanges.values():
            each.note_registered([name])

    def _make_gateway(self, name):
        events = EventRing(name, HybridClock(self.clock), 10)
        reporter = PartReporter(
            self.clock, events, lambda: self.exchanges[name].notify()
        )
        self.reporters[name] = reporter
        link = Link(self, name)
        self.exchanges[name] = PartExchange(name, reporter, link, self.random)
        self.exchanges[name].start()

    async def close(self):
        for each in self.exchanges.values():
            await each.close()

    async def call_regularly(self, draw_parts, rate, seconds, duration):
        """Make calls at random gateways; `duration` draws how long answers take."""
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            name = self.random.choice(self.names)
            call = self._call(name, draw_parts(self.random), duration(self.random))
            self.tasks.add(asyncio.create_task(call))
            await asyncio.sleep(1 / rate)

    async def _call(self, name, parts, seconds):
        """Send a request to an engine, unless its gateway refuses it."""
        keys = [compute_part_key(part) for part in parts]
        await self.reporters[name].wait_for_verdict(keys)
        if self.reporters[name].find_refused(keys) is not None:
            self.served[BAD in parts, "refused"] += 1
            return
        engines = [engine for engine in self.engines if engine.is_up]
        if not engines:
            return
        engine = self.random.choice(engines)
        run = Run(name, parts, self.loop.time())
        engine.runs[run] = None
        if BAD in parts:
            self.sends.append(self.loop.time())
            self.loop.call_later(ONSET_SECONDS, self._crash_on_part, engine)
        else:
            self.loop.call_later(OUTLASTED_SECONDS, self._note_answered, engine, run)
            self.loop.call_later(seconds, self._finish, engine, run)

    def crash(self, engine):
        """End an engine; its gateways notice a moment later."""
        if not engine.is_up:
            return
        engine.is_up = False
        now = self.loop.time()
        for run in engine.runs:
            reporter = self.reporters[run.gateway]
            keys = [compute_part_key(part) for part in run.parts]
            if now - run.begun_at < OUTLASTED_SECONDS:
                reporter.note_broken_send(engine.record, keys)
            self.served[BAD in run.parts, "broken"] += 1
        for name in sorted({run.gateway for run in engine.runs}):
            self.loop.call_later(PROBE_SECONDS, self._note_lost, name, engine)
        self.loop.call_later(RESTART_SECONDS, self._restart, engine)

    def count_later_sends(self):
        """Return the sends with the part since all gateways must know it."""
        since = self.crashed_at[:CRASHES][-1] + CONTACT
        return sum(at > since for at in self.sends)

    def list_refusing(self, part):
        """Return the gateways that refuse a part."""
        key = compute_part_key(part)
        return [
            name
            for name, reporter in self.reporters.items()
            if reporter.find_refused([key]) is not None
        ]

    def _start_engine(self):
        id = f"e{next(self._numbers)}"
        record = UpstreamRecord(id, "llm", "10.0.0.1:80", "a", 64, False)
        self.engines.append(Engine(record))

    def _restart(self, engine):
        self.engines.remove(engine)
        self._start_engine()

    def _note_answered(self, engine, run):
        if engine.is_up and run in engine.runs:
            keys = [compute_part_key(part) for part in run.parts]
            self.reporters[run.gateway].note_answered(keys, engine.record)

    def _finish(self, engine, run):
        if engine.is_up:
            self._note_answered(engine, run)
            del engine.runs[run]
            self.served[False, "answered"] += 1

    def _crash_on_part(self, engine):
        if engine.is_up:
            self.crashed_at.append(self.loop.time())
            if len(self.crashed_at) == self.unseen_crash:
                self._lose_evidence(engine)
            self.crash(engine)

    def _lose_evidence(self, engine):
        """Start the gateways anew whose prompts with the part an engine runs."""
        for run in [run for run in engine.runs if BAD in run.parts]:
            del engine.runs[run]
            self.start_gateway(run.gateway)

    def _note_lost(self, name, engine):
        self.reporters[name].note_upstream_lost(engine.record.id)

    def send(self, sender, data, names):
        self.largest = max(self.largest, len(data))
        for name in names:
            self.bytes[sender] += len(data)
            is_lost = self.random.random() < self.loss or {sender, name} & self.cut
            if not is_lost and name in self.exchanges:
                self.loop.call_later(LINK_SECONDS, self.exchanges[name].receive, data)
