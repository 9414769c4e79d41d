"""Latency margins: the learned difference between expected and measured latency.

In a burst, several processes send to the same engines, and the queue lengths available
to each of them are outdated, so that prompts wait longer than expected. The observed
errors determine how much of the latency target must be reserved so that admitted
requests are answered in time.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .routing_tables import Route

__all__ = ["LatencyMargins"]

TARGET_QUANTILE = 0.75
"""Fraction of the answers that should be in time. A higher one would leave engines idle
whenever one prompt in ten is delayed by something else."""
STEP_SHARE = 0.1
"""Largest change of the margin per answer, as a fraction of the target."""
INITIAL_SHARE = 0.15
"""Initial margin, as a fraction of the target."""
MAX_SHARE = 0.95
"""Largest margin, as a fraction of the target."""
MARGIN_HALF_LIFE = timedelta(seconds=1)
"""Half-life of the margin above its initial value: after a burst in which no answer
could be in time, requests are admitted again."""


@dataclass(slots=True)
class _Margin:
    seconds: float
    at: timedelta


@dataclass(slots=True)
class LatencyMargins:
    """Margin between expected and measured latency, by route.

    A quantile, tracked by stochastic approximation (Robbins and Monro, 1951): a large
    step up after an answer that exceeded the margin, a small step down after any other,
    so that the margin follows a burst within a few answers.
    """

    _margins: dict[str, _Margin] = field(default_factory=dict)

    def find_margin(self, route: Route, now: timedelta) -> timedelta:
        """Return the time to reserve in addition to the expected latency."""
        return timedelta(seconds=self._get(route, now))

    def note(
        self, route: Route, expected: timedelta, took: timedelta, now: timedelta
    ) -> None:
        """Record an answer that was expected to take `expected`."""
        target = route.latency_target.total_seconds()
        margin = self._get(route, now)
        step = STEP_SHARE * target
        if (took - expected).total_seconds() > margin:
            margin += step * TARGET_QUANTILE
        else:
            margin -= step * (1 - TARGET_QUANTILE)
        margin = min(max(margin, 0.0), MAX_SHARE * target)
        self._margins[route.name] = _Margin(margin, now)

    def _get(self, route: Route, now: timedelta) -> float:
        initial = INITIAL_SHARE * route.latency_target.total_seconds()
        known = self._margins.get(route.name)
        if known is None:
            return initial
        if known.seconds <= initial:
            return known.seconds
        kept = 0.5 ** ((now - known.at) / MARGIN_HALF_LIFE)
        return initial + kept * (known.seconds - initial)
