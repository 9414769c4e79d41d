"""Sends requests to another gateway, and passes its answers on."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from tornado.httputil import HTTPHeaders

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.peer_digests import PeerDigest
from mustardquay.peer_forwarding import ForwardingPeers, saves_link_time
from mustardquay.routing_tables import Repeat
from mustardquay.run_evidence import AnswerVerdict, judge_peer_answer

from ..adapters import AnswerFacts
from ..connections import AnswerHead, ConnectionPool, Exchange, ExchangeEnd
from ..forwarder_dependencies import ForwardedRequest
from ..hop_headers import strip_hop_headers
from ..replies import OUTCOME_UNKNOWN, Reply
from ..shown_versions import add_shown_version

__all__ = ["PeerForwarder", "PeerForwarderDependencies"]

MAX_CONNECTIONS = 128
"""Connections to one gateway; each carries one request at a time."""
IDLE_LIMIT = timedelta(seconds=4)
"""Idle time up to which a connection is reused. Operators let callers idle for longer,
and a gateway that stops says so in its digests before it closes connections."""
ONCE_IDLE_LIMIT = timedelta(milliseconds=400)
"""The same for requests that must not be repeated: the other gateway also closes idle
connections when it is short of descriptors, and a request on one of them is lost."""
UNCONNECTED_ENDS = (ExchangeEnd.NOT_CONNECTED, ExchangeEnd.CONNECT_TIMED_OUT)
STREAM_STATUS = 200
NOT_RUN = (AnswerVerdict.NOT_RUN, AnswerVerdict.OTHER_UPSTREAM)
PASSED_ON = (AnswerVerdict.OWN, AnswerVerdict.NOT_RUN)
"""Verdicts on answers that are passed on to the caller."""


@dataclass(slots=True)
class _PeerAnswer:
    """The answer of another gateway, judged by its head."""

    verdict: AnswerVerdict | None = None
    """What it shows; None before its head."""


@dataclass(frozen=True, slots=True)
class PeerForwarderDependencies:
    """Dependencies of `PeerForwarder`."""

    clock: Clock
    random: Random
    events: EventRing
    availability_zone: str
    link_rate: float
    """Rate of the own link in Mbit/s."""
    find_host: Callable[[str], str | None]
    """Returns the IP number of a gateway, None if it isn't listed."""
    build_headers: Callable[[HTTPHeaders, timedelta], HTTPHeaders]
    """Returns the caller's headers with the time that is left."""
    read_answer: Callable[[AnswerHead], AnswerFacts]
    """Returns what the headers of an answer specify."""
    count: Callable[[str, str], None] = lambda gateway, end: None
    """Counts a request by the gateway that it was left to, and by its end."""


class PeerForwarder:
    """Forwards requests that would wait for the link of this gateway."""

    def __init__(self, deps: PeerForwarderDependencies):
        self._deps = deps
        self._peers = ForwardingPeers(deps.availability_zone, deps.link_rate)
        self._ports: dict[str, int] = {}
        self._pools: dict[str, tuple[str, ConnectionPool]] = {}
        """The address and the connections of each gateway."""

    def close(self) -> None:
        """Close the idle connections."""
        for name in list(self._pools):
            self._forget_pool(name)

    def apply_digest(self, digest: PeerDigest) -> None:
        """Apply the newest digest of a gateway; one that isn't listed has no effect."""
        if self._deps.find_host(digest.gateway) is None:
            self._forget(digest.gateway)
            return
        self._ports[digest.gateway] = digest.forward_port
        self._peers.apply_digest(digest, self._deps.clock.monotonic())

    async def forward(self, request: ForwardedRequest, reply: Reply) -> bool:
        """Forward a request if that is of use; returns whether it has its answer.

        A request that was not sent, as no gateway could be reached, is served here, and
        so is one that may be repeated and of which nothing came back.
        """
        size = len(request.incoming.body)
        if request.is_take_up or not saves_link_time(size, self._deps.link_rate):
            return False
        now = self._deps.clock.monotonic()
        name = self._peers.choose(now, self._deps.random, reply.version)
        host = None if name is None else self._deps.find_host(name)
        if host is None:
            return False
        is_once = request.route.repeat is not Repeat.IDEMPOTENT
        pool = self._get_pool(name, f"{host}:{self._ports[name]}")
        answer = _PeerAnswer()
        exchange = self._make_exchange(request, reply, answer, now)
        request.current = exchange
        end = ExchangeEnd.CANCELLED
        try:
            end = await pool.run(exchange, ONCE_IDLE_LIMIT if is_once else None)
        finally:
            request.current = None
            verdict = answer.verdict
            is_refused = end == ExchangeEnd.WHOLE and verdict in NOT_RUN
            if exchange.was_sent:
                reply.ledger.end_send(is_refused)
            self._log(request, reply, exchange, name, end, verdict)
            self._deps.count(name, end)
        if end in UNCONNECTED_ENDS:
            self._peers.note_failure(name, self._deps.clock.monotonic())
        if is_refused and verdict is AnswerVerdict.OTHER_UPSTREAM:
            # It has an older configuration than this gateway has shown.
            return False
        is_whole = end == ExchangeEnd.WHOLE and verdict in PASSED_ON
        if not exchange.was_sent or _may_serve_again(request, reply, is_whole):
            return False
        _finish(reply, exchange, is_whole)
        return True

    def _judge(self, head: AnswerHead, request_id: str) -> AnswerVerdict:
        """Return what the answer of the other gateway shows."""
        facts = self._deps.read_answer(head)
        return judge_peer_answer(facts.make_claims(head.status), request_id)

    def _make_exchange(
        self,
        request: ForwardedRequest,
        reply: Reply,
        answer: _PeerAnswer,
        now: timedelta,
    ) -> Exchange:
        incoming = request.incoming
        headers = strip_hop_headers(incoming.headers)
        headers = self._deps.build_headers(headers, request.measure_time_left(now))
        add_shown_version(headers, reply.version)
        is_stream = request.route.repeat is Repeat.STREAM

        def receive(exchange: Exchange, data: bytes) -> Awaitable[None] | None:
            assert exchange.head is not None
            is_own = answer.verdict is AnswerVerdict.OWN
            if exchange.head.status != STREAM_STATUS or not is_own:
                exchange.keep(data)
                return None
            if not reply.has_begun:
                reply.begin_stream(exchange.head)
            return reply.write(data)

        def may_send() -> bool:
            if reply.is_caller_gone:
                return False
            return reply.ledger.begin_send(request.route.is_repeatable)

        def is_expected(head: AnswerHead) -> bool:
            answer.verdict = self._judge(head, request.id)
            if answer.verdict is AnswerVerdict.FOREIGN:
                exchange.spoil()
            return True

        exchange = Exchange(
            incoming.method,
            incoming.path,
            headers,
            incoming.body,
            is_expected,
            receive=receive if is_stream else None,
            may_send=may_send,
            request_id=request.id,
        )
        return exchange

    def _get_pool(self, name: str, address: str) -> ConnectionPool:
        known = self._pools.get(name)
        if known is not None and known[0] == address:
            return known[1]
        self._forget_pool(name)
        clock = self._deps.clock
        pool = ConnectionPool(address, clock, MAX_CONNECTIONS, IDLE_LIMIT)
        self._pools[name] = (address, pool)
        return pool

    def _forget(self, name: str) -> None:
        """Drop the state of a gateway that is not listed."""
        self._ports.pop(name, None)
        self._peers.forget([name])
        self._forget_pool(name)

    def _forget_pool(self, name: str) -> None:
        known = self._pools.pop(name, None)
        if known is not None:
            known[1].close()

    def _log(
        self,
        request: ForwardedRequest,
        reply: Reply,
        exchange: Exchange,
        name: str,
        end: str,
        verdict: AnswerVerdict | None,
    ) -> None:
        self._deps.events.record(
            "request.forwarded",
            request=request.id,
            route=reply.route,
            gateway=name,
            end=end,
            status=exchange.head.status if exchange.head else 0,
            shows=verdict.value if verdict else "",
            bytes=len(request.incoming.body),
            age_ms=reply.age_ms,
            first_ms=reply.first_ms,
        )


def _may_serve_again(request: ForwardedRequest, reply: Reply, is_whole: bool) -> bool:
    """Return whether a request is served here after it was sent to another gateway.

    The other gateway may have run it, so that only one that may be repeated is, and
    only if its caller is there and has nothing of an answer.
    """
    if is_whole or reply.has_begun or reply.is_caller_gone:
        return False
    return request.route.repeat is Repeat.IDEMPOTENT


def _finish(reply: Reply, exchange: Exchange, is_whole: bool) -> None:
    """Answer a request by what the other gateway has answered."""
    if reply.is_caller_gone:
        reply.count("caller_left")
    elif reply.has_begun:
        if is_whole:
            reply.end_stream()
        else:
            reply.break_off()
    elif is_whole:
        assert exchange.head is not None
        reply.pass_on(exchange.head, exchange.content)
    else:
        reply.fail(OUTCOME_UNKNOWN.status, "gateway_lost", OUTCOME_UNKNOWN.message)
