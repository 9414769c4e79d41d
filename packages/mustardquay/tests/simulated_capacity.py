"""A simulated plain service of uneven upstreams, called through many gateways."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count
from math import pi, sin
from random import Random

from mustardquay.peer_digests import PeerDigest
from mustardquay.upstream_capacity import LoadReport, estimate_wait
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads, choose_plain

__all__ = ["PlainService", "ServiceLoad", "choose_by_truth"]

SLOW_SPELL = (0.4, 0.8)
"""Seconds of a spell in which work takes longer."""
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
SWING = 0.55
WAVE_SECONDS = 15.0
ZONES = 3
LINK_DELAY = 0.001
WARM_UP = 3.0
"""Seconds until calls count."""
RECIPIENTS = 32


@dataclass(frozen=True)
class ServiceLoad:
    """The load of deployment A: a wave in each zone, and exponential work."""

    gateways: int = 28
    seed: int = 1
    speeds: tuple[float, ...] = (0.55, 1.2, 1.2)
    slots: int = 6
    work: float = 0.06
    per_second: float = 88.0
    target: float = 0.315
    seconds: float = 40.0
    uses_reports: bool = True
    loss: float = 0.0
    """Share of the digests that are lost."""
    jitter: float = 0.0
    """Longest delay of a digest in seconds, by which it may overtake others."""
    reports: Callable[["Upstream", float], LoadReport | None] | None = None
    """What an upstream reports; None for the truth."""


@dataclass(eq=False)
class Job:
    """A call at an upstream."""

    begun: float
    gateway: int
    left: float
    """Seconds of work left at usual speed."""
    expected_wait: float = 0.0


@dataclass(eq=False)
class Upstream:
    """One instance, which shares its machine."""

    record: UpstreamRecord
    speed: float
    running: list[Job] = field(default_factory=list)
    waiting: list[Job] = field(default_factory=list)
    factor: float = 1.0
    at: float = 0.0
    turn: int = 0
    """Increases whenever the next end of a call changes."""
    calls: int = 0

    def advance(self, now):
        done = (now - self.at) * self.speed / self.factor
        self.at = now
        for job in self.running:
            job.left -= done

    def find_end(self):
        job = min(self.running, key=lambda each: each.left)
        return job, self.at + max(job.left, 0.0) * self.factor / self.speed

    @property
    def queue(self):
        return len(self.running) + len(self.waiting)

    def report(self):
        slots = self.record.slots
        return LoadReport(len(self.running), len(self.waiting), slots, self.factor)


@dataclass(eq=False)
class Gateway:
    """The decisions of one gateway."""

    name: str
    zone: str
    loads: UpstreamLoads
    random: Random
    next_digest: float = 0.0
    is_due: bool = False
    orders: dict[str, int] = field(default_factory=dict)


class PlainService:
    """The service and its gateways; `choose` may replace the choice of an upstream."""

    def __init__(self, load: ServiceLoad, choose=None):
        self.load = load
        self.random = Random(load.seed)
        self.choose = choose or choose_as_gateways
        self.upstreams = [
            Upstream(
                UpstreamRecord(
                    f"u{n}", "app", f"10.0.0.{n}:80", f"z{n % ZONES}", load.slots, False
                ),
                speed,
            )
            for n, speed in enumerate(load.speeds)
        ]
        self.by_id = {each.record.id: each for each in self.upstreams}
        self.gateways = [
            Gateway(
                f"g{n}",
                f"z{n % ZONES}",
                UpstreamLoads(uses_reports=load.uses_reports),
                Random(load.seed * 1_000 + n),
            )
            for n in range(load.gateways)
        ]
        self.times: list[float] = []
        self.notices = 0
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = count()

    @property
    def on_time(self):
        """Return the share of calls within the target."""
        return sum(each <= self.load.target for each in self.times) / len(self.times)

    @property
    def mean(self):
        return sum(self.times) / len(self.times)

    def at(self, when, act):
        heapq.heappush(self.events, (when, next(self._numbers), act))

    def run(self):
        """Play the load until all calls are answered."""
        for upstream in self.upstreams:
            self._draw_spells(upstream)
        self._draw_calls()
        while self.events:
            now, _, act = heapq.heappop(self.events)
            act(now)
        return self

    def _draw_spells(self, upstream):
        now = self.random.random() * 2
        quick = sum(SLOW_SPELL) / 2 * (1 - SLOW_SHARE) / SLOW_SHARE
        while now < self.load.seconds + 2:
            end = now + self.random.uniform(*SLOW_SPELL)
            self.at(now, lambda at: self._set_factor(upstream, SLOW_FACTOR, at))
            self.at(end, lambda at: self._set_factor(upstream, 1.0, at))
            now = end + self.random.expovariate(1 / quick)

    def _draw_calls(self):
        now, highest = 0.0, 1 + SWING
        while now < self.load.seconds:
            now += self.random.expovariate(self.load.per_second * highest)
            number = self.random.randrange(self.load.gateways)
            phase = now / WAVE_SECONDS + number % ZONES / ZONES
            work = self.random.expovariate(1 / self.load.work)
            if self.random.random() * highest < 1 + SWING * sin(2 * pi * phase):
                self.at(now, lambda at, n=number, w=work: self._call(n, w, at))

    def _set_factor(self, upstream, factor, now):
        upstream.advance(now)
        upstream.factor = factor
        self._schedule(upstream)

    def _call(self, number, work, now):
        gateway = self.gateways[number]
        record = self.choose(self, gateway, timedelta(seconds=now))
        upstream = self.by_id[record.id]
        upstream.calls += 1
        queue = gateway.loads.count_queue(record.id, timedelta(seconds=now))
        wait = estimate_wait(queue, record.slots)
        gateway.loads.begin(record.id)
        upstream.advance(now)
        job = Job(now, number, work, wait)
        is_free = len(upstream.running) < self.load.slots
        (upstream.running if is_free else upstream.waiting).append(job)
        self._schedule(upstream)

    def _schedule(self, upstream):
        upstream.turn += 1
        if upstream.running:
            turn = upstream.turn
            _, end = upstream.find_end()
            self.at(end, lambda at: self._end(upstream, turn, at))

    def _end(self, upstream, turn, now):
        if turn != upstream.turn:
            return
        upstream.advance(now)
        job, _ = upstream.find_end()
        upstream.running.remove(job)
        if upstream.waiting:
            upstream.running.append(upstream.waiting.pop(0))
        self._schedule(upstream)
        if job.begun >= WARM_UP:
            self.times.append(now - job.begun)
        tell = self.load.reports or (lambda each, at: each.report())
        report = tell(upstream, now)
        self.at(now + LINK_DELAY, lambda at: self._receive(upstream, job, report, at))

    def _receive(self, upstream, job, report, now):
        gateway, id = self.gateways[job.gateway], upstream.record.id
        loads, at = gateway.loads, timedelta(seconds=now)
        loads.end(id, False, at)
        if report is None:
            return
        if not self.load.uses_reports:
            loads.note_report(id, report.running, report.waiting, at)
            return
        loads.note_capacity(id, report, at)
        seconds = (now - job.begun) / (1 + job.expected_wait)
        loads.capacities.note_answer(id, seconds, at, "app")
        if not gateway.is_due and loads.capacities.has_notices():
            gateway.is_due = True
            due = max(now, gateway.next_digest)
            self.at(due, lambda at: self._send_digest(job.gateway, at))

    def _send_digest(self, number, now):
        gateway = self.gateways[number]
        gateway.is_due = False
        recipients = self._list_recipients(number)
        gateway.next_digest = now + max(0.04, 0.0025 * len(recipients))
        notices = gateway.loads.capacities.list_notices(timedelta(seconds=now))
        self.notices += len(notices)
        digest = PeerDigest(gateway.name, 1, round(now * 1e6), 1, capacities=notices)
        for other in recipients:
            if self.random.random() >= self.load.loss:
                delay = LINK_DELAY + self.load.jitter * self.random.random()
                self.at(
                    now + delay,
                    lambda at, o=other: self._apply(self.gateways[o], digest, at),
                )

    def _list_recipients(self, number):
        total = self.load.gateways
        if total - 1 <= RECIPIENTS:
            return [other for other in range(total) if other != number]
        half = RECIPIENTS // 2
        steps = [*range(1, half + 1), *range(-half, 0)]
        return [(number + step) % total for step in steps]

    def _apply(self, gateway, digest, now):
        at = timedelta(seconds=now)
        gateway.loads.apply_notices(digest.capacities, at, lambda id: "app")


def choose_as_gateways(service, gateway, now):
    """Choose as the gateways do."""
    records = [each.record for each in service.upstreams]
    return choose_plain(records, gateway.loads, now, gateway.zone, gateway.random)


def choose_by_truth(service, gateway, now):
    """Choose by the true queues and speeds, which no gateway knows."""
    mean = sum(1 / each.speed for each in service.upstreams) / len(service.upstreams)

    def measure(upstream):
        wait = max(upstream.queue + 1 - upstream.record.slots, 0)
        factor = upstream.factor / upstream.speed / mean
        far = upstream.record.availability_zone != gateway.zone
        return factor * (1 + wait / upstream.record.slots) + 0.02 * far

    return min(service.upstreams, key=measure).record
