"""Baselines: common policies for choosing an upstream and for assigning roles."""

from collections import deque
from collections.abc import Sequence
from datetime import timedelta
from itertools import count

from xxhash import xxh64_intdigest

from mustardquay.errors import Reason, Refusal
from mustardquay.roles import DemandMeter, RoleChange, RoleSettings, predict_goodput
from mustardquay.works import Role, UpstreamView, Work

__all__ = [
    "FifoQueue",
    "GreedyPlanner",
    "make_least_loaded",
    "make_prefix_affinity",
    "make_round_robin",
]

NONE_READY = Refusal(Reason.NO_UPSTREAM, "Ask again later.", timedelta(seconds=1))


class FifoQueue:
    """A first-in-first-out queue that drops work after its deadline."""

    def __init__(self, capacity: int = 1000):
        self._capacity = capacity
        self._concurrency = 48
        self._waiting: deque[Work] = deque()
        self._running: set[tuple[str, int]] = set()
        self._earliest = timedelta.max

    @property
    def waiting(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._waiting)

    @property
    def waiting_tokens(self) -> int:
        """Return the number of prompt tokens of waiting attempts."""
        return sum(work.prompt_tokens for work in self._waiting)

    def set_engine(self, concurrency: int, *rates: float) -> None:
        """Set the number of requests that the engine runs concurrently."""
        self._concurrency = concurrency

    def offer(self, work: Work, now: timedelta) -> Refusal | None:
        """Queue the work unless the queue is full."""
        if len(self._waiting) >= self._capacity:
            return NONE_READY
        self._waiting.append(work)
        self._earliest = min(self._earliest, work.start_by)
        return None

    def take(self, now: timedelta) -> Work | None:
        """Return the oldest work if the engine has a free slot."""
        if not self._waiting or len(self._running) >= self._concurrency:
            return None
        if self._waiting[0].start_by < now:
            return None
        work = self._waiting.popleft()
        self._running.add(work.key)
        return work

    def expire(self, now: timedelta) -> list[Work]:
        """Remove and return the work whose deadline has passed."""
        if self._earliest >= now:
            return []
        late = [work for work in self._waiting if work.start_by < now]
        self._waiting = deque(w for w in self._waiting if w.start_by >= now)
        starts = (work.start_by for work in self._waiting)
        self._earliest = min(starts, default=timedelta.max)
        return late

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Remove waiting work."""
        for work in self._waiting:
            if work.key == key:
                self._waiting.remove(work)
                return True
        return False

    def note_first_token(self, key: tuple[str, int], now: timedelta) -> None:
        """Do nothing: this queue only limits concurrency."""

    def finish(self, key: tuple[str, int], output_tokens: int, now: timedelta) -> None:
        """Free the slot."""
        self._running.discard(key)


def make_round_robin():
    """Return a round-robin choice."""
    calls = count()

    def choose(work, views, now, random, avoid=(), zone="", index=None):
        usable = _list_usable(work, views, avoid)
        return usable[next(calls) % len(usable)] if usable else NONE_READY

    return choose


def make_least_loaded(by_role: bool = False):
    """Return a least-loaded choice, with `by_role` among engines of a matching role."""

    def choose(work, views, now, random, avoid=(), zone="", index=None):
        usable = _list_usable(work, views, avoid)
        if by_role:
            role = Role.PREFILL if work.output_tokens <= 8 else Role.DECODE
            fitting = [v for v in usable if v.role in (role, Role.MIXED)]
            usable = fitting or usable
        random.shuffle(usable)
        return min(usable, key=_count_load) if usable else NONE_READY

    return choose


def make_prefix_affinity():
    """Return a choice by rendezvous hashing of the prompt's prefix, without load."""

    def choose(work, views, now, random, avoid=(), zone="", index=None):
        usable = _list_usable(work, views, avoid)
        if not usable:
            return NONE_READY
        if not work.prefix:
            return random.choice(usable)
        seed = work.prefix[-1] & 0xFFFF_FFFF
        return max(
            usable, key=lambda view: xxh64_intdigest(view.name.encode(), seed=seed)
        )

    return choose


def _count_load(view: UpstreamView) -> float:
    return view.queued_tokens + view.own_tokens + 100 * view.own_running


def _list_usable(
    work: Work, views: Sequence[UpstreamView], avoid: Sequence[str]
) -> list[UpstreamView]:
    return [
        view
        for view in views
        if view.reachable and view.ready and not view.draining
        if view.name not in avoid and work.model in view.models
    ]


class GreedyPlanner:
    """Takes the best split for the demand of the last 3 s, without change costs."""

    def __init__(self, settings: RoleSettings):
        self._settings = settings
        self._meter = DemandMeter(timedelta(seconds=3))

    def note(self, work: Work, uncached_tokens: int, now: timedelta) -> None:
        """Count a request at its arrival."""
        self._meter.note(work, uncached_tokens, now)

    def plan(self, views: Sequence[UpstreamView], now: timedelta) -> RoleChange | None:
        """Return the role change of one engine that increases goodput most, if any."""
        demand = self._meter.read(now)
        serving = [view for view in views if view.ready]
        split = {role: sum(v.role is role for v in serving) for role in Role}
        best = None
        best_goodput = predict_goodput(demand, split, self._settings.rates)
        for view in serving:
            for role in (Role.PREFILL, Role.MIXED, Role.DECODE):
                after = {**split, view.role: split[view.role] - 1}
                after[role] += 1
                if after[Role.MIXED] + after[Role.DECODE] == 0:
                    continue
                goodput = predict_goodput(demand, after, self._settings.rates)
                if goodput > best_goodput + 1e-9:
                    best, best_goodput = RoleChange(view.name, role, goodput), goodput
        return best
