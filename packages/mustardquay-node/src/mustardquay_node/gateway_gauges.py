"""Gauges of a gateway: figures that the metrics page reads when it is fetched."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from .caller_connections import CallerConnections
from .configuration_loaders import ConfigurationLoader
from .era_watches import EraWatch
from .forwarders import Forwarder
from .gateway_feeds import GatewayFeeds
from .gateway_upstreams import GatewayUpstreams
from .load_reporters import LoadReporter
from .upstream_list_updaters import UpstreamListUpdater
from .usage import UsageSubsystem

__all__ = ["GaugeSources", "make_gauges"]


@dataclass(frozen=True, slots=True)
class GaugeSources:
    """The components that gauges read."""

    configurations: ConfigurationLoader
    forwarder: Forwarder
    connections: CallerConnections
    feeds: GatewayFeeds
    eras: EraWatch
    usage: UsageSubsystem | None
    reports: LoadReporter
    is_ready: Callable[[], bool]
    upstreams: GatewayUpstreams
    list_updater: UpstreamListUpdater


def make_gauges(sources: GaugeSources) -> dict[str, Callable[[], float]]:
    """Return the function that reads each gauge, by its name."""
    configurations, usage = sources.configurations, sources.usage
    return {
        "mustardquay.configuration.version": lambda: float(configurations.version),
        "mustardquay.configuration.known": lambda: float(configurations.known_version),
        "mustardquay.configuration.behind": lambda: configurations.lag.total_seconds(),
        "mustardquay.ready": lambda: float(sources.is_ready()),
        "mustardquay.running": lambda: float(sources.forwarder.in_flight),
        "mustardquay.upstreams": lambda: float(len(list(sources.upstreams.list))),
        "mustardquay.upstreams.unreadable": lambda: float(
            sources.list_updater.unreadable
        ),
        "mustardquay.engines.slow": lambda: float(
            sources.upstreams.count_slow_engines()
        ),
        "mustardquay.engines.slowest": sources.upstreams.find_slowest_factor,
        "mustardquay.connections": lambda: float(sources.connections.count),
        "mustardquay.memory.held": lambda: _read_held(sources.connections, "total"),
        "mustardquay.memory.most": lambda: _read_held(sources.connections, "most"),
        "mustardquay.memory.resident": lambda: _read_resident(sources.connections),
        "mustardquay.store.age": lambda: _measure_store_age(sources.feeds),
        "mustardquay.usage.leads": lambda: float(usage is not None and usage.leads),
        "mustardquay.upstreams.reporting": lambda: float(
            sources.reports.count_reporting()
        ),
        "mustardquay.upstreams.slow": lambda: float(sources.reports.count_slow()),
        "mustardquay.store.era": lambda: float(sources.eras.era),
        **_make_list_gauges(sources.feeds),
    }


def _make_list_gauges(feeds: GatewayFeeds) -> dict[str, Callable[[], float]]:
    """Return the gauges of the list of upstreams; without readers, each one reads."""
    relay = feeds.list_relay
    return {
        "mustardquay.list.age": lambda: _to_seconds(feeds.list_age),
        "mustardquay.list.reading": lambda: float(relay is None or relay.is_reading),
        "mustardquay.list.reader": lambda: float(relay is not None and relay.is_reader),
        "mustardquay.list.confirmers": lambda: float(
            relay.count_confirmers() if relay else 0
        ),
    }


def _read_held(connections: CallerConnections, figure: str) -> float:
    memory = connections.memory
    return 0.0 if memory is None else float(getattr(memory.ledger, figure))


def _read_resident(connections: CallerConnections) -> float:
    memory = connections.memory
    return 0.0 if memory is None else float(memory.resident)


def _measure_store_age(feeds: GatewayFeeds) -> float:
    return _to_seconds(feeds.age)


def _to_seconds(age: timedelta | None) -> float:
    return float("inf") if age is None else age.total_seconds()
