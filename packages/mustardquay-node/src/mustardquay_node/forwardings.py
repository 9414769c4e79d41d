"""Forward one caller's request, from its admission to the end of its answer.

The stages are: choose an upstream, send (`sending`, `handovers`), and act on the result
of the send. Whether a request is sent
again is decided in `mustardquay.retry_decisions`, its upstream in `placements` and
`upstream_loads`; answers to the caller are written in `replies`.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

from mustardquay.clocks import Clock
from mustardquay.memory_limits import STALL_TIME
from mustardquay.requests import SendResult
from mustardquay.retry_decisions import (
    FAILED_STATUSES,
    NextStep,
    count_repeats,
    decide_next,
)
from mustardquay.routing_tables import Repeat
from mustardquay.streams import TakeUpRefusal
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import choose_plain

from .arrivals import VERSION_RETRY_AFTER, take_up_stream
from .caller_connections import CallerAnswer
from .crash_suspects.refusals import refuse_crashing
from .forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from .gateway_stops import DEFAULT_RETRY_AFTER
from .handovers import drop_prefill, send_generation
from .rate_reservations import await_reservation
from .replies import OUTCOME_UNKNOWN, Failure, Reply
from .sending import Replacement, Replacements, Send, Sender, find_prefill_state
from .share_admissions import admit_plain, send_plain
from .upstream_rests import find_retry_after, find_shortest_rest

__all__ = ["forward"]

DEADLINE_MARGIN = timedelta(milliseconds=30)
"""Time before the deadline at which a request is answered, so that the answer still
arrives in time."""
RATE_LIMIT_WAIT_SHARE = 0.5
"""Part of the latency target that a plain request may wait for the rate limit of its
upstream; the rest is left for its execution."""
REST_JITTER = 0.1
"""Part of the rest of upstreams by which callers' returns are spread."""


async def forward(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    reply: Reply,
    answer: CallerAnswer,
) -> None:
    """Answer one request that was admitted."""
    forwarding = _Forwarding(deps, request, reply)
    answer.watch(forwarding.note_caller_left)
    deadline = request.deadline - DEADLINE_MARGIN
    begin_by = min(request.begin_by or deadline, deadline)
    waiting = deps.times.begin(request.route.name, request.incoming.received_at)
    try:
        async with asyncio.timeout_at(begin_by.total_seconds()) as timer:
            reply.on_begin = [
                partial(timer.reschedule, deadline.total_seconds()),
                partial(deps.times.end, waiting),
            ]
            if reply.pace is not None:
                reply.pace.held.deadline = request.deadline
                reply.on_progress = partial(_extend, timer, deadline, deps.clock)
            await forwarding.run()
    except TimeoutError:
        forwarding.end_on_timeout()
    except asyncio.CancelledError:
        forwarding.end_on_shutdown()
        raise
    except Exception:
        # An unexpected error must not leave the caller without an answer.
        if reply.has_begun:
            reply.break_off()
        else:
            reply.fail(OUTCOME_UNKNOWN.status, "fault", OUTCOME_UNKNOWN.message)
        raise
    finally:
        if reply.pace is not None and reply.is_large:
            reply.pace.watch_progress(None)
        deps.times.end(waiting)
        deps.origins.end(request.stream_keys)
        forwarding.release()


def _extend(timer: asyncio.Timeout, deadline: timedelta, clock: Clock) -> None:
    """Put the end of a large answer off, of which its caller has just read a part.

    Guards against the end of an answer that is there and that its caller reads.
    """
    end = clock.monotonic() + STALL_TIME
    if end > deadline and not timer.expired():
        timer.reschedule(end.total_seconds())


class _Forwarding:
    """Sends one request, with retries, until its caller has an answer."""

    def __init__(
        self, deps: ForwarderDependencies, request: ForwardedRequest, reply: Reply
    ):
        self._deps = deps
        self._request = request
        self._reply = reply
        self._replacements = Replacements(deps, self._prepare_replacement)
        self._sender = Sender(deps, request, reply, self._replacements)
        self._replacing_sender = self._sender
        """The sender of the newest replacement."""

    async def run(self) -> None:
        """Send, and retry where that is allowed and can succeed."""
        if await self._forward_to_peer():
            return
        if self._request.is_take_up:
            if not await take_up_stream(self._deps, self._request, self._reply):
                return
        try:
            await self._send_until_answered()
        finally:
            if self._replacements.is_running:
                await self._replacements.close()

    async def _send_until_answered(self) -> None:
        while not self._reply.is_caller_gone:
            if refuse_crashing(self._deps, self._request, self._reply):
                return
            send = await self._send_next()
            if send is None:
                if not self._reply.has_ended:
                    self._refuse_without_upstream()
                return
            self._note_end(send)
            if send.end is SendResult.ANSWERED and self._reply.has_begun:
                self._sender.log(send, "answered")
                self._reply.end_stream()
                self._record_times()
                return
            goes_on = self._decide_retry(send)
            send.content = b""
            if not goes_on:
                return

    def release(self) -> None:
        """Drop what is held of the request, which reference cycles keep for a while."""
        drop_prefill(self._deps, self._request, self._request.last_end)
        self._request.incoming.body = b""
        self._sender.release()
        self._replacements.release()

    def _note_end(self, send: Send) -> None:
        """Keep what the end of a send shows of its request."""
        request = self._request
        request.last_end = send.end.value
        history = request.send_history
        history.note(send.end)
        history.has_sent_events = self._reply.has_begun
        history.is_origin_known = request.origin is not None

    async def _send_next(self) -> Send | None:
        """Send, or go on with the replacement of the send that has ended."""
        if not self._replacements.is_promising:
            return await self._send(self._request, self._sender)
        replacement = self._replacements.take(SendResult(self._request.last_end))
        self._sender.release()
        self._request, self._sender = replacement.request, self._replacing_sender
        return await replacement.task or await self._send(self._request, self._sender)

    def _prepare_replacement(
        self, replacement: Replacement
    ) -> Callable[[], Awaitable[Send | None]]:
        """Return what carries a replacement out."""
        sender = Sender(
            self._deps,
            replacement.request,
            self._reply,
            self._replacements,
            replacement,
        )
        self._replacing_sender = sender
        return partial(self._send_beside, replacement, sender)

    async def _send_beside(
        self, replacement: Replacement, sender: Sender
    ) -> Send | None:
        """Send a request beside a send of it that has met a silence."""
        request = replacement.request
        kept = request.prefill
        send = await self._send(request, sender)
        if send is not None and not replacement.is_taken:
            sender.log(send, "wait")
            if request.prefill is not kept:
                drop_prefill(self._deps, request, send.end.value)
        return send

    async def _forward_to_peer(self) -> bool:
        """Forward the request to another gateway; returns whether it has its answer."""
        forward_to_peer = self._deps.get_peer_forwarding()
        if forward_to_peer is None or self._deps.stop.has_begun:
            return False
        return await forward_to_peer(self._request, self._reply)

    def note_caller_left(self) -> None:
        """Cancel the request of a caller that has closed its connection."""
        current = self._request.current
        if current is None:
            return
        # A request that must not be repeated runs to its end: its caller can't find
        # out how far it got, and a partial execution is of no use.
        if self._request.route.repeat is not Repeat.AT_MOST_ONCE:
            current.cancel()
            self._replacements.stop()
        self._deps.events.record("caller.left", request=self._request.id)

    def end_on_shutdown(self) -> None:
        """Answer a request that is still running when the process ends."""
        self._record_end("request.cut_off")
        self._end_without_answer(
            "stopped", "The gateway ended before the answer was there."
        )

    def end_on_timeout(self) -> None:
        """Answer a request that has reached its deadline."""
        self._record_end("request.timed_out")
        self._end_without_answer("timed_out", "There was no answer in time.")

    def _record_end(self, kind: str) -> None:
        """Log the progress of a request that ends without its whole answer."""
        request, reply = self._request, self._reply
        self._deps.events.record(
            kind,
            request=request.id,
            route=reply.route,
            upstream=request.upstream,
            passed=reply.passed,
            held_back=self._sender.has_partial_event,
            sends=request.send_history.sends,
            age_ms=reply.age_ms,
            **request.incoming.describe_connection(),
        )

    def _end_without_answer(self, reason: str, message: str) -> None:
        """Tell the caller that there is no answer, and whether the request ran."""
        self._record_times()
        if self._reply.is_caller_gone:
            self._reply.count("caller_left")
            return
        retry_after = self._deps.stop.draw_retry_delay(timedelta())
        self._reply.refuse(reason, retry_after, Failure(504, message))

    def _record_times(self) -> None:
        """Record the duration of an answer, complete or not.

        Incomplete ones count too, as they are those that take the longest. Those that
        met a silence, or went at the pace of their caller, show nothing of the load.
        """
        request = self._request
        if request.has_met_silence or self._reply.is_large:
            return
        if request.expected is not None and request.send_history.sends <= 1:
            self._deps.latency_margins.note(
                request.route,
                request.expected,
                self._reply.time_to_first_part,
                self._deps.clock.monotonic(),
            )
        self._deps.times.note(
            self._request.route.name,
            self._deps.clock.monotonic(),
            self._reply.time_to_first_part,
            self._reply.stream_duration,
            self._reply.events,
        )

    async def _send(self, request: ForwardedRequest, sender: Sender) -> Send | None:
        """Choose an upstream and send; None if there is none or it was refused."""
        deps = self._deps
        candidates = deps.list_candidates(request)
        prompt = request.facts.prompt
        if request.route.has_prompt and prompt is not None:
            return await send_generation(
                deps, request, sender, self._reply, prompt, candidates
            )
        now = deps.clock.monotonic()
        upstream = choose_plain(
            candidates,
            deps.loads,
            now,
            deps.availability_zone,
            deps.random,
            request.avoid,
            lambda record: deps.limits.predict_wait(record, now),
        )
        if upstream is not None:
            upstream = admit_plain(deps, request, self._reply, upstream, candidates)
        if upstream is None:
            return None
        return await self._send_within_rate_limit(request, sender, upstream, now)

    async def _send_within_rate_limit(
        self,
        request: ForwardedRequest,
        sender: Sender,
        upstream: UpstreamRecord,
        now: timedelta,
    ) -> Send | None:
        """Send when the upstream's rate limit allows it; None if that is too late."""
        deps = self._deps
        wait_time = timedelta(seconds=deps.limits.predict_wait(upstream, now))
        if wait_time > RATE_LIMIT_WAIT_SHARE * request.route.latency_target:
            if request.is_replacement:
                return None
            # Jitter keeps callers refused together from retrying at the same time.
            retry_after = wait_time * (1 + deps.random.random())
            self._refuse_without_upstream("limited", retry_after)
            return None
        reservation = deps.limits.reserve(upstream, now)
        try:
            await await_reservation(deps, reservation)
        finally:
            deps.limits.release(reservation)
        return await send_plain(deps, request, sender, upstream)

    def _decide_retry(self, send: Send) -> bool:
        """Decide the next step; returns whether the request is sent again."""
        request = self._request
        if self._reply.is_caller_gone:
            self._sender.log(send, "stop")
            self._reply.count("caller_left")
            return False
        if send.end is SendResult.ANSWERED and send.status not in FAILED_STATUSES:
            # A ready answer goes out, whatever another upstream may answer.
            self._replacements.stop()
        if self._replacements.is_promising:
            step = NextStep.RESUME if self._reply.has_begun else NextStep.SEND_AGAIN
            self._sender.log(send, step.value)
            return True
        now = self._deps.clock.monotonic()
        left = request.measure_time_left(now)
        step = decide_next(
            request.route, request.send_history, send.end, send.status, left
        )
        if step in (NextStep.SEND_AGAIN, NextStep.RESUME):
            request.avoid.add(send.upstream.id)
            if self._take_retry_allowance(send, now):
                self._sender.log(send, step.value)
                return True
            step = self._choose_final_step(send)
        self._sender.log(send, step.value)
        self._finish(step, send)
        return False

    def _take_retry_allowance(self, send: Send, now: timedelta) -> bool:
        """Charge a retry to the retry allowance; returns whether it had room."""
        request = self._request
        state = find_prefill_state(self._deps, request, request.avoid)
        sends = count_repeats(request.route, send.end, state)
        window = self._deps.pools.get_window(request.service)
        return not sends or window.take(now, sends)

    def _choose_final_step(self, send: Send) -> NextStep:
        """Return the last step if the retry allowance has no room for another send."""
        if send.end is SendResult.ANSWERED:
            return NextStep.PASS_ON
        may_have_run = self._request.send_history.may_have_run
        return NextStep.FAIL if may_have_run else NextStep.REFUSE

    def _finish(self, step: NextStep, send: Send) -> None:
        if step is NextStep.PASS_ON:
            assert send.head is not None
            self._reply.pass_on(send.head, send.content)
            self._record_times()
        else:
            retry_after = find_retry_after(self._deps, self._request.service, send)
            self._reply.refuse(send.end.value, retry_after)

    def _refuse_without_upstream(
        self, reason: str = "no_upstream", retry_after: timedelta | None = None
    ) -> None:
        """Answer a request for which there is no upstream, or none left to try."""
        rest = timedelta()
        if not retry_after:
            rest = find_shortest_rest(self._deps, self._request.service)
        if rest:
            reason = "resting"
            # Jitter keeps callers refused during one rest from returning at its end.
            retry_after = rest * (1 + REST_JITTER * self._deps.random.random())
        elif reason == "no_upstream" and self._request.is_take_up:
            reason = TakeUpRefusal.VERSION_UNAVAILABLE.value
            retry_after = VERSION_RETRY_AFTER
        self._reply.refuse(reason, retry_after or DEFAULT_RETRY_AFTER)
