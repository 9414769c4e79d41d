"""Metrics of a gateway, which it serves at `/metrics`."""

from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta

from .histograms import Histogram
from .metric_pages import MetricPage

__all__ = ["GAUGES", "GatewayMetrics"]

GAUGES = {
    "mustardquay.configuration.version": (
        "{version}",
        "Version of the operator's configuration that is active here.",
    ),
    "mustardquay.configuration.known": (
        "{version}",
        "Newest version known to this process, other gateways' included.",
    ),
    "mustardquay.configuration.behind": (
        "s",
        "Time for which a version newer than the active one has been known.",
    ),
    "mustardquay.ready": ("1", "1 while the process accepts new requests, else 0."),
    "mustardquay.running": ("{request}", "Requests whose answers are not complete."),
    "mustardquay.upstreams": ("{upstream}", "Listed upstreams."),
    "mustardquay.connections": ("{connection}", "Connections of callers."),
    "mustardquay.memory.held": (
        "By",
        "Bytes that are held for callers and upstreams that read slowly.",
    ),
    "mustardquay.memory.most": ("By", "Most bytes that were held since the start."),
    "mustardquay.store.age": ("s", "Time since the store last answered."),
    "mustardquay.store.era": (
        "{era}",
        "Newest era that the store has reported; it rises with each restore.",
    ),
    "mustardquay.usage.leads": (
        "1",
        "1 while the process is the one that reports usage, else 0.",
    ),
}
"""Gauges of a gateway: unit and description by name."""

_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5, 15)


class GatewayMetrics:
    """The metrics of one gateway.

    Routes are defined by the operator, so the cardinality of their label is low.
    """

    def __init__(self, process: str, availability_zone: str):
        self._answers: Counter[tuple[str, str]] = Counter()
        self._sends: Counter[tuple[str, str]] = Counter()
        self._unused_prefills: Counter[tuple[str]] = Counter()
        self._usage_reports: Counter[tuple[str]] = Counter()
        self._memory: Counter[tuple[str]] = Counter()
        self._first_byte = Histogram(
            "mustardquay.first_byte",
            "s",
            "Time from a request's arrival to the first byte of its answer.",
            ("mustardquay.route",),
            _SECONDS,
        )
        histograms = (self._first_byte,)
        self._page = MetricPage(process, "gateway", availability_zone, histograms)

    def start(self, gauges: Mapping[str, Callable[[], float]]) -> None:
        """Start the export; `gauges` has the function that reads each of `GAUGES`."""
        self._page.start()
        self._page.add_counter(
            "mustardquay.requests",
            "Requests that have ended, by outcome.",
            self._answers,
            "mustardquay.route",
            "mustardquay.outcome",
        )
        self._page.add_counter(
            "mustardquay.sends",
            "Sends to upstreams that have ended, by result.",
            self._sends,
            "mustardquay.route",
            "mustardquay.end",
        )
        self._page.add_counter(
            "mustardquay.readings.unused",
            "Prompts that were prefilled but never generated from, by reason.",
            self._unused_prefills,
            "mustardquay.reason",
        )
        self._page.add_counter(
            "mustardquay.usage.reports",
            "Attempts to send a report of usage, by outcome.",
            self._usage_reports,
            "mustardquay.outcome",
        )
        self._page.add_counter(
            "mustardquay.memory.measures",
            "Refused requests and closed connections near the limit of memory.",
            self._memory,
            "mustardquay.reason",
        )
        for name, definition in GAUGES.items():
            self._page.add_gauge(name, definition, gauges)

    def close(self) -> None:
        """Stop the export."""
        self._page.close()

    def count_answer(self, route: str, outcome: str) -> None:
        """Count the end of a request."""
        self._answers[route, outcome] += 1

    def count_send(self, route: str, end: str) -> None:
        """Count the end of a send to an upstream."""
        self._sends[route, end] += 1

    def count_unused_prefill(self, reason: str) -> None:
        """Count a prompt that was prefilled but never generated from."""
        self._unused_prefills[(reason,)] += 1

    def count_usage_report(self, outcome: str) -> None:
        """Count an attempt to send a report of usage."""
        self._usage_reports[(outcome,)] += 1

    def count_memory_measure(self, reason: str) -> None:
        """Count a refusal, or a closed connection, near the limit of memory."""
        self._memory[(reason,)] += 1

    def record_first_byte(self, route: str, duration: timedelta) -> None:
        """Record the time from a request's arrival to its answer's first byte."""
        self._first_byte.record(duration.total_seconds(), route)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._page.render()
