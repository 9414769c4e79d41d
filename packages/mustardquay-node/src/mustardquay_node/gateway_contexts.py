"""What the subsystems of one gateway share, and subsystems that are made of it."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from mustardquay.clocks import BootTimeClock, Clock
from mustardquay.events import EventRing
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.usage import Source

from .adapters import Adapter, StoreTables
from .gateway_callers import GatewayCallers
from .gateway_stops import GatewayStop, StopDependencies
from .peers import PeerLink
from .settings import UsageSettings
from .stream_origins import OriginDependencies, OriginSubsystem
from .usage import NOTICE_PREFIX, UsageDependencies, UsageSubsystem

__all__ = ["GatewayContext", "make_origins", "make_stop", "make_usage"]


@dataclass(frozen=True, slots=True)
class GatewayContext:
    """What the subsystems of one gateway share."""

    name: str
    adapter: Adapter
    store: StoreTables
    random: Random
    events: EventRing
    get_peers: Callable[[], PeerLink]
    """Returns the link to the other gateways, which is made later than the others."""


def make_origins(
    context: GatewayContext, list_upstreams: Callable[[], list[UpstreamRecord]]
) -> OriginSubsystem:
    """Return what knows where streams began."""
    get_peers = context.get_peers
    deps = OriginDependencies(
        name=context.name,
        store=context.store,
        clock=BootTimeClock(),
        random=context.random,
        events=context.events,
        list_upstreams=list_upstreams,
        send=lambda data, names: get_peers().send_to(data, names),
        reply=lambda data, address: get_peers().reply(data, address),
        list_gateways=lambda: get_peers().names,
        list_neighbours=lambda: get_peers().neighbours,
    )
    return OriginSubsystem(deps)


def make_stop(
    context: GatewayContext,
    availability_zone: str,
    clock: Clock,
    get_callers: Callable[[], GatewayCallers],
) -> GatewayStop:
    """Return the graceful stop, which ends the connections of callers."""
    deps = StopDependencies(
        name=context.name,
        availability_zone=availability_zone,
        clock=clock,
        random=context.random,
        events=context.events,
        count_in_flight=lambda: get_callers().in_flight,
        notify_peers=lambda: context.get_peers().send_now(),
        end_keep_alive=lambda: get_callers().end_keep_alive(),
        close_idle=lambda: get_callers().connections.close_idle(),
    )
    return GatewayStop(deps)


def make_usage(
    context: GatewayContext,
    settings: UsageSettings,
    clock: Clock,
    source: Source,
    has_organisations: Callable[[], bool],
    count_report: Callable[[str], None],
) -> UsageSubsystem:
    """Return the reports of usage, connected to the other gateways."""
    peers = context.get_peers()
    deps = UsageDependencies(
        adapter=context.adapter,
        store=context.store,
        clock=clock,
        random=context.random,
        events=context.events,
        send=peers.send_datagram,
        list_gateways=lambda: peers.names,
        has_organisations=has_organisations,
        count_report=count_report,
    )
    usage = UsageSubsystem(source, settings, deps)
    peers.add_channel(NOTICE_PREFIX, lambda data, address: usage.receive(data))
    return usage
