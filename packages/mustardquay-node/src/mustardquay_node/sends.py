"""Sends: one request to one upstream, and how that ended."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from mustardquay.generation_limits import rank_generation
from mustardquay.requests import SendResult
from mustardquay.routing_tables import Repeat
from mustardquay.stall_timeouts import find_idle_timeout
from mustardquay.upstream_lists import UpstreamRecord

from .adapters import AnswerFacts, SendTarget
from .connections import AnswerHead, Exchange, ExchangeEnd
from .event_cuts import EventCutter, count_ends
from .forwarder_parts import ForwardedRequest, ForwarderParts
from .pauses import AwakeTimer
from .replies import Reply

__all__ = ["Send", "SendOptions", "Sender"]

ONCE_IDLE = timedelta(milliseconds=400)
"""Age up to which kept connections carry requests that must not be repeated. Upstreams
close theirs after some 1.5 s of idleness, and may do so sooner."""
SILENCE_STEP = timedelta(milliseconds=200)
"""Time until an engine that lives and has sent nothing for a request is looked at
again."""
LEAST_EVENTS = 3
"""Events of a stream up from which their mean distance is a measurement: the last one
may come early."""
SERVER_ERRORS = 500
"""The lowest status by which an upstream says that it failed."""


@dataclass(slots=True)
class Send:
    """One send and what came of it."""

    upstream: UpstreamRecord
    facts: AnswerFacts | None = None
    head: AnswerHead | None = None
    content: bytes = b""
    """The body, unless it was passed on as a stream."""
    end: SendResult = SendResult.NOT_SENT
    detail: str = ""
    was_kept: bool = False
    """Whether the connection had been used before."""
    passed: bool = False
    """Whether the caller has got a part of this answer."""
    first_at: timedelta | None = None
    """When the first part of a stream came."""
    last_at: timedelta = timedelta()
    events: int = 0
    """Events of a stream that have come."""

    @property
    def status(self) -> int:
        """Return the status of the answer, 0 without one."""
        return self.head.status if self.head else 0


@dataclass(frozen=True, slots=True)
class SendOptions:
    """What a send asks of an engine beside the request."""

    prefill_only: bool = False
    """Only have the prompt read."""
    kv_source: str = ""
    """Where the engine fetches the prompt that another one has read."""
    fetch_from: str = ""
    """Address of an engine whose cached parts are copied first."""
    read: Callable[[], None] = lambda: None
    """Called when the first part of a stream shows that the prompt has been read."""
    patience: timedelta | None = None
    """How long the upstream may be silent at first; None for the route's limit."""


PLAIN = SendOptions()


class Sender:
    """Sends one request, as often as it is told to."""

    def __init__(self, parts: ForwarderParts, request: ForwardedRequest, reply: Reply):
        self._parts = parts
        self._request = request
        self._reply = reply
        self._cutter = EventCutter()
        self._silence: AwakeTimer | None = None

    @property
    def holds_back(self) -> bool:
        """Return whether a part of an event waits for its end."""
        return self._cutter.has_rest

    async def run(self, upstream: UpstreamRecord, options: SendOptions = PLAIN) -> Send:
        """Send to an upstream and take in or pass on what comes."""
        request = self._request
        if self._reply.is_caller_gone:
            return Send(upstream, end=SendResult.CALLER_LEFT)
        # The stream before may have ended in the middle of an event, and the next
        # one sends that event whole.
        self._cutter.drop_rest()
        send = Send(upstream)
        exchange = self._make_exchange(send, options)
        request.current = exchange
        request.upstream = upstream.id
        self._watch_silence(options.patience or find_idle_timeout(request.route))
        self._parts.loads.begin(upstream.id)
        end = ExchangeEnd.CANCELLED
        try:
            pool = self._parts.pools.get_pool(upstream)
            is_once = request.route.repeat is not Repeat.IDEMPOTENT
            is_once = is_once and not options.prefill_only
            end = await pool.run(exchange, ONCE_IDLE if is_once else None)
        except asyncio.CancelledError:
            if exchange.was_sent and not options.prefill_only:
                request.was_cut_off = True
            raise
        finally:
            request.current = None
            self._unwatch_silence()
            self._settle(send, exchange, end, options)
        return send

    def log(self, send: Send, step: str) -> None:
        """Note how a send ended and what follows."""
        self._parts.events.record(
            "send.ended",
            request=self._request.id,
            upstream=send.upstream.id,
            route=self._reply.route,
            version=self._reply.version,
            end=send.end.value,
            detail=send.detail,
            status=send.status,
            kept=send.was_kept,
            next=step,
            age_ms=self._reply.age_ms,
            first_ms=self._reply.first_ms,
            pause_ms=self._reply.pause_ms,
        )

    def _make_exchange(self, send: Send, options: SendOptions) -> Exchange:
        request = self._request
        target = SendTarget(
            upstream_id=send.upstream.id,
            time_left=request.measure_left(self._parts.clock.monotonic()),
            prefill_only=options.prefill_only,
            kv_source=options.kv_source,
            fetch_from=options.fetch_from,
            resumes_after=request.last_event,
            urgency=self._rank(options),
        )
        incoming = request.incoming
        is_stream = request.route.repeat is Repeat.STREAM and not options.prefill_only

        def receive(exchange: Exchange, data: bytes) -> Awaitable[None] | None:
            return self._receive(send, exchange, data, options)

        return Exchange(
            incoming.method,
            incoming.path,
            self._parts.adapter.build_headers(incoming.headers, target),
            incoming.body,
            is_mine=lambda head: self._is_mine(send, head),
            receive=receive if is_stream else None,
        )

    def _rank(self, options: SendOptions) -> int | None:
        """Return how urgent the request is to an engine; None for plain upstreams.

        The operator's rank of the route: work of a higher rank gets the places that
        come free at a full engine first. A late answer waits to be read, but not to be
        generated: a stream of a low rank is taken apart for others in its middle.
        """
        request = self._request
        if not request.route.has_prompt:
            return None
        is_late = request.is_late and options.prefill_only
        return rank_generation(request.route, is_late)

    def _is_mine(self, send: Send, head: AnswerHead) -> bool:
        """Tell whether an answer belongs to this request.

        Guards against upstreams that send an earlier answer once more: it stands
        where the next one is expected, and its caller would get another's answer.
        """
        facts = self._parts.adapter.read_answer(head)
        if facts.request_id and facts.request_id != self._request.id:
            self._parts.events.record(
                "answer.skipped",
                request=self._request.id,
                upstream=send.upstream.id,
                answers=facts.request_id,
            )
            return False
        send.facts = facts
        self._note_limit(send, facts)
        return True

    def _receive(
        self, send: Send, exchange: Exchange, data: bytes, options: SendOptions
    ) -> Awaitable[None] | None:
        """Pass on a part of a stream; other answers are kept until they are whole."""
        now = self._parts.clock.monotonic()
        self._parts.loads.note_activity(send.upstream.id, now)
        if not _is_stream(send, exchange):
            exchange.keep(data)
            return None
        if not send.passed:
            send.passed = True
            options.read()
            if not self._reply.has_begun:
                self._reply.begin_stream(exchange.head)
        if send.first_at is None:
            send.first_at = now
        send.last_at = now
        events = count_ends(data)
        send.events += events
        self._reply.events += events
        self._watch_silence(find_idle_timeout(self._request.route))
        if self._request.route.resumable:
            data = self._cutter.feed(data)
            self._request.last_event = self._cutter.last_id or self._request.last_event
        return self._reply.write(data)

    def _watch_silence(self, limit: timedelta | None) -> None:
        """End the send if its upstream stays silent, so that the work goes on.

        Guards against a gateway that was paused itself: it would end all its streams
        as it wakes, with their next events unread, and break off those that have no
        other send left.
        """
        self._unwatch_silence()
        if limit is not None:
            self._silence = AwakeTimer(limit, self._end_silence)

    def _unwatch_silence(self) -> None:
        if self._silence is not None:
            self._silence.cancel()
            self._silence = None

    def _end_silence(self) -> None:
        current = self._request.current
        if current is None:
            return
        now = self._parts.clock.monotonic()
        if self._parts.loads.has_recent_activity(self._request.upstream, now):
            # It lives and is busy with others; elsewhere nothing would be sooner.
            self._watch_silence(SILENCE_STEP)
            return
        self._parts.events.record(
            "upstream.silent",
            request=self._request.id,
            upstream=self._request.upstream,
            passed=self._reply.passed,
        )
        current.cancel()

    def _settle(
        self, send: Send, exchange: Exchange, end: str, options: SendOptions
    ) -> None:
        """Name the end of a send, and tell the books of it."""
        send.head = exchange.head
        send.content = exchange.content
        send.was_kept = exchange.was_kept
        send.detail = end
        send.end = self._classify(send, exchange, end)
        self._parts.count_send(self._reply.route, send.end.value)
        if send.end is SendResult.ANSWERED and send.passed:
            self._reply.write(self._cutter.take_rest())
            self._learn_pause(send)
        self._note_crash(send, end)
        self._note_load(send, end, options)

    def _learn_pause(self, send: Send) -> None:
        """Tell the books the mean time between the events of a whole stream.

        The mean, since several events may come in one read.
        """
        if send.first_at is None or send.events < LEAST_EVENTS:
            return
        pause = (send.last_at - send.first_at) / (send.events - 1)
        self._parts.planner.learn_pause(send.upstream, pause)

    def _classify(self, send: Send, exchange: Exchange, end: str) -> SendResult:
        if self._reply.is_caller_gone:
            return SendResult.CALLER_LEFT
        if not exchange.was_sent:
            return SendResult.NOT_SENT
        if end != ExchangeEnd.WHOLE or send.facts is None:
            return SendResult.BROKEN
        if send.facts.is_other_upstream:
            return SendResult.OTHER_UPSTREAM
        if send.facts.not_run:
            return SendResult.NOT_RUN
        if send.facts.is_encoded:
            return SendResult.BROKEN
        if self._reply.has_begun and not send.passed:
            # A failure in place of the rest of a stream, whose head the caller has.
            return SendResult.BROKEN
        return SendResult.ANSWERED

    def _note_crash(self, send: Send, end: str) -> None:
        crashes = self._parts.crashes
        fingerprint = self._request.fingerprint
        if send.end is SendResult.BROKEN and end == ExchangeEnd.BROKEN:
            crashes.note_broken_send(send.upstream, fingerprint)
            self._parts.pools.probe(send.upstream)
        elif send.end is SendResult.ANSWERED:
            crashes.note_answer(fingerprint)
        if end == ExchangeEnd.NOT_CONNECTED:
            crashes.note_upstream_lost(send.upstream.id)

    def _note_load(self, send: Send, end: str, options: SendOptions) -> None:
        now = self._parts.clock.monotonic()
        loads = self._parts.loads
        id = send.upstream.id
        if end == ExchangeEnd.NOT_CONNECTED:
            loads.note_unreachable(id, now)
        elif send.end is SendResult.ANSWERED:
            loads.note_reached(id, now)
        elif send.end in (SendResult.NOT_RUN, SendResult.OTHER_UPSTREAM):
            # An engine that can't fetch a prompt is not to blame for it.
            if not options.kv_source:
                loads.note_refusal(id, now)
        if loads.end(id, _has_failed(send, end), now):
            self._parts.events.record(
                "upstream.ejected",
                request=self._request.id,
                upstream=id,
                failure_rate=round(loads.get(id).failure_rate, 2),
            )
        if send.facts is not None and send.facts.load is not None:
            running, waiting, _ = send.facts.load
            loads.note_report(id, running, waiting, now)

    def _note_limit(self, send: Send, facts: AnswerFacts) -> None:
        """Take in the limit that an answer names, or that it names none any more."""
        if facts.is_other_upstream:
            return
        id = send.upstream.id
        now = self._parts.clock.monotonic()
        change = self._parts.limits.hear(id, facts.rate_limit, now)
        if change is not None:
            self._parts.events.record(
                "upstream.limited",
                request=self._request.id,
                upstream=id,
                before=change.before,
                per_second=change.after,
            )


def _is_stream(send: Send, exchange: Exchange) -> bool:
    """Tell whether an answer is a stream that its caller may be given."""
    head, facts = exchange.head, send.facts
    if head is None or facts is None or head.status != 200:
        return False
    return facts.is_signed and not facts.is_encoded and not facts.not_run


def _has_failed(send: Send, end: str) -> bool:
    if end == ExchangeEnd.NOT_CONNECTED or send.end is SendResult.BROKEN:
        return True
    return send.end is SendResult.ANSWERED and send.status >= SERVER_ERRORS
