"""Queues: the order in which an agent starts the work that waits for its engine.

Customers take turns by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM
1996), weighted by contract and charged in engine seconds; within a customer the
earliest deadline goes first. What can't be answered in time is refused at once, when
it is offered or as soon as that is known, with the time after which to come back.
"""

from bisect import bisect_left, insort
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush

from .admissions import UsageMeter
from .errors import Reason, Refusal
from .works import Work

__all__ = ["FairQueue"]

MINIMUM_SHARE = 1e-4
MINIMUM_RETRY = timedelta(milliseconds=100)
LARGEST_CORRECTION = 8.0


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


@dataclass(slots=True)
class _Running:
    work: Work
    charge: float


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
        self._concurrency = concurrency
        self._prefill_rate = prefill_rate
        self._decode_rate = decode_rate
        self._usage = usage or UsageMeter()
        self._lookahead = lookahead
        self._engines = max(engines, 1)
        self._lanes: dict[str, _Lane] = {}
        self._turns: list[tuple[float, int, int, str]] = []
        self._waiting: dict[tuple[str, int], tuple[timedelta, int, Work]] = {}
        self._running: dict[tuple[str, int], _Running] = {}
        self._running_of: dict[str, int] = {}
        self._prefilling: dict[tuple[str, int], timedelta] = {}
        self._prefilled_at = timedelta()
        self._given_up: list[Work] = []
        self._waiting_tokens = 0
        self._waiting_shares = 0.0
        self._virtual = 0.0
        self._sequence = 0

    @property
    def waiting_tokens(self) -> int:
        """Return the sum of the uncached prompt tokens that wait."""
        return self._waiting_tokens

    @property
    def waiting(self) -> int:
        """Return how many attempts wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many attempts run."""
        return len(self._running)

    @property
    def usage(self) -> UsageMeter:
        """Return the meter whose digests go to the other nodes."""
        return self._usage

    def set_engine(
        self, concurrency: int, prefill_rate: float, decode_rate: float
    ) -> None:
        """Take over what the engine can do in its present role."""
        self._concurrency = max(concurrency, 1)
        self._prefill_rate = max(prefill_rate, 1.0)
        self._decode_rate = max(decode_rate, 0.1)

    def offer(self, work: Work, now: timedelta) -> Refusal | None:
        """Queue the work, or say at once that it can't be done in time."""
        wait = self.predict_wait(work, now)
        if len(self._waiting) >= self._capacity:
            return _refuse(Reason.OVERLOAD, "The queue of this upstream is full", wait)
        late = now + wait + self._prefill_time(work.uncached_tokens) - work.start_by
        if late > timedelta():
            return _refuse(Reason.DEADLINE, "The deadline can't be met here", late)
        self._enqueue(work)
        return None

    def take(self, now: timedelta) -> Work | None:
        """Return the next work to start, or None while the engine is full."""
        if len(self._running) >= self._concurrency or self._is_prefilling(now):
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

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Remove waiting work; False when it does not wait here."""
        entry = self._waiting.get(key)
        if entry is None:
            return False
        self._remove(self._lanes[entry[-1].customer], entry)
        return True

    def note_first_token(self, key: tuple[str, int], now: timedelta) -> None:
        """Note that the prefill of a running attempt is over."""
        if self._prefilling.pop(key, None) is not None:
            self._prefilled_at = now + sum(self._prefilling.values(), timedelta())

    def finish(self, key: tuple[str, int], output_tokens: int, now: timedelta) -> None:
        """Note that a running attempt has ended and what it produced."""
        self.note_first_token(key, now)
        running = self._running.pop(key, None)
        if running is None:
            return
        work = running.work
        self._running_of[work.customer] -= 1
        if not self._running_of[work.customer]:
            del self._running_of[work.customer]
        used = self._cost(work.uncached_tokens, output_tokens)
        self._usage.charge(work.customer, used - running.charge, now)

    def predict_wait(self, work: Work, now: timedelta) -> timedelta:
        """Return how long the work would wait for its turn, if offered now.

        Its customer's own work goes first, stretched by the turns of the others; the
        whole queue is the most that can be ahead.
        """
        lane = self._lanes.get(work.customer)
        own = lane.tokens if lane else 0
        shares = self._waiting_shares
        if lane is None or not lane.entries:
            shares += max(work.share, MINIMUM_SHARE)
        fair = own * shares / max(work.share, MINIMUM_SHARE)
        ahead = min(fair, self._waiting_tokens)
        return self._prefill_left(now) + self._prefill_time(ahead)

    def _enqueue(self, work: Work) -> None:
        lane = self._open_lane(work)
        if not lane.entries:
            self._open_turn(work, lane)
        self._sequence += 1
        entry = (work.start_by, self._sequence, work)
        insort(lane.entries, entry)
        self._waiting[work.key] = entry
        lane.tokens += work.uncached_tokens
        self._waiting_tokens += work.uncached_tokens

    def _remove(self, lane: _Lane, entry: tuple[timedelta, int, Work]) -> None:
        work = entry[-1]
        del lane.entries[bisect_left(lane.entries, entry)]
        del self._waiting[work.key]
        lane.tokens -= work.uncached_tokens
        self._waiting_tokens -= work.uncached_tokens

    def _open_lane(self, work: Work) -> _Lane:
        if len(self._lanes) > 2 * self._capacity:
            self._forget_lanes()
        lane = self._lanes.get(work.customer)
        if lane is None:
            lane = _Lane(0.0, self._virtual)
            self._lanes[work.customer] = lane
        return lane

    def _forget_lanes(self) -> None:
        # An idle customer's tag matters only while it is ahead of the turns.
        self._lanes = {
            customer: lane
            for customer, lane in self._lanes.items()
            if lane.in_turns or lane.tag > self._virtual
        }

    def _open_turn(self, work: Work, lane: _Lane) -> None:
        if lane.in_turns:
            return
        lane.in_turns = True
        lane.share = max(work.share, MINIMUM_SHARE)
        self._waiting_shares += lane.share
        self._push_turn(work, lane)

    def _push_turn(self, work: Work, lane: _Lane) -> None:
        lane.tag = max(lane.tag, self._virtual)
        self._sequence += 1
        turn = (lane.tag, -work.priority, self._sequence, work.customer)
        heappush(self._turns, turn)

    def _close_turn(self, lane: _Lane) -> None:
        lane.in_turns = False
        self._waiting_shares = max(self._waiting_shares - lane.share, 0.0)

    def _may_take(self, customer: str, lane: _Lane) -> bool:
        # The last slots stay free for customers that hold less than their share, so
        # that one that comes back gets its share without waiting for others' ends.
        spare = self._concurrency - len(self._running)
        held = self._running_of.get(customer, 0)
        within = held < max(lane.share * self._concurrency, 1.0)
        return within or spare > self._concurrency // 8

    def _start(self, customer: str, lane: _Lane, now: timedelta) -> Work:
        entry = lane.entries[0]
        work = entry[-1]
        cost = self._cost(work.uncached_tokens, work.output_tokens)
        self._virtual = max(self._virtual, lane.tag)
        self._remove(lane, entry)
        lane.tag += cost * self._correct(customer, lane, now) / lane.share
        if lane.entries:
            self._push_turn(lane.entries[0][-1], lane)
        else:
            self._close_turn(lane)
        own = self._prefill_time(work.uncached_tokens)
        self._prefilled_at = max(self._prefilled_at, now) + own
        self._prefilling[work.key] = own
        self._running[work.key] = _Running(work, cost)
        self._running_of[customer] = self._running_of.get(customer, 0) + 1
        self._usage.charge(customer, cost, now)
        return work

    def _correct(self, customer: str, lane: _Lane, now: timedelta) -> float:
        """Return how much dearer a customer is that is over its share elsewhere."""
        over = self._usage.rate(customer, now) / (lane.share * self._engines)
        return min(max(over, 1.0), LARGEST_CORRECTION)

    def _drop_hopeless(self, lane: _Lane, now: timedelta) -> None:
        while lane.entries:
            entry = lane.entries[0]
            if now + self._prefill_time(entry[-1].uncached_tokens) <= entry[0]:
                return
            self._remove(lane, entry)
            self._given_up.append(entry[-1])

    def _cost(self, prefill_tokens: int, output_tokens: int) -> float:
        decode = output_tokens / (self._decode_rate * self._concurrency)
        return prefill_tokens / self._prefill_rate + decode

    def _prefill_time(self, tokens: float) -> timedelta:
        return timedelta(seconds=tokens / self._prefill_rate)

    def _prefill_left(self, now: timedelta) -> timedelta:
        return max(self._prefilled_at - now, timedelta())

    def _is_prefilling(self, now: timedelta) -> bool:
        return self._prefill_left(now) > self._lookahead


def _refuse(reason: Reason, message: str, wait: timedelta) -> Refusal:
    retry_after = max(wait, MINIMUM_RETRY)
    return Refusal(reason, f"{message}; ask again after the time given.", retry_after)
