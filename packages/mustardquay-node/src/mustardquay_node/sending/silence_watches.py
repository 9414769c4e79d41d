"""The watch of one send for silence: suspicion, probe, and a replacement.

Whether a silent upstream is replaced is decided in `mustardquay.silences`. The timer
leaves out pauses of this process: a gateway that was paused would otherwise take all
its upstreams for silent when it resumes, with their next events unread.
"""

import asyncio
from collections.abc import Awaitable
from dataclasses import replace
from datetime import timedelta
from functools import partial

from mustardquay.requests import SendResult
from mustardquay.retry_decisions import PrefillState, count_repeats, may_follow
from mustardquay.routing_tables import Repeat
from mustardquay.silences import (
    GiveUpReason,
    SilentSend,
    Suspicion,
    find_give_up_reason,
    find_recheck_time,
)
from mustardquay.stall_timeouts import find_idle_timeout

from ..connections import Exchange
from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from ..pauses import RunningTimer
from ..replies import Reply
from .alternatives import find_prefill_state, has_other_upstream
from .observations import observe_replaced
from .replacements import Replacement, Replacements
from .results import Send, SendOptions

__all__ = ["SilenceWatch"]


DATA_TIME = timedelta(milliseconds=20)
"""Time in which data that have arrived are read."""


class SilenceWatch:
    """Watches one send until it is closed, and looks for another upstream."""

    def __init__(
        self,
        deps: ForwarderDependencies,
        request: ForwardedRequest,
        reply: Reply,
        send: Send,
        options: SendOptions,
        replacements: Replacements,
    ):
        self._deps = deps
        self._request = request
        self._reply = reply
        self._send = send
        self._options = options
        self._replacements = replacements
        self._replacement: Replacement | None = None
        """The send that takes over once its upstream answers."""
        self._exchange: Exchange | None = None
        self._timer: RunningTimer | None = None
        self._step = timedelta()
        self._quiet = timedelta()
        """Time without a byte for this send, as far as this process ran."""
        self._is_answering = False
        """Whether a part of an answer has come that goes to the caller."""

    def start(self, exchange: Exchange) -> None:
        """Start to watch."""
        self._exchange = exchange
        first = self._options.first_part_timeout
        idle = find_idle_timeout(self._request.route)
        self._begin_step(first or idle)
        # What the answer may take before its first part is no silence.
        self._step = min(self._step, idle)

    def close(self) -> None:
        """Stop watching."""
        self._exchange = None
        if self._timer is not None:
            self._timer.cancel()

    @property
    def is_replaced(self) -> bool:
        """Return whether a replacement has taken the place of this send."""
        return self._replacement is not None and self._replacement.is_taken

    def end_replacement(self) -> None:
        """End the replacement, as the request goes on by this send."""
        if self._replacement is not None:
            self._replacement.stop()
            self._replacement = None

    def note_answer(self) -> None:
        """Note a part of an answer that goes to the caller."""
        self._is_answering = True
        self.end_replacement()
        self.note_heard()

    def note_heard(self) -> None:
        """Note that the upstream has sent something for this request.

        It may be a refusal, or no answer at all, and ends no replacement.
        """
        now = self._deps.clock.monotonic()
        upstream = self._send.upstream.id
        lasted = self._deps.loads.silences.note_activity(upstream, now)
        if lasted is not None:
            self._deps.events.record(
                "upstream.heard",
                request=self._request.id,
                upstream=upstream,
                silent_ms=round(lasted.total_seconds() * 1000),
            )

    def restart(self) -> None:
        """Wait for the next part of a stream, from now on."""
        if self._exchange is not None:
            self._quiet = timedelta()
            self._begin_step(find_idle_timeout(self._request.route))

    async def wait_for_caller(self, writing: Awaitable[None]) -> None:
        """Wait for a caller that reads slowly, and watch again after that.

        Meanwhile nothing is read from the upstream, so that it can't be heard.
        """
        if self._timer is not None:
            self._timer.cancel()
        await writing
        self.restart()

    @property
    def _has_data(self) -> bool:
        return self._exchange is not None and self._exchange.has_unread_data

    def _begin_step(self, time: timedelta, is_quiet: bool = True) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._step = time if is_quiet else timedelta()
        self._timer = RunningTimer(time, self._end_step)

    def _end_step(self) -> None:
        if self._has_data:
            # Its timer came first, in the iteration of the loop that reads them.
            self._begin_step(DATA_TIME, is_quiet=False)
            return
        self._quiet += self._step
        now = self._deps.clock.monotonic()
        silences = self._deps.loads.silences
        suspicion = silences.note_quiet(
            self._send.upstream.id, self._quiet, now, self._shows_progress
        )
        if suspicion is Suspicion.ACTIVE:
            # It works on other requests; another upstream would not be faster.
            self.restart()
            return
        if suspicion is Suspicion.BEGUN:
            self._record("upstream.silent")
        if self._shows_progress and silences.take_probe(self._send.upstream.id):
            probe = self._deps.pools.probe_silent(self._send.upstream)
            probe.add_done_callback(lambda done: self._end_probe(done))
        self._look_elsewhere()
        self._begin_step(find_recheck_time(self._quiet))

    def _end_probe(self, probe: "asyncio.Task[None]") -> None:
        if self._exchange is not None and not probe.cancelled():
            self._look_elsewhere()

    def _look_elsewhere(self) -> None:
        """Send the request to another upstream as well, if the policy says so."""
        exchange = self._exchange
        if exchange is None or not exchange.was_sent or self._has_data:
            return
        if self._replacements.is_running:
            return
        other = self._copy_request()
        reason = find_give_up_reason(
            self._describe(other),
            self._deps.loads.silences,
            partial(self._take_allowance, other),
        )
        if reason is None:
            return
        observe_replaced(self._deps, self._request, self._send, self._options)
        self._replacement = Replacement(
            other,
            self._options.prefill_only,
            lambda: self._is_answering and self._has_data,
            partial(self._give_up, reason),
        )
        self._replacements.start(self._replacement, self._request)

    def _copy_request(self) -> ForwardedRequest:
        refused = self._replacements.list_refused()
        upstream = self._send.upstream.id
        is_prefill = self._options.prefill_only
        return self._request.copy_for_replacement({upstream, *refused}, is_prefill)

    def _give_up(self, reason: GiveUpReason) -> None:
        """End the exchange, as another upstream has begun to answer."""
        self._send.given_up = reason
        self._record("send.given_up", reason=reason.value)
        exchange = self._exchange
        self.close()
        if exchange is not None:
            exchange.cancel()

    def _describe(self, other: ForwardedRequest) -> SilentSend:
        request = self._request
        left = request.measure_time_left(self._deps.clock.monotonic())
        history = replace(
            request.send_history,
            has_sent_events=self._reply.has_begun,
            is_origin_known=request.origin is not None,
        )
        is_prefill = self._options.prefill_only
        return SilentSend(
            self._send.upstream.id,
            self._quiet,
            may_follow(request.route, history, self._expected_end, left),
            has_other_upstream(self._deps, other, is_prefill),
            left,
            self._shows_progress,
        )

    @property
    def _shows_progress(self) -> bool:
        """Return whether the answer comes in parts, or may be expected by a time.

        A silent short answer says too little of its upstream for a connection attempt.
        """
        is_stream = self._request.route.repeat is Repeat.STREAM
        return is_stream or self._options.prefill_only

    @property
    def _expected_end(self) -> SendResult:
        is_prefill = self._options.prefill_only
        return SendResult.UNREAD if is_prefill else SendResult.BROKEN

    def _take_allowance(self, other: ForwardedRequest) -> bool:
        """Charge the further send to the retry allowance."""
        is_prefill = self._options.prefill_only
        state = (
            PrefillState.NONE
            if is_prefill
            else find_prefill_state(self._deps, other, other.avoid)
        )
        sends = count_repeats(other.route, self._expected_end, state)
        window = self._deps.pools.get_window(other.service)
        return not sends or window.take(self._deps.clock.monotonic(), sends)

    def _record(self, kind: str, **details: str) -> None:
        self._deps.events.record(
            kind,
            request=self._request.id,
            upstream=self._send.upstream.id,
            passed=self._reply.passed,
            quiet_ms=round(self._quiet.total_seconds() * 1000),
            **details,
        )
