"""Metric pages: counters, gauges and histograms of one process for Prometheus.

OpenTelemetry reads them when the page is asked for; counting is a plain addition.
Several processes may live in one Python process, each with its own registry.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    MetricsData,
    ResourceMetrics,
    ScopeMetrics,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.util.instrumentation import InstrumentationScope
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from mustardquay import __version__

from .histograms import Histogram

__all__ = ["CONTENT_TYPE_LATEST", "MetricPage"]


class _Reader(PrometheusMetricReader):
    """Adds our own histograms to what the SDK has collected."""

    def __init__(self, registry: CollectorRegistry, histograms: Iterable[Histogram]):
        super().__init__(registry=registry, scope_info_enabled=False)
        self._histograms = tuple(histograms)

    def _receive_metrics(
        self, metrics_data: MetricsData, timeout_millis: float = 10_000, **options: Any
    ) -> None:
        metrics = [histogram.collect() for histogram in self._histograms]
        scope = InstrumentationScope("mustardquay", __version__)
        added = ResourceMetrics(
            resource=metrics_data.resource_metrics[0].resource,
            scope_metrics=[ScopeMetrics(scope, metrics, "")],
            schema_url="",
        )
        merged = MetricsData([*metrics_data.resource_metrics, added])
        super()._receive_metrics(merged, timeout_millis, **options)


class MetricPage:
    """The page of one process; metrics are added after `start`."""

    def __init__(
        self,
        process: str,
        kind: str,
        availability_zone: str,
        histograms: Iterable[Histogram],
    ):
        self._resource = Resource(
            {
                "service.name": "mustardquay",
                "service.instance.id": process,
                "service.version": __version__,
                "mustardquay.kind": kind,
                "cloud.availability_zone": availability_zone,
            }
        )
        self._histograms = tuple(histograms)
        self._registry = CollectorRegistry()
        self._provider: MeterProvider | None = None

    @property
    def is_started(self) -> bool:
        """Return whether metrics may be added."""
        return self._provider is not None

    def start(self) -> None:
        """Begin to export."""
        ProcessCollector(registry=self._registry)
        reader = _Reader(self._registry, self._histograms)
        self._provider = MeterProvider(
            [reader], resource=self._resource, shutdown_on_exit=False
        )

    def close(self) -> None:
        """Stop to export."""
        if self._provider is not None:
            self._provider.shutdown()
            self._provider = None

    def render(self) -> bytes:
        """Return the page, of type `CONTENT_TYPE_LATEST`."""
        return generate_latest(self._registry)

    def add_counter(
        self,
        name: str,
        description: str,
        counts: Counter[tuple[str, ...]],
        *attributes: str,
    ) -> None:
        """Export the numbers of a counter, whose keys hold the attributes' values."""

        def observe(options: CallbackOptions) -> list[Observation]:
            return [
                Observation(count, dict(zip(attributes, values, strict=True)))
                for values, count in counts.items()
            ]

        self._meter.create_observable_counter(
            name, [observe], unit="{request}", description=description
        )

    def add_gauge(
        self,
        name: str,
        definition: tuple[str, str],
        gauges: Mapping[str, Callable[[], float]],
    ) -> None:
        """Export a gauge; `definition` is unit and meaning, `gauges` gives its value.

        The value is looked up at each scrape, so that it may be replaced.
        """

        def observe(options: CallbackOptions) -> list[Observation]:
            return [Observation(gauges[name]())]

        unit, description = definition
        self._meter.create_observable_gauge(
            name, [observe], unit=unit, description=description
        )

    @property
    def _meter(self) -> Any:
        assert self._provider is not None
        return self._provider.get_meter("mustardquay", __version__)
