"""Send one request to one upstream, and classify the result."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from mustardquay.generation_limits import rank_generation
from mustardquay.requests import SendResult
from mustardquay.routing_tables import Repeat
from mustardquay.run_evidence import AnswerVerdict, judge_answer
from mustardquay.streams import EventFramer, StreamOrigin
from mustardquay.upstream_capacity import estimate_wait
from mustardquay.upstream_lists import UpstreamRecord

from ..adapters import SendTarget
from ..connections import MAX_DROPPED_BYTES, AnswerHead, Exchange, ExchangeEnd
from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from ..replies import Reply
from ..usage import may_have_begun, note_begun
from .classifications import classify_send, is_stream_answer
from .confirmations import (
    confirm_end,
    holds_whole_events,
    is_prefill_complete,
    is_success,
)
from .large_answers import LargeAnswer
from .observations import SUCCESS_STATUSES, observe_end, observe_head
from .permissions import is_unchanged, may_send_now
from .replacements import Replacement, Replacements
from .results import DEFAULT_OPTIONS, Send, SendOptions
from .silence_watches import SilenceWatch

__all__ = ["Sender"]

Receiver = Callable[[Exchange, bytes], Awaitable[None] | None]

LOST_ENDS = (ExchangeEnd.BROKEN, ExchangeEnd.INCOMPLETE)
"""Ends of an exchange without a whole answer, as crashes of upstreams leave them."""
NON_IDEMPOTENT_IDLE_LIMIT = timedelta(milliseconds=400)
"""Idle time up to which a connection is reused for requests that must not be repeated.
Upstreams close idle connections after some 1.5 s, and may do so sooner."""
CRASH_ONSET = timedelta(milliseconds=500)
"""Time after which a stream goes on although a part of its prompt were bad: such a part
crashes an engine as it begins to write, with the first tokens."""
MAX_EVENT_BYTES = 1024 * 1024
"""Largest part of an event that is held; an event has a few tokens."""
MIN_EVENTS = 3
"""Fewest events of a stream from which their mean interval is measured: the last event
may come early."""


class Sender:
    """Sends one request, once for each call of `run`."""

    def __init__(
        self,
        deps: ForwarderDependencies,
        request: ForwardedRequest,
        reply: Reply,
        replacements: Replacements,
        replacement: Replacement | None = None,
    ):
        """Take `replacement` if it sends beside another send of the request."""
        self._replacements = replacements
        self._replacement = replacement
        self._deps = deps
        self._request = request
        self._reply = reply
        self._framer = EventFramer()
        self._watch: SilenceWatch | None = None
        self._large: LargeAnswer | None = None

    @property
    def has_partial_event(self) -> bool:
        """Return whether a part of an event is held back until its end."""
        return self._framer.is_inside_event

    async def run(
        self, upstream: UpstreamRecord, options: SendOptions = DEFAULT_OPTIONS
    ) -> Send:
        """Send to an upstream, and buffer the answer or pass it on."""
        request = self._request
        await self._deps.crashes.wait_for_probes(request.fingerprint)
        await self._deps.crashes.parts.wait_for_verdict(request.parts)
        if self._reply.is_caller_gone:
            return Send(upstream, end=SendResult.CALLER_LEFT)
        if self._replacement is not None and self._replacement.is_stopped:
            return Send(upstream, end=SendResult.NOT_SENT)
        # The stream of an earlier send may have ended in the middle of an event; the
        # next one sends that event whole.
        self._framer.restart()
        send = Send(upstream)
        exchange = self._make_exchange(send, options)
        request.current = exchange
        request.upstream = upstream.id
        request.sent_at = self._deps.clock.monotonic()
        self._watch = SilenceWatch(
            self._deps, request, self._reply, send, options, self._replacements
        )
        self._watch.start(exchange)
        self._note_choice(send)
        self._deps.loads.begin(upstream.id)
        end = ExchangeEnd.CANCELLED
        try:
            pool = self._deps.pools.get_pool(upstream)
            is_once = request.route.repeat is not Repeat.IDEMPOTENT
            is_once = is_once and not options.prefill_only
            end = await pool.run(
                exchange, NON_IDEMPOTENT_IDLE_LIMIT if is_once else None
            )
            if end == ExchangeEnd.WHOLE and is_success(exchange, options):
                end = await confirm_end(self._deps, upstream, exchange, pool)
        finally:
            request.current = None
            self._watch.close()
            self._record_end(send, exchange, end, options)
        return send

    def may_hand_over(self) -> bool:
        """Return whether the request goes on from its prefill, in a send of its own.

        If so, its replacement is ended. It doesn't if that one has taken over, or may
        have run a request that must not be repeated.
        """
        is_allowed = self._reply.ledger.allows_send(self._request.route.is_repeatable)
        if self._watch.is_replaced or not is_allowed:
            return False
        self._watch.end_replacement()
        return True

    def release(self) -> None:
        """Drop what is held of an event."""
        self._framer.restart()

    def log(self, send: Send, step: str) -> None:
        """Log the result of a send and the next step."""
        self._deps.events.record(
            "send.ended",
            request=self._request.id,
            upstream=send.upstream.id,
            route=self._reply.route,
            version=self._reply.version,
            end=send.end.value,
            detail=send.detail,
            status=send.status,
            framing=send.framing,
            **send.describe_answer(),
            **self._request.describe_suspicion(),
            blame=send.blame.value,
            software_version=send.upstream.software_version,
            **self._deps.describe_list(self._request.sent_at),
            **send.inputs,
            kept=send.was_reused,
            next=step,
            **self._request.describe_sends(),
            age_ms=self._reply.age_ms,
            first_ms=self._reply.first_ms,
            pause_ms=self._reply.pause_ms,
            **self._reply.describe_caller(),
        )

    def _note_choice(self, send: Send) -> None:
        """Keep the figures by which a plain upstream was chosen."""
        loads, upstream = self._deps.loads, send.upstream
        if self._request.route.has_prompt or not loads.knows_speed(upstream.id):
            return
        send.inputs = loads.describe(upstream.id, self._request.sent_at)
        send.expected_wait = estimate_wait(send.inputs["queue"], upstream.slots)

    def _make_exchange(self, send: Send, options: SendOptions) -> Exchange:
        request = self._request
        target = SendTarget(
            upstream_id=send.upstream.id,
            time_left=request.measure_time_left(self._deps.clock.monotonic()),
            prefill_only=options.prefill_only,
            kv_source=options.kv_source,
            fetch_from=options.holder.address if options.holder else "",
            resumes_after=request.last_event,
            urgency=self._find_priority(options),
            organisation=request.organisation,
        )
        incoming = request.incoming
        is_stream = request.route.repeat is Repeat.STREAM and not options.prefill_only
        self._large = self._make_large_answer(send)

        def receive(exchange: Exchange, data: bytes) -> Awaitable[None] | None:
            return self._receive(send, exchange, data, options)

        def may_send() -> bool:
            if not may_send_now(self._deps, request, send.upstream, options):
                return False
            if options.prefill_only:
                return True
            # The last question: from here on the request may have run.
            return self._reply.ledger.begin_send(request.route.is_repeatable)

        def is_expected(head: AnswerHead) -> bool:
            return self._is_expected_answer(send, exchange, head, options)

        exchange = Exchange(
            incoming.method,
            incoming.path,
            self._deps.adapter.build_headers(incoming.headers, target),
            incoming.body,
            is_expected,
            receive=receive if is_stream else self._find_receiver(options),
            may_send=may_send,
            is_complete=lambda exchange: self._is_complete(send, exchange, options),
            request_id=self._request.id,
        )
        return exchange

    def _make_large_answer(self, send: Send) -> LargeAnswer | None:
        """Return the receiver of a plain answer; None without a limit of memory."""
        pace = self._reply.pace
        if pace is None:
            return None
        return LargeAnswer(pace, self._reply, send, lambda: self._watch)

    def _find_receiver(self, options: SendOptions) -> Receiver | None:
        """Return what receives a plain answer; None to buffer it, whatever its size."""
        if self._large is None or options.prefill_only:
            return None
        return self._large.receive

    def _find_priority(self, options: SendOptions) -> int | None:
        """Return the priority of the request at an engine; None for plain upstreams.

        It is the operator's rank of the route: a full engine starts requests of a
        higher rank first. A late request has a lower rank for its prefill only: an
        engine preempts running streams of a low rank for others.
        """
        request = self._request
        if not request.route.has_prompt:
            return None
        is_late = request.is_late and options.prefill_only
        return rank_generation(request.route, is_late)

    def _is_expected_answer(
        self, send: Send, exchange: Exchange, head: AnswerHead, options: SendOptions
    ) -> bool:
        """Return whether an answer belongs to this request; others are skipped."""
        facts = self._deps.adapter.read_answer(head)
        claims = facts.make_claims(head.status)
        verdict = judge_answer(claims, self._request.id, not options.prefill_only)
        if verdict is AnswerVerdict.FOREIGN:
            self._deps.events.record(
                "answer.skipped",
                request=self._request.id,
                upstream=send.upstream.id,
                answers=facts.request_id,
                status=head.status,
            )
            return False
        send.facts = facts
        send.verdict = verdict
        if options.prefill_only or not send.is_own:
            exchange.body_limit = MAX_DROPPED_BYTES
        self._watch.note_heard()
        observe_head(self._deps, self._request, send, facts, head.status)
        if not (send.is_own and head.status in SUCCESS_STATUSES):
            return True
        if self._is_superseded(options):
            exchange.cancel()
            return False
        if not options.prefill_only:
            self._watch.note_answer()
        return True

    def _is_superseded(self, options: SendOptions) -> bool:
        """Return whether another send of the request goes on in place of a success."""
        if self._replacement is None:
            return False
        return not self._replacement.accept(options.prefill_only)

    def _receive(
        self, send: Send, exchange: Exchange, data: bytes, options: SendOptions
    ) -> Awaitable[None] | None:
        """Pass on a part of a stream; buffer other answers until they are complete.

        What comes after the send was given up is dropped: another one goes on from what
        was passed on by then.
        """
        if exchange.cancelled:
            return None
        if not self._is_stream(send, exchange):
            return self._receive_plain(exchange, data)
        now = self._deps.clock.monotonic()
        self._watch.note_answer()
        if send.first_at is None:
            send.first_at = now
            note_begun(self._deps, self._request, now)
            options.on_first_part()
        send.last_at = now
        self._note_outlasted_onset(send, now)
        self._watch.restart()
        events = self._framer.feed(data)
        if self._framer.held > MAX_EVENT_BYTES:
            exchange.spoil()
            return None
        self._reply.events += self._framer.events - send.events
        send.events = self._framer.events
        if self._request.route.resumable:
            data = events
            self._request.last_event = self._framer.last_id or self._request.last_event
        writing = self._pass_on(send, exchange, data)
        return None if writing is None else self._watch.wait_for_caller(writing)

    def _receive_plain(self, exchange: Exchange, data: bytes) -> Awaitable[None] | None:
        self._watch.note_heard()
        if self._large is not None:
            return self._large.receive(exchange, data)
        exchange.keep(data)
        return None

    def _note_outlasted_onset(self, send: Send, now: timedelta) -> None:
        """Note a stream that goes on: no part of its prompt crashes its engine."""
        if not send.has_outlasted_onset and now - send.first_at >= CRASH_ONSET:
            send.has_outlasted_onset = True
            self._deps.crashes.parts.note_answered(
                self._request.parts, send.upstream, self._request.sent_at
            )

    def _pass_on(
        self, send: Send, exchange: Exchange, data: bytes
    ) -> Awaitable[None] | None:
        """Send a part of a stream to the caller; its head goes with the first one."""
        if not data:
            return None
        if not self._reply.has_begun:
            assert exchange.head is not None
            self._note_origin(send)
            self._reply.begin_stream(exchange.head)
        return self._reply.write(data)

    def _note_origin(self, send: Send) -> None:
        """Note where a stream begins, before its first event goes to the caller."""
        request, upstream = self._request, send.upstream
        if not request.is_resumable:
            return
        if request.origin is None and is_unchanged(self._deps, upstream):
            request.origin = StreamOrigin(upstream.service, upstream.software_version)
        if request.origin is not None:
            left = request.measure_time_left(self._deps.clock.monotonic())
            self._deps.origins.begin(request.stream_keys, request.origin, left)

    def _is_complete(
        self, send: Send, exchange: Exchange, options: SendOptions
    ) -> bool:
        if options.prefill_only:
            return is_prefill_complete(exchange, self._deps.adapter)
        is_stream = self._is_stream(send, exchange)
        return not is_stream or holds_whole_events(exchange, self._framer)

    def _record_end(
        self, send: Send, exchange: Exchange, end: str, options: SendOptions
    ) -> None:
        """Classify the result of a send, and record it in loads, limits and crashes."""
        send.head = exchange.head
        send.content = exchange.take()
        send.was_sent = exchange.was_sent
        send.was_reused = exchange.was_reused
        send.detail = end
        send.end = classify_send(self._request.route, self._reply, send, exchange, end)
        if exchange.was_sent and not options.prefill_only:
            self._reply.ledger.end_send(send.end.is_not_run)
        send.framing = exchange.framing.value if exchange.head else ""
        send.was_ended_here = exchange.cancelled or end == ExchangeEnd.CANCELLED
        send.was_lost = end in LOST_ENDS and not send.was_ended_here
        send.was_silent = self._deps.loads.silences.was_silent_since(
            send.upstream.id, self._request.sent_at
        )
        self._request.has_met_silence |= send.was_silent
        self._deps.count_send(self._reply.route, send.end.value)
        if send.end is SendResult.ANSWERED and self._is_stream(send, exchange):
            if self._request.route.resumable:
                self._pass_on(send, exchange, self._framer.take_rest())
            self._record_event_interval(send)
        if not options.prefill_only and may_have_begun(send.end, end):
            note_begun(self._deps, self._request, self._deps.clock.monotonic())
        observe_end(self._deps, self._request, send, end, options)

    def _record_event_interval(self, send: Send) -> None:
        """Record the mean interval between the events of a complete stream.

        Single intervals would mislead, as one read may return several events.
        """
        if send.first_at is None or send.events < MIN_EVENTS or send.was_silent:
            return
        pause = (send.last_at - send.first_at) / (send.events - 1)
        self._deps.planner.learn_pause(send.upstream, pause)

    def _is_stream(self, send: Send, exchange: Exchange) -> bool:
        return is_stream_answer(self._request.route, send, exchange)
