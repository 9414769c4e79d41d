"""What a gateway does with engines beside sending: stages and cached parts."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from random import Random

from mustardquay.clocks import BootTimeClock
from mustardquay.events import EventRing
from mustardquay.routing_tables import RoutingTable
from mustardquay.upstream_lists import Stage, UpstreamRecord

from .adapters import Adapter, StoreTables
from .cache_probes import CacheProbe, CacheProbeDependencies
from .gateway_upstreams import GatewayUpstreams
from .stage_controllers import StageController, StageControllerDependencies

__all__ = ["EngineDependencies", "GatewayEngines"]


@dataclass(frozen=True, slots=True)
class EngineDependencies:
    """Dependencies of the control of engines."""

    holder: str
    """Name of this process as a holder of orders, another one after each start."""
    adapter: Adapter
    store: StoreTables
    random: Random
    events: EventRing
    upstreams: GatewayUpstreams
    find_table: Callable[[], RoutingTable]
    notify_peers: Callable[[], None]
    is_serving: Callable[[], bool]
    """Returns whether this gateway has served a request."""


class GatewayEngines:
    """Sets the stages of engines, and asks new ones which parts they keep."""

    def __init__(self, deps: EngineDependencies):
        self._deps = deps
        self._stage_controller = self._make_stage_controller()
        self._cache_probe = self._make_cache_probe()

    def start(self) -> None:
        """Start both."""
        self._stage_controller.start()
        self._cache_probe.start()

    async def close(self) -> None:
        """Stop both."""
        await self._stage_controller.close()
        await self._cache_probe.close()

    def note_era(self) -> None:
        """Process that the store came back from a copy."""
        self._stage_controller.note_era()

    def note_draining(self, record: UpstreamRecord) -> None:
        """Process that an upstream is leaving."""
        if record.stage is Stage.DECODE:
            self._stage_controller.check_now()

    def _make_stage_controller(self) -> StageController:
        deps, upstreams = self._deps, self._deps.upstreams
        dependencies = StageControllerDependencies(
            adapter=deps.adapter,
            store=deps.store,
            clock=BootTimeClock(),
            random=deps.random,
            events=deps.events,
            upstreams=upstreams.list,
            is_lost=upstreams.is_lost,
            list_services=lambda: deps.find_table().engine_services,
            call=upstreams.call_engine,
            count_streams=upstreams.planner.count_streams,
            measure_capacities=upstreams.measure_capacities,
            measure_decode_speeds=upstreams.planner.measure_decode_speeds,
            estimate_stream_duration=upstreams.planner.estimate_stream_duration,
            find_switch_time=lambda service: deps.find_table().find_switch_time(
                service
            ),
            announce_changing=self._announce_changing,
            is_serving=deps.is_serving,
        )
        return StageController(deps.holder, dependencies)

    def _make_cache_probe(self) -> CacheProbe:
        deps, upstreams = self._deps, self._deps.upstreams
        dependencies = CacheProbeDependencies(
            adapter=deps.adapter,
            events=deps.events,
            list_upstreams=lambda: list(upstreams.list),
            call=upstreams.call_engine,
            add_cached_parts=upstreams.planner.add_cached_parts,
        )
        return CacheProbe(dependencies)

    def _announce_changing(self, engines: Collection[str]) -> None:
        self._deps.upstreams.planner.set_changing(engines)
        self._deps.notify_peers()
