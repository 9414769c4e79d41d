"""Plain queues: how long a request waits at a plain upstream, and whether it may.

Handles services without a generation's limits: their upstreams queue all that they get,
in the order of arrival, until every answer is late.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from statistics import median

__all__ = [
    "MIN_SAMPLES",
    "PlainExpectation",
    "PlainQueues",
    "PlainVerdict",
    "judge_plain",
    "limit_in_flight",
]

WORK_WEIGHT = 0.05
"""Weight of one answer in the learned duration of the work."""
MIN_SAMPLES = 5
"""Answers of a service until its work is known, as their median: one answer may last
much longer than usual, and no request is refused for it."""
MAX_SAMPLE = 8.0
"""Bound of one answer's work, as a multiple of the known work. Exponential durations
exceed it once in three thousand answers."""
CALLER_SHARE = 0.05
"""Fraction of the target for the network between the caller and this process."""
WORK_SPREAD = 1.0
"""Multiple of the mean work that is reserved beside it: durations vary, and an answer
that takes twice the mean should still be in time."""
MIN_WORK = 1e-3
"""Seconds; shorter work is not measured."""


class PlainVerdict(StrEnum):
    """Whether a plain request is admitted."""

    IN_TIME = "in_time"
    LATE = "late"
    """Admitted, but expected after its target."""
    NO_ROOM = "crowded"
    """Refused: more may wait only for requests that go before it."""
    NO_TIME = "no_time"
    """Refused: it can't be answered before its deadline."""

    @property
    def is_admitted(self) -> bool:
        """Return whether the request is sent."""
        return self in (PlainVerdict.IN_TIME, PlainVerdict.LATE)


@dataclass(frozen=True, slots=True)
class PlainExpectation:
    """The expected course of a request at the upstream chosen for it, in seconds."""

    wait: float
    work: float


@dataclass(slots=True)
class PlainQueues:
    """The learned duration of the work of each plain service."""

    _work: dict[str, float] = field(default_factory=dict)
    _first: dict[str, list[float]] = field(default_factory=dict)
    """Work of the answers of services whose work is not known yet."""

    def expect(
        self, service: str, queue: int, slots: int, factor: float = 1.0
    ) -> PlainExpectation:
        """Return what to expect at an upstream with `queue` requests.

        `factor` is how many times as long as usual work takes there. Nothing is
        expected before the work of the service is known.
        """
        work = self._work.get(service, 0.0) * factor
        return PlainExpectation(_count_rounds(queue, slots) * work, work)

    def learn(
        self, service: str, took: float, queue: int, slots: int, factor: float = 1.0
    ) -> None:
        """Learn from an answer of an upstream that had `queue` requests meanwhile."""
        work = took / (1 + _count_rounds(queue, slots)) / max(factor, 0.1)
        known = self._work.get(service)
        if known is not None:
            work = min(work, MAX_SAMPLE * max(known, MIN_WORK))
            self._work[service] = known + WORK_WEIGHT * (work - known)
            return
        first = self._first.setdefault(service, [])
        first.append(work)
        if len(first) >= MIN_SAMPLES:
            self._work[service] = median(self._first.pop(service))


def _count_rounds(queue: int, slots: int) -> float:
    """Return after how many durations of the work a new request gets a slot.

    >>> _count_rounds(5, 6), _count_rounds(6, 6), _count_rounds(17, 6)
    (0.0, 0.16666666666666666, 2.0)
    """
    return max(queue + 1 - slots, 0) / max(slots, 1)


def bound_wait(expected: PlainExpectation, target: timedelta) -> float:
    """Return the seconds that a request may wait so that it is in time."""
    bound = (1 - CALLER_SHARE) * target.total_seconds()
    return max(bound - (1 + WORK_SPREAD) * expected.work, 0.0)


def limit_in_flight(
    expected: PlainExpectation,
    target: timedelta,
    factor: float,
    slots: int,
    gateway_part: float,
) -> float:
    """Return how many requests this gateway may have at all upstreams of a service.

    Guards against gateways that all admit what there is room for before they hear of
    each other: each one fills its part of the queue only. `slots` are those of the
    whole service.
    """
    rounds = factor * bound_wait(expected, target) / max(expected.work, MIN_WORK)
    return max(gateway_part * slots * (1 + rounds), 1.0)


def judge_plain(
    expected: PlainExpectation,
    target: timedelta,
    elapsed: timedelta,
    time_left: timedelta,
    factor: float,
    is_within_part: bool = True,
) -> PlainVerdict:
    """Return whether a request is admitted that may use `factor` of the wait bound.

    `elapsed` is the time since the caller's first attempt. The bound is the same for
    new requests and for late ones: these get capacity that is left over, and never
    lengthen the queue beyond what lets others be in time. `is_within_part` says whether
    this gateway has less in flight than its part of the queue, or the service has free
    slots.
    """
    total = expected.wait + expected.work
    if not is_within_part and total <= time_left.total_seconds():
        return PlainVerdict.NO_ROOM
    if expected.wait > 0:
        if total > time_left.total_seconds():
            return PlainVerdict.NO_TIME
        bound = factor * bound_wait(expected, target)
        if expected.wait > bound:
            return PlainVerdict.NO_ROOM
    is_late = elapsed.total_seconds() + total > target.total_seconds()
    return PlainVerdict.LATE if is_late else PlainVerdict.IN_TIME
