"""Simulation of a plain service that gets more than it can serve, without a network.

Callers of organisations of very different size come to gateways at random. Gateways
know the queues and the uses of each other from late digests. Upstreams have slots and
serve in the order of arrival.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random

from share_loads import SLOTS, WORK, Caller, Load, Outcome

from mustardquay.fair_shares import (
    FairAdmission,
    Judgement,
    PlainQueues,
    PlainVerdict,
    judge_plain,
    limit_in_flight,
)

__all__ = ["Policy", "simulate", "use_factor"]

NETWORK_DELAY = 0.002
"""Seconds between a gateway and an upstream, in one direction."""
REPORT_LIFETIME = 0.3
"""Seconds for which gateways use the load that an answer reports."""
NAMED = 20
"""Organisations that a digest names."""
MAX_RECIPIENTS = 32
USE_INTERVAL = 0.2
MIN_RETRY_AFTER = 0.05
"""Shortest delay that a gateway tells a caller, in seconds."""
FOLLOWED_PART = 1 / 3
"""Part of its time left up to which a caller follows a delay."""
ZIPF_EXPONENT = 1.2


Policy = Callable[[Judgement, Random], float]
"""Returns the factor of the wait bound; 0 refuses."""


def use_factor(judgement: Judgement, random: Random) -> float:
    """Return the factor as it is: the policy of the gateways."""
    return judgement.factor


@dataclass(slots=True)
class _Gateway:
    number: int
    upstreams: int
    incarnation: int = 1
    admission: FairAdmission = field(default_factory=FairAdmission)
    queues: PlainQueues = field(default_factory=PlainQueues)
    in_flight: list[int] = field(default_factory=list)
    peer_sums: list[int] = field(default_factory=list)
    peers: dict[int, tuple[float, list[int]]] = field(default_factory=dict)
    reports: dict[int, tuple[float, int]] = field(default_factory=dict)
    uses_sent_at: float = -1.0
    digests: int = 0
    ratio: float = 0.0

    def __post_init__(self) -> None:
        self.in_flight = [0] * self.upstreams
        self.peer_sums = [0] * self.upstreams

    def apply_counts(self, peer: int, counts: list[int], now: float) -> None:
        """Apply the requests in flight of another gateway; drop old ones."""
        old = self.peers.pop(peer, (0.0, [0] * self.upstreams))[1]
        self.peers[peer] = (now, counts)
        self.peer_sums = [
            total - before + after
            for total, before, after in zip(self.peer_sums, old, counts, strict=True)
        ]
        oldest, (at, _) = next(iter(self.peers.items()))
        if now - at > 0.8:
            gone = self.peers.pop(oldest)[1]
            self.peer_sums = [
                total - count for total, count in zip(self.peer_sums, gone, strict=True)
            ]

    def count_known(self, upstream: int, now: float) -> int:
        """Return the queue by own requests and by the last answer."""
        at, reported = self.reports.get(upstream, (-1.0, 0))
        fresh = reported if now - at < REPORT_LIFETIME else 0
        return max(self.in_flight[upstream], fresh)

    def count_queue(self, upstream: int, now: float) -> int:
        """Return the queue of all gateways."""
        others = self.peer_sums[upstream]
        all_known = self.in_flight[upstream] + round(others * (1 + self.ratio))
        return max(all_known, self.count_known(upstream, now))


@dataclass(slots=True)
class _Upstream:
    running: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


def _seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


class _Simulation:
    def __init__(self, load: Load, policy: Policy | None):
        self._load = load
        self._policy = policy
        self._random = Random(load.seed)
        """Draws the callers; the same for all policies."""
        self._choices = Random(load.seed + 1)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._gateways = [
            _Gateway(number, load.upstreams) for number in range(load.gateways)
        ]
        self._upstreams = [_Upstream() for _ in range(load.upstreams)]
        self._callers: list[Caller] = []
        self._unasked = 0

    def run(self) -> Outcome:
        load = self._load
        end = sum(load.seconds)
        self._draw_callers(end)
        recipients = min(load.gateways - 1, MAX_RECIPIENTS)
        for gateway in self._gateways:
            gateway.ratio = (load.gateways - 1 - recipients) / max(recipients, 1)
            gateway.admission.uses.unreported_ratio = gateway.ratio
            if self._policy is not None and gateway.number not in load.silent:
                self._send_digest(gateway.number, recipients, end)
        for at, number in load.restarts:
            self._at(at, lambda each=number: self._restart(each))
        while self._events:
            self._now, _, run = heappop(self._events)
            run()
        first, last = load.seconds[0], load.seconds[0] + load.seconds[1]
        middle = [each for each in self._callers if first <= each.at < last]
        return Outcome(middle, self._unasked)

    def _at(self, at: float, run: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), run))

    def _draw_callers(self, end: float) -> None:
        load, random = self._load, self._random
        weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, load.organisations + 1)]
        sums = list(accumulate(weights))
        names = [f"o{rank}" for rank in range(1, load.organisations + 1)]
        parts = [kind.part for kind in load.kinds]
        middle = (load.seconds[0], load.seconds[0] + load.seconds[1])
        at = 0.0
        while at < end:
            is_middle = middle[0] <= at < middle[1]
            ratio = load.ratio if is_middle else load.base
            at += random.expovariate(ratio * load.capacity)
            name = random.choices(names, cum_weights=sums)[0]
            if random.random() < load.anonymous_part:
                name = ""
            kind = random.choices(load.kinds, parts)[0]
            caller = Caller(at, name, kind, WORK * random.gammavariate(4, 0.25))
            self._callers.append(caller)
            self._at(at, lambda each=caller: self._request(each))

    def _restart(self, number: int) -> None:
        old = self._gateways[number]
        new = _Gateway(number, self._load.upstreams, old.incarnation + 1)
        new.ratio = new.admission.uses.unreported_ratio = old.ratio
        new.in_flight = old.in_flight
        self._gateways[number] = new

    def _request(self, caller: Caller) -> None:
        left = caller.at + caller.kind.timeout - self._now
        if left <= 0:
            return
        gateway = self._gateways[self._choices.randrange(len(self._gateways))]
        costs = [
            gateway.count_known(number, self._now) + 0.1 * self._choices.random()
            for number in range(len(self._upstreams))
        ]
        upstream = costs.index(min(costs))
        if self._policy is not None:
            chosen = self._admit(gateway, caller, upstream, left)
            if chosen is None:
                return
            upstream = chosen
        self._send(gateway, caller, upstream)

    def _admit(
        self, gateway: _Gateway, caller: Caller, upstream: int, left: float
    ) -> int | None:
        now, fair = _seconds(self._now), gateway.admission
        elapsed = self._now - caller.at
        is_return = elapsed > 0.05 * caller.kind.timeout
        rank, name = caller.kind.rank, caller.organisation
        judgement = fair.judge("s", name, rank, is_return, now)
        factor = self._policy(judgement, self._choices)
        # The one chosen as usual, or else the one with the shortest queue.
        shortest = min(
            range(len(self._upstreams)),
            key=lambda each: gateway.count_queue(each, self._now),
        )
        queue = sum(
            gateway.count_queue(each, self._now) for each in range(len(self._upstreams))
        )
        for number in (upstream, shortest):
            expected = gateway.queues.expect(
                "s", gateway.count_queue(number, self._now), SLOTS
            )
            target = _seconds(caller.kind.target)
            is_within = True
            if judgement.standing.is_contended:
                part = fair.uses.find_gateway_part("s", now)
                slots = SLOTS * len(self._upstreams)
                limit = limit_in_flight(expected, target, factor, slots, part)
                is_within = sum(gateway.in_flight) < limit or queue < slots
            verdict = PlainVerdict.NO_ROOM
            if factor > 0 or expected.wait <= 0:
                verdict = judge_plain(
                    expected,
                    target,
                    _seconds(elapsed),
                    _seconds(left),
                    factor,
                    is_within,
                )
            if verdict.is_admitted:
                break
        if not is_return:
            fair.note_demand("s", name, expected.work, now)
        if verdict.is_admitted:
            fair.note_admitted("s", name, rank, expected.work, now)
            return number
        self._refuse(gateway, caller, left, expected.wait)
        return None

    def _refuse(
        self, gateway: _Gateway, caller: Caller, left: float, wait: float
    ) -> None:
        caller.refusals += 1
        busy = [each.running < SLOTS for each in self._upstreams]
        if all(busy):
            self._unasked += 1
        delay = gateway.admission.take_position(
            "s",
            caller.kind.rank,
            _seconds(wait / 2),
            _seconds(left),
            _seconds(self._now),
        )
        seconds = max(delay.total_seconds(), MIN_RETRY_AFTER)
        if seconds <= left * FOLLOWED_PART + 1e-6:
            self._at(self._now + seconds, lambda: self._request(caller))

    def _send(self, gateway: _Gateway, caller: Caller, number: int) -> None:
        queue = gateway.count_queue(number, self._now)
        gateway.in_flight[number] += 1
        sent_at = self._now
        deadline = caller.at + caller.kind.timeout

        def answer() -> None:
            gateway.in_flight[number] -= 1
            upstream = self._upstreams[number]
            load = upstream.running + len(upstream.waiting)
            gateway.reports[number] = (self._now, load)
            took = self._now - sent_at
            gateway.queues.learn("s", took, max(queue, load), SLOTS)
            if self._now <= deadline:
                caller.answered_after = self._now - caller.at

        def finish() -> None:
            self._upstreams[number].running -= 1
            self._at(self._now + NETWORK_DELAY, answer)
            self._begin_next(number)

        def begin() -> None:
            self._upstreams[number].running += 1
            # A request whose caller has gone is not run.
            work = caller.work if self._now < deadline else 0.0
            self._at(self._now + work, finish)

        def arrive() -> None:
            self._upstreams[number].waiting.append(begin)
            self._begin_next(number)

        self._at(self._now + NETWORK_DELAY, arrive)

    def _begin_next(self, number: int) -> None:
        upstream = self._upstreams[number]
        while upstream.waiting and upstream.running < SLOTS:
            upstream.waiting.popleft()()

    def _send_digest(self, number: int, recipients: int, end: float) -> None:
        if self._now > end:
            return
        load, gateway = self._load, self._gateways[number]
        gateway.digests += 1
        order = (gateway.incarnation, gateway.digests)
        uses = None
        if self._now - gateway.uses_sent_at >= USE_INTERVAL:
            gateway.uses_sent_at = self._now
            meter = gateway.admission.uses.own
            uses = meter.list_uses(_seconds(self._now), NAMED)
        counts = list(gateway.in_flight)
        half = recipients // 2
        for offset in (*range(1, recipients - half + 1), *range(-half, 0)):
            other = (number + offset) % load.gateways
            if not self._is_lost(number, other):
                self._at(
                    self._now + load.digest_delay,
                    lambda each=other: self._apply(each, number, order, uses, counts),
                )
        interval = max(0.04, recipients * 0.0025)
        self._at(
            self._now + interval, lambda: self._send_digest(number, recipients, end)
        )

    def _is_lost(self, number: int, other: int) -> bool:
        load = self._load
        is_cut = load.cut[0] <= self._now < load.cut[1]
        if is_cut and number % 2 != other % 2:
            return True
        return self._choices.random() < load.digest_loss

    def _apply(self, other, number, order, uses, counts) -> None:
        gateway = self._gateways[other]
        gateway.apply_counts(number, counts, self._now)
        if uses is not None:
            now = _seconds(self._now)
            gateway.admission.uses.apply_report(f"g{number}", order, uses, now)


def simulate(load: Load, policy: Policy | None = use_factor) -> Outcome:
    """Run a load to its end; without a policy, all requests are admitted."""
    return _Simulation(load, policy).run()
