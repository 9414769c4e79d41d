"""Queues: the order in which an agent starts the work that waits for its engine.

Customers that use less than their share of the fleet go first, by priority and then
by deadline. The others take turns by start-time fair queueing (Goyal, Vin and Cheng,
SIGCOMM 1996), weighted by contract and charged in engine seconds; within a customer
the earliest deadline goes first. Use is forgotten within seconds, so that nobody is
over its share for long without being served more than it. What can't be answered in
time is refused at once, when it is offered or as soon as that is known, with the time
after which to come back.
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
MINIMUM_RETRY = timedelta(milliseconds=100)
LARGEST_CORRECTION = 8.0
RESERVED_PART = 8
"""One slot in so many is lent to nobody who holds its share of them."""


@dataclass(slots=True)
class _Lane:
    """The waiting work of one customer, and its place in the turns."""

    share: float
    tag: float
    entries: list[tuple[timedelta, int, Work]] = field(default_factory=list)
    """Sorted by deadline; the number keeps equal deadlines in order of arrival."""
    tokens: int = 0
    """Uncached prompt tokens that wait."""
    in_turns: bool = False
    over: bool = False
    """Whether the customer was over its share when its turn was set."""


@dataclass(slots=True)
class _Backlog:
    """What waits of all the customers over their share, or of all the others."""

    shares: float = 0.0
    tokens: int = 0
    count: int = 0


class FairQueue:
    """Work that waits at one agent, bounded in number.

    `prefill_rate` and `decode_rate` are the engine's, in tokens a second; the latter
    is that of one stream. `lookahead` is the prefill handed to the engine ahead of
    time: more of it can't be reordered any more, less of it leaves the engine idle.
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
        self._lanes: dict[str, _Lane] = {}
        self._turns: list[tuple[bool, int, float, int, str]] = []
        self._waiting: dict[tuple[str, int], tuple[timedelta, int, Work]] = {}
        self._given_up: list[Work] = []
        self._backlogs = (_Backlog(), _Backlog())
        self._virtual = 0.0
        self._sequence = 0

    @property
    def waiting_tokens(self) -> int:
        """Return the sum of the uncached prompt tokens that wait."""
        return sum(backlog.tokens for backlog in self._backlogs)

    @property
    def waiting_tokens_within(self) -> int:
        """Return the part of them that customers within their share wait for."""
        return self._backlogs[False].tokens

    @property
    def waiting(self) -> int:
        """Return how many attempts wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many attempts run."""
        return self._engine.running

    @property
    def usage(self) -> UsageMeter:
        """Return the meter whose digests go to the other nodes."""
        return self._usage

    def set_engine(
        self, concurrency: int, prefill_rate: float, decode_rate: float
    ) -> None:
        """Take over what the engine can do in its present role."""
        self._engine.set_rates(concurrency, prefill_rate, decode_rate)

    def offer(self, work: Work, now: timedelta) -> Refusal | None:
        """Queue the work, or say at once that it can't be done in time."""
        wait = self.predict_wait(work, now)
        if len(self._waiting) >= self._capacity:
            return _refuse(Reason.OVERLOAD, "The queue of this upstream is full", wait)
        late = now + wait + self._engine.first_token_time(work) - work.start_by
        if late > timedelta():
            return _refuse(Reason.DEADLINE, "The deadline can't be met here", late)
        self._enqueue(work, now)
        return None

    def take(self, now: timedelta) -> Work | None:
        """Return the next work to start, or None while the engine is full."""
        if self._is_busy(now):
            return None
        passed_over = []
        chosen = None
        while chosen is None and self._turns:
            turn = heappop(self._turns)
            lane = self._lanes[turn[-1]]
            self._drop_hopeless(lane, now)
            if not lane.entries:
                self._close_turn(lane)
            elif self._may_take(turn[-1], lane):
                chosen = self._start(turn[-1], lane, now)
            else:
                passed_over.append(turn)
        for turn in passed_over:
            heappush(self._turns, turn)
        return chosen

    def expire(self, now: timedelta) -> list[Work]:
        """Remove and return the waiting work that can't meet its deadline."""
        for lane in self._lanes.values():
            self._drop_hopeless(lane, now)
        late, self._given_up = self._given_up, []
        return late

    def refuse_late(self, work: Work, now: timedelta) -> Refusal:
        """Return the refusal of work that `expire` gave up.

        It names the time after which what is ahead of it now will be done.
        """
        wait = self.predict_wait(work, now)
        return _refuse(Reason.DEADLINE, "The deadline can't be met here", wait)

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Remove waiting work; False when it does not wait here."""
        entry = self._waiting.get(key)
        if entry is None:
            return self._withdraw_given_up(key)
        self._remove(self._lanes[entry[-1].customer], entry)
        return True

    def _withdraw_given_up(self, key: tuple[str, int]) -> bool:
        # Work that was found too late waits here to be told by `expire`. Were it
        # left, its agent would hear of it once more after it had let go of it.
        for work in self._given_up:
            if work.key == key:
                self._given_up.remove(work)
                return True
        return False

    def note_first_token(self, key: tuple[str, int], now: timedelta) -> None:
        """Note that the prefill of a running attempt is over."""
        self._engine.note_first_token(key, now)

    def finish(self, key: tuple[str, int], output_tokens: int, now: timedelta) -> None:
        """Note that a running attempt has ended and what it produced."""
        ended = self._engine.finish(key, output_tokens, now)
        if ended is not None:
            customer, difference = ended
            self._usage.charge(customer, difference, now)

    def predict_wait(self, work: Work, now: timedelta) -> timedelta:
        """Return how long the work would wait for its turn, if offered now.

        Its customer's own work goes first, stretched by the turns of the others; the
        whole queue is the most that can be ahead.
        """
        lane = self._lanes.get(work.customer)
        share = max(work.share, MINIMUM_SHARE)
        known = lane is not None and lane.in_turns
        over = self._over_share(work.customer, share, now) > 1.0
        # A customer within its share overtakes all that are over theirs.
        first = _Backlog() if not over else self._backlogs[False]
        level = self._backlogs[over]
        stretch = (level.shares + (0.0 if known else share)) / share
        tokens = min(lane.tokens * stretch if known else 0.0, level.tokens)
        count = min(len(lane.entries) * stretch if known else 0.0, level.count)
        prefill = self._engine.prefill_time(first.tokens + tokens)
        return max(
            self._engine.prefill_left(now) + prefill,
            self._engine.slot_time(first.count + count),
        )

    def _enqueue(self, work: Work, now: timedelta) -> None:
        lane = self._open_lane(work)
        if not lane.entries:
            self._open_turn(work, lane, now)
        self._sequence += 1
        entry = (work.start_by, self._sequence, work)
        insort(lane.entries, entry)
        self._waiting[work.key] = entry
        self._add(lane, work.uncached_tokens, 1)

    def _remove(self, lane: _Lane, entry: tuple[timedelta, int, Work]) -> None:
        work = entry[-1]
        del lane.entries[bisect_left(lane.entries, entry)]
        del self._waiting[work.key]
        self._add(lane, -work.uncached_tokens, -1)

    def _add(self, lane: _Lane, tokens: int, count: int) -> None:
        lane.tokens += tokens
        backlog = self._backlogs[lane.over]
        backlog.tokens += tokens
        backlog.count += count

    def _open_lane(self, work: Work) -> _Lane:
        if len(self._lanes) > 2 * self._capacity:
            self._forget_lanes()
        lane = self._lanes.get(work.customer)
        if lane is None:
            lane = _Lane(0.0, self._virtual)
            self._lanes[work.customer] = lane
        return lane

    def _forget_lanes(self) -> None:
        # An idle customer's tag matters only while it is ahead of the turns. Of many
        # that are, those furthest ahead are kept: they have used most.
        idle = [
            (lane.tag, customer)
            for customer, lane in self._lanes.items()
            if not lane.in_turns and lane.tag > self._virtual
        ]
        kept = {customer for _, customer in nlargest(self._capacity // 2, idle)}
        self._lanes = {
            customer: lane
            for customer, lane in self._lanes.items()
            if lane.in_turns or customer in kept
        }

    def _open_turn(self, work: Work, lane: _Lane, now: timedelta) -> None:
        if lane.in_turns:
            return
        lane.in_turns = True
        lane.share = max(work.share, MINIMUM_SHARE)
        self._backlogs[lane.over].shares += lane.share
        self._push_turn(work, lane, now)

    def _push_turn(self, work: Work, lane: _Lane, now: timedelta) -> None:
        lane.tag = max(lane.tag, self._virtual)
        self._sequence += 1
        self._set_over(lane, self._over_share(work.customer, lane.share, now) > 1.0)
        turn = (*self._place(work, lane), self._sequence, work.customer)
        heappush(self._turns, turn)

    def _place(self, work: Work, lane: _Lane) -> tuple[bool, int, float]:
        # Over their shares, customers are ordered by these alone. Within them shares
        # don't decide: there the priority does, and then the deadline.
        if lane.over:
            return True, 0, lane.tag
        return False, -work.priority, work.start_by.total_seconds()

    def _set_over(self, lane: _Lane, over: bool) -> None:
        if over == lane.over:
            return
        old, new = self._backlogs[lane.over], self._backlogs[over]
        old.shares = max(old.shares - lane.share, 0.0)
        new.shares += lane.share
        old.tokens -= lane.tokens
        new.tokens += lane.tokens
        old.count -= len(lane.entries)
        new.count += len(lane.entries)
        lane.over = over

    def _close_turn(self, lane: _Lane) -> None:
        lane.in_turns = False
        backlog = self._backlogs[lane.over]
        backlog.shares = max(backlog.shares - lane.share, 0.0)

    def _may_take(self, customer: str, lane: _Lane) -> bool:
        # The last slots stay free for customers that hold less than their share, so
        # that one that comes back gets its share without waiting for others' ends.
        slots = self._engine.concurrency
        held = self._engine.count_running(customer)
        within = held < max(lane.share * slots, 1.0)
        return within or slots - self._engine.running > slots // RESERVED_PART

    def _start(self, customer: str, lane: _Lane, now: timedelta) -> Work:
        entry = lane.entries[0]
        work = entry[-1]
        cost = self._engine.start(work, now)
        self._virtual = max(self._virtual, lane.tag)
        self._remove(lane, entry)
        lane.tag += cost * self._correct(customer, lane, now) / lane.share
        if lane.entries:
            self._push_turn(lane.entries[0][-1], lane, now)
        else:
            self._close_turn(lane)
        self._usage.charge(customer, cost, now)
        return work

    def _over_share(self, customer: str, share: float, now: timedelta) -> float:
        """Return the customer's use of the fleet over its share of it."""
        return self._usage.rate(customer, now) / (share * self._engines)

    def _correct(self, customer: str, lane: _Lane, now: timedelta) -> float:
        """Return how much dearer a customer is that is over its share elsewhere."""
        return min(
            max(self._over_share(customer, lane.share, now), 1.0), LARGEST_CORRECTION
        )

    def _drop_hopeless(self, lane: _Lane, now: timedelta) -> None:
        while lane.entries:
            entry = lane.entries[0]
            if now + self._engine.first_token_time(entry[-1]) <= entry[0]:
                return
            self._remove(lane, entry)
            self._given_up.append(entry[-1])

    def _is_busy(self, now: timedelta) -> bool:
        if self._engine.running >= self._engine.concurrency:
            return True
        return self._engine.prefill_left(now) > self._lookahead


def _refuse(reason: Reason, message: str, wait: timedelta) -> Refusal:
    retry_after = max(wait, MINIMUM_RETRY)
    return Refusal(reason, f"{message}; ask again after the time given.", retry_after)
