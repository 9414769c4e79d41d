"""Queues: the order in which an agent starts the work that waits for its engine.

Customers below their share of the fleet are served first, by priority and then by
deadline. The others are scheduled by start-time fair queueing (Goyal, Vin and Cheng,
SIGCOMM 1996), weighted by contract and charged in engine seconds; within a customer
the earliest deadline is first. Usage decays within seconds, so that a customer stays
over its share only while it is actually served more than that. Work that can't meet
its deadline is refused when it is offered or as soon as that is known, with the time
after which to retry.
"""

from bisect import bisect_left, insort
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush, nlargest

from .admissions import UsageMeter
from .errors import Reason, Refusal
from .estimates import EngineEstimate
from .works import Work

__all__ = ["FairQueue"]

MINIMUM_SHARE = 1e-4
MINIMUM_RETRY_AFTER = timedelta(milliseconds=100)
MAX_OVERUSE_FACTOR = 8.0
RESERVED_SLOT_DIVISOR = 8
"""One slot in this many is reserved for customers that hold less than their share."""


@dataclass(slots=True)
class _Flow:
    """The waiting work of one customer, a flow in the terms of fair queueing."""

    share: float
    tag: float
    entries: list[tuple[timedelta, int, Work]] = field(default_factory=list)
    """Sorted by deadline; the number keeps equal deadlines in order of arrival."""
    tokens: int = 0
    """Uncached prompt tokens of the waiting work."""
    is_scheduled: bool = False
    is_over_share: bool = False
    """Whether the customer was over its share when it was last scheduled."""


@dataclass(slots=True)
class _Backlog:
    """Totals of the waiting work, of customers over their share or of all others."""

    shares: float = 0.0
    tokens: int = 0
    count: int = 0


class FairQueue:
    """Bounded queue of the work that waits at one agent.

    `prefill_rate` and `decode_rate` are the engine's, in tokens per second; the latter
    is per stream. `lookahead` is how much prefill is submitted to the engine ahead of
    time: submitted work can no longer be reordered, but with too little of it the
    engine becomes idle.
    """

    def __init__(
        self,
        capacity: int = 1000,
        concurrency: int = 32,
        prefill_rate: float = 8000.0,
        decode_rate: float = 40.0,
        usage: UsageMeter | None = None,
        lookahead: timedelta = timedelta(milliseconds=100),
        engines: int = 1,
    ):
        self._capacity = capacity
        self._engine = EngineEstimate(concurrency, prefill_rate, decode_rate)
        self._usage = usage or UsageMeter()
        self._lookahead = lookahead
        self._engines = max(engines, 1)
        self._flows: dict[str, _Flow] = {}
        self._schedule: list[tuple[bool, int, float, int, str]] = []
        self._waiting: dict[tuple[str, int], tuple[timedelta, int, Work]] = {}
        self._late: list[Work] = []
        self._backlogs = (_Backlog(), _Backlog())
        self._virtual_time = 0.0
        self._sequence = 0

    @property
    def waiting_tokens(self) -> int:
        """Return the sum of the uncached prompt tokens of the waiting work."""
        return sum(backlog.tokens for backlog in self._backlogs)

    @property
    def waiting_tokens_within(self) -> int:
        """Return the part of `waiting_tokens` of customers within their share."""
        return self._backlogs[False].tokens

    @property
    def waiting(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of running attempts."""
        return self._engine.running

    @property
    def usage(self) -> UsageMeter:
        """Return the usage meter whose digests are sent to the other nodes."""
        return self._usage

    def set_engine(
        self, concurrency: int, prefill_rate: float, decode_rate: float
    ) -> None:
        """Set the concurrency and the rates of the engine in its current role."""
        self._engine.set_rates(concurrency, prefill_rate, decode_rate)

    def offer(self, work: Work, now: timedelta) -> Refusal | None:
        """Queue the work, or return a refusal if it can't meet its deadline."""
        wait = self.predict_wait(work, now)
        if len(self._waiting) >= self._capacity:
            return _make_refusal(
                Reason.OVERLOAD, "The queue of this upstream is full", wait
            )
        late = now + wait + self._engine.first_token_time(work) - work.start_by
        if late > timedelta():
            return _make_refusal(
                Reason.DEADLINE, "The deadline can't be met here", late
            )
        self._enqueue(work, now)
        return None

    def take(self, now: timedelta) -> Work | None:
        """Return the next work to start, or None while the engine is full."""
        if self._is_busy(now):
            return None
        skipped = []
        chosen = None
        while chosen is None and self._schedule:
            scheduled = heappop(self._schedule)
            flow = self._flows[scheduled[-1]]
            self._drop_late(flow, now)
            if not flow.entries:
                self._unschedule(flow)
            elif self._may_start(scheduled[-1], flow):
                chosen = self._start(scheduled[-1], flow, now)
            else:
                skipped.append(scheduled)
        for scheduled in skipped:
            heappush(self._schedule, scheduled)
        return chosen

    def expire(self, now: timedelta) -> list[Work]:
        """Remove and return the waiting work that can no longer meet its deadline."""
        for flow in self._flows.values():
            self._drop_late(flow, now)
        late, self._late = self._late, []
        return late

    def refuse_late(self, work: Work, now: timedelta) -> Refusal:
        """Return the refusal for work that `expire` returned.

        Its retry time is the predicted wait behind the work that is queued now.
        """
        wait = self.predict_wait(work, now)
        return _make_refusal(Reason.DEADLINE, "The deadline can't be met here", wait)

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Remove waiting work; return False if it isn't in this queue."""
        entry = self._waiting.get(key)
        if entry is None:
            return self._withdraw_late(key)
        self._remove(self._flows[entry[-1].customer], entry)
        return True

    def _withdraw_late(self, key: tuple[str, int]) -> bool:
        # Late work is held until `expire` returns it. Withdrawn work must be removed
        # as well, or `expire` would return work that the agent no longer tracks.
        for work in self._late:
            if work.key == key:
                self._late.remove(work)
                return True
        return False

    def note_first_token(self, key: tuple[str, int], now: timedelta) -> None:
        """Record that the prefill of a running attempt is complete."""
        self._engine.note_first_token(key, now)

    def finish(self, key: tuple[str, int], output_tokens: int, now: timedelta) -> None:
        """Record the end of a running attempt and correct the usage charged for it."""
        ended = self._engine.finish(key, output_tokens, now)
        if ended is not None:
            customer, difference = ended
            self._usage.charge(customer, difference, now)

    def predict_wait(self, work: Work, now: timedelta) -> timedelta:
        """Return how long the work would wait before it starts, if offered now.

        The customer's own waiting work is ahead of it, scaled by the shares of the
        customers scheduled alongside; the whole queue is the upper bound.
        """
        flow = self._flows.get(work.customer)
        share = max(work.share, MINIMUM_SHARE)
        known = flow is not None and flow.is_scheduled
        is_over_share = self._find_usage_ratio(work.customer, share, now) > 1.0
        # A customer within its share is served before all that are over theirs.
        first = _Backlog() if not is_over_share else self._backlogs[False]
        level = self._backlogs[is_over_share]
        stretch = (level.shares + (0.0 if known else share)) / share
        tokens = min(flow.tokens * stretch if known else 0.0, level.tokens)
        count = min(len(flow.entries) * stretch if known else 0.0, level.count)
        prefill = self._engine.prefill_time(first.tokens + tokens)
        return max(
            self._engine.prefill_left(now) + prefill,
            self._engine.slot_time(first.count + count),
        )

    def _enqueue(self, work: Work, now: timedelta) -> None:
        flow = self._open_flow(work)
        if not flow.entries:
            self._schedule_flow(work, flow, now)
        self._sequence += 1
        entry = (work.start_by, self._sequence, work)
        insort(flow.entries, entry)
        self._waiting[work.key] = entry
        self._add(flow, work.uncached_tokens, 1)

    def _remove(self, flow: _Flow, entry: tuple[timedelta, int, Work]) -> None:
        work = entry[-1]
        del flow.entries[bisect_left(flow.entries, entry)]
        del self._waiting[work.key]
        self._add(flow, -work.uncached_tokens, -1)

    def _add(self, flow: _Flow, tokens: int, count: int) -> None:
        flow.tokens += tokens
        backlog = self._backlogs[flow.is_over_share]
        backlog.tokens += tokens
        backlog.count += count

    def _open_flow(self, work: Work) -> _Flow:
        if len(self._flows) > 2 * self._capacity:
            self._evict_idle_flows()
        flow = self._flows.get(work.customer)
        if flow is None:
            flow = _Flow(0.0, self._virtual_time)
            self._flows[work.customer] = flow
        return flow

    def _evict_idle_flows(self) -> None:
        # The tag of an idle customer matters only while it is ahead of the virtual
        # time. If too many are, those furthest ahead are kept: they have used the most.
        idle = [
            (flow.tag, customer)
            for customer, flow in self._flows.items()
            if not flow.is_scheduled and flow.tag > self._virtual_time
        ]
        kept = {customer for _, customer in nlargest(self._capacity // 2, idle)}
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.is_scheduled or customer in kept
        }

    def _schedule_flow(self, work: Work, flow: _Flow, now: timedelta) -> None:
        if flow.is_scheduled:
            return
        flow.is_scheduled = True
        flow.share = max(work.share, MINIMUM_SHARE)
        self._backlogs[flow.is_over_share].shares += flow.share
        self._push_schedule(work, flow, now)

    def _push_schedule(self, work: Work, flow: _Flow, now: timedelta) -> None:
        flow.tag = max(flow.tag, self._virtual_time)
        self._sequence += 1
        self._set_over_share(
            flow, self._find_usage_ratio(work.customer, flow.share, now) > 1.0
        )
        scheduled = (*self._make_sort_key(work, flow), self._sequence, work.customer)
        heappush(self._schedule, scheduled)

    def _make_sort_key(self, work: Work, flow: _Flow) -> tuple[bool, int, float]:
        # Customers over their share are ordered by their fair-queueing tag alone,
        # customers within it by priority and then by deadline.
        if flow.is_over_share:
            return True, 0, flow.tag
        return False, -work.priority, work.start_by.total_seconds()

    def _set_over_share(self, flow: _Flow, is_over_share: bool) -> None:
        if is_over_share == flow.is_over_share:
            return
        old, new = self._backlogs[flow.is_over_share], self._backlogs[is_over_share]
        old.shares = max(old.shares - flow.share, 0.0)
        new.shares += flow.share
        old.tokens -= flow.tokens
        new.tokens += flow.tokens
        old.count -= len(flow.entries)
        new.count += len(flow.entries)
        flow.is_over_share = is_over_share

    def _unschedule(self, flow: _Flow) -> None:
        flow.is_scheduled = False
        backlog = self._backlogs[flow.is_over_share]
        backlog.shares = max(backlog.shares - flow.share, 0.0)

    def _may_start(self, customer: str, flow: _Flow) -> bool:
        # The last slots are reserved for customers that hold less than their share, so
        # that a returning customer gets its share without waiting for running work of
        # others to end.
        slots = self._engine.concurrency
        held = self._engine.count_running(customer)
        within = held < max(flow.share * slots, 1.0)
        return within or slots - self._engine.running > slots // RESERVED_SLOT_DIVISOR

    def _start(self, customer: str, flow: _Flow, now: timedelta) -> Work:
        entry = flow.entries[0]
        work = entry[-1]
        cost = self._engine.start(work, now)
        self._virtual_time = max(self._virtual_time, flow.tag)
        self._remove(flow, entry)
        flow.tag += cost * self._find_overuse_factor(customer, flow, now) / flow.share
        if flow.entries:
            self._push_schedule(flow.entries[0][-1], flow, now)
        else:
            self._unschedule(flow)
        self._usage.charge(customer, cost, now)
        return work

    def _find_usage_ratio(self, customer: str, share: float, now: timedelta) -> float:
        """Return the customer's usage divided by its share of the fleet."""
        return self._usage.rate(customer, now) / (share * self._engines)

    def _find_overuse_factor(self, customer: str, flow: _Flow, now: timedelta) -> float:
        """Return the cost factor of a customer that is over its share fleet-wide."""
        return min(
            max(self._find_usage_ratio(customer, flow.share, now), 1.0),
            MAX_OVERUSE_FACTOR,
        )

    def _drop_late(self, flow: _Flow, now: timedelta) -> None:
        while flow.entries:
            entry = flow.entries[0]
            if now + self._engine.first_token_time(entry[-1]) <= entry[0]:
                return
            self._remove(flow, entry)
            self._late.append(entry[-1])

    def _is_busy(self, now: timedelta) -> bool:
        if self._engine.running >= self._engine.concurrency:
            return True
        return self._engine.prefill_left(now) > self._lookahead


def _make_refusal(reason: Reason, message: str, wait: timedelta) -> Refusal:
    retry_after = max(wait, MINIMUM_RETRY_AFTER)
    return Refusal(reason, f"{message}; ask again after the time given.", retry_after)
