"""Forwardings: one caller's request, from its arrival to the end of its answer.

The stages are: what the request says and its route, its upstream, the send (`sends`,
`handovers`), and what follows from how the send ended. Whether something is sent again
is decided in `mustardquay.sendings`, where it goes in `placements` and
`upstream_loads`; what the caller is told is in `replies`.
"""

import asyncio
from datetime import timedelta
from functools import partial

from mustardquay.errors import ProtocolError
from mustardquay.requests import SendResult
from mustardquay.routing_tables import Repeat, RoutingTable, choose_backend
from mustardquay.sendings import NextStep, ReadingState, count_repeats, decide_next
from mustardquay.stops import Demand
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import choose_plain
from mustardquay.version_books import TableState

from .caller_connections import CallerAnswer, CallerRequest
from .forwarder_parts import ForwardedRequest, ForwarderParts
from .gateway_stops import RETRY_SOON
from .handovers import drop_reading, send_generation
from .rate_turns import await_turn
from .replies import Reply
from .sends import Send, Sender

__all__ = ["forward", "read_request"]

QUARANTINE_RETURN = timedelta(seconds=60)
"""When a caller may try again what crashed upstreams; sooner is of no use."""
CLOSE_MARGIN = timedelta(milliseconds=30)
"""How long before the caller's limit it gets its answer, so that it arrives."""
TURN_SHARE = 0.5
"""Part of the target that a plain request may wait for the rate limit of its upstream;
the rest is for its work."""
UNKNOWN = "It is not known whether this was run."


async def forward(
    parts: ForwarderParts,
    table: RoutingTable | None,
    incoming: CallerRequest,
    answer: CallerAnswer,
) -> None:
    """Answer one request by the configuration under which it came."""
    reply = Reply(parts, incoming, answer)
    request = read_request(parts, table, incoming, reply)
    if request is None:
        return
    if parts.stop.has_begun and not _admit(parts, request, reply):
        return
    forwarding = _Forwarding(parts, request, reply)
    answer.watch(forwarding.note_caller_left)
    limit_at = request.limit_at - CLOSE_MARGIN
    begin_by = min(request.begin_by or limit_at, limit_at)
    waiting = parts.times.begin(request.route.name, incoming.received_at)
    try:
        async with asyncio.timeout_at(begin_by.total_seconds()) as timer:
            reply.begun = [
                partial(timer.reschedule, limit_at.total_seconds()),
                partial(parts.times.end, waiting),
            ]
            await forwarding.run()
    except TimeoutError:
        forwarding.end_late()
    except asyncio.CancelledError:
        forwarding.end_with_process()
        raise
    except Exception:
        # A fault of this program must not leave its caller waiting.
        if reply.has_begun:
            reply.break_off()
        else:
            reply.fail(502, "fault", UNKNOWN)
        raise
    finally:
        parts.times.end(waiting)
        drop_reading(parts, request, request.last_end)


def read_request(
    parts: ForwarderParts,
    table: RoutingTable | None,
    incoming: CallerRequest,
    reply: Reply,
) -> ForwardedRequest | None:
    """Return what a request is and may be, or answer that it can't be forwarded."""
    if table is None:
        reply.refuse("no_configuration", RETRY_SOON)
        return None
    reply.version = table.version
    state = parts.judge_table()
    if state is TableState.OUTDATED:
        reply.refuse("outdated", RETRY_SOON)
        return None
    route = table.find_route(incoming.headers.get("Host", ""), incoming.path)
    if route is None and state is TableState.BEHIND:
        # The newer version may have the route.
        reply.refuse("unknown_route", RETRY_SOON)
        return None
    if route is None:
        reply.fail(404, "no_route", "There is no route for this host and path.")
        return None
    reply.route = route.name
    try:
        facts = parts.adapter.read_request(incoming.headers)
    except ProtocolError as error:
        reply.fail(400, "bad_headers", str(error))
        return None
    reply.request = facts.id
    service = choose_backend(route.backends, parts.random.random())
    if service is None:
        reply.refuse("no_service", RETRY_SOON)
        return None
    parts.pools.get_window(service).count_request(incoming.received_at)
    parts.limits.demand.count_request(service, incoming.received_at)
    allowed = route.timeout
    if facts.time_allowed is not None:
        allowed = min(allowed, facts.time_allowed)
    return ForwardedRequest(
        incoming,
        facts,
        route,
        service,
        limit_at=incoming.received_at + allowed,
        fingerprint=parts.crashes.compute_fingerprint(
            incoming.method, incoming.path, incoming.body
        ),
        last_event=facts.resumes_after,
    )


def _admit(parts: ForwarderParts, request: ForwardedRequest, reply: Reply) -> bool:
    """Take or refuse a request that comes in a stop; returns whether it is taken."""
    demand = _find_demand(parts, request)
    inputs = {
        "expected_ms": round(demand.expected.total_seconds() * 1000),
        "left_ms": round(parts.stop.left.total_seconds() * 1000),
    }
    request.begin_by = parts.stop.admit(demand)
    if request.begin_by is None:
        reply.refuse("stopping", parts.stop.draw_retry_delay(demand.expected), **inputs)
        return False
    parts.events.record(
        "drain.taken",
        request=request.id,
        route=request.route.name,
        **request.incoming.describe_connection(),
        **inputs,
    )
    return True


def _find_demand(parts: ForwarderParts, request: ForwardedRequest) -> Demand:
    now = parts.clock.monotonic()
    return Demand(
        request.measure_left(now),
        parts.times.find_longest(request.route.name, now),
        request.most_tokens,
        request.route.repeat is Repeat.STREAM,
        request.route.resumable,
    )


class _Forwarding:
    """Sends one request until its caller has an answer."""

    def __init__(self, parts: ForwarderParts, request: ForwardedRequest, reply: Reply):
        self._parts = parts
        self._request = request
        self._reply = reply
        self._sender = Sender(parts, request, reply)

    async def run(self) -> None:
        """Send, and send again where that is allowed and of use."""
        while not self._reply.is_caller_gone:
            if self._parts.crashes.is_refused(self._request.fingerprint):
                self._refuse_crasher()
                return
            send = await self._send()
            if send is None:
                if not self._reply.has_ended:
                    self._refuse_unplaced()
                return
            self._request.sendings.note(send.end)
            self._request.last_end = send.end.value
            self._request.sendings.events_passed = self._reply.has_begun
            if send.end is SendResult.ANSWERED and send.passed:
                self._sender.log(send, "answered")
                self._reply.end_stream()
                self._learn_time()
                return
            if not self._goes_on(send):
                return

    def note_caller_left(self) -> None:
        """Stop the work of a caller that has closed its connection."""
        current = self._request.current
        if current is None:
            return
        # Work that must not be repeated is brought to its end: its caller can't
        # know how far it got, and half of it helps nobody.
        if self._request.route.repeat is not Repeat.AT_MOST_ONCE:
            current.cancel()
        self._parts.events.record("caller.left", request=self._request.id)

    def end_with_process(self) -> None:
        """Answer a request that is still running when the process ends."""
        self._record_end("request.cut_off")
        self._end_unanswered(
            "stopped", "The gateway ended before the answer was there."
        )

    def end_late(self) -> None:
        """Answer a request whose time is over."""
        self._record_end("request.timed_out")
        self._end_unanswered("timed_out", "There was no answer in time.")

    def _record_end(self, kind: str) -> None:
        """Log how far a request had come that ends without its whole answer."""
        request, reply = self._request, self._reply
        self._parts.events.record(
            kind,
            request=request.id,
            route=reply.route,
            upstream=request.upstream,
            passed=reply.passed,
            held_back=self._sender.holds_back,
            sends=request.sendings.offered,
            age_ms=reply.age_ms,
            **request.incoming.describe_connection(),
        )

    def _end_unanswered(self, reason: str, message: str) -> None:
        """Tell the caller truly that there will be no answer."""
        request, reply = self._request, self._reply
        self._learn_time()
        if reply.is_caller_gone:
            reply.count("caller_left")
        elif reply.has_begun:
            reply.break_off()
        elif request.sendings.may_have_run or request.was_cut_off:
            reply.fail(504, reason, message)
        else:
            reply.refuse(reason, self._parts.stop.draw_retry_delay(timedelta()))

    def _learn_time(self) -> None:
        """Tell the books how long an answer took, or what there was of it.

        Also if it did not come to its end: it is those that take the longest.
        """
        request = self._request
        if request.expected is not None and request.sendings.offered <= 1:
            self._parts.latency_margins.note(
                request.route,
                request.expected,
                self._reply.first_after,
                self._parts.clock.monotonic(),
            )
        self._parts.times.note(
            self._request.route.name,
            self._parts.clock.monotonic(),
            self._reply.first_after,
            self._reply.rest_after,
            self._reply.events,
        )

    async def _send(self) -> Send | None:
        """Choose an upstream and send; None without one or when refused."""
        parts, request = self._parts, self._request
        candidates = parts.upstreams.list_usable(request.service)
        prompt = request.facts.prompt
        if request.route.has_prompt and prompt is not None:
            return await send_generation(
                parts, request, self._sender, self._reply, prompt, candidates
            )
        now = parts.clock.monotonic()
        upstream = choose_plain(
            candidates,
            parts.loads,
            now,
            parts.availability_zone,
            parts.random,
            request.avoid,
            lambda record: parts.limits.expect_wait(record, now),
        )
        if upstream is None:
            return None
        return await self._send_in_turn(upstream, now)

    async def _send_in_turn(
        self, upstream: UpstreamRecord, now: timedelta
    ) -> Send | None:
        """Send once the upstream's rate limit allows it; None if that is too late."""
        parts, request = self._parts, self._request
        turn_after = timedelta(seconds=parts.limits.expect_wait(upstream, now))
        if turn_after > TURN_SHARE * request.route.latency_target:
            # Spread, so that those refused together don't meet again.
            back = turn_after * (1 + parts.random.random())
            self._refuse_unplaced("limited", back)
            return None
        turn = parts.limits.reserve(upstream, now)
        try:
            await await_turn(parts, turn)
        finally:
            parts.limits.release(turn)
        return await self._sender.run(upstream)

    def _goes_on(self, send: Send) -> bool:
        """Decide what follows; returns whether the request is sent again."""
        request = self._request
        if self._reply.is_caller_gone:
            self._sender.log(send, "stop")
            self._reply.count("caller_left")
            return False
        now = self._parts.clock.monotonic()
        left = request.measure_left(now)
        step = decide_next(request.route, request.sendings, send.end, send.status, left)
        if step in (NextStep.SEND_AGAIN, NextStep.RESUME):
            request.avoid.add(send.upstream.id)
            if self._pays_for_repeat(send, now):
                self._sender.log(send, step.value)
                return True
            step = self._replace_step(send)
        self._sender.log(send, step.value)
        self._conclude(step, send)
        return False

    def _pays_for_repeat(self, send: Send, now: timedelta) -> bool:
        """Take what another try costs from the retry allowance, if it is there."""
        request = self._request
        sends = count_repeats(request.route, send.end, self._judge_reading())
        window = self._parts.pools.get_window(request.service)
        return not sends or window.take(now, sends)

    def _judge_reading(self) -> ReadingState:
        """Tell what there is of the prompt's reading for another try."""
        parts, request = self._parts, self._request
        if request.reading is None:
            return ReadingState.NONE
        engines = parts.upstreams.list_usable(request.service)
        loss = parts.planner.find_prefill_loss(request.reading, engines, request.avoid)
        return ReadingState.KEPT if loss is None else ReadingState.LOST

    def _replace_step(self, send: Send) -> NextStep:
        """Return what happens where the allowance has no room for another send."""
        if send.end is SendResult.ANSWERED:
            return NextStep.PASS_ON
        may_have_run = self._request.sendings.may_have_run
        return NextStep.FAIL if may_have_run else NextStep.REFUSE

    def _conclude(self, step: NextStep, send: Send) -> None:
        if step is NextStep.PASS_ON:
            assert send.head is not None
            self._reply.pass_on(send.head, send.content)
            self._learn_time()
        elif self._reply.has_begun:
            self._reply.break_off()
        elif step is NextStep.REFUSE:
            retry_after = send.facts.retry_after if send.facts else None
            self._reply.refuse(send.end.value, retry_after or RETRY_SOON)
        else:
            self._reply.fail(502, send.end.value, UNKNOWN)

    def _refuse_crasher(self) -> None:
        """Answer a request that has crashed each upstream that ran it."""
        if self._reply.has_begun:
            self._reply.break_off()
        elif self._request.sendings.may_have_run:
            self._reply.fail(502, "quarantine", "The upstreams crashed on this.")
        else:
            self._reply.refuse("quarantine", QUARANTINE_RETURN)

    def _refuse_unplaced(
        self, reason: str = "no_upstream", retry_after: timedelta = RETRY_SOON
    ) -> None:
        """Answer a request for which there is no upstream (any more)."""
        if self._reply.has_begun:
            self._reply.break_off()
        elif self._request.sendings.may_have_run:
            self._reply.fail(502, reason, UNKNOWN)
        else:
            self._reply.refuse(reason, retry_after)
