"""Latency margins: how much of a target is left for waiting, learned from answers.

Answers the load of a burst in which several processes send to the same engines: what
each knows of their queues is older than the queues themselves, so that prompts wait
for longer than was expected. How far answers were off says how much of the target must
be kept free, so that what is admitted is answered in time.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .routing_tables import Route

__all__ = ["LatencyMargins"]

IN_TIME_SHARE = 0.75
"""Part of the answers that are to be in time. More would leave engines idle whenever
one prompt in ten is delayed by something else."""
STEP_SHARE = 0.1
"""Part of the target by which the estimate moves at most with one answer."""
START_SHARE = 0.15
"""Part of the target that is kept free before the first answers."""
MOST_SHARE = 0.95
"""Most of the target that is kept free."""
MEMORY = timedelta(seconds=1)
"""Half-life of what is kept free beyond the start: after a burst in which nobody could
be in time, callers are tried again."""


@dataclass(slots=True)
class _Rest:
    seconds: float
    at: timedelta


@dataclass(slots=True)
class LatencyMargins:
    """By route: time that answers took beside what was expected of them.

    A quantile, followed by steps as each answer comes (stochastic approximation;
    Robbins and Monro, 1951): up by a large step after one that took longer, down by a
    small one after each other, so that a burst shows within a few answers.
    """

    _rests: dict[str, _Rest] = field(default_factory=dict)

    def find_margin(self, route: Route, now: timedelta) -> timedelta:
        """Return the time to keep free beside what is expected."""
        return timedelta(seconds=self._get(route, now))

    def note(
        self, route: Route, expected: timedelta, took: timedelta, now: timedelta
    ) -> None:
        """Take in an answer; `expected` is what it was to take."""
        target = route.latency_target.total_seconds()
        rest = self._get(route, now)
        step = STEP_SHARE * target
        if (took - expected).total_seconds() > rest:
            rest += step * IN_TIME_SHARE
        else:
            rest -= step * (1 - IN_TIME_SHARE)
        rest = min(max(rest, 0.0), MOST_SHARE * target)
        self._rests[route.name] = _Rest(rest, now)

    def _get(self, route: Route, now: timedelta) -> float:
        start = START_SHARE * route.latency_target.total_seconds()
        known = self._rests.get(route.name)
        if known is None:
            return start
        if known.seconds <= start:
            return known.seconds
        kept = 0.5 ** ((now - known.at) / MEMORY)
        return start + kept * (known.seconds - start)
