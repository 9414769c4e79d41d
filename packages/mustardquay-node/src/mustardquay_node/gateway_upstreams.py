"""State of the upstreams as one gateway sees it, and its connections to them."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.engine_models import EngineModels
from mustardquay.events import EventRing
from mustardquay.quarantines import CrashId
from mustardquay.rate_limits import RateLimiter
from mustardquay.retry_windows import RetryLimits
from mustardquay.routing_tables import RoutingTable
from mustardquay.silences import ConnectResult
from mustardquay.streams import VersionDoubts
from mustardquay.uplinks import Uplink
from mustardquay.upstream_lists import Stage, UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads
from mustardquay.upstream_starts import is_of_record
from mustardquay.upstream_statements import UpstreamStatements

from .adapters import Adapter, AnswerFacts
from .connections import Exchange
from .crash_suspects import CrashReporter, PartReporter
from .descriptors import DescriptorGuard
from .engine_calls import EngineCall, call_engine
from .generation_planners import GenerationPlanner
from .load_reporters import SLOW_FACTOR, LoadReporter
from .memory_guards import find_socket_buffer
from .service_shares import ServiceShares
from .settings import BoundsSettings, GatewaySettings
from .upstream_pools import UpstreamPools

__all__ = ["GatewayUpstreams", "UpstreamDependencies"]


@dataclass(frozen=True, slots=True)
class UpstreamDependencies:
    """Dependencies of `GatewayUpstreams`."""

    adapter: Adapter
    clock: Clock
    random: Random
    events: EventRing
    find_table: Callable[[], RoutingTable | None]
    """Returns the configuration in force."""
    count_gateways: Callable[[], int]
    note_change: Callable[[], None]
    """Called when the work that is announced to other gateways has changed."""
    notify_peers: Callable[[], None]
    """Sends the next digest to other gateways at once."""
    tell_of_parts: Callable[[], None]
    """Sends news of parts of prompts that crash engines to other gateways at once."""
    note_leaving: Callable[[UpstreamRecord], None]
    """Called when an upstream says in an answer that it is leaving."""
    close_idle_callers: Callable[[], int]
    """Closes idle connections of callers; returns how many."""


class GatewayUpstreams:
    """State of upstreams that the components of one gateway share."""

    def __init__(self, settings: GatewaySettings, deps: UpstreamDependencies):
        self._deps = deps
        # Connections to upstreams use most of a gateway's descriptors.
        self._descriptors = DescriptorGuard(deps.clock, deps.events)
        self.statements = UpstreamStatements(deps.clock)
        self.list = UpstreamList(self.statements.is_leaving)
        self.loads = UpstreamLoads(uses_reports=settings.gateway.load_reports)
        self.reports = LoadReporter(
            deps.clock, deps.events, self.list, self.loads, deps.note_change
        )
        self.doubts = VersionDoubts()
        self.limits = RateLimiter()
        parts = PartReporter(deps.clock, deps.events, deps.tell_of_parts)
        self.crashes = CrashReporter(
            deps.clock,
            deps.events,
            deps.notify_peers,
            parts,
            self._note_crash_elsewhere,
        )
        self.pools = UpstreamPools(
            deps.clock,
            _make_retry_limits(settings.bounds),
            settings.gateway.processes,
            count_gateways=deps.count_gateways,
            find_limit=self._find_connection_limit,
            note_unreachable=self._note_unreachable,
            note_probed=self._note_probed,
            # Callers' connections last: each may be about to send its next request.
            free_descriptors=lambda: self._descriptors.free_descriptors(
                self.pools.close_idle, deps.close_idle_callers
            ),
            socket_buffer=find_socket_buffer(settings.gateway.memory),
        )
        self._models = EngineModels()
        self.planner = GenerationPlanner(
            deps.clock,
            self.list,
            self.loads,
            self._models,
            uplink=Uplink(settings.gateway.link_rate),
            limits=self.limits,
            note_change=deps.note_change,
            random=deps.random,
            load_reports=settings.gateway.load_reports,
        )
        self.shares: ServiceShares | None = None
        if settings.gateway.organisation_shares:
            self.shares = ServiceShares(
                deps.clock,
                self.loads,
                self.planner.count_streams,
                self.planner.get_peers,
                deps.note_change,
            )

    async def close(self) -> None:
        """Close the connections."""
        await self.pools.close()

    def apply_bounds(self, bounds: BoundsSettings) -> None:
        """Apply other bounds from now on."""
        self.pools.retry_limits = _make_retry_limits(bounds)

    def free_descriptors(self) -> bool:
        """Close idle connections to upstreams; returns whether there were any.

        Used to accept callers when there are no descriptors left.
        """
        return self._descriptors.free_descriptors(self.pools.close_idle)

    def is_lost(self, id: str) -> bool:
        """Return whether an upstream has been unreachable for long."""
        return self.loads.is_lost(id, self._now)

    def measure_capacities(
        self, engines: Sequence[UpstreamRecord]
    ) -> Mapping[str, float]:
        """Return the share of their usual work that rate limits leave to engines."""
        return self.limits.measure_capacities(engines, self._now)

    def count_slow_engines(self) -> int:
        """Return how many engines report that work takes longer than usual."""
        now, current = self._now, self._models.current_factor
        return sum(current(each.id, now) > SLOW_FACTOR for each in self._list_engines())

    def find_slowest_factor(self) -> float:
        """Return the lasting prefill factor of the slowest engine, 1 without any."""
        now, lasting = self._now, self._models.slowdown_factor
        return max((lasting(each, now) for each in self._list_engines()), default=1.0)

    def _list_engines(self) -> list[UpstreamRecord]:
        return [each for each in self.list if each.stage is not Stage.NONE]

    async def call_engine(
        self, engine: UpstreamRecord, call: EngineCall
    ) -> Exchange | None:
        """Call an engine on the gateway's own behalf; does not wait for rate limits.

        Returns None also for an engine that rests or is leaving.
        """

        def may_send() -> bool:
            return self.statements.is_accepting(engine)

        if not may_send():
            return None
        self.limits.note_sent(engine.id, self._now)
        pool = self.pools.get_pool(engine)
        exchange = await call_engine(self._deps.adapter, pool, engine, call, may_send)
        if exchange is not None and exchange.head is not None:
            facts = self._deps.adapter.read_answer(exchange.head)
            self.note_statements(engine, facts)
        return exchange

    def note_statements(
        self, upstream: UpstreamRecord, facts: AnswerFacts, request: str = ""
    ) -> None:
        """Keep what an upstream says of itself in the head of an answer."""
        if facts.is_other_upstream:
            return
        self.reports.note(upstream, facts, request)
        record = self._deps.events.record
        if facts.is_leaving and self.statements.note_leaving(upstream):
            record("upstream.leaving", request=request, upstream=upstream.id)
            self._deps.note_leaving(upstream)
        if facts.rest and self.statements.note_rest(upstream, facts.rest):
            rest_ms = round(facts.rest.total_seconds() * 1000)
            record(
                "upstream.resting",
                request=request,
                upstream=upstream.id,
                rest_ms=rest_ms,
            )

    def forget(self, id: str) -> None:
        """Drop the state of an upstream that is gone or has restarted."""
        self.crashes.note_upstream_lost(id)
        self.pools.forget(id)
        self.loads.forget(id)
        self.reports.forget(id)
        self.doubts.forget(id)
        self.limits.forget(id)
        self.planner.forget(id)

    @property
    def _now(self) -> timedelta:
        return self._deps.clock.monotonic()

    def _note_unreachable(self, id: str) -> None:
        record = self.list.get(id)
        if record is not None:
            self.doubts.note_unreachable(record)
        self.loads.note_unreachable(id, self._now)
        self.crashes.note_upstream_lost(id)

    def _note_probed(self, id: str, result: ConnectResult) -> None:
        """Note the probe of a silent upstream; one that times out shows nothing."""
        self._deps.events.record("upstream.probed", upstream=id, result=result.value)
        if result is ConnectResult.REFUSED:
            self._note_unreachable(id)
        else:
            self.loads.silences.note_connect(id, result, self._now)

    def _note_crash_elsewhere(self, crash: CrashId) -> None:
        """Doubt the version of an upstream that crashed as another gateway saw.

        Its new record may come here later than it accepts connections again.
        """
        record = self.list.get(crash.upstream)
        if record is not None and is_of_record(crash.boot, str(record.started_ms)):
            self.doubts.note_unreachable(record)

    def _find_connection_limit(self, service: str) -> int | None:
        table = self._deps.find_table()
        found = table.services.get(service) if table is not None else None
        return None if found is None else found.max_connections


def _make_retry_limits(bounds: BoundsSettings) -> RetryLimits:
    return RetryLimits(bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window)
