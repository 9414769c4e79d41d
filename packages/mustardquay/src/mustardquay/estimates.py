"""Estimates: what an agent knows of its engine's progress, from what came of it.

Nothing here asks the engine: starts, first tokens and ends are enough to know when the
next prefill is over, when a slot comes free, and how far such guesses are off.
"""

from dataclasses import dataclass
from datetime import timedelta

from .works import Work

__all__ = ["EngineEstimate"]

DEFAULT_PREFILL_RATE = 8000.0
DEFAULT_DECODE_RATE = 40.0
LEAST_RATE = 1.0
MOST_RATE = 1e7


@dataclass(slots=True)
class _Running:
    work: Work
    charge: float
    started_at: timedelta


@dataclass(frozen=True, slots=True)
class _Prefill:
    duration: timedelta
    expected_at: timedelta
    """When the first token would come at the known rate."""


class _Margin:
    """How much later than expected first tokens come, learned from each.

    The mean error and twice its mean deviation, as for retransmission timers
    (Jacobson, SIGCOMM 1988). It holds what no rate says: the length of a step, streams
    beside the prefill, an engine that has grown slow.
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
        """Take in an error in seconds; positive when the token came late."""
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
        """Return how many requests run."""
        return len(self._running)

    @property
    def concurrency(self) -> int:
        """Return how many requests the engine runs at once."""
        return self._concurrency

    def set_rates(
        self, concurrency: int, prefill_rate: float, decode_rate: float
    ) -> None:
        """Take over what the engine can do in its present role.

        Rates that no engine has are ignored: one wrong report of 0 or infinity would
        have all work refused, or all accepted.
        """
        self._concurrency = max(concurrency, 1)
        if LEAST_RATE <= prefill_rate < MOST_RATE:
            self._prefill_rate = prefill_rate
        if LEAST_RATE <= decode_rate < MOST_RATE:
            self._decode_rate = decode_rate

    def count_running(self, customer: str) -> int:
        """Return how many requests of a customer run."""
        return self._running_of.get(customer, 0)

    def start(self, work: Work, now: timedelta) -> float:
        """Note that work was given to the engine; returns its expected cost."""
        cost = self.cost(work.uncached_tokens, work.output_tokens)
        own = self.prefill_time(work.uncached_tokens)
        self._prefilled_at = max(self._prefilled_at, now) + own
        self._prefilling[work.key] = _Prefill(own, self._prefilled_at)
        self._running[work.key] = _Running(work, cost, now)
        customer = work.customer
        self._running_of[customer] = self._running_of.get(customer, 0) + 1
        return cost

    def note_first_token(self, key: tuple[str, int], now: timedelta) -> None:
        """Note that the prefill of a running request is over."""
        prefill = self._prefilling.pop(key, None)
        if prefill is not None:
            self._margin.learn((now - prefill.expected_at).total_seconds())
            left = (other.duration for other in self._prefilling.values())
            self._prefilled_at = now + sum(left, timedelta())

    def finish(
        self, key: tuple[str, int], output_tokens: int, now: timedelta
    ) -> tuple[str, float] | None:
        """Note the end; returns the customer and the cost beyond the expected one."""
        if output_tokens:
            self.note_first_token(key, now)
        elif self._prefilling.pop(key, None) is not None:
            # Cut before its first token: it says nothing of how late those come.
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
        """Return the engine seconds of a request; streams share a step."""
        decode = output_tokens / (self._decode_rate * self._concurrency)
        return prefill_tokens / self._prefill_rate + decode

    def prefill_time(self, tokens: float) -> timedelta:
        """Return the time to compute so many prompt tokens."""
        return timedelta(seconds=tokens / self._prefill_rate)

    def first_token_time(self, work: Work) -> timedelta:
        """Return the time from a start to the first token, with the margin."""
        return self.prefill_time(work.uncached_tokens) + self._margin.value

    def prefill_left(self, now: timedelta) -> timedelta:
        """Return the time until all the prefill given to the engine is done."""
        return max(self._prefilled_at - now, timedelta())

    def slot_time(self, ahead: float) -> timedelta:
        """Return when a slot is free behind so many others, as slots have been."""
        missing = len(self._running) + ahead + 1 - self._concurrency
        seconds = max(missing, 0.0) * self._residence / self._concurrency
        return timedelta(seconds=seconds)

    def _learn_residence(self, residence: timedelta) -> None:
        seconds = min(max(residence.total_seconds(), 0.0), 60.0)
        self._residence += 0.05 * (seconds - self._residence)
