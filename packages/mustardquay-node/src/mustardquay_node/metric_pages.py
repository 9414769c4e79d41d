"""Metric pages: counters, gauges and histograms of one process for Prometheus.

OpenTelemetry reads them when the page is asked for; counting is a plain addition.
Several processes may live in one Python process, each with its own registry.
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
    """Return the module `metric_exporters`.

    Guards against a pause of all streams: the first page loads the libraries that
    make it, in a thread, which lets the event loop run between.
    """
    return await asyncio.to_thread(import_module, ".metric_exporters", __package__)


class MetricPage:
    """The page of one process; metrics are added after `start`."""

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
        """Return whether metrics may be added."""
        return self._is_started

    def start(self) -> None:
        """Begin to export."""
        self._is_started = True

    def close(self) -> None:
        """Stop to export."""
        self._is_started = False
        self._additions.clear()
        if self._exporter is not None:
            self._exporter.close()
            self._exporter = None

    def render(self) -> bytes:
        """Return the page; the first one takes long without `load_exporters`."""
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
        """Export the numbers of a counter, whose keys hold the attributes' values."""
        self._add(lambda to: to.add_counter(name, description, counts, attributes))

    def add_gauge(
        self,
        name: str,
        definition: tuple[str, str],
        gauges: Mapping[str, Callable[[], float]],
    ) -> None:
        """Export a gauge; `definition` is unit and meaning, `gauges` gives its value.

        The value is looked up at each scrape, so that it may be replaced.
        """
        self._add(lambda to: to.add_gauge(name, definition, lambda: gauges[name]()))

    def _add(self, addition: "Callable[[MetricExporter], None]") -> None:
        """Add to the exporter, or keep what is to be added until a page needs it."""
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
