"""Gateway upstreams: what one gateway knows of upstreams, and how it reaches them."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.rate_limits import LimitBook
from mustardquay.retry_windows import RetryLimits
from mustardquay.routing_tables import RoutingTable
from mustardquay.uplinks import Uplink
from mustardquay.upstream_lists import UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads

from .adapters import Adapter
from .connections import Exchange
from .crash_reporters import CrashReporter
from .descriptors import DescriptorGuard
from .engine_calls import EngineCall, call_engine
from .generation_planners import GenerationPlanner
from .settings import BoundsSettings, GatewaySettings
from .upstream_pools import UpstreamPools

__all__ = ["GatewayUpstreams", "UpstreamParts"]


@dataclass(frozen=True, slots=True)
class UpstreamParts:
    """What the knowledge of upstreams needs of its process."""

    adapter: Adapter
    clock: Clock
    random: Random
    events: EventRing
    find_table: Callable[[], RoutingTable | None]
    """Returns the configuration in force."""
    count_gateways: Callable[[], int]
    note_change: Callable[[], None]
    """Hears that the work to be told to other gateways has changed."""
    close_idle_callers: Callable[[], int]
    """Closes idle connections of callers, and returns how many."""


class GatewayUpstreams:
    """The books of upstreams that the parts of one gateway share."""

    def __init__(self, settings: GatewaySettings, parts: UpstreamParts):
        self._parts = parts
        # Connections to upstreams are most of what a gateway opens.
        self._descriptors = DescriptorGuard(parts.clock, parts.events)
        self.list = UpstreamList()
        self.loads = UpstreamLoads()
        self.limits = LimitBook()
        self.crashes = CrashReporter(parts.clock, parts.events)
        self.pools = UpstreamPools(
            parts.clock,
            _make_retry_limits(settings.bounds),
            settings.gateway.processes,
            count_gateways=parts.count_gateways,
            find_limit=self._find_connection_limit,
            note_unreachable=self._note_unreachable,
            # Callers' last: each may be about to send its next request.
            free_descriptors=lambda: self._descriptors.make_room(
                self.pools.close_idle, parts.close_idle_callers
            ),
        )
        self.planner = GenerationPlanner(
            parts.clock,
            self.list,
            self.loads,
            uplink=Uplink(settings.gateway.link_rate),
            limits=self.limits,
            note_change=parts.note_change,
            random=parts.random,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.pools.close()

    def take_bounds(self, bounds: BoundsSettings) -> None:
        """Use other bounds from now on."""
        self.pools.retry_limits = _make_retry_limits(bounds)

    def make_room(self) -> bool:
        """Close idle connections to upstreams; returns whether there were any.

        For callers who come when there are no descriptors left.
        """
        return self._descriptors.make_room(self.pools.close_idle)

    def is_lost(self, id: str) -> bool:
        """Return whether an upstream has been out of reach for long."""
        return self.loads.is_lost(id, self._now)

    def measure_capacities(
        self, engines: Sequence[UpstreamRecord]
    ) -> Mapping[str, float]:
        """Return which part of their usual work rate limits leave engines."""
        return self.limits.measure_capacities(engines, self._now)

    async def call_engine(
        self, engine: UpstreamRecord, call: EngineCall
    ) -> Exchange | None:
        """Call an engine beside callers' requests; such calls wait for no turn."""
        self.limits.note_sent(engine.id, self._now)
        pool = self.pools.get_pool(engine)
        return await call_engine(self._parts.adapter, pool, engine, call)

    def forget(self, id: str) -> None:
        """Drop what is kept of an upstream that is gone or has started anew."""
        self.crashes.note_upstream_lost(id)
        self.pools.forget(id)
        self.loads.forget(id)
        self.limits.forget(id)
        self.planner.forget(id)

    @property
    def _now(self) -> timedelta:
        return self._parts.clock.monotonic()

    def _note_unreachable(self, id: str) -> None:
        self.loads.note_unreachable(id, self._now)
        self.crashes.note_upstream_lost(id)

    def _find_connection_limit(self, service: str) -> int | None:
        table = self._parts.find_table()
        found = table.services.get(service) if table is not None else None
        return None if found is None else found.max_connections


def _make_retry_limits(bounds: BoundsSettings) -> RetryLimits:
    return RetryLimits(bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window)
