"""Estimates: the progress of an engine, as estimated by its agent.

The engine is not queried: starts, first tokens and ends of requests are enough to
estimate when the next prefill finishes, when a slot becomes free, and how far such
estimates are off.
"""

from dataclasses import dataclass
from datetime import timedelta

from .works import Work

__all__ = ["EngineEstimate"]

DEFAULT_PREFILL_RATE = 8000.0
DEFAULT_DECODE_RATE = 40.0
MIN_RATE = 1.0
MAX_RATE = 1e7


@dataclass(slots=True)
class _Running:
    work: Work
    charge: float
    started_at: timedelta


@dataclass(frozen=True, slots=True)
class _Prefill:
    duration: timedelta
    expected_at: timedelta
    """When the first token is expected at the current rate."""


class _Margin:
    """Difference between measured and expected times of first tokens.

    The mean error plus twice its mean deviation, as for retransmission timers
    (Jacobson, SIGCOMM 1988). It covers effects that the rates don't include: the length
    of a decode step, streams running during the prefill, an engine that has become
    slow.
    """

    def __init__(self):
        self._mean = 0.0
        self._deviation = 0.0

    @property
    def value(self) -> timedelta:
        """Return the margin, 0 before the first token, at most a second."""
        margin = self._mean + 2.0 * self._deviation
        return timedelta(seconds=min(max(margin, 0.0), 1.0))

    def learn(self, error: float) -> None:
        """Add an error in seconds; positive when the token was late."""
        error = min(max(error, -1.0), 2.0)
        self._deviation += 0.1 * (abs(error - self._mean) - self._deviation)
        self._mean += 0.1 * (error - self._mean)


class EngineEstimate:
    """The requests on one engine, and when it will be ready for the next."""

    def __init__(self, concurrency: int, prefill_rate: float, decode_rate: float):
        self._prefill_rate = DEFAULT_PREFILL_RATE
        self._decode_rate = DEFAULT_DECODE_RATE
        self.set_rates(concurrency, prefill_rate, decode_rate)
        self._running: dict[tuple[str, int], _Running] = {}
        self._running_of: dict[str, int] = {}
        self._prefilling: dict[tuple[str, int], _Prefill] = {}
        self._prefilled_at = timedelta()
        self._margin = _Margin()
        self._residence = 0.0

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def concurrency(self) -> int:
        """Return how many requests the engine runs concurrently."""
        return self._concurrency

    def set_rates(
        self, concurrency: int, prefill_rate: float, decode_rate: float
    ) -> None:
        """Set the rates of the engine in its current role.

        Impossible rates are ignored: a single wrong report of 0 or infinity would cause
        all requests to be refused, or all to be accepted.
        """
        self._concurrency = max(concurrency, 1)
        if MIN_RATE <= prefill_rate < MAX_RATE:
            self._prefill_rate = prefill_rate
        if MIN_RATE <= decode_rate < MAX_RATE:
            self._decode_rate = decode_rate

    def count_running(self, customer: str) -> int:
        """Return the number of running requests of a customer."""
        return self._running_of.get(customer, 0)

    def start(self, work: Work, now: timedelta) -> float:
        """Record that a request was sent to the engine; return its expected cost."""
        cost = self.cost(work.uncached_tokens, work.output_tokens)
        own = self.prefill_time(work.uncached_tokens)
        self._prefilled_at = max(self._prefilled_at, now) + own
        self._prefilling[work.key] = _Prefill(own, self._prefilled_at)
        self._running[work.key] = _Running(work, cost, now)
        customer = work.customer
        self._running_of[customer] = self._running_of.get(customer, 0) + 1
        return cost

    def note_first_token(self, key: tuple[str, int], now: timedelta) -> None:
        """Record that the prefill of a running request has finished."""
        prefill = self._prefilling.pop(key, None)
        if prefill is not None:
            self._margin.learn((now - prefill.expected_at).total_seconds())
            left = (other.duration for other in self._prefilling.values())
            self._prefilled_at = now + sum(left, timedelta())

    def finish(
        self, key: tuple[str, int], output_tokens: int, now: timedelta
    ) -> tuple[str, float] | None:
        """Record the end; return the customer and the cost beyond the expected one."""
        if output_tokens:
            self.note_first_token(key, now)
        elif self._prefilling.pop(key, None) is not None:
            # It ended before its first token, so there is no error to learn from.
            left = (other.duration for other in self._prefilling.values())
            self._prefilled_at = now + sum(left, timedelta())
        running = self._running.pop(key, None)
        if running is None:
            return None
        customer = running.work.customer
        self._learn_residence(now - running.started_at)
        self._running_of[customer] -= 1
        if not self._running_of[customer]:
            del self._running_of[customer]
        used = self.cost(running.work.uncached_tokens, output_tokens)
        return customer, used - running.charge

    def cost(self, prefill_tokens: int, output_tokens: int) -> float:
        """Return the engine seconds of a request; streams share decode steps."""
        decode = output_tokens / (self._decode_rate * self._concurrency)
        return prefill_tokens / self._prefill_rate + decode

    def prefill_time(self, tokens: float) -> timedelta:
        """Return the time to prefill `tokens` prompt tokens."""
        return timedelta(seconds=tokens / self._prefill_rate)

    def first_token_time(self, work: Work) -> timedelta:
        """Return the time from a start to the first token, including the margin."""
        return self.prefill_time(work.uncached_tokens) + self._margin.value

    def prefill_left(self, now: timedelta) -> timedelta:
        """Return the time until all prefill sent to the engine is finished."""
        return max(self._prefilled_at - now, timedelta())

    def slot_time(self, ahead: float) -> timedelta:
        """Return the time until a slot is free behind `ahead` other requests.

        Based on the mean time for which requests have occupied slots.
        """
        missing = len(self._running) + ahead + 1 - self._concurrency
        seconds = max(missing, 0.0) * self._residence / self._concurrency
        return timedelta(seconds=seconds)

    def _learn_residence(self, residence: timedelta) -> None:
        seconds = min(max(residence.total_seconds(), 0.0), 60.0)
        self._residence += 0.05 * (seconds - self._residence)
