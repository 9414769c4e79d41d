"""Roles: which engine of a pool changes its role, and when.

A role change makes an engine unavailable for seconds. It is made only if the goodput
that another split of roles is expected to gain over a horizon exceeds the goodput lost
during the change plus the deployment's configured cost of a change. Demand is measured
with a fast and a slow moving average, and a change must be worthwhile under both:
noise moves only the fast one, while a lasting shift soon moves the slow one too.
"""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from .admissions import UsageMeter
from .works import Role, UpstreamView, Work

__all__ = [
    "Demand",
    "DemandMeter",
    "RoleChange",
    "RolePlanner",
    "RoleRates",
    "RoleSettings",
    "predict_goodput",
]

SHORT_ANSWER = 8
"""Maximum output tokens of a short answer."""
FULL = 0.85
"""Utilisation of an engine above which queueing makes answers late."""
HEADROOM_WEIGHT = 0.02
ENTITLED_WEIGHT = 3.0
OBSERVED_LEAST = timedelta(seconds=10)
GENERATION_ROLES = (Role.PREFILL, Role.MIXED, Role.DECODE)


@dataclass(frozen=True, slots=True)
class Demand:
    """Rates of work a second.

    Requests are short if their answers have at most `SHORT_ANSWER` tokens, else long.
    """

    short_requests: float = 0.0
    short_prompt_tokens: float = 0.0
    """Uncached prompt tokens of the short requests."""
    long_requests: float = 0.0
    long_prompt_tokens: float = 0.0
    """Uncached prompt tokens of the long requests."""
    output_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class RoleRates:
    """Rates of an engine in a role for each kind of work alone, in tokens a second."""

    prefill: float
    output: float
    """Total over all concurrent streams; 0 if it runs no streams in this role."""
    prefill_while_decoding: float = 0.0
    """Prompt tokens a second while a full set of streams is running, which then bears
    the fixed cost of each step; 0 if not known."""


@dataclass(frozen=True, slots=True)
class RoleSettings:
    """The deployment's settings for role changes."""

    rates: Mapping[Role, RoleRates]
    change_cost: float = 2.0
    """Net answers that a change must gain; higher values mean fewer changes."""
    horizon: timedelta = timedelta(seconds=45)
    change_time: timedelta = timedelta(seconds=8)
    """Time for which an engine is unavailable, including the drain of its streams."""
    dwell: timedelta = timedelta(seconds=20)
    """Minimum time between two changes of one engine."""
    hysteresis: float = 0.03
    """Minimum relative increase of goodput."""


@dataclass(frozen=True, slots=True)
class RoleChange:
    """A role change to order, with the number of answers it is expected to gain."""

    upstream: str
    role: Role
    gain: float


class DemandMeter:
    """Exponentially weighted moving averages of the demand."""

    def __init__(self, memory: timedelta):
        self._memory = memory.total_seconds()
        self._sums = [[0.0] * 5, [0.0] * 5]
        self._at = timedelta()
        self._since: timedelta | None = None

    @property
    def observed(self) -> timedelta:
        """Return the time over which demand has been counted."""
        return self._at - self._since if self._since is not None else timedelta()

    def note(
        self, work: Work, uncached_tokens: int, now: timedelta, entitled: float = 1.0
    ) -> None:
        """Count a request on arrival; `entitled` is the fraction within the share."""
        self._decay(now)
        if work.output_tokens <= SHORT_ANSWER:
            added = (1, uncached_tokens, 0, 0, 0)
        else:
            added = (0, 0, 1, uncached_tokens, work.output_tokens)
        for sums, part in zip(self._sums, (entitled, 1.0 - entitled), strict=True):
            for position, value in enumerate(added):
                sums[position] += part * value

    def read(self, now: timedelta) -> tuple[Demand, Demand]:
        """Return the demand a second within the contracts' shares, and the rest.

        During the first seconds this is the mean over the time since the start.
        """
        self._decay(now)
        elapsed = (now - (self._since or now)).total_seconds()
        span = self._memory * (1.0 - math.exp(-max(elapsed, 1.0) / self._memory))
        entitled, rest = (Demand(*(v / span for v in sums)) for sums in self._sums)
        return entitled, rest

    def _decay(self, now: timedelta) -> None:
        if self._since is None:
            self._since = self._at = now
        elapsed = max((now - self._at).total_seconds(), 0.0)
        factor = math.exp(-elapsed / self._memory)
        self._sums = [[total * factor for total in sums] for sums in self._sums]
        self._at = max(now, self._at)


Split = Mapping[Role, int]
Rates = Mapping[Role, RoleRates]


def predict_goodput(
    demands: tuple[Demand, Demand], split: Split, rates: Rates
) -> float:
    """Return the weighted goodput of a split, in answers a second.

    Demand within the contracts' shares is served first and counts three times; the
    rest is served from the remaining capacity. Idle capacity has a small weight, so
    that of two splits that serve all demand the one with more headroom wins.
    """
    room = {role: FULL * split.get(role, 0) for role in GENERATION_ROLES}
    entitled, rest = demands
    worth = ENTITLED_WEIGHT * _fill(entitled, room, rates) + _fill(rest, room, rates)
    headroom = sum(room.values()) / max(sum(split.values()), 1)
    total = (
        entitled.short_requests
        + entitled.long_requests
        + rest.short_requests
        + rest.long_requests
    )
    return worth + HEADROOM_WEIGHT * total * headroom


def _fill(demand: Demand, room: dict[Role, float], rates: Rates) -> float:
    """Allocate `room` to the demand; return the answers a second.

    Long requests are allocated to decode engines, then to mixed ones. Short requests
    are allocated to prefill engines, then to the remaining capacity.
    """
    drafts_left = 1.0
    for role in (Role.DECODE, Role.MIXED):
        need = _draft_seconds(demand, rates[role])
        drafts_left -= _take_room(room, role, need, drafts_left)
    reads_left = 1.0
    for role in GENERATION_ROLES:
        need = demand.short_prompt_tokens / rates[role].prefill
        reads_left -= _take_room(room, role, need, reads_left)
    return demand.short_requests * (1 - reads_left) + demand.long_requests * (
        1 - drafts_left
    )


def _take_room(
    room: dict[Role, float], role: Role, need: float, wanted: float
) -> float:
    part = min(wanted, room[role] / need) if need > 0 else wanted
    room[role] -= part * need
    return part


def _draft_seconds(demand: Demand, rates: RoleRates) -> float:
    prefill = rates.prefill_while_decoding or rates.prefill
    return demand.long_prompt_tokens / prefill + demand.output_tokens / rates.output


class RolePlanner:
    """Proposes the role changes of one pool, one engine at a time."""

    def __init__(self, settings: RoleSettings):
        self._settings = settings
        self._fast = DemandMeter(timedelta(seconds=5))
        self._slow = DemandMeter(timedelta(seconds=15))
        self._changed_at: dict[str, timedelta] = {}
        self._offered = UsageMeter(memory=timedelta(seconds=10))
        self._engines = 1

    def note(self, work: Work, uncached_tokens: int, now: timedelta) -> None:
        """Count a request on arrival at any entry."""
        entitled = self._entitled_part(work, uncached_tokens, now)
        self._fast.note(work, uncached_tokens, now, entitled)
        self._slow.note(work, uncached_tokens, now, entitled)

    def plan(self, views: Sequence[UpstreamView], now: timedelta) -> RoleChange | None:
        """Return the change to order now, or None.

        No change is made while any engine of the pool is unavailable, for whatever
        reason: a small pool can't lose two engines at once.
        """
        engines = [view for view in views if view.role is not Role.SERVICE]
        self._engines = max(len(engines), 1)
        if not engines or not all(_is_serving(view) for view in engines):
            return None
        demands = (self._fast.read(now), self._slow.read(now))
        if self._slow.observed < OBSERVED_LEAST:
            return None
        split = _count_roles(engines)
        best = max(
            self._propose(engines, split, demands, now),
            key=lambda change: change.gain,
            default=None,
        )
        if best is None or best.gain <= self._settings.change_cost:
            return None
        self._note_change(best.upstream, engines, now)
        return best

    def _entitled_part(self, work: Work, uncached_tokens: int, now: timedelta) -> float:
        """Return the fraction of the customer's demand that its share covers."""
        rates = self._settings.rates[Role.MIXED]
        seconds = uncached_tokens / rates.prefill + work.output_tokens / rates.output
        self._offered.charge(work.customer, seconds, now)
        offered = self._offered.rate(work.customer, now)
        return min(work.share * self._engines / max(offered, 1e-9), 1.0)

    def _propose(
        self,
        engines: Sequence[UpstreamView],
        split: Split,
        demands: Iterable[tuple[Demand, Demand]],
        now: timedelta,
    ) -> Iterator[RoleChange]:
        demands = tuple(demands)
        for old in GENERATION_ROLES:
            view = self._choose_engine(engines, old, now)
            if view is None:
                continue
            during = {**split, old: split[old] - 1}
            for new in GENERATION_ROLES:
                after = {**during, new: during[new] + 1}
                if new is old or not _keeps_contracts(during):
                    continue
                gain = min(self._gain(d, split, during, after) for d in demands)
                yield RoleChange(view.name, new, gain)

    def _gain(
        self, demand: tuple[Demand, Demand], split: Split, during: Split, after: Split
    ) -> float:
        settings = self._settings
        now = predict_goodput(demand, split, settings.rates)
        then = predict_goodput(demand, after, settings.rates)
        if then < now * (1.0 + settings.hysteresis):
            return 0.0
        away = now - predict_goodput(demand, during, settings.rates)
        lost = away * settings.change_time.total_seconds()
        left = settings.horizon - settings.change_time
        return (then - now) * left.total_seconds() - lost

    def _choose_engine(
        self, engines: Sequence[UpstreamView], role: Role, now: timedelta
    ) -> UpstreamView | None:
        """Return the engine in this role with the least outstanding work."""
        free = [
            view
            for view in engines
            if view.role is role and not self._is_dwelling(view, now)
        ]
        return min(
            free, key=lambda v: (v.running, v.queued_tokens, v.name), default=None
        )

    def _is_dwelling(self, view: UpstreamView, now: timedelta) -> bool:
        changed_at = self._changed_at.get(view.name)
        return changed_at is not None and now - changed_at < self._settings.dwell

    def _note_change(
        self, upstream: str, engines: Sequence[UpstreamView], now: timedelta
    ) -> None:
        known = {view.name for view in engines}
        self._changed_at = {n: t for n, t in self._changed_at.items() if n in known}
        self._changed_at[upstream] = now


def _is_serving(view: UpstreamView) -> bool:
    return view.reachable and view.ready and not view.draining


def _count_roles(engines: Iterable[UpstreamView]) -> dict[Role, int]:
    split = dict.fromkeys(GENERATION_ROLES, 0)
    for view in engines:
        split[view.role] += 1
    return split


def _keeps_contracts(during: Split) -> bool:
    """Return whether every kind of work still has an engine during the change."""
    return during[Role.MIXED] + during[Role.DECODE] > 0
