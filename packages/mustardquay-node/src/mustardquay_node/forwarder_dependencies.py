"""Shared dependencies of a gateway's requests, and the state of each request."""

from collections.abc import Awaitable, Callable
from copy import copy
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

from mustardquay.clocks import Clock
from mustardquay.crashing_parts import list_part_keys
from mustardquay.events import EventRing
from mustardquay.fair_shares import Judgement
from mustardquay.latency_margins import LatencyMargins
from mustardquay.rate_limits import RateLimiter
from mustardquay.retry_decisions import SendHistory
from mustardquay.route_times import RouteTimes
from mustardquay.routing_tables import Repeat, Route
from mustardquay.streams import (
    StreamOrigin,
    VersionDoubts,
    compute_stream_key,
    filter_continuing,
    prefer_marked,
)
from mustardquay.upstream_lists import UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads
from mustardquay.upstream_statements import UpstreamStatements
from mustardquay.version_trackers import TableState

from .adapters import Adapter, AnswerFacts, RequestFacts
from .caller_connections import CallerRequest
from .connections import Exchange
from .crash_suspects import CrashReporter, format_fingerprint
from .gateway_stops import GatewayStop
from .generation_planners import GenerationPlanner
from .service_shares import ServiceShares
from .stream_origins import OriginSubsystem
from .tickets import RetainedPrefill
from .upstream_pools import UpstreamPools

if TYPE_CHECKING:
    from .replies import Reply

__all__ = ["ForwardedRequest", "ForwarderDependencies"]


@dataclass(slots=True)
class ForwarderDependencies:
    """Dependencies shared by all requests of one gateway, and callbacks for metrics."""

    adapter: Adapter
    clock: Clock
    random: Random
    events: EventRing
    availability_zone: str
    upstreams: UpstreamList
    pools: UpstreamPools
    loads: UpstreamLoads
    limits: RateLimiter
    statements: UpstreamStatements
    note_statements: Callable[[UpstreamRecord, AnswerFacts, str], None]
    """Keeps what an upstream says of itself in an answer to the request of that id."""
    crashes: CrashReporter
    origins: OriginSubsystem
    doubts: VersionDoubts
    planner: GenerationPlanner
    stop: GatewayStop
    find_table_state: Callable[[], TableState]
    get_peer_forwarding: Callable[
        [], Callable[["ForwardedRequest", "Reply"], Awaitable[bool]] | None
    ] = lambda: None
    """Returns what forwards a request to another gateway if that is of use, and returns
    whether the request has its answer; None if this gateway forwards none."""
    is_configuration_confirmed: Callable[[], bool] = lambda: True
    """Returns whether the store has recently shown that there is no newer one."""
    note_begun: Callable[[str, timedelta], None] = lambda organisation, at: None
    """Counts a request that an upstream began to run, by organisation and time."""
    times: RouteTimes = field(default_factory=RouteTimes)
    latency_margins: LatencyMargins = field(default_factory=LatencyMargins)
    count_answer: Callable[[str, str], None] = lambda route, outcome: None
    """Counts an answer by route and outcome."""
    count_send: Callable[[str, str], None] = lambda route, end: None
    """Counts a send by route and by how it ended."""
    count_unused_prefill: Callable[[str], None] = lambda reason: None
    """Counts a prefill from which nothing was generated, by the reason."""
    count_refusal: Callable[[str, str], None] = lambda route, reason: None
    """Counts a request that was refused by its share, by route and reason."""
    shares: ServiceShares | None = None
    """None if organisations have no shares."""
    record_first_byte: Callable[[str, timedelta], None] = lambda route, duration: None

    def list_accepting(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of a service that accept requests of this process."""
        usable = self.upstreams.list_usable(service)
        return [record for record in usable if not self.statements.measure_rest(record)]

    def describe_list(self, at: timedelta) -> dict[str, float | str]:
        """Return log fields that say how old the list of upstreams was at a time."""
        confirmation = self.upstreams.confirmation
        if confirmation is None:
            return {}
        age = at - confirmation.at
        return {
            "list_source": confirmation.source.value,
            "list_age_ms": round(age.total_seconds() * 1000),
        }

    def list_candidates(self, request: "ForwardedRequest") -> list[UpstreamRecord]:
        """Return the upstreams that a request may be sent to now."""
        accepting = self.list_accepting(request.service)
        if request.origin is not None:
            return filter_continuing(accepting, request.origin, self.doubts.is_certain)
        if request.is_resumable:
            return list(prefer_marked(accepting, self.origins.is_marked))
        return accepting


@dataclass(slots=True)
class ForwardedRequest:
    """One request, with the state that all its stages share."""

    incoming: CallerRequest
    facts: RequestFacts
    route: Route
    service: str
    deadline: timedelta
    """When the caller's or the route's timeout expires, on the monotonic clock."""
    fingerprint: int
    organisation: str | None = None
    """Name of the caller's organisation; empty for an anonymous caller, None if the
    configuration has no organisations."""
    begin_by: timedelta | None = None
    """Deadline of the first part of the answer; None for `deadline`."""
    send_history: SendHistory = field(default_factory=SendHistory)
    avoid: set[str] = field(default_factory=set)
    """Upstreams that this request was already sent to."""
    current: Exchange | None = None
    """The exchange that is running."""
    upstream: str = ""
    """The upstream of the last send."""
    sent_at: timedelta = timedelta()
    """When the last send began, on the monotonic clock."""
    last_end: str = "unanswered"
    """Result of the last send that has ended, a value of `SendResult`."""
    was_begun: bool = False
    """Whether an upstream has begun to run the request, as far as is known."""
    is_replacement: bool = False
    """Whether it was sent beside a send of itself that has met a silence."""
    has_met_silence: bool = False
    """Whether an upstream was silent during a send, so that times show no load."""
    is_late: bool = False
    """Whether a generation can't meet its latency target, so that others go first."""
    judgement: Judgement | None = None
    """How its organisation's share limits a generation; None if it doesn't."""
    expected: timedelta | None = None
    """Expected time to the first event of a generation that was admitted as in time."""
    prefill: RetainedPrefill | None = None
    """The prefill by another engine than the one that decodes."""
    last_event: str | None = None
    """Id of the last complete event that was sent to the caller."""
    origin: StreamOrigin | None = None
    """Where a resumable stream began, once it has."""
    stream_keys: tuple[int, ...] = ()
    """Keys under which the origin of the stream is known."""
    parts: tuple[int, ...] = ()
    """Keys of the prompt's parts that other requests may share."""

    text: int = 0
    """Key of the part of the prompt that its caller wrote; 0 without a prompt."""

    def __post_init__(self) -> None:
        prompt = self.facts.prompt
        if self.route.has_prompt and prompt is not None:
            self.parts = list_part_keys(prompt.shared_parts)
            self.text = CrashReporter.compute_text_key(
                self.organisation, prompt.own_part
            )
        if self.is_resumable:
            self.stream_keys = (compute_stream_key(self.id, self.organisation),)

    @property
    def is_resumable(self) -> bool:
        """Return whether the answer is a stream that may go on at another upstream."""
        return self.route.resumable and self.route.repeat is Repeat.STREAM

    @property
    def is_take_up(self) -> bool:
        """Return whether an earlier attempt of the caller began the stream."""
        facts = self.facts
        is_named = facts.resumes is not None or facts.resumes_after is not None
        return self.is_resumable and is_named

    @property
    def max_output_tokens(self) -> int:
        """Return the limit of generated tokens, 0 for plain services."""
        prompt = self.facts.prompt if self.route.has_prompt else None
        return prompt.output_tokens if prompt is not None else 0

    @property
    def id(self) -> str:
        """Return the caller's id of this attempt."""
        return self.facts.id

    def describe_suspicion(self) -> dict[str, str]:
        """Return log fields by which lines on crashes name the request."""
        named = {"fingerprint": format_fingerprint(self.fingerprint)}
        return named | ({"text": format_fingerprint(self.text)} if self.text else {})

    def copy_for_replacement(
        self, avoid: set[str], is_prefill: bool
    ) -> "ForwardedRequest":
        """Return the state of a further send, beside the one that runs.

        `is_prefill` says that the one which runs only prefills the prompt.
        """
        other = copy(self)
        other.is_replacement = True
        other.avoid = self.avoid | avoid
        other.current = None
        attempts = self.send_history.attempts + (not is_prefill)
        other.send_history = replace(self.send_history, attempts=attempts)
        if self.prefill is not None and not is_prefill:
            other.prefill = replace(self.prefill, is_handle_used=True)
            if not self.prefill.is_used:
                other.prefill.silent_since = self.sent_at
        return other

    def describe_sends(self) -> dict[str, int]:
        """Return log fields with the attempts and refusals so far, and their limit."""
        return {
            "attempts": self.send_history.attempts,
            "refusals": self.send_history.refusals,
            "max_attempts": self.route.max_attempts,
        }

    def measure_time_left(self, now: timedelta) -> timedelta:
        """Return the time until the deadline."""
        return self.deadline - now
