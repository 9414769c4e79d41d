"""Gauges of a gateway: figures that the metrics page reads when it is fetched."""

from collections.abc import Callable
from dataclasses import dataclass

from .caller_connections import CallerConnections
from .configuration_loaders import ConfigurationLoader
from .era_watches import EraWatch
from .forwarders import Forwarder
from .gateway_feeds import GatewayFeeds
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
    is_ready: Callable[[], bool]
    count_upstreams: Callable[[], int]


def make_gauges(sources: GaugeSources) -> dict[str, Callable[[], float]]:
    """Return the function that reads each gauge, by its name."""
    configurations, usage = sources.configurations, sources.usage
    return {
        "mustardquay.configuration.version": lambda: float(configurations.version),
        "mustardquay.configuration.known": lambda: float(configurations.known_version),
        "mustardquay.configuration.behind": lambda: configurations.lag.total_seconds(),
        "mustardquay.ready": lambda: float(sources.is_ready()),
        "mustardquay.running": lambda: float(sources.forwarder.in_flight),
        "mustardquay.upstreams": lambda: float(sources.count_upstreams()),
        "mustardquay.connections": lambda: float(sources.connections.count),
        "mustardquay.memory.held": lambda: _read_held(sources.connections, "total"),
        "mustardquay.memory.most": lambda: _read_held(sources.connections, "most"),
        "mustardquay.store.age": lambda: _measure_store_age(sources.feeds),
        "mustardquay.usage.leads": lambda: float(usage is not None and usage.leads),
        "mustardquay.store.era": lambda: float(sources.eras.era),
    }


def _read_held(connections: CallerConnections, figure: str) -> float:
    memory = connections.memory
    return 0.0 if memory is None else float(getattr(memory.ledger, figure))


def _measure_store_age(feeds: GatewayFeeds) -> float:
    age = feeds.age
    return float("inf") if age is None else age.total_seconds()
