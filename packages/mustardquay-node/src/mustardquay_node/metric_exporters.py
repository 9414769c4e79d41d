"""Export of the metrics of one process with OpenTelemetry and Prometheus.

Importing this module loads both libraries, so it is imported only when the first page
is rendered.
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

__all__ = ["CONTENT_TYPE_LATEST", "MetricExporter"]


class _Reader(PrometheusMetricReader):
    """Adds histograms of this project to the metrics that the SDK collects."""

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


class MetricExporter:
    """Collects the counters, gauges and histograms of one process for each page."""

    def __init__(self, resource: Mapping[str, str], histograms: Iterable[Histogram]):
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._provider = MeterProvider(
            [_Reader(self._registry, histograms)],
            resource=Resource(resource),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("mustardquay", __version__)

    def close(self) -> None:
        """Shut down the export."""
        self._provider.shutdown()

    def render(self) -> bytes:
        """Return the page, of type `CONTENT_TYPE_LATEST`."""
        return generate_latest(self._registry)

    def add_counter(
        self,
        name: str,
        description: str,
        counts: Counter[tuple[str, ...]],
        attributes: tuple[str, ...],
    ) -> None:
        """Export a counter whose keys are tuples of attribute values."""

        def observe(options: CallbackOptions) -> list[Observation]:
            return [
                Observation(count, dict(zip(attributes, values, strict=True)))
                for values, count in counts.items()
            ]

        self._meter.create_observable_counter(
            name, [observe], unit="{request}", description=description
        )

    def add_gauge(
        self, name: str, definition: tuple[str, str], read: Callable[[], float]
    ) -> None:
        """Export a gauge; `definition` is its unit and description."""

        def observe(options: CallbackOptions) -> list[Observation]:
            return [Observation(read())]

        unit, description = definition
        self._meter.create_observable_gauge(
            name, [observe], unit=unit, description=description
        )
