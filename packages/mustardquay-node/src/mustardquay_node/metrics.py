"""Metrics: counters, gauges and histograms of one process's `/metrics` endpoint.

Names follow the OpenTelemetry semantic conventions for generative AI where these
apply; the others start with `mustardquay`. The customer is not an attribute: there are
too many customers for one time series each, and the timeline of events can be filtered
by customer. Several nodes in one Python process each have their own registry.
"""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from mustardquay import Outcome, Reason

from .histograms import Histogram
from .metric_pages import MetricPage

__all__ = ["GAUGES", "NodeMetrics"]

GAUGES = {
    "mustardquay.queue.requests": ("{request}", "Attempts that wait."),
    "mustardquay.queue.tokens": ("{token}", "Prompt tokens that wait."),
    "mustardquay.running": ("{request}", "Requests or attempts that run."),
    "mustardquay.configuration.version": (
        "{version}",
        "Version of the configuration log that is in force here.",
    ),
    "mustardquay.ready": ("1", "1 while the process takes new work, else 0."),
    "mustardquay.links": ("{link}", "Links to other processes that are up."),
}
"""Gauges that a process may export: unit and description by name."""

_DURATIONS = tuple(0.01 * 2**power for power in range(14))
_FIRST_TOKENS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 10, 30)
_GAPS = (0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1, 0.2, 0.5, 1, 2.5)
_TOKENS = tuple(4**power for power in range(11))


class NodeMetrics:
    """The metrics of one process; recording one takes about a microsecond."""

    def __init__(self, process: str, kind: str, availability_zone: str):
        self._outcomes: Counter[tuple[str, str]] = Counter()
        # All reasons are exported from the start: otherwise the first refusal would
        # not show in a rate.
        self._refusals = Counter({(reason.value,): 0 for reason in Reason})
        self._retries: Counter[tuple[str]] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._make_histograms()
        self._page = MetricPage(process, kind, availability_zone, self._histograms)

    def start(self) -> None:
        """Start exporting; gauges may be added before and after."""
        self._page.start()
        self._make_counters()
        for name in self._gauges:
            self._page.add_gauge(name, GAUGES[name], self._gauges)

    def close(self) -> None:
        """Stop exporting."""
        self._page.close()

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Export a gauge of `GAUGES`; `read` is called at each scrape."""
        if name not in GAUGES:
            raise ValueError(f"{name} is not a known gauge; add it to GAUGES first.")
        new = name not in self._gauges
        self._gauges[name] = read
        if new and self._page.is_started:
            self._page.add_gauge(name, GAUGES[name], self._gauges)

    def record_request(
        self, operation: str, model: str, outcome: Outcome, duration: timedelta
    ) -> None:
        """Record the outcome and duration of a request.

        `operation` is `chat`, `text_completion` or `service`. `model` must have been
        validated against the contract, so that callers can't create arbitrary series.
        """
        self._outcomes[operation, outcome.value] += 1
        error = "" if outcome is Outcome.ANSWERED else outcome.value
        self._duration.record(duration.total_seconds(), operation, model, error)

    def record_first_token(self, operation: str, model: str, delay: timedelta) -> None:
        """Record the time from a request's arrival to its first token."""
        self._first_token.record(delay.total_seconds(), operation, model)

    def record_tokens(
        self,
        operation: str,
        model: str,
        prompt_tokens: int,
        output_tokens: int,
        generation: timedelta | None = None,
    ) -> None:
        """Record the tokens of a request; called once, at its end.

        `generation` is the time from the first token to the last, for streams.
        """
        self._usage.record(prompt_tokens, operation, model, "input")
        self._usage.record(output_tokens, operation, model, "output")
        if generation is not None and output_tokens > 1:
            gap = generation.total_seconds() / (output_tokens - 1)
            self._gap.record(gap, operation, model)

    def count_refusal(self, reason: Reason) -> None:
        """Count a refusal by this process."""
        self._refusals[(reason.value,)] += 1

    def count_retry(self, cause: str) -> None:
        """Count a retry after a failed attempt; `cause` is a short identifier."""
        self._retries[(cause,)] += 1

    def render(self) -> bytes:
        """Return the metrics in the Prometheus format."""
        return self._page.render()

    def _make_histograms(self) -> None:
        names = ("gen_ai.operation.name", "gen_ai.request.model")
        self._duration = Histogram(
            "gen_ai.server.request.duration",
            "s",
            "Time from a request's arrival to the end of its answer.",
            (*names, "error.type"),
            _DURATIONS,
        )
        self._first_token = Histogram(
            "gen_ai.server.time_to_first_token",
            "s",
            "Time from a request's arrival to its first token.",
            names,
            _FIRST_TOKENS,
        )
        self._gap = Histogram(
            "gen_ai.server.time_per_output_token",
            "s",
            "Mean time of one stream between tokens after the first.",
            names,
            _GAPS,
        )
        self._usage = Histogram(
            "gen_ai.client.token.usage",
            "{token}",
            "Tokens of one request, in and out.",
            (*names, "gen_ai.token.type"),
            _TOKENS,
        )
        self._histograms = (self._duration, self._first_token, self._gap, self._usage)

    def _make_counters(self) -> None:
        self._page.add_counter(
            "mustardquay.requests",
            "Requests that have ended, by outcome.",
            self._outcomes,
            "gen_ai.operation.name",
            "mustardquay.outcome",
        )
        self._page.add_counter(
            "mustardquay.refusals",
            "Work refused, by reason.",
            self._refusals,
            "mustardquay.reason",
        )
        self._page.add_counter(
            "mustardquay.retries",
            "Attempts after one that failed, by cause.",
            self._retries,
            "mustardquay.cause",
        )
