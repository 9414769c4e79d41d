"""Forwarder parts: what the forwardings of one gateway share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.latency_margins import LatencyMargins
from mustardquay.rate_limits import LimitBook
from mustardquay.route_times import RouteTimes
from mustardquay.routing_tables import Route
from mustardquay.sendings import Sendings
from mustardquay.upstream_lists import UpstreamList
from mustardquay.upstream_loads import UpstreamLoads
from mustardquay.version_books import TableState

from .adapters import Adapter, RequestFacts
from .caller_connections import CallerRequest
from .connections import Exchange
from .crash_reporters import CrashReporter
from .gateway_stops import GatewayStop
from .generation_planners import GenerationPlanner, RetainedPrefill
from .upstream_pools import UpstreamPools

__all__ = ["ForwardedRequest", "ForwarderParts"]


@dataclass(slots=True)
class ForwarderParts:
    """The parts of one gateway, and whom to tell of what is counted."""

    adapter: Adapter
    clock: Clock
    random: Random
    events: EventRing
    availability_zone: str
    upstreams: UpstreamList
    pools: UpstreamPools
    loads: UpstreamLoads
    limits: LimitBook
    crashes: CrashReporter
    planner: GenerationPlanner
    stop: GatewayStop
    judge_table: Callable[[], TableState]
    times: RouteTimes = field(default_factory=RouteTimes)
    latency_margins: LatencyMargins = field(default_factory=LatencyMargins)
    count_answer: Callable[[str, str], None] = lambda route, outcome: None
    """Counts an answer by route and outcome."""
    count_send: Callable[[str, str], None] = lambda route, end: None
    """Counts a send by route and by how it ended."""
    count_unused_prefill: Callable[[str], None] = lambda reason: None
    """Counts a prompt that was read and nothing generated from, by the reason."""
    record_first_byte: Callable[[str, timedelta], None] = lambda route, duration: None


@dataclass(slots=True)
class ForwardedRequest:
    """One request on its way, as all its stages know it."""

    incoming: CallerRequest
    facts: RequestFacts
    route: Route
    service: str
    limit_at: timedelta
    """When the caller or the route's timeout ends the wait, on the monotonic clock."""
    fingerprint: int
    begin_by: timedelta | None = None
    """When the first part of the answer is due at the latest; None for the limit."""
    sendings: Sendings = field(default_factory=Sendings)
    avoid: set[str] = field(default_factory=set)
    """Upstreams that this request has been sent to."""
    current: Exchange | None = None
    """What runs now."""
    upstream: str = ""
    """The upstream that was sent to last."""
    last_end: str = "unanswered"
    """How the last send that has ended did, a value of `SendResult`."""
    was_cut_off: bool = False
    """Whether a send that may have run was ended by the limit."""
    is_late: bool = False
    """Whether a generation can't be in time, so that others go first."""
    expected: timedelta | None = None
    """When a generation that was admitted as in time was to be read, from then on."""
    reading: RetainedPrefill | None = None
    """What has been read for it by another engine than the one that generates."""
    last_event: str | None = None
    """The last whole event that the caller has been sent."""

    @property
    def most_tokens(self) -> int:
        """Return how many tokens may be generated, 0 for plain services."""
        prompt = self.facts.prompt if self.route.has_prompt else None
        return prompt.output_tokens if prompt is not None else 0

    @property
    def id(self) -> str:
        """Return the caller's id of this attempt."""
        return self.facts.id

    def measure_left(self, now: timedelta) -> timedelta:
        """Return the time until the limit."""
        return self.limit_at - now
