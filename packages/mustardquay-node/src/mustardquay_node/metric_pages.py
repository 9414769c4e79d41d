"""The metrics page of one process, in the format of Prometheus.

OpenTelemetry collects the metrics when the page is requested; counting is a plain
addition. Several nodes may run in one Python process, each with its own registry.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from importlib import import_module
from typing import TYPE_CHECKING, Any

from mustardquay import __version__

from .histograms import Histogram

if TYPE_CHECKING:
    from .metric_exporters import MetricExporter

__all__ = ["MetricPage", "load_exporters"]


async def load_exporters() -> Any:
    """Import the module `metric_exporters` in a thread and return it.

    The first page loads the export libraries; an import in the event loop would pause
    all streams.
    """
    return await asyncio.to_thread(import_module, ".metric_exporters", __package__)


class MetricPage:
    """The metrics page of one process; metrics are added after `start`."""

    def __init__(
        self,
        process: str,
        kind: str,
        availability_zone: str,
        histograms: Iterable[Histogram],
    ):
        self._resource = {
            "service.name": "mustardquay",
            "service.instance.id": process,
            "service.version": __version__,
            "mustardquay.kind": kind,
            "cloud.availability_zone": availability_zone,
        }
        self._histograms = tuple(histograms)
        self._is_started = False
        self._additions: list[Callable[[MetricExporter], None]] = []
        self._exporter: MetricExporter | None = None

    @property
    def is_started(self) -> bool:
        """Return whether the export was started, so that metrics may be added."""
        return self._is_started

    def start(self) -> None:
        """Start the export."""
        self._is_started = True

    def close(self) -> None:
        """Stop the export."""
        self._is_started = False
        self._additions.clear()
        if self._exporter is not None:
            self._exporter.close()
            self._exporter = None

    def render(self) -> bytes:
        """Return the page; the first call is slow without `load_exporters`."""
        if not self._is_started:
            return b""
        if self._exporter is None:
            self._exporter = self._make_exporter()
        return self._exporter.render()

    def add_counter(
        self,
        name: str,
        description: str,
        counts: Counter[tuple[str, ...]],
        *attributes: str,
    ) -> None:
        """Export a counter whose keys are tuples of attribute values."""
        self._add(lambda to: to.add_counter(name, description, counts, attributes))

    def add_gauge(
        self,
        name: str,
        definition: tuple[str, str],
        gauges: Mapping[str, Callable[[], float]],
    ) -> None:
        """Export a gauge; `definition` is its unit and description.

        Its function is looked up in `gauges` at each scrape, so it may be replaced.
        """
        self._add(lambda to: to.add_gauge(name, definition, lambda: gauges[name]()))

    def _add(self, addition: "Callable[[MetricExporter], None]") -> None:
        """Add a metric, deferred until the first page creates the exporter."""
        assert self._is_started
        self._additions.append(addition)
        if self._exporter is not None:
            addition(self._exporter)

    def _make_exporter(self) -> "MetricExporter":
        from .metric_exporters import MetricExporter

        exporter = MetricExporter(self._resource, self._histograms)
        for addition in self._additions:
            addition(exporter)
        return exporter
