"""Executes the actions that the state machine of a request decides on."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from mustardquay.actions import (
    Action,
    AnswerEarly,
    CancelAttempt,
    ChooseUpstream,
    DeliverData,
    DeliverHead,
    Finish,
    ReattachAttempt,
    SendAttempt,
    WaitBeforeRetry,
)
from mustardquay.attempts import Phase, RequestState
from mustardquay.errors import Refusal
from mustardquay.messages import (
    Attempt,
    AttemptFrame,
    Cancel,
    Credit,
    Header,
    Message,
    Reattach,
)
from mustardquay.works import UpstreamView, Work

from .resumed_bodies import build_resumed_body

__all__ = ["Call", "Dispatch", "Exchange", "Sink"]

CREDIT_STEP = 128 * 1024
"""Bytes that the caller takes before the agent gets credit for more."""
RESUME_LIMIT = 4 * 1024 * 1024
"""Bytes of a stream kept for resuming it; a longer stream can't be resumed."""


@dataclass(frozen=True, slots=True)
class Call:
    """An admitted request."""

    work: Work
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    streamed: bool
    version: int
    """Configuration version under which it was admitted."""
    claim: bytes = b""
    """Claim of non-repeatable work, in JSON."""


class Sink(Protocol):
    """Receives the answer of a request."""

    def take_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Receive status and headers; never again once a stream has begun."""

    def take_data(self, data: bytes) -> None:
        """Receive the next part of the answer."""

    def answer_early(self, refusal: Refusal) -> None:
        """Answer the caller with an unknown outcome; the work goes on."""

    def finish(self, end: Finish) -> None:
        """Receive the outcome; nothing follows."""


class Dispatch(Protocol):
    """The dispatcher, as an exchange uses it."""

    def choose(self, call: Call, avoid: frozenset[str]) -> UpstreamView | Refusal:
        """Return the upstream for the next attempt."""

    def reserve(self, exchange: "Exchange") -> int:
        """Register a new attempt's stream and return its number."""

    def release(self, stream: int) -> None:
        """Unregister a stream; its frames are dropped from now on."""

    def send(self, upstream: str, message: Message) -> bool:
        """Send over the upstream's link; False when none is open."""

    def reach(self, upstream: str, incarnation: int) -> bool | None:
        """Return whether this incarnation is linked, or None if it is gone."""

    def expect_cached(self, upstream: str, work: Work) -> int:
        """Return the prompt tokens that the upstream is expected to have cached."""

    def now(self) -> timedelta:
        """Return the monotonic time."""

    def record(self, kind: str, exchange: "Exchange", **details: object) -> None:
        """Record an event."""


class Exchange:
    """One request in flight, from admission to its outcome; can't be reused."""

    def __init__(
        self,
        call: Call,
        sink: Sink,
        state: RequestState,
        dispatch: Dispatch,
        reattach_window: timedelta,
        on_ended: "Callable[[Exchange], None]",
    ):
        self._call = call
        self._sink = sink
        self._state = state
        self._dispatch = dispatch
        self._reattach_window = reattach_window
        self._on_ended = on_ended
        self._loop = asyncio.get_running_loop()
        self._stream = 0
        self._attempt_number = 0
        self._reattach: ReattachAttempt | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_stream = False
        self._delivered: list[bytes] = []
        self._delivered_size = 0
        self._uncredited = 0

    @property
    def call(self) -> Call:
        """Return the admitted request."""
        return self._call

    @property
    def state(self) -> RequestState:
        """Return the state machine of the request."""
        return self._state

    @property
    def stream(self) -> int:
        """Return the stream number of the current attempt; 0 if there is none."""
        return self._stream

    def start(self) -> None:
        """Start the request and its deadline timer."""
        remaining = self._call.work.finish_by - self._dispatch.now()
        seconds = max(remaining.total_seconds(), 0)
        self._deadline = self._loop.call_later(seconds, self._on_deadline)
        self._run_actions(self._state.start())

    def receive(self, frame: AttemptFrame) -> None:
        """Process a frame; those of earlier streams are dropped."""
        if frame.stream != self._stream:
            return
        if self._reattach is not None:
            self._reattach = None
            self._stop_timer()
        self._run_actions(self._state.frame_received(self._attempt_number, frame))

    def note_link_lost(self) -> None:
        """Handle the loss of the current attempt's link."""
        self._run_actions(self._state.link_lost())

    def note_link_opened(self) -> None:
        """Request the rest of the answer when a link is open again."""
        if self._reattach is not None:
            self._send_reattach(self._reattach)

    def note_agent_gone(self) -> None:
        """Stop waiting for a link to the agent, whose process has ended."""
        if self._reattach is not None:
            self._fail_reattach()

    def note_caller_left(self) -> None:
        """Handle the disconnection of the caller."""
        self._run_actions(self._state.caller_left())

    def note_taken(self, size: int) -> None:
        """Count `size` bytes the caller has taken, and grant the agent credit."""
        self._uncredited += size
        if self._uncredited >= CREDIT_STEP and self._state.phase is not Phase.ENDED:
            self._dispatch.send(
                self._state.upstream, Credit(self._stream, self._uncredited)
            )
            self._uncredited = 0

    def _run_actions(self, actions: list[Action]) -> None:
        for action in actions:
            self._run_action(action)

    def _run_action(self, action: Action) -> None:
        match action:
            case DeliverData():
                self._deliver(action.data)
            case ChooseUpstream():
                self._choose(action.avoid)
            case SendAttempt():
                self._send(action)
            case DeliverHead():
                self._begin_answer(action)
            case Finish():
                self._finish(action)
            case ReattachAttempt():
                self._begin_reattach(action)
            case CancelAttempt():
                self._dispatch.send(self._state.upstream, Cancel(self._stream))
            case WaitBeforeRetry():
                self._wait(action.delay)
            case AnswerEarly():
                self._dispatch.record("request.answered_early", self)
                self._sink.answer_early(action.refusal)

    def _begin_answer(self, head: DeliverHead) -> None:
        # Only a stream is resumed, and an error before it is no part of it.
        self._is_stream = self._call.streamed and head.status == 200
        self._sink.take_head(head.status, head.headers)

    def _deliver(self, data: bytes) -> None:
        if self._is_stream:
            self._keep_delivered(data)
        self._sink.take_data(data)

    def _keep_delivered(self, data: bytes) -> None:
        self._delivered_size += len(data)
        if self._delivered_size <= RESUME_LIMIT:
            self._delivered.append(data)
        else:
            self._delivered.clear()
            self._state.resume_impossible()

    def _choose(self, avoid: frozenset[str]) -> None:
        chosen = self._dispatch.choose(self._call, avoid)
        if isinstance(chosen, Refusal):
            self._run_actions(self._state.upstream_missing(chosen))
        else:
            self._run_actions(
                self._state.upstream_chosen(chosen.name, chosen.incarnation)
            )

    def _send(self, action: SendAttempt) -> None:
        self._end_stream()
        self._stream = self._dispatch.reserve(self)
        self._attempt_number = action.number
        body = self._make_body(action)
        if body is None:
            self._state.resume_impossible()
            self._run_actions(self._state.resume_refused())
            return
        attempt = self._make_attempt(action, body)
        if not self._dispatch.send(action.upstream, attempt):
            self._run_actions(self._state.send_failed())
            return
        self._dispatch.record("attempt.sent", self, upstream=action.upstream)

    def _make_body(self, action: SendAttempt) -> bytes | None:
        if not action.resume:
            return self._call.body
        return build_resumed_body(self._call.body, b"".join(self._delivered))

    def _make_attempt(self, action: SendAttempt, body: bytes) -> Attempt:
        call = self._call
        work = call.work
        now = self._dispatch.now()
        # A stream that has begun is worth resuming also after the first-token deadline.
        start_deadline = work.finish_by if action.resume else work.start_by
        return Attempt(
            stream=self._stream,
            request=work.request,
            number=action.number,
            incarnation=action.incarnation,
            customer=work.customer,
            model=work.model,
            adapter=work.adapter,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=body,
            prompt_tokens=work.prompt_tokens,
            output_tokens=work.output_tokens,
            share=work.share,
            priority=work.priority,
            start_within=start_deadline - now,
            finish_within=work.finish_by - now,
            prefix=work.prefix,
            fingerprint=work.fingerprint,
            repeatable=work.repeatable,
            streamed=call.streamed,
            version=call.version,
            cached_tokens=self._dispatch.expect_cached(action.upstream, work),
            between_tokens=work.between_tokens,
            claim=call.claim,
        )

    def _begin_reattach(self, action: ReattachAttempt) -> None:
        self._reattach = action
        self._dispatch.record("attempt.link_lost", self, upstream=action.upstream)
        self._stop_timer()
        seconds = self._reattach_window.total_seconds()
        self._timer = self._loop.call_later(seconds, self._fail_reattach)
        reach = self._dispatch.reach(action.upstream, action.incarnation)
        if reach is None:
            self._fail_reattach()
        elif reach:
            self._send_reattach(action)

    def _send_reattach(self, action: ReattachAttempt) -> None:
        if self._dispatch.reach(action.upstream, action.incarnation) is None:
            self._fail_reattach()
            return
        self._dispatch.record("attempt.reattached", self, upstream=action.upstream)
        message = Reattach(
            self._stream,
            self._call.work.request,
            action.number,
            action.incarnation,
            action.have,
        )
        self._dispatch.send(action.upstream, message)

    def _fail_reattach(self) -> None:
        self._reattach = None
        self._stop_timer()
        self._run_actions(self._state.reattach_failed())

    def _wait(self, delay: timedelta) -> None:
        self._stop_timer()
        seconds = delay.total_seconds()
        self._timer = self._loop.call_later(seconds, self._end_wait)

    def _end_wait(self) -> None:
        self._timer = None
        self._run_actions(self._state.back_off_ended())

    def _on_deadline(self) -> None:
        self._deadline = None
        self._run_actions(self._state.deadline_passed())

    def _finish(self, end: Finish) -> None:
        self._stop_timer()
        if self._deadline is not None:
            self._deadline.cancel()
        self._end_stream()
        self._dispatch.record("request.ended", self, outcome=end.outcome.value)
        self._sink.finish(end)
        self._on_ended(self)

    def _end_stream(self) -> None:
        if self._stream:
            self._dispatch.release(self._stream)
            self._stream = 0

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
