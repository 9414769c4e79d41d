"""Predictions: the lengths of prompts and answers, and the rates of engines.

All estimates are learned online in bounded memory. Before the first sample they return
a prior, and wrong samples can't move them beyond fixed limits.
"""

from bisect import bisect_left, insort
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median

from .works import Role, UpstreamView

__all__ = [
    "OutputLengths",
    "PromptLengths",
    "RateEstimator",
    "estimate_queued_tokens",
]

WINDOW = 64
MIN_SAMPLES = 5
MAX_OUTPUT_TOKENS = 100_000
BYTES_PER_TOKEN = 4.0
SLOW_RATIO = 0.6
HEALTHY_RATIO = 0.8
MIN_SLOW_REPORTS = 3


@dataclass(slots=True)
class _Window:
    """The last samples, in order of arrival and of size."""

    arrivals: deque[int] = field(default_factory=deque)
    ordered: list[int] = field(default_factory=list)

    def add(self, value: int) -> None:
        self.arrivals.append(value)
        insort(self.ordered, value)
        if len(self.arrivals) > WINDOW:
            oldest = self.arrivals.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]

    def quantile(self, part: float) -> int:
        return self.ordered[min(int(part * len(self.ordered)), len(self.ordered) - 1)]


class OutputLengths:
    """Quantiles of the number of output tokens, by customer and kind of work.

    A pair with too few samples falls back to its kind over all customers, then to
    `prior`. Beyond `capacity`, the least recently used pairs are dropped.
    """

    def __init__(self, prior: int = 128, capacity: int = 4096):
        self._prior = prior
        self._capacity = capacity
        self._windows: OrderedDict[tuple[str, str], _Window] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of windows kept."""
        return len(self._windows)

    def learn(self, customer: str, kind: str, output_tokens: int) -> None:
        """Record the length of a complete answer; impossible lengths are ignored."""
        if not 0 < output_tokens <= MAX_OUTPUT_TOKENS:
            return
        for key in ((customer, kind), ("", kind)):
            self._get_window(key).add(output_tokens)

    def predict(
        self, customer: str, kind: str, limit: int = 0, part: float = 0.5
    ) -> int:
        """Return a quantile of the length, at most the caller's `limit` if given."""
        for key in ((customer, kind), ("", kind)):
            window = self._windows.get(key)
            if window is not None and len(window.ordered) >= MIN_SAMPLES:
                return _limit(window.quantile(part), limit)
        return _limit(self._prior, limit)

    def _get_window(self, key: tuple[str, str]) -> _Window:
        window = self._windows.get(key)
        if window is None:
            window = self._windows[key] = _Window()
        self._windows.move_to_end(key)
        if len(self._windows) > self._capacity:
            self._windows.popitem(last=False)
        return window


def _limit(length: int, limit: int) -> int:
    return min(length, limit) if limit > 0 else length


class PromptLengths:
    """Bytes of prompt per token, as an exponential mean for each model."""

    def __init__(self, weight: float = 0.05, capacity: int = 256):
        self._weight = weight
        self._capacity = capacity
        self._ratios: OrderedDict[str, float] = OrderedDict()

    def learn(self, model: str, prompt_bytes: int, prompt_tokens: int) -> None:
        """Record a prompt's actual length; ratios outside 1 to 8 are clipped."""
        if prompt_bytes <= 0 or prompt_tokens <= 0:
            return
        ratio = min(max(prompt_bytes / prompt_tokens, 1.0), 8.0)
        known = self._ratios.get(model, BYTES_PER_TOKEN)
        self._ratios[model] = known + self._weight * (ratio - known)
        self._ratios.move_to_end(model)
        if len(self._ratios) > self._capacity:
            self._ratios.popitem(last=False)

    def predict(self, model: str, prompt_bytes: int) -> int:
        """Return the expected number of tokens of a prompt; at least 1."""
        ratio = self._ratios.get(model, BYTES_PER_TOKEN)
        return max(int(prompt_bytes / ratio), 1)


@dataclass(slots=True)
class _Rates:
    role: Role
    prefill: deque[float] = field(default_factory=lambda: deque(maxlen=5))
    decode: deque[float] = field(default_factory=lambda: deque(maxlen=5))
    slow_reports: int = 0
    slow: bool = False


class RateEstimator:
    """Rates of engines from their delayed reports, and which engines are slow.

    A rate is the median of the last five reports, so that a single wrong report has no
    effect. An engine is slow when three consecutive reports are below 0.6 of the median
    of its peers in the same role, and healthy again above 0.8.
    """

    def __init__(self, capacity: int = 64):
        self._capacity = capacity
        self._rates: OrderedDict[str, _Rates] = OrderedDict()

    def learn(
        self, upstream: str, role: Role, prefill_rate: float, decode_rate: float
    ) -> None:
        """Record a report; rates that are not positive and finite are ignored.

        A rate of 0 means that the engine had no work of this kind.
        """
        rates = self._rates.get(upstream)
        if rates is None or rates.role is not role:
            rates = self._rates[upstream] = _Rates(role)
        self._rates.move_to_end(upstream)
        if len(self._rates) > self._capacity:
            self._rates.popitem(last=False)
        if 1.0 <= prefill_rate < 1e7:
            rates.prefill.append(prefill_rate)
        if 0.1 <= decode_rate < 1e5:
            rates.decode.append(decode_rate)
        self._update_slow(rates)

    def prefill_rate(self, upstream: str, prior: float) -> float:
        """Return prompt tokens per second, or `prior` without a report."""
        rates = self._rates.get(upstream)
        return median(rates.prefill) if rates and rates.prefill else prior

    def decode_rate(self, upstream: str, prior: float) -> float:
        """Return output tokens per second of one stream, or `prior`."""
        rates = self._rates.get(upstream)
        return median(rates.decode) if rates and rates.decode else prior

    def slowness(self, upstream: str) -> float:
        """Return how many times slower than its peers a slow engine is, else 1."""
        rates = self._rates.get(upstream)
        if rates is None or not rates.slow:
            return 1.0
        return max(1.0 / max(self._ratio(rates), 0.01), 1.0)

    def forget(self, upstream: str) -> None:
        """Drop an engine that has been removed or restarted."""
        self._rates.pop(upstream, None)

    def _update_slow(self, rates: _Rates) -> None:
        ratio = self._ratio(rates)
        rates.slow_reports = rates.slow_reports + 1 if ratio < SLOW_RATIO else 0
        if rates.slow_reports >= MIN_SLOW_REPORTS:
            rates.slow = True
        elif ratio > HEALTHY_RATIO:
            rates.slow = False

    def _ratio(self, rates: _Rates) -> float:
        ratios = [1.0]
        for kind in ("prefill", "decode"):
            own = getattr(rates, kind)
            peers = [
                median(getattr(other, kind))
                for other in self._rates.values()
                if other is not rates and other.role is rates.role
                if getattr(other, kind)
            ]
            if own and peers:
                ratios.append(own[-1] / median(peers))
        return min(ratios)


def estimate_queued_tokens(
    view: UpstreamView, now: timedelta, within_share: bool = False
) -> float:
    """Return the prompt tokens still queued, given the progress since the last report.

    The older a report, the more of its queue has been processed. Work of customers
    within their share precedes all other work, so that only the queue of such customers
    is ahead of it.
    """
    queued = view.queued_tokens
    if within_share and view.queued_tokens_within is not None:
        queued = view.queued_tokens_within
    age = max((now - view.reported_at).total_seconds(), 0.0)
    done = age * view.prefill_rate / view.slowness
    return max(queued - done, 0.0) + view.own_tokens
