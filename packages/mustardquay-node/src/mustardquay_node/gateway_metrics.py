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
    "mustardquay.upstreams.reporting": (
        "{upstream}",
        "Upstreams whose reported speed is recent enough to be used.",
    ),
    "mustardquay.upstreams.slow": (
        "{upstream}",
        "Upstreams where work takes half as long again as usual, by their reports.",
    ),
    "mustardquay.upstreams.unreadable": (
        "{row}",
        "Rows of the list of upstreams that can't be read, and name none to use.",
    ),
    "mustardquay.engines.slow": (
        "{engine}",
        "Engines that report that work takes longer than usual now.",
    ),
    "mustardquay.engines.slowest": (
        "1",
        "Lasting prefill time of the slowest engine relative to the mean engine.",
    ),
    "mustardquay.connections": ("{connection}", "Connections of callers."),
    "mustardquay.memory.held": (
        "By",
        "Bytes that are held for callers and upstreams that read slowly.",
    ),
    "mustardquay.memory.most": ("By", "Most bytes that were held since the start."),
    "mustardquay.memory.resident": ("By", "Memory of the process at its last check."),
    "mustardquay.store.age": ("s", "Time since the store last answered."),
    "mustardquay.store.era": (
        "{era}",
        "Newest era that the store has reported; it rises with each restore.",
    ),
    "mustardquay.list.age": (
        "s",
        "Age of the newest state of the store that the list of upstreams includes.",
    ),
    "mustardquay.list.reading": (
        "1",
        "1 while the process reads the list of upstreams from the store, else 0.",
    ),
    "mustardquay.list.reader": (
        "1",
        "1 while the process reads the list of upstreams for others, else 0.",
    ),
    "mustardquay.list.confirmers": (
        "{gateway}",
        "List readers that have lately confirmed the list of this process.",
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
        self._forwarded: Counter[tuple[str, str]] = Counter()
        self._unused_prefills: Counter[tuple[str]] = Counter()
        self._share_refusals: Counter[tuple[str, str]] = Counter()
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

    def start(
        self,
        gauges: Mapping[str, Callable[[], float]],
        load_reports: Counter[tuple[str]] | None = None,
    ) -> None:
        """Start the export; `gauges` has the function that reads each of `GAUGES`.

        `load_reports` counts the load reports of upstreams by what came of them.
        """
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
            "mustardquay.forwarded",
            "Requests left to another gateway, by that gateway and how they ended.",
            self._forwarded,
            "mustardquay.gateway",
            "mustardquay.end",
        )
        self._page.add_counter(
            "mustardquay.readings.unused",
            "Prompts that were prefilled but never generated from, by reason.",
            self._unused_prefills,
            "mustardquay.reason",
        )
        self._page.add_counter(
            "mustardquay.shares.refused",
            "Requests that were refused by the shares of organisations, by reason.",
            self._share_refusals,
            "mustardquay.route",
            "mustardquay.reason",
        )
        self._page.add_counter(
            "mustardquay.usage.reports",
            "Attempts to send a report of usage, by outcome.",
            self._usage_reports,
            "mustardquay.outcome",
        )
        self._page.add_counter(
            "mustardquay.load_reports",
            "Load reports of upstreams, by what came of them.",
            Counter() if load_reports is None else load_reports,
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

    @property
    def callbacks(self) -> dict[str, Callable[..., None]]:
        """Return the callbacks by which requests are counted, by their names."""
        return {
            "count_send": self.count_send,
            "count_unused_prefill": self.count_unused_prefill,
            "count_refusal": self.count_share_refusal,
            "record_first_byte": self.record_first_byte,
        }

    def close(self) -> None:
        """Stop the export."""
        self._page.close()

    def count_answer(self, route: str, outcome: str) -> None:
        """Count the end of a request."""
        self._answers[route, outcome] += 1

    def count_send(self, route: str, end: str) -> None:
        """Count the end of a send to an upstream."""
        self._sends[route, end] += 1

    def count_forwarded(self, gateway: str, end: str) -> None:
        """Count a request that was left to another gateway."""
        self._forwarded[gateway, end] += 1

    def count_unused_prefill(self, reason: str) -> None:
        """Count a prompt that was prefilled but never generated from."""
        self._unused_prefills[(reason,)] += 1

    def count_share_refusal(self, route: str, reason: str) -> None:
        """Count a request that was refused by its share."""
        self._share_refusals[route, reason] += 1

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
